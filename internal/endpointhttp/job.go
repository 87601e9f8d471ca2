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

// job is one request to write to a connection.
//
// Concurrency: mu guards conn, cancelled and ended, which the connection's
// goroutine and cancel share.
type job struct {
	kind     jobKind
	req      dispatch.Request
	deadline time.Time
	done     func(dispatch.Reply)

	mu        sync.Mutex
	conn      *conn
	cancelled bool
	ended     bool
}

func newJob(req dispatch.Request, done func(dispatch.Reply)) *job {
	return &job{kind: jobAttempt, req: req, deadline: time.Now().Add(req.Budget), done: done}
}

func newProbeJob(timeout time.Duration) *job {
	return &job{kind: jobProbe, deadline: time.Now().Add(timeout)}
}

func newCancelJob(of *job, timeout time.Duration) *job {
	return &job{kind: jobCancel, req: of.req, deadline: time.Now().Add(timeout)}
}

// begin marks the job as being written to c. It reports false if the job was
// cancelled, and then nothing may be written.
func (j *job) begin(c *conn) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cancelled {
		return false
	}
	j.conn = c
	return true
}

// cancel marks the job as cancelled and reports whether it was written already.
// A written job has only the grace left to reply.
func (j *job) cancel(grace time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cancelled || j.ended {
		return false
	}
	j.cancelled = true
	if j.conn == nil {
		return false
	}
	_ = j.conn.raw.SetReadDeadline(time.Now().Add(grace))
	return true
}

// wasCancelled reports whether cancel was called.
func (j *job) wasCancelled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.cancelled
}

func (j *job) refuse(code result.Code) { j.finish(j.req.Refuse(code)) }

// finish reports the outcome once. Only attempts have a listener.
func (j *job) finish(r dispatch.Reply) {
	j.mu.Lock()
	repeated := j.ended
	j.ended = true
	j.mu.Unlock()
	if repeated || j.done == nil {
		return
	}
	go j.done(r)
}
