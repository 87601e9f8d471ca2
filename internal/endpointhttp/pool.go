package endpointhttp

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// maxFailedConnections bounds the connections that are opened for a job and fail before it
// is written, until it is refused.
const maxFailedConnections = 3

// pool holds the connections to one endpoint at one address.
//
// Concurrency: mu guards every field below it. A connection is owned by its own
// goroutine while it is busy and by the pool's idle list while it is not. Only a
// connection on the idle list is given orders, and giving one takes it off.
type pool struct {
	client   *Client
	endpoint string
	address  string
	// lastReply is the Unix time in nanoseconds of the last reply on any
	// connection.
	lastReply atomic.Int64
	// lastAttemptReply is when the last reply to an attempt came, likewise. An endpoint
	// that answers probes and no attempts is at fault itself.
	lastAttemptReply atomic.Int64
	// lastSilentAt is when a connection was last found silent, likewise.
	lastSilentAt atomic.Int64
	// averageRoundTrip is a moving average of the time of an exchange, in nanoseconds.
	averageRoundTrip atomic.Int64

	mu   sync.Mutex
	warm int
	max  int
	// openCount counts connections from the start of the dial to the close.
	openCount int
	// dialingCount and closing are parts of open.
	dialingCount int
	closingCount int
	idle         []*conn
	conns        map[*conn]struct{}
	waiting      []*job
	// controlQueue wait for a connection to become free.
	controlQueue []*job
	jobs         map[dispatch.Key]*job
	retired      bool
	// nextProbeAt is when the endpoint may be probed again to find out whether a
	// connection is silent.
	nextProbeAt time.Time
}

func newPool(c *Client, t Target) *pool {
	return &pool{
		client:   c,
		endpoint: t.Endpoint,
		address:  t.Address,
		conns:    make(map[*conn]struct{}),
		jobs:     make(map[dispatch.Key]*job),
	}
}

func (p *pool) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount
}

// enqueue gives the job to an idle connection or the waiting list.
func (p *pool) enqueue(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		j.refuse(result.UnknownEndpoint)
		return
	}
	if _, duplicate := p.jobs[j.req.Key]; duplicate {
		// The attempt of this key may be written: nothing else is true of it.
		go j.done(j.req.UnknownReply(result.OutcomeUnknown))
		return
	}
	p.jobs[j.req.Key] = j
	p.assignLocked(j)
}

// requeue assigns again a job that its connection could not carry. opened tells
// that the connection was opened since the job came.
func (p *pool) requeue(j *job, newConnection bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if newConnection {
		j.failedConnections++
	}
	code := p.requeueRefusal(j)
	if code == 0 {
		p.assignLocked(j)
		return
	}
	delete(p.jobs, j.req.Key)
	j.refuse(code)
}

// requeueRefusal returns why the job cannot be moved on, or zero.
func (p *pool) requeueRefusal(j *job) result.Code {
	switch {
	case p.retired:
		return result.UnknownEndpoint
	case j.wasCancelled():
		return result.CancelledBeforeSend
	case j.expired():
		return result.ExpiredBeforeSend
	case j.failedConnections >= maxFailedConnections:
		return result.ConnectFailed
	default:
		return 0
	}
}

func (p *pool) assignLocked(j *job) {
	if last := len(p.idle) - 1; last >= 0 {
		p.commandIdleLocked(last, command{job: j})
		return
	}
	if p.max == 0 {
		delete(p.jobs, j.req.Key)
		j.refuse(result.ConnectionLimit)
		return
	}
	p.waiting = append(p.waiting, j)
	j.expiryTimer = time.AfterFunc(time.Until(j.deadline), func() { p.refuseWaiting(j, result.ExpiredBeforeSend) })
	p.dialNeededLocked()
}

// commandIdleLocked takes the connection at position i off the idle list.
func (p *pool) commandIdleLocked(i int, cmd command) {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	if cmd.job == nil {
		p.closingCount++
		c.closing = true
	}
	c.commands <- cmd
}

// refuseWaiting refuses the job if it still waits for a connection.
func (p *pool) refuseWaiting(j *job, code result.Code) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiting, j)
	if i < 0 {
		return
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	p.refuseLocked(j, code)
}

func (p *pool) refuseLocked(j *job, code result.Code) {
	j.expiryTimer.Stop()
	delete(p.jobs, j.req.Key)
	j.refuse(code)
}

// popWaitingLocked returns the job that waited longest.
func (p *pool) popWaitingLocked() *job {
	j := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	j.expiryTimer.Stop()
	return j
}

// dialNeededLocked opens a connection for each job that waits, within the
// maximum, and the missing warm ones.
func (p *pool) dialNeededLocked() {
	if p.retired {
		return
	}
	for p.openCount < p.max && (p.dialingCount < len(p.waiting)+len(p.controlQueue) || p.openCount < p.warm) {
		p.openCount++
		p.dialingCount++
		p.client.wg.Go(p.dial)
	}
}

func (p *pool) dial() {
	ctx, cancel := context.WithTimeout(p.client.ctx, p.client.opts.DialTimeout)
	defer cancel()
	netConn, err := p.client.opts.Dial(ctx, p.address)
	p.client.opts.OnDial(p.endpoint, err)
	if err != nil {
		p.dialFailed()
		return
	}
	c := newConn(p, netConn)
	p.mu.Lock()
	p.dialingCount--
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	c.run()
}

// dialFailed refuses the job that waited longest and, if no connection is left,
// all that wait.
func (p *pool) dialFailed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
	p.dialingCount--
	p.controlQueue = nil
	for len(p.waiting) > 0 {
		p.refuseLocked(p.popWaitingLocked(), result.ConnectFailed)
		if p.openCount > 0 {
			return
		}
	}
}

// nextCommand is called by a connection that ended a job, or has none yet. It returns
// what to do next, or puts the connection on the idle list and returns nothing.
func (p *pool) nextCommand(c *conn, finished *job) command {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	p.finishAttemptLocked(c, finished)
	if j := p.popControlLocked(); j != nil {
		return command{job: j}
	}
	if p.retired || p.openCount-p.closingCount > p.max {
		p.closingCount++
		c.closing = true
		return command{close: p.closeReason()}
	}
	if len(p.waiting) > 0 {
		return command{job: p.popWaitingLocked()}
	}
	p.idle = append(p.idle, c)
	return command{}
}

func (p *pool) closeReason() CloseReason {
	if p.retired {
		return CloseRemoved
	}
	return CloseSurplus
}

func (p *pool) finishAttemptLocked(c *conn, j *job) {
	if j == nil || j.kind != jobAttempt {
		return
	}
	c.lastAttemptAt = time.Now()
	delete(p.jobs, j.req.Key)
}

// handleClosed forgets a connection and replaces it if it is needed. A broken one is
// replaced only for work that waits, since the endpoint may be down.
func (p *pool) handleClosed(c *conn, finished *job, reason CloseReason) {
	_ = c.sock.Close()
	p.mu.Lock()
	p.finishAttemptLocked(c, finished)
	delete(p.conns, c)
	p.openCount--
	if c.closing {
		p.closingCount--
	}
	if reason != CloseBroken || len(p.waiting) > 0 {
		p.dialNeededLocked()
	}
	p.mu.Unlock()
	p.client.opts.OnClose(p.endpoint, reason)
}
