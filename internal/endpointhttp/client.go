package endpointhttp

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

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

// CloseReason tells why a connection was closed.
type CloseReason string

// The reasons for closing a connection.
const (
	CloseSilent   CloseReason = "silent"
	CloseTimeout  CloseReason = "timeout"
	CloseBroken   CloseReason = "broken"
	CloseProtocol CloseReason = "protocol"
	CloseSurplus  CloseReason = "surplus"
	CloseRemoved  CloseReason = "removed"
	CloseByPeer   CloseReason = "closed-by-endpoint"
)

// Options configure a Client. Zero durations mean the defaults.
type Options struct {
	DialTimeout time.Duration
	// ProbeInterval is how long a connection may idle before it is probed.
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	// VerificationTTL is how recent a reply must be to prove a connection alive.
	VerificationTTL time.Duration
	// MinSilence is the least time without a reply after which a search is taken
	// to be lost with its connection.
	MinSilence time.Duration
	// CancelGrace is how long a cancelled request may still take to reply.
	CancelGrace time.Duration
	// OnStatus receives the replies to probes; it may be nil.
	OnStatus func(endpoint string, status endpointapi.Status)
	// OnDial and OnClose observe connections; they may be nil.
	OnDial  func(endpoint string, err error)
	OnClose func(endpoint string, reason CloseReason)
	// Dial opens a connection; nil means TCP.
	Dial dial.Func
}

// Target says how to reach an endpoint.
type Target struct {
	Endpoint string
	Address  string
	// Warm connections are opened ahead of need and kept.
	Warm int
	// Max bounds the open connections.
	Max int
}

// Client holds the connections of one host to its endpoints.
// It is safe for concurrent use.
type Client struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	// lastSilentPool is the pool in which a silent connection was found last.
	// lastSilent is when they were found in several, as Unix time in nanoseconds.
	lastSilentPool  atomic.Pointer[pool]
	severalSilentAt atomic.Int64

	mu     sync.RWMutex
	closed bool
	pools  map[string]*pool
	// retired pools still carry attempts to removed targets or old addresses.
	retired []*pool
}

// New returns a client without targets. Close releases it.
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

// SetTarget adds an endpoint or changes its limits. A changed address closes
// the connections to the old one as they become idle; attempts that wait move
// to the new one.
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

// retiredOrNewPoolLocked returns the retired pool of the target if it has open
// connections, so that they count against the maximum, or a new one.
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

// RemoveTarget closes the connections of an endpoint as they become idle and
// refuses the attempts that wait for one.
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

func (c *Client) dropEmptyRetiredLocked() {
	c.retired = slices.DeleteFunc(c.retired, func(p *pool) bool { return p.connections() == 0 })
}

// Send carries an attempt to its endpoint and calls done exactly once, from
// another goroutine, with what is known of it. done may call Send and Cancel; it
// must not block, since a connection may wait for it.
func (c *Client) Send(req dispatch.Request, done func(dispatch.Reply)) {
	p := c.pool(req.Endpoint)
	if p == nil {
		go done(req.RefusedReply(result.UnknownEndpoint))
		return
	}
	p.enqueue(newJob(req, done))
}

// Cancel withdraws an attempt. An attempt that was not written is refused; the
// endpoint is told to give up one that was.
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

// Connections returns the number of open connections to an endpoint.
func (c *Client) Connections(endpoint string) int {
	p := c.pool(endpoint)
	if p == nil {
		return 0
	}
	return p.connections()
}

// Close closes every connection and waits for the goroutines to end. Attempts
// in flight end as unknown.
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

// maintainLoop probes and trims idle connections.
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
