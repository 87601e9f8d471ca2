package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// The states of an outgoing message. A message leaves stateQueued exactly once: either
// the writer claims it, or its sender withdraws it before that.
const (
	stateQueued int32 = iota
	stateClaimed
	stateWithdrawn
)

// outgoingMessage is a message that is to be sent to a peer.
type outgoingMessage struct {
	kind peerwire.Kind
	id   uint64
	link *link
	// data is the frame, encoded in this build's version.
	data []byte
	// The first byte must be written within sendTimeout after queuedAt; zero means no
	// limit.
	queuedAt    time.Time
	sendTimeout time.Duration
	state       atomic.Int32
	// result receives the single result of a request; it is nil for one-way messages.
	result chan requestResult
	// done is called once with the result of writing a one-way message, nil if the
	// whole frame was written.
	done func(error)
}

// requestResult is the result of a request: the frame that answered it, or an error.
type requestResult struct {
	frame Frame
	err   error
}

func (o *outgoingMessage) claim() bool { return o.state.CompareAndSwap(stateQueued, stateClaimed) }

func (o *outgoingMessage) withdraw() bool { return o.state.CompareAndSwap(stateQueued, stateWithdrawn) }

func (o *outgoingMessage) expired() bool {
	return o.sendTimeout > 0 && time.Since(o.queuedAt) > o.sendTimeout
}

// cancelOnDone returns the error of a message whose context is done. The message was
// certainly not sent if the writer has not claimed it; otherwise its outcome is
// unknown.
func (o *outgoingMessage) cancelOnDone(ctx context.Context) error {
	if o.withdraw() {
		return result.Errorf(result.ExpiredBeforeSend, "%s was not written before its deadline: %v", o.kind, ctx.Err())
	}
	o.link.pending.take(o.id)
	return outcomeUnknown("%s had no result before its deadline: %v", o.kind, ctx.Err())
}

// fail sets an error as the result of the message.
func (o *outgoingMessage) fail(err *result.Error) {
	if o.result != nil {
		o.result <- requestResult{err: err}
		return
	}
	o.done(err)
}

// markWritten records that the whole frame was written to the socket. This is the
// result of a one-way message; a request still waits for its answer.
func (o *outgoingMessage) markWritten() {
	if o.result == nil {
		o.done(nil)
	}
}

func peerUnreachable(format string, args ...any) *result.Error {
	return result.Errorf(result.PeerUnreachable, format, args...)
}

func outcomeUnknown(format string, args ...any) *result.Error {
	return result.Errorf(result.OutcomeUnknown, format, args...)
}
