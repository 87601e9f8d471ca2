package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// The states of an outgoing message. A message leaves queued exactly once, so
// that a sender that gives up and the writer never both own it.
const (
	queued int32 = iota
	claimed
	withdrawn
)

// outgoing is a message on its way to a peer.
type outgoing struct {
	kind peerwire.Kind
	id   uint64
	link *link
	// data is the frame, encoded in this build's version.
	data []byte
	// queuedAt and within bound how late the first byte may be written; a zero
	// within means no bound.
	queuedAt time.Time
	within   time.Duration
	state    atomic.Int32
	// answer receives the one result of a request; it is nil for one-way
	// messages.
	answer chan answer
	// done is called once with the result of writing a one-way message.
	done func(error)
}

// answer is what ends a request.
type answer struct {
	frame Frame
	err   error
}

func (o *outgoing) claim() bool    { return o.state.CompareAndSwap(queued, claimed) }
func (o *outgoing) withdraw() bool { return o.state.CompareAndSwap(queued, withdrawn) }

func (o *outgoing) expired() bool {
	return o.within > 0 && time.Since(o.queuedAt) > o.within
}

// abandon ends the wait for a message. It is not run only if the writer had not
// claimed it.
func (o *outgoing) abandon(ctx context.Context) error {
	if o.withdraw() {
		return result.Errorf(result.ExpiredBeforeSend, "%s was not written before its deadline: %v", o.kind, ctx.Err())
	}
	o.link.pending.take(o.id)
	return unknown("no outcome of %s before its deadline: %v", o.kind, ctx.Err())
}

// fail ends the message with an error.
func (o *outgoing) fail(err *result.Error) {
	if o.answer != nil {
		o.answer <- answer{err: err}
		return
	}
	o.done(err)
}

// written tells that every byte was handed to the socket. A request goes on
// waiting for its answer.
func (o *outgoing) written() {
	if o.answer == nil {
		o.done(nil)
	}
}

func unreachable(format string, args ...any) *result.Error {
	return result.Errorf(result.PeerUnreachable, format, args...)
}

func unknown(format string, args ...any) *result.Error {
	return result.Errorf(result.OutcomeUnknown, format, args...)
}
