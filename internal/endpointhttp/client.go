package endpointhttp

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/bodymemory"
	"github.com/gypsumlug/gypsumlug/internal/defaults"
	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Defaults of Options.
const (
	DefaultDialTimeout     = 500 * time.Millisecond
	DefaultProbeInterval   = 2 * time.Second
	DefaultProbeTimeout    = 500 * time.Millisecond
	DefaultVerificationTTL = 20 * time.Millisecond
	DefaultMinSilence      = 100 * time.Millisecond
	DefaultCancelGrace     = 250 * time.Millisecond
)

// CloseReason is why a connection was closed. It is the value of a metric label.
type CloseReason string

// The reasons for closing a connection.
const (
	// CloseSilent: no reply arrived although the endpoint replied on other
	// connections, or a probe got no reply.
	CloseSilent CloseReason = "silent"
	// CloseTimeout: no reply arrived in time, nor any on another connection meanwhile.
	CloseTimeout CloseReason = "timeout"
	// CloseBroken: a read or write failed.
	CloseBroken CloseReason = "broken"
	// CloseProtocol: a reply was invalid or belonged to another request.
	CloseProtocol CloseReason = "protocol"
	// CloseMemory: a reply needed memory when the replies of all connections had taken what
	// they may.
	CloseMemory CloseReason = "memory"
	// CloseSurplus: there were more connections than the target needs or allows.
	CloseSurplus CloseReason = "surplus"
	// CloseRemoved: the target was removed, its address changed, or the client was
	// closed.
	CloseRemoved CloseReason = "removed"
	// CloseByPeer: the endpoint closed the connection or asked to close it, or an
	// idle connection had unread bytes.
	CloseByPeer CloseReason = "closed-by-endpoint"
)

// Options configure a Client. Zero durations mean the defaults.
type Options struct {
	DialTimeout time.Duration
	// ProbeInterval is how long a connection may be idle before it is probed.
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	// VerificationTTL is how long after its last reply a connection still counts as
	// verified to be alive.
	VerificationTTL time.Duration
	// MinSilence is the minimum time without progress before the connection of a
	// search is considered silent.
	MinSilence time.Duration
	// CancelGrace is how long an endpoint may still take to reply to a cancelled
	// request that was written.
	CancelGrace time.Duration
	// OnStatus is called with the reply to a probe; it may be nil.
	OnStatus func(endpoint string, status endpointapi.Status)
	// OnDial is called after each dial; err is nil if the connection was opened. It
	// may be nil.
	OnDial func(endpoint string, err error)
	// OnClose is called after a connection was closed; it may be nil.
	OnClose func(endpoint string, reason CloseReason)
	// Dial opens a connection; nil means TCP.
	Dial dial.Func
	// Memory bounds the replies of all connections together; nil means no bound.
	Memory *bodymemory.Budget
}

// Target is an endpoint with its address and the limits of its connections.
type Target struct {
	Endpoint string
	Address  string
	// Warm is the number of connections that are opened in advance and kept.
	Warm int
	// Max bounds the open connections; with 0, attempts are refused.
	Max int
}

// Client holds the connections of one host to its endpoints.
// It is safe for concurrent use.
type Client struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	// lastSilentPool is the pool in which a silent connection was last detected.
	lastSilentPool atomic.Pointer[pool]
	// severalSilentAt is when silent connections were last detected in two pools
	// within suspicionPeriod, as Unix time in nanoseconds.
	severalSilentAt atomic.Int64

	mu     sync.RWMutex
	closed bool
	// pools are the pools of the targets by endpoint.
	pools map[string]*pool
	// retired are the pools of removed targets and of previous addresses that may
	// still have attempts in flight.
	retired []*pool
}

// New returns a client without targets. The caller must call Close.
func New(opts Options) *Client {
	opts.setDefaults()
	ctx, stop := context.WithCancel(context.Background())
	c := &Client{opts: opts, ctx: ctx, stop: stop, pools: make(map[string]*pool)}
	c.wg.Go(c.maintainLoop)
	c.wg.Go(c.silenceLoop)
	return c
}

func (o *Options) setDefaults() {
	defaults.Set(&o.DialTimeout, DefaultDialTimeout)
	defaults.Set(&o.ProbeInterval, DefaultProbeInterval)
	defaults.Set(&o.ProbeTimeout, DefaultProbeTimeout)
	defaults.Set(&o.VerificationTTL, DefaultVerificationTTL)
	defaults.Set(&o.MinSilence, DefaultMinSilence)
	defaults.Set(&o.CancelGrace, DefaultCancelGrace)
	if o.OnStatus == nil {
		o.OnStatus = func(string, endpointapi.Status) {}
	}
	if o.OnDial == nil {
		o.OnDial = func(string, error) {}
	}
	if o.OnClose == nil {
		o.OnClose = func(string, CloseReason) {}
	}
	if o.Dial == nil {
		o.Dial = dial.TCP
	}
}

// SetTarget adds an endpoint or changes its address and limits. If the address
// changes, connections to the old address close as they become idle, and attempts
// that wait for a connection are sent to the new address.
func (c *Client) SetTarget(t Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.dropEmptyRetiredLocked()
	old := c.pools[t.Endpoint]
	if old != nil && old.address == t.Address {
		old.setLimits(t.Warm, t.Max)
		return
	}
	p := c.retiredOrNewPoolLocked(t)
	c.pools[t.Endpoint] = p
	p.setLimits(t.Warm, t.Max)
	if old != nil {
		c.retired = append(c.retired, old)
		for _, j := range old.retire() {
			p.enqueue(j)
		}
	}
}

// retiredOrNewPoolLocked returns the retired pool of the target's endpoint and
// address, so that its open connections count towards the maximum, or else a new
// pool.
func (c *Client) retiredOrNewPoolLocked(t Target) *pool {
	i := slices.IndexFunc(c.retired, func(p *pool) bool { return p.endpoint == t.Endpoint && p.address == t.Address })
	if i < 0 {
		return newPool(c, t)
	}
	p := c.retired[i]
	c.retired = slices.Delete(c.retired, i, i+1)
	p.reactivate()
	return p
}

// RemoveTarget removes an endpoint. Its connections close as they become idle, and
// attempts that wait for a connection are refused.
func (c *Client) RemoveTarget(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[endpoint]
	if p == nil {
		return
	}
	delete(c.pools, endpoint)
	c.dropEmptyRetiredLocked()
	c.retired = append(c.retired, p)
	for _, j := range p.retire() {
		j.refuse(result.UnknownEndpoint)
	}
}

// dropEmptyRetiredLocked removes the retired pools without connections.
func (c *Client) dropEmptyRetiredLocked() {
	c.retired = slices.DeleteFunc(c.retired, func(p *pool) bool { return p.connections() == 0 })
}

// Send sends an attempt to its endpoint and calls done exactly once, from another
// goroutine, with the reply. done may call Send and Cancel. It must not block, since
// it may run on the goroutine of a connection.
func (c *Client) Send(req dispatch.Request, done func(dispatch.Reply)) {
	p := c.pool(req.Endpoint)
	if p == nil {
		go done(req.RefusedReply(result.UnknownEndpoint))
		return
	}
	p.enqueue(newJob(req, done))
}

// Cancel cancels an attempt. An attempt that has not been written is refused. For
// one that has, a cancellation is sent to the endpoint.
func (c *Client) Cancel(cancel dispatch.Cancel) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if p := c.pools[cancel.Endpoint]; p != nil && p.cancel(cancel.Key) {
		return
	}
	for _, p := range c.retired {
		if p.endpoint == cancel.Endpoint && p.cancel(cancel.Key) {
			return
		}
	}
}

// Connections returns the number of connections to an endpoint that are open or
// being dialed.
func (c *Client) Connections(endpoint string) int {
	p := c.pool(endpoint)
	if p == nil {
		return 0
	}
	return p.connections()
}

// Close closes all connections and waits for the client's goroutines to end. The
// outcome of attempts in flight is reported as unknown.
func (c *Client) Close() {
	c.stop()
	c.mu.Lock()
	c.closed = true
	pools := c.retired
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	c.pools, c.retired = make(map[string]*pool), nil
	c.mu.Unlock()
	for _, p := range pools {
		p.close()
	}
	c.wg.Wait()
}

func (c *Client) pool(endpoint string) *pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.pools[endpoint]
}

// maintainLoop calls maintain every ProbeInterval.
func (c *Client) maintainLoop() {
	ticker := time.NewTicker(c.opts.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
			c.maintain()
		}
	}
}

func (c *Client) maintain() {
	for _, p := range c.currentPools() {
		p.maintain(time.Now())
	}
}

func (c *Client) currentPools() []*pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	return pools
}
