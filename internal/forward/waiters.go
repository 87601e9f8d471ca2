package forward

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// waiter is an attempt that waits for a connection.
type waiter struct {
	// id is the ID of its request, which the connection must not have carried.
	id string
	// ready receives a connection, or nil when there is room to open one.
	ready chan *conn
}

// waitForConn waits until another attempt releases a connection or one is closed.
func (p *pool) waitForConn(a *attempt, w waiter, dials *int) (*conn, result.Code) {
	timer := time.NewTimer(time.Until(a.writeBy))
	defer timer.Stop()
	select {
	case c := <-w.ready:
		if c == nil { // a connection was closed, so another one may be opened
			return p.acquire(a, dials)
		}
		_ = c.SetDeadline(a.deadline)
		return c, 0
	case <-timer.C:
		p.cancelWait(w)
		return nil, result.ExpiredBeforeSend
	case <-a.cancelSignal:
		p.cancelWait(w)
		return nil, result.CancelledBeforeSend
	}
}

// cancelWait removes a waiter from the list. If the waiter was notified in the
// meantime, its connection, or the room for one, goes to the next waiter.
func (p *pool) cancelWait(w waiter) {
	p.mu.Lock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	if c := <-w.ready; c != nil {
		p.release(c, true)
	} else {
		p.notifyWaiter(nil)
	}
}

// notifyWaiter passes a connection to the oldest waiter whose ID it has not carried; a
// nil c tells the oldest waiter that it may open one. If the connection suits no waiter,
// it is closed to make room for one that does. Without a waiter, c becomes idle or is
// closed.
func (p *pool) notifyWaiter(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) > 0 {
		p.notifyWaiterLocked(c)
		return
	}
	if c == nil {
		return
	}
	if !p.keepIdle {
		c.close()
		p.openCount--
		return
	}
	p.idle = append(p.idle, c)
}

func (p *pool) notifyWaiterLocked(c *conn) {
	i := 0
	if c != nil {
		i = slices.IndexFunc(p.waiters, func(w waiter) bool { return !c.sent.contains(w.id) })
	}
	if i < 0 {
		c.close()
		p.openCount--
		c, i = nil, 0
	}
	p.waiters[i].ready <- c
	p.waiters = slices.Delete(p.waiters, i, i+1)
}
