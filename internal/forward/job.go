package forward

import (
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
)

// job is one attempt.
//
// Concurrency: mu guards the fields below it; the rest belongs to the goroutine
// that carries the attempt.
type job struct {
	req      dispatch.Request
	deadline time.Time
	// done takes the reply; it is called once, by report.
	done func(dispatch.Reply)
	// reported tells that done was called.
	reported bool
	// ended is closed when the attempt is cancelled.
	ended chan struct{}

	mu        sync.Mutex
	cancelled bool
	conn      *conn
}

func newJob(req dispatch.Request, done func(dispatch.Reply)) *job {
	return &job{req: req, deadline: time.Now().Add(req.Budget), done: done, ended: make(chan struct{})}
}

// report hands over the reply to the attempt, unless one was before.
func (j *job) report(reply dispatch.Reply) {
	if j.reported {
		return
	}
	j.reported = true
	j.done(reply)
}

// begin binds the job to a connection and reports false if it was cancelled.
func (j *job) begin(c *conn) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cancelled {
		return false
	}
	j.conn = c
	return true
}

// end unbinds the job from its connection.
func (j *job) end() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.conn = nil
}

func (j *job) cancel() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.cancelled {
		return
	}
	j.cancelled = true
	close(j.ended)
	if j.conn != nil {
		_ = j.conn.SetDeadline(time.Now().Add(replyGrace))
	}
}

func (j *job) wasCancelled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.cancelled
}
