package endpointhttp

import (
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

type jobKind uint8

const (
	jobAttempt jobKind = iota
	jobCancel
	jobProbe
)

// job is one request to write to a connection. It has one owner at a time, the
// waiting list of a pool or a connection, and only the owner ends it.
//
// Concurrency: mu guards the fields below it, which the connection's goroutine
// and cancel share.
type job struct {
	kind jobKind
	req  dispatch.Request
	// id is the ID of the request at the endpoint.
	id        string
	createdAt time.Time
	deadline  time.Time
	done      func(dispatch.Reply)
	// expiryTimer refuses the job at its deadline while it waits.
	expiryTimer *time.Timer
	// failedConnections counts the connections that were opened for the job and failed before
	// it was written.
	failedConnections int

	mu        sync.Mutex
	conn      *conn
	cancelled bool
	finished  bool
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

// bind makes the last checks before the job is written to c. It returns the
// code to refuse the job with, and then nothing may be written, or zero.
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

// unbind undoes begin: no byte was written.
func (j *job) unbind() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.conn = nil
}

func (j *job) expired() bool { return !time.Now().Before(j.deadline) }

// cancel marks the job as cancelled and reports whether it was written already.
// A written job has only the grace left to reply.
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

// wasCancelled reports whether cancel was called.
func (j *job) wasCancelled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.cancelled
}

// finish closes the job to cancellation.
func (j *job) finish() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.finished = true
}

// refuse ends a job that was never written, from any goroutine. Only attempts
// have a listener.
func (j *job) refuse(code result.Code) {
	j.finish()
	if j.done != nil {
		go j.done(j.req.RefusedReply(code))
	}
}
