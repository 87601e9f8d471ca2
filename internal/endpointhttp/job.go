package endpointhttp

import (
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// jobKind is the kind of request that a job sends.
type jobKind uint8

const (
	// jobAttempt sends a search or submit.
	jobAttempt jobKind = iota
	// jobCancel cancels an attempt that was written on another connection.
	jobCancel
	// jobProbe requests the status, to find out whether the connection works.
	jobProbe
)

// job is a request to be sent over one connection: an attempt, a cancellation or a
// probe. It is owned either by a pool, while it waits, or by a connection, and only
// the owner finishes it.
//
// Concurrency: mu guards the fields below it, which the connection's goroutine
// and cancel share.
type job struct {
	kind jobKind
	req  dispatch.Request
	// id identifies the request at the endpoint.
	id        string
	createdAt time.Time
	deadline  time.Time
	// done receives the reply to an attempt; it is nil for other kinds.
	done func(dispatch.Reply)
	// expiryTimer refuses the job if it still waits at its deadline.
	expiryTimer *time.Timer
	// failedConnections counts the connections that were opened after the job was
	// created and failed before it was written.
	failedConnections int

	mu sync.Mutex
	// conn is the connection that the job is written to, or nil before.
	conn      *conn
	cancelled bool
	// finished is set once the job can no longer be cancelled.
	finished bool
}

func newJob(req dispatch.Request, done func(dispatch.Reply)) *job {
	now := time.Now()
	return &job{kind: jobAttempt, req: req, id: requestID(&req), createdAt: now, deadline: now.Add(req.Budget), done: done}
}

func newProbeJob(timeout time.Duration) *job {
	return &job{kind: jobProbe, deadline: time.Now().Add(timeout)}
}

func newCancelJob(attemptJob *job, timeout time.Duration) *job {
	return &job{kind: jobCancel, req: attemptJob.req, id: attemptJob.id, deadline: time.Now().Add(timeout)}
}

// bind assigns the job to the connection that is about to write it. If the job is
// cancelled or expired, bind returns the code to refuse it with, and the job must
// not be written. Otherwise it returns 0.
func (j *job) bind(c *conn) result.Code {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cancelled {
		return result.CancelledBeforeSend
	}
	if j.expired() {
		return result.ExpiredBeforeSend
	}
	j.conn = c
	return 0
}

// unbind undoes bind after a write that sent no byte.
func (j *job) unbind() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.conn = nil
}

func (j *job) expired() bool { return !time.Now().Before(j.deadline) }

// cancel marks the job as cancelled and reports whether it is bound to a connection,
// and so may have been written. The connection then waits for a reply for no longer
// than grace. If the job is already cancelled or finished, cancel does nothing and
// returns false.
func (j *job) cancel(grace time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cancelled || j.finished {
		return false
	}
	j.cancelled = true
	if j.conn == nil {
		return false
	}
	if limit := time.Now().Add(grace); limit.Before(j.deadline) {
		_ = j.conn.sock.SetDeadline(limit)
	}
	return true
}

// wasCancelled reports whether the job was cancelled before it was finished.
func (j *job) wasCancelled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.cancelled
}

// finish makes later calls of cancel have no effect.
func (j *job) finish() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.finished = true
}

// refuse finishes a job that was not written, and calls done with the code in a
// new goroutine.
func (j *job) refuse(code result.Code) {
	j.finish()
	if j.done != nil {
		go j.done(j.req.RefusedReply(code))
	}
}
