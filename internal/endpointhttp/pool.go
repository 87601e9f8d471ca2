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

// maxMoves bounds the connections that are opened for a job and fail before it
// is written, until it is refused.
const maxMoves = 3

// pool holds the connections to one endpoint at one address.
//
// Concurrency: mu guards every field below it. A connection is owned by its own
// goroutine while it is busy and by the pool's idle list while it is not. Only a
// connection on the idle list is given orders, and giving one takes it off.
type pool struct {
	client   *Client
	endpoint string
	address  string
	// lastAlive is the Unix time in nanoseconds of the last reply on any
	// connection.
	lastAlive atomic.Int64
	// lastAnswer is when the last reply to an attempt came, likewise. An endpoint
	// that answers probes and no attempts is at fault itself.
	lastAnswer atomic.Int64
	// lastSilent is when a connection was last found silent, likewise.
	lastSilent atomic.Int64
	// typical is a moving average of the time of an exchange, in nanoseconds.
	typical atomic.Int64

	mu   sync.Mutex
	warm int
	max  int
	// open counts connections from the start of the dial to the close.
	open int
	// dialing and closing are parts of open.
	dialing int
	closing int
	idle    []*conn
	all     map[*conn]struct{}
	waiting []*job
	// cancels wait for a connection to become free.
	cancels []*job
	jobs    map[dispatch.Key]*job
	removed bool
	// proveAfter is when the endpoint may be probed again to find out whether a
	// connection is silent.
	proveAfter time.Time
}

func newPool(c *Client, t Target) *pool {
	return &pool{
		client:   c,
		endpoint: t.Endpoint,
		address:  t.Address,
		all:      make(map[*conn]struct{}),
		jobs:     make(map[dispatch.Key]*job),
	}
}

func (p *pool) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// submit gives the job to an idle connection or the waiting list.
func (p *pool) submit(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.removed {
		j.refuse(result.UnknownEndpoint)
		return
	}
	if _, repeated := p.jobs[j.req.Key]; repeated {
		// The attempt of this key may be written: nothing else is true of it.
		go j.done(j.req.UnknownReply(result.OutcomeUnknown))
		return
	}
	p.jobs[j.req.Key] = j
	p.assignLocked(j)
}

// resubmit assigns again a job that its connection could not carry. opened tells
// that the connection was opened since the job came.
func (p *pool) resubmit(j *job, opened bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if opened {
		j.moves++
	}
	code := p.resubmitCode(j)
	if code == 0 {
		p.assignLocked(j)
		return
	}
	delete(p.jobs, j.req.Key)
	j.refuse(code)
}

// resubmitCode returns why the job cannot be moved on, or zero.
func (p *pool) resubmitCode(j *job) result.Code {
	switch {
	case p.removed:
		return result.UnknownEndpoint
	case j.wasCancelled():
		return result.CancelledBeforeSend
	case j.expired():
		return result.ExpiredBeforeSend
	case j.moves >= maxMoves:
		return result.ConnectFailed
	default:
		return 0
	}
}

func (p *pool) assignLocked(j *job) {
	if last := len(p.idle) - 1; last >= 0 {
		p.orderLocked(last, order{job: j})
		return
	}
	if p.max == 0 {
		delete(p.jobs, j.req.Key)
		j.refuse(result.ConnectionLimit)
		return
	}
	p.waiting = append(p.waiting, j)
	j.expiry = time.AfterFunc(time.Until(j.deadline), func() { p.dropWaiting(j, result.ExpiredBeforeSend) })
	p.dialNeededLocked()
}

// orderLocked takes the connection at position i off the idle list.
func (p *pool) orderLocked(i int, o order) {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	if o.job == nil {
		p.closing++
		c.closing = true
	}
	c.orders <- o
}

// dropWaiting refuses the job if it still waits for a connection.
func (p *pool) dropWaiting(j *job, code result.Code) {
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
	j.expiry.Stop()
	delete(p.jobs, j.req.Key)
	j.refuse(code)
}

// popWaitingLocked returns the job that waited longest.
func (p *pool) popWaitingLocked() *job {
	j := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	j.expiry.Stop()
	return j
}

// dialNeededLocked opens a connection for each job that waits, within the
// maximum, and the missing warm ones.
func (p *pool) dialNeededLocked() {
	if p.removed {
		return
	}
	for p.open < p.max && (p.dialing < len(p.waiting)+len(p.cancels) || p.open < p.warm) {
		p.open++
		p.dialing++
		p.client.wg.Go(p.dial)
	}
}

func (p *pool) dial() {
	ctx, cancel := context.WithTimeout(p.client.ctx, p.client.opts.DialTimeout)
	defer cancel()
	raw, err := p.client.opts.Dial(ctx, p.address)
	p.client.opts.OnDial(p.endpoint, err)
	if err != nil {
		p.dialFailed()
		return
	}
	c := newConn(p, raw)
	p.mu.Lock()
	p.dialing--
	p.all[c] = struct{}{}
	p.mu.Unlock()
	c.run()
}

// dialFailed refuses the job that waited longest and, if no connection is left,
// all that wait.
func (p *pool) dialFailed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.dialing--
	p.cancels = nil
	for len(p.waiting) > 0 {
		p.refuseLocked(p.popWaitingLocked(), result.ConnectFailed)
		if p.open > 0 {
			return
		}
	}
}

// next is called by a connection that ended a job, or has none yet. It returns
// what to do next, or puts the connection on the idle list and returns nothing.
func (p *pool) next(c *conn, ended *job) order {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	p.endedLocked(c, ended)
	if j := p.popCancelLocked(); j != nil {
		return order{job: j}
	}
	if p.removed || p.open-p.closing > p.max {
		p.closing++
		c.closing = true
		return order{close: p.surplusReason()}
	}
	if len(p.waiting) > 0 {
		return order{job: p.popWaitingLocked()}
	}
	p.idle = append(p.idle, c)
	return order{}
}

func (p *pool) surplusReason() CloseReason {
	if p.removed {
		return CloseRemoved
	}
	return CloseSurplus
}

func (p *pool) endedLocked(c *conn, j *job) {
	if j == nil || j.kind != jobAttempt {
		return
	}
	c.lastAttempt = time.Now()
	delete(p.jobs, j.req.Key)
}

// closed forgets a connection and replaces it if it is needed. A broken one is
// replaced only for work that waits, since the endpoint may be down.
func (p *pool) closed(c *conn, ended *job, reason CloseReason) {
	_ = c.sock.Close()
	p.mu.Lock()
	p.endedLocked(c, ended)
	delete(p.all, c)
	p.open--
	if c.closing {
		p.closing--
	}
	if reason != CloseBroken || len(p.waiting) > 0 {
		p.dialNeededLocked()
	}
	p.mu.Unlock()
	p.client.opts.OnClose(p.endpoint, reason)
}
