package forward

import (
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// attempt is one request to a replica, which is written at most once.
//
// Concurrency: mu guards the fields below it and the closing of cancelSignal. Only
// the goroutine that sends the attempt calls deliver.
type attempt struct {
	req      dispatch.Request
	deadline time.Time
	// writeBy is until when the attempt may wait for a connection. It is a little before
	// deadline, so that its refusal comes before the request has to be answered.
	writeBy time.Time
	// done receives the reply. Only deliver calls it, and only once.
	done func(dispatch.Reply)
	// replicaAccepts finds out whether the replica accepts a connection.
	replicaAccepts func() bool
	// delivered is set when done is called.
	delivered bool
	// cancelSignal is closed when the attempt is cancelled.
	cancelSignal chan struct{}

	mu        sync.Mutex
	cancelled bool
	// conn is the connection that the attempt is written to, or nil.
	conn *conn
}

func newAttempt(req dispatch.Request, done func(dispatch.Reply)) *attempt {
	deadline := time.Now().Add(req.Budget)
	reserve := min(maxWriteReserve, req.Budget/writeReserveDivisor)
	return &attempt{req: req, deadline: deadline, writeBy: deadline.Add(-reserve), done: done, cancelSignal: make(chan struct{})}
}

// deliver passes the reply to done, unless an earlier one was delivered.
func (a *attempt) deliver(reply dispatch.Reply) {
	if a.delivered {
		reply.ReleaseCharge()
		return
	}
	a.delivered = true
	a.done(reply)
}

// refusalBeforeWrite returns the code to refuse the attempt with right before it would be
// written, or zero. The caller and the deadline are looked at last: a host that is short of
// processor time may take long for the check before them.
func (a *attempt) refusalBeforeWrite() result.Code {
	if a.req.Barred != nil {
		if code := a.req.Barred(); code != 0 {
			return code
		}
	}
	if a.req.Departed != nil && a.req.Departed() {
		return result.CallerGone
	}
	if !time.Now().Before(a.deadline) {
		return result.ExpiredBeforeSend
	}
	return 0
}

// bind assigns the attempt to a connection. It reports false if the attempt was
// cancelled, and then it must not be written.
func (a *attempt) bind(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled {
		return false
	}
	a.conn = c
	return true
}

// unbind detaches the attempt from its connection, which a later cancellation
// then leaves alone.
func (a *attempt) unbind() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
}

// cancel marks the attempt as cancelled. If it is bound to a connection, the
// replica has replyGrace left to respond before the connection is closed.
func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled {
		return
	}
	a.cancelled = true
	close(a.cancelSignal)
	if a.conn != nil {
		_ = a.conn.SetDeadline(time.Now().Add(replyGrace))
	}
}

// setDeadline sets the deadline of the attempt's connection, unless the attempt was
// cancelled.
func (a *attempt) setDeadline(c *conn, deadline time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled {
		return false
	}
	_ = c.SetDeadline(deadline)
	return true
}

func (a *attempt) wasCancelled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cancelled
}
