package forward

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// pool holds the connections to one replica.
//
// Concurrency: mu guards the fields below it. A connection belongs to the
// goroutine that acquired it, or to idle.
type pool struct {
	client  *Client
	key     string
	address string

	mu      sync.Mutex
	max     int
	keep    bool
	open    int
	idle    []*conn
	waiting []chan *conn
	removed bool
}

func newPool(c *Client, t Target) *pool {
	return &pool{client: c, key: t.Key, address: t.Address}
}

// limit sets the bound of connections and whether idle ones are kept. It reports
// whether a first one is to be opened.
func (p *pool) limit(most int, keep bool) (warm bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.max = max(most, 1)
	warm = keep && !p.keep
	p.keep = keep
	if !keep {
		p.closeIdleLocked()
	}
	return warm
}

func (p *pool) closeIdleLocked() {
	for _, c := range p.idle {
		c.close()
		p.open--
	}
	p.idle = nil
}

// remove closes the idle connections; those in use close when they are released.
func (p *pool) remove() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removed = true
	p.closeIdleLocked()
}

// warm opens a connection if there is none.
func (p *pool) warm() {
	p.mu.Lock()
	if p.open > 0 || p.removed || !p.keep {
		p.mu.Unlock()
		return
	}
	p.open++
	p.mu.Unlock()
	if c, _ := p.dial(time.Now().Add(dialTimeout)); c != nil {
		p.release(c, true)
	}
}

// carry sends the attempt and returns what is known of it.
func (p *pool) carry(j *job) dispatch.Reply {
	dials := 0
	for {
		c, code := p.acquire(j, &dials)
		if code != 0 {
			return j.req.RefusedReply(code)
		}
		if !j.begin(c) {
			p.release(c, true)
			return j.req.RefusedReply(result.CancelledBeforeSend)
		}
		reply, verdict := c.exchange(j, p.client.dialect)
		j.end()
		if verdict == broken {
			return p.afterLoss(j, c, reply)
		}
		p.release(c, verdict == keep)
		if verdict != unwritten {
			return reply
		}
	}
}

// afterLoss puts a new connection in the place of one that the replica ended while
// it had an attempt, and returns the reply to the attempt. A replica whose port is
// closed went away with the attempt; one that does not answer may be overloaded.
func (p *pool) afterLoss(j *job, c *conn, reply dispatch.Reply) dispatch.Reply {
	p.mu.Lock()
	removed := p.removed
	p.mu.Unlock()
	if removed {
		p.release(c, false)
		return reply
	}
	c.close()
	next, err := p.dial(time.Now().Add(lossCheck))
	switch {
	case err == nil:
		p.release(next, true)
	case errors.Is(err, syscall.ECONNREFUSED):
		return j.req.UnknownReply(result.EndpointCrashed)
	}
	return reply
}

// acquire returns an idle connection, a new one, or the next that is released.
func (p *pool) acquire(j *job, dials *int) (*conn, result.Code) {
	p.mu.Lock()
	if c := p.popIdleLocked(j.deadline); c != nil {
		p.mu.Unlock()
		return c, 0
	}
	if p.removed {
		p.mu.Unlock()
		return nil, result.UnknownEndpoint
	}
	if p.open < p.max {
		p.open++
		p.mu.Unlock()
		return p.dialFor(j, dials)
	}
	wait := make(chan *conn, 1)
	p.waiting = append(p.waiting, wait)
	p.mu.Unlock()
	return p.await(j, wait, dials)
}

func (p *pool) dialFor(j *job, dials *int) (*conn, result.Code) {
	*dials++
	if c, _ := p.dial(j.deadline); c != nil {
		return c, 0
	}
	if *dials < dialsPerAttempt && time.Now().Before(j.deadline) && !j.wasCancelled() {
		return p.acquire(j, dials)
	}
	return nil, result.ConnectFailed
}

// await takes over a connection that another attempt releases.
func (p *pool) await(j *job, wait chan *conn, dials *int) (*conn, result.Code) {
	timer := time.NewTimer(time.Until(j.deadline))
	defer timer.Stop()
	select {
	case c := <-wait:
		if c == nil { // a connection was closed: there is room for a new one
			return p.acquire(j, dials)
		}
		_ = c.SetDeadline(j.deadline)
		return c, 0
	case <-timer.C:
		p.leave(wait)
		return nil, result.ExpiredBeforeSend
	case <-j.ended:
		p.leave(wait)
		return nil, result.CancelledBeforeSend
	}
}

// leave takes a waiter off the list and passes on what it was given meanwhile.
func (p *pool) leave(wait chan *conn) {
	p.mu.Lock()
	for i, w := range p.waiting {
		if w == wait {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	if c := <-wait; c != nil {
		p.release(c, true)
	} else {
		p.wake(nil)
	}
}

// popIdleLocked returns the idle connection that was used last and is still
// open.
func (p *pool) popIdleLocked(deadline time.Time) *conn {
	now := time.Now()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if c.usable(now, deadline) {
			return c
		}
		c.close()
		p.open--
	}
	return nil
}

// dial opens a connection that was counted already.
func (p *pool) dial(deadline time.Time) (*conn, error) {
	limit := time.Now().Add(dialTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	raw, err := p.client.dial(ctx, p.address)
	p.client.observer.Dialed(p.key, err)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		p.wake(nil)
		return nil, err
	}
	_ = raw.SetDeadline(deadline)
	return newConn(raw), nil
}

// release gives a connection to the next that waits, keeps it, or closes it.
func (p *pool) release(c *conn, keep bool) {
	p.mu.Lock()
	unwanted := !p.keep && len(p.waiting) == 0
	if !keep || unwanted || p.removed || p.open > p.max {
		p.open--
		p.mu.Unlock()
		c.close()
		p.wake(nil)
		return
	}
	c.idleSince = time.Now()
	if len(p.waiting) == 0 {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.wake(c)
}

// wake hands a connection, or the room for one, to the attempt that waited
// longest.
func (p *pool) wake(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) > 0 {
		p.waiting[0] <- c
		p.waiting = p.waiting[1:]
		return
	}
	if c == nil {
		return
	}
	if !p.keep {
		c.close()
		p.open--
		return
	}
	p.idle = append(p.idle, c)
}
