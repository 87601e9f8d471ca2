package overload

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/edf"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// waiter is a query that waits. Its deadline is the latest time at which it can start and
// still be answered on time.
type waiter struct {
	edf.Item
	id      uint64
	caller  CallerKey
	timeout time.Duration
	route   *route
}

// wait makes a query wait.
func (g *Gate) wait(now time.Duration, r *route, q *Request) {
	g.sequence++
	w := &waiter{
		Item: edf.Item{Deadline: now + q.Patience, Sequence: g.sequence},
		id:   q.ID, caller: q.Caller, timeout: q.Timeout, route: r,
	}
	r.queue.Push(w)
	g.waiting[q.ID] = w
}

// Tick refuses the waiting queries that can no longer be answered on time, and admits
// others as far as the shares allow. draw is a random number in [0, 1).
func (g *Gate) Tick(now time.Duration, draw float64) Changes {
	var c Changes
	if len(g.waiting) == 0 {
		return c
	}
	g.update(now)
	for _, r := range g.routes {
		for r.queue.Len() > 0 {
			w := r.queue.First()
			if w.Deadline <= now {
				g.remove(w)
				c.Refused = append(c.Refused, Refusal{ID: w.id, Decision: g.refuse(now, r, w.caller, w.timeout, draw, result.Overloaded)})
				continue
			}
			if r.admitted < 1 && !r.take(0) {
				break
			}
			g.remove(w)
			g.admit()
			c.Admitted = append(c.Admitted, w.id)
		}
	}
	return c
}

// Cancel ends a waiting query whose caller is gone. It reports whether the query was
// waiting.
func (g *Gate) Cancel(id uint64) bool {
	w := g.waiting[id]
	if w == nil {
		return false
	}
	g.remove(w)
	return true
}

func (g *Gate) remove(w *waiter) {
	w.route.queue.Remove(w)
	delete(g.waiting, w.id)
}
