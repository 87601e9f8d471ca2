package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// pool holds the connections to one replica.
//
// Concurrency: mu guards the fields below it. Only the goroutine that acquired a
// connection uses it; a connection in idle is used under mu only.
type pool struct {
	client  *Client
	key     string
	address string
	// requests bounds the requests that the replica holds.
	requests requestBytes

	mu sync.Mutex
	// max bounds the connections, those being dialed included.
	max int
	// keepIdle is Target.KeepIdle.
	keepIdle bool
	// openCount counts the connections from the start of the dial to the close.
	openCount int
	idle      []*conn
	// waiters are the attempts that wait for a connection, the oldest first.
	waiters []waiter
	// retired is set once the replica is no longer a target.
	retired bool
}

func newPool(c *Client, t Target) *pool {
	return &pool{client: c, key: t.Key, address: t.Address}
}

// setLimits sets the maximum number of connections and whether idle ones are kept.
// It reports whether the caller must schedule warmUp.
func (p *pool) setLimits(maxConnections int, keepIdle bool) (needsWarmUp bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.max = max(maxConnections, 1)
	needsWarmUp = keepIdle && !p.keepIdle
	p.keepIdle = keepIdle
	if !keepIdle {
		p.closeIdleLocked()
	}
	return needsWarmUp
}

func (p *pool) closeIdleLocked() {
	for _, c := range p.idle {
		c.close()
		p.openCount--
	}
	p.idle = nil
}

// retire closes the idle connections. Those in use close when they are released. Attempts
// that wait for a connection are refused.
func (p *pool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	p.closeIdleLocked()
	for len(p.waiters) > 0 {
		p.notifyWaiterLocked(nil)
	}
}

// warmUp opens a connection if there is none and idle ones are kept.
func (p *pool) warmUp() {
	p.mu.Lock()
	if p.openCount > 0 || p.retired || !p.keepIdle {
		p.mu.Unlock()
		return
	}
	p.openCount++
	p.mu.Unlock()
	if c, _ := p.dial(time.Now().Add(dialTimeout)); c != nil {
		p.release(c, true)
	}
}

// send acquires a connection, sends the attempt over it and returns the reply. If
// the write failed before any byte was sent, it tries another connection.
func (p *pool) send(a *attempt) dispatch.Reply {
	size, code := p.requests.acquire(a)
	if code != 0 {
		return a.req.RefusedReply(code)
	}
	defer p.requests.release(size)
	a.replicaAccepts = p.accepts
	dials := 0
	for {
		c, code := p.acquire(a, &dials)
		if code != 0 {
			return a.req.RefusedReply(code)
		}
		if !a.bind(c) {
			p.release(c, true)
			return a.req.RefusedReply(result.CancelledBeforeSend)
		}
		receivedBefore := c.source.total
		reply, res := c.roundTrip(a, p.client.codec)
		a.unbind()
		p.client.reportTransfer(a, c.written, int(c.source.total-receivedBefore))
		switch res {
		case closedByPeer:
			return p.replyAfterPeerClose(a, c, reply)
		case silent:
			p.release(c, false)
			return a.req.UnknownReply(result.EndpointCrashed)
		}
		p.release(c, res == reusable)
		if res != notWritten {
			return reply
		}
	}
}

// acquire returns an idle connection, opens one, or waits for one to be released. The
// connection has not carried the ID of the attempt.
// A code other than 0 is the reason to refuse the attempt. dials counts the dials for
// the attempt so far.
func (p *pool) acquire(a *attempt, dials *int) (*conn, result.Code) {
	id := a.req.Message.ID
	p.mu.Lock()
	if c := p.popIdleLocked(id, a.deadline); c != nil {
		p.mu.Unlock()
		return c, 0
	}
	if p.retired {
		p.mu.Unlock()
		return nil, result.UnknownEndpoint
	}
	if p.openCount >= p.max && len(p.idle) > 0 {
		p.closeOldestIdleLocked()
	}
	if p.openCount < p.max {
		p.openCount++
		p.mu.Unlock()
		return p.dialForAttempt(a, dials)
	}
	w := waiter{id: id, ready: make(chan *conn, 1)}
	p.waiters = append(p.waiters, w)
	p.mu.Unlock()
	return p.waitForConn(a, w, dials)
}

func (p *pool) dialForAttempt(a *attempt, dials *int) (*conn, result.Code) {
	*dials++
	if c, _ := p.dial(a.writeBy); c != nil {
		_ = c.SetDeadline(a.deadline)
		return c, 0
	}
	if *dials < maxDialsPerAttempt && time.Now().Before(a.writeBy) && !a.wasCancelled() {
		return p.acquire(a, dials)
	}
	return nil, result.ConnectFailed
}

// popIdleLocked returns the most recently used idle connection that can be reused for a
// request with the given ID, or nil. It closes those that can't be reused, and leaves
// those that have carried the ID.
func (p *pool) popIdleLocked(id string, deadline time.Time) *conn {
	now := time.Now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.sent.contains(id) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if c.prepareReuse(now, deadline) {
			return c
		}
		c.close()
		p.openCount--
	}
	return nil
}

// closeOldestIdleLocked closes the idle connection that was used longest ago.
func (p *pool) closeOldestIdleLocked() {
	p.idle[0].close()
	p.idle = slices.Delete(p.idle, 0, 1)
	p.openCount--
}

// dial opens a connection. The caller has counted it in openCount; if the dial
// fails, dial takes the count back.
func (p *pool) dial(deadline time.Time) (*conn, error) {
	dialDeadline := time.Now().Add(dialTimeout)
	if deadline.Before(dialDeadline) {
		dialDeadline = deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), dialDeadline)
	defer cancel()
	netConn, err := p.client.dial(ctx, p.address)
	p.client.observer.Dialed(p.key, err)
	if err != nil {
		p.mu.Lock()
		p.openCount--
		p.mu.Unlock()
		p.notifyWaiter(nil)
		return nil, err
	}
	_ = netConn.SetDeadline(deadline)
	return newConn(netConn, p.client.memory), nil
}

// release passes a connection to the next waiter, adds it to the idle ones, or
// closes it. reuse tells whether the connection is fit for another request.
func (p *pool) release(c *conn, reuse bool) {
	p.mu.Lock()
	notNeeded := !p.keepIdle && len(p.waiters) == 0
	if !reuse || notNeeded || p.retired || p.openCount > p.max {
		p.openCount--
		p.mu.Unlock()
		p.closeConn(c)
		p.notifyWaiter(nil)
		return
	}
	c.idleSince = time.Now()
	if len(p.waiters) == 0 {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.notifyWaiter(c)
}

// closeConn closes a connection that was in use.
func (p *pool) closeConn(c *conn) {
	if c.unanswered {
		p.client.observer.Abandoned(p.key, dial.Unacknowledged(c.Conn))
	}
	c.close()
}
