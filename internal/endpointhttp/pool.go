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

// surplusIdle is how long a connection above the warm number may idle.
const surplusIdle = 30 * time.Second

// pool holds the connections to one endpoint at one address.
//
// Concurrency: mu guards every field below it. A connection is owned by its own
// goroutine while it is busy and by the pool's idle list while it is not.
type pool struct {
	client   *Client
	endpoint string
	address  string
	// lastAlive is the Unix time in nanoseconds of the last reply on any
	// connection.
	lastAlive atomic.Int64

	mu      sync.Mutex
	warm    int
	max     int
	open    int
	idle    []*conn
	all     map[*conn]struct{}
	waiting []*job
	jobs    map[dispatch.Key]*job
	removed bool
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

func (p *pool) setLimits(warm, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warm, p.max = min(warm, limit), limit
	for p.open < p.warm {
		p.dialLocked(nil)
	}
	for p.open > p.max && len(p.idle) > 0 {
		p.retireLocked(0, CloseSurplus)
	}
}

// submit gives the job to an idle connection, a new one, or the waiting list.
func (p *pool) submit(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.removed {
		j.refuse(result.UnknownEndpoint)
		return
	}
	if _, repeated := p.jobs[j.req.Key]; repeated {
		j.refuse(result.CancelledBeforeSend)
		return
	}
	p.jobs[j.req.Key] = j
	p.assignLocked(j)
}

// resubmit assigns a job again that its connection could not carry.
func (p *pool) resubmit(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.assignLocked(j)
}

func (p *pool) assignLocked(j *job) {
	switch {
	case len(p.idle) > 0:
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		c.jobs <- j
	case p.open < p.max:
		p.dialLocked(j)
	case p.max == 0:
		delete(p.jobs, j.req.Key)
		j.refuse(result.ConnectionLimit)
	default:
		p.waiting = append(p.waiting, j)
		time.AfterFunc(time.Until(j.deadline), func() { p.dropWaiting(j, result.ExpiredBeforeSend) })
	}
}

// dropWaiting refuses the job if it still waits for a connection.
func (p *pool) dropWaiting(j *job, code result.Code) {
	p.mu.Lock()
	i := slices.Index(p.waiting, j)
	if i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		delete(p.jobs, j.req.Key)
	}
	p.mu.Unlock()
	if i >= 0 {
		j.refuse(code)
	}
}

// dialLocked opens a connection, to carry j if it is not nil.
func (p *pool) dialLocked(j *job) {
	p.open++
	p.client.wg.Go(func() { p.dial(j) })
}

func (p *pool) dial(j *job) {
	ctx, cancel := context.WithTimeout(p.client.ctx, p.client.opts.DialTimeout)
	defer cancel()
	if j != nil {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, j.deadline)
		defer stop()
	}
	raw, err := p.client.opts.Dial(ctx, p.address)
	p.client.opts.OnOpen(p.endpoint, err)
	if err != nil {
		p.dialFailed(j)
		return
	}
	c := newConn(p, raw)
	p.mu.Lock()
	p.all[c] = struct{}{}
	closing := p.removed && j == nil
	p.mu.Unlock()
	if closing {
		p.closed(c, CloseRemoved)
		return
	}
	c.run(j)
}

// dialFailed refuses the job and, if no connection is left, all that wait.
func (p *pool) dialFailed(j *job) {
	p.mu.Lock()
	p.open--
	var refused []*job
	if p.open == 0 {
		refused, p.waiting = p.waiting, nil
	}
	if j != nil {
		refused = append(refused, j)
	}
	for _, r := range refused {
		delete(p.jobs, r.req.Key)
	}
	p.mu.Unlock()
	for _, r := range refused {
		r.refuse(result.ConnectFailed)
	}
}

// next is called by a connection that ended a job. It returns the job to carry
// next, or puts the connection on the idle list and returns nil. It reports
// false if the connection is to be closed.
func (p *pool) next(c *conn) (*job, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) > 0 {
		j := p.waiting[0]
		p.waiting = p.waiting[1:]
		return j, true
	}
	if p.removed || p.open > p.max {
		return nil, false
	}
	p.idle = append(p.idle, c)
	return nil, true
}

// ended forgets a job whose outcome is known.
func (p *pool) ended(j *job) {
	p.mu.Lock()
	delete(p.jobs, j.req.Key)
	p.mu.Unlock()
}

// closed forgets a connection and replaces it if it is needed.
func (p *pool) closed(c *conn, reason CloseReason) {
	_ = c.raw.Close()
	p.mu.Lock()
	delete(p.all, c)
	p.idle = slices.DeleteFunc(p.idle, func(i *conn) bool { return i == c })
	p.open--
	switch {
	case len(p.waiting) > 0 && p.open < p.max:
		j := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.dialLocked(j)
	case p.open < p.warm && !p.removed && reason != CloseBroken && p.client.ctx.Err() == nil:
		p.dialLocked(nil)
	}
	p.mu.Unlock()
	p.client.opts.OnClose(p.endpoint, reason)
}

// cancel withdraws a job: it is refused if it waits, and the endpoint is told
// if it was written.
func (p *pool) cancel(key dispatch.Key) {
	p.mu.Lock()
	j := p.jobs[key]
	if j != nil && j.cancel(p.client.opts.CancelGrace) && !p.removed {
		p.notifyCancelLocked(j)
	}
	p.mu.Unlock()
	if j != nil {
		p.dropWaiting(j, result.CancelledBeforeSend)
	}
}

// notifyCancelLocked tells the endpoint on an idle or new connection; without
// one the connection of the job is closed after the grace.
func (p *pool) notifyCancelLocked(j *job) {
	if len(p.idle) > 0 || p.open < p.max {
		p.assignLocked(newCancelJob(j, p.client.opts.ProbeTimeout))
	}
}

// maintain probes connections that were idle for the probe interval, closes
// surplus ones and reopens missing warm ones.
func (p *pool) maintain(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		idle := now.Sub(p.idle[i].lastUsed)
		switch {
		case p.open > p.warm && idle > surplusIdle:
			p.retireLocked(i, CloseSurplus)
		case idle >= p.client.opts.ProbeInterval:
			c := p.idle[i]
			p.idle = slices.Delete(p.idle, i, i+1)
			c.jobs <- newProbeJob(p.client.opts.ProbeTimeout)
		}
	}
	for p.open < p.warm && !p.removed {
		p.dialLocked(nil)
	}
}

// retireLocked closes the idle connection at position i.
func (p *pool) retireLocked(i int, reason CloseReason) {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	c.retire <- reason
}

// remove closes idle connections now and busy ones when they become idle.
func (p *pool) remove() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removed = true
	p.warm = 0
	for len(p.idle) > 0 {
		p.retireLocked(0, CloseRemoved)
	}
}

// close cuts every connection.
func (p *pool) close() {
	p.remove()
	p.mu.Lock()
	waiting := p.waiting
	p.waiting = nil
	for c := range p.all {
		_ = c.raw.Close()
	}
	p.mu.Unlock()
	for _, j := range waiting {
		j.refuse(result.Stopping)
	}
}
