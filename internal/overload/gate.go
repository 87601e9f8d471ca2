package overload

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	// updateInterval is the least time between two computations of the admitted shares.
	updateInterval = 20 * time.Millisecond
	// maxWaiting bounds the requests of a route that wait.
	maxWaiting = 4
)

// Gate admits the queries of one index at one host.
type Gate struct {
	shares    shardShares
	routes    map[string]*route
	callers   refusedCallers
	waiting   map[uint64]*waiter
	sequence  uint64
	updatedAt time.Duration
	limited   bool
	inHand    int
	// admittedTotal counts the admitted queries.
	admittedTotal uint64
}

// NewGate returns a gate for an index with a number of shards. It admits every query
// until it learns that shards lack capacity.
func NewGate(shards int) *Gate {
	return &Gate{shares: shardShares{shards: make([]shardShare, shards)}, routes: make(map[string]*route), waiting: make(map[uint64]*waiter)}
}

// Report adds a report of the share of the queries that a shard has capacity for, as
// returned by [Meter.Share].
func (g *Gate) Report(now time.Duration, shard int, share float64, known bool) {
	g.shares.report(now, shard, share, known)
}

// Limited reports whether the gate refuses some queries.
func (g *Gate) Limited(now time.Duration) bool {
	g.update(now)
	return g.limited
}

// Status describes a gate.
type Status struct {
	// Admitted is the lowest share of a route's queries that is admitted.
	Admitted float64
	// InHand is the number of admitted queries that have not ended, and Waiting that of
	// the waiting ones.
	InHand, Waiting int
	// AdmittedTotal and QueuedTotal count the queries that were admitted, and those that
	// waited.
	AdmittedTotal, QueuedTotal uint64
}

// Status returns the state of the gate.
func (g *Gate) Status(now time.Duration) Status {
	g.update(now)
	s := Status{Admitted: 1, InHand: g.inHand, Waiting: len(g.waiting), AdmittedTotal: g.admittedTotal, QueuedTotal: g.sequence}
	for _, r := range g.routes {
		s.Admitted = min(s.Admitted, r.admitted)
	}
	return s
}

// Offer decides about a query. draw is a random number in [0, 1).
func (g *Gate) Offer(now time.Duration, q Request, draw float64) Decision {
	r := g.route(&q, draw)
	r.decayOffered(now)
	r.offered += float64(q.Work)
	g.update(now)
	if r.admitted >= 1 {
		return g.admit()
	}
	switch g.callers.attendance(now, q.Caller) {
	case repeatedEarly:
		if r.takeRepeat() {
			return g.admit()
		}
		return Decision{Verdict: Refuse, Code: result.RepeatedEarly, RetryAfter: g.callers.remaining(now, q.Caller)}
	case returned:
		r.earn()
		if r.take(-maxDebt) {
			return g.admit()
		}
	case firstTry:
		r.earn()
		if r.queue.Len() == 0 && r.take(0) {
			return g.admit()
		}
		if q.Patience > 0 && r.queue.Len() < maxWaiting {
			g.wait(now, r, &q)
			return Decision{Verdict: Wait}
		}
	}
	return g.refuse(now, r, q.Caller, q.Timeout, draw, result.Overloaded)
}

// admit counts an admitted query.
func (g *Gate) admit() Decision {
	g.inHand++
	g.admittedTotal++
	return Decision{Verdict: Admit}
}

// refuse refuses a query and remembers when its caller may come back.
func (g *Gate) refuse(now time.Duration, r *route, caller CallerKey, timeout time.Duration, draw float64, code result.Code) Decision {
	after := r.retryAfter(now, timeout, draw)
	g.callers.remember(caller, now+after)
	return Decision{Verdict: Refuse, Code: code, RetryAfter: after}
}

// Ended ends an admitted query of a route.
func (g *Gate) Ended(now time.Duration, name string) {
	g.inHand--
	if r := g.routes[name]; r != nil {
		r.recordEnded(now)
	}
}

// route returns the state of a request's route, with the latest settings of the route.
func (g *Gate) route(q *Request, draw float64) *route {
	r := g.routes[q.Route]
	if r == nil {
		// The first credit is random, so that hosts don't admit in step.
		r = &route{fraction: 1, admitted: 1, average: 1, base: 1, credit: draw}
		g.routes[q.Route] = r
	}
	r.urgency, r.leastShards = q.Urgency, q.LeastShards
	return r
}

// update computes the share of each route's queries that is admitted.
func (g *Gate) update(now time.Duration) {
	elapsed := now - g.updatedAt
	if elapsed < updateInterval {
		return
	}
	g.updatedAt = now
	known, reported := g.shares.known(now)
	if len(known) == 0 && !g.limited {
		return
	}
	g.limited = false
	for _, r := range g.routes {
		r.decayOffered(now)
		r.update(now, elapsed, g.shares.latest, known, reported*float64(len(g.shares.shards)-r.leastShards))
		g.limited = g.limited || r.fraction < 1
	}
	g.favourUrgent()
	if !g.limited {
		g.callers.clear()
	}
}

// favourUrgent lets the routes that are more urgent have part of what the others may
// start. Each keeps at least keptShare of its own.
func (g *Gate) favourUrgent() {
	names := slices.Sorted(maps.Keys(g.routes))
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(g.routes[a].urgency, g.routes[b].urgency) })
	for i, name := range names {
		urgent := g.routes[name]
		wanted := (1 - urgent.admitted) * urgent.offered
		for n := len(names) - 1; n > i && wanted > 0; n-- {
			if r := g.routes[names[n]]; r.urgency > urgent.urgency {
				given := r.give(wanted)
				wanted -= given
				urgent.admitted += given / urgent.offered
			}
		}
	}
}
