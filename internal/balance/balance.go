// Package balance chooses a replica for an attempt and bounds extra attempts.
//
// A [Table] learns how slow each replica is from the attempts that this host
// sent, and estimates when a further attempt would end. It is fed with events
// and the monotonic time; it is not safe for concurrent use.
//
// Invariants of [Table]:
//   - Pick fails only if every candidate is unknown, gone or excluded: failures,
//     refusals and slowness order the candidates and remove none.
//   - A belief that no reply confirms fades within a few seconds.
package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

const (
	// slowerWeight and fasterWeight are the weights of a sample that is slower
	// or faster than what is known of a replica: it is avoided at once and
	// trusted again gradually.
	slowerWeight = 0.5
	fasterWeight = 0.25
	// slownessHalfLife is the time in which an unused slowness loses half of its
	// distance from normal.
	slownessHalfLife = 3 * time.Second
	// maxSample bounds a sample of slowness.
	maxSample = 50
	// typicalWeight is the weight of an attempt in the typical time of a route.
	typicalWeight = 0.05
	// maxTypicalStep bounds how far above the typical time an attempt counts.
	maxTypicalStep = 2
	// refusalWeight is the weight of an attempt in the share of refusals, and
	// refusalHalfLife the time in which an unused share halves.
	refusalWeight   = 0.3
	refusalHalfLife = 2 * time.Second
	// refusalCost is the time that a refusal costs, in typical times: the attempt
	// that follows and its share of the budget.
	refusalCost = 4
	// minFaultHold and maxFaultHold bound the time for which a replica that
	// failed is avoided; it doubles with each failure in a row.
	minFaultHold = 100 * time.Millisecond
	maxFaultHold = 2 * time.Second
	// unreachableFaults is the number of failures in a row after which a replica
	// counts as unreachable while it is avoided.
	unreachableFaults = 3
	// holdCost is what avoiding adds to a replica's cost, in typical times.
	holdCost = 1000
	// coldFactor is the slowness of a replica that has just started.
	coldFactor = 1.6
	// remoteFactor is the cost of a replica in another data centre.
	remoteFactor = 1.25
	// jitter is the random part of a cost; it keeps hosts from choosing alike.
	jitter = 0.1
	// openPatience is how many typical times an attempt may be open until its
	// age counts against the replica.
	openPatience = 2
)

// defaultTypical stands for a route without replies.
const defaultTypical = 20 * time.Millisecond

// Attempt is an attempt that has no reply yet.
type Attempt struct {
	replica *replica
	route   string
	sent    time.Duration
}

// replica is what is believed of one incarnation.
type replica struct {
	slots      int
	dataCentre string
	coldUntil  time.Duration
	// slowness is the time of an attempt as a multiple of what is typical.
	slowness   float64
	slownessAt time.Duration
	// refusals is the share of attempts that the replica refuses.
	refusals   float64
	refusalsAt time.Duration
	open       []*Attempt
	faults     int
	// gone tells that another process answered at the replica's address.
	gone      bool
	heldUntil time.Duration
}

// Table holds the beliefs about all replicas of a view.
type Table struct {
	dataCentre string
	replicas   map[string]*replica
	typical    map[string]float64 // nanoseconds, by route
}

// NewTable returns a table for a host in a data centre.
func NewTable(dataCentre string) *Table {
	return &Table{dataCentre: dataCentre, replicas: make(map[string]*replica), typical: make(map[string]float64)}
}

// SetReplicas takes over the replicas of a view. Incarnations that stay keep
// their state.
func (t *Table) SetReplicas(replicas map[string]*routing.Replica) {
	for key := range t.replicas {
		if replicas[key] == nil {
			delete(t.replicas, key)
		}
	}
	for key, r := range replicas {
		known := t.replicas[key]
		if known == nil {
			known = &replica{slowness: 1}
			t.replicas[key] = known
		}
		known.slots = max(r.Slots, 1)
		known.dataCentre = r.DataCentre
		known.coldUntil = r.ColdUntil
	}
}

// Pick chooses the candidate at which an attempt of a route would end first, and
// that exclude does not report.
func (t *Table) Pick(now time.Duration, route string, candidates []string, exclude func(string) bool, rng *rand.Rand) (string, bool) {
	best, found := "", false
	lowest := math.Inf(1)
	for _, key := range candidates {
		r := t.replicas[key]
		if r == nil || r.gone || exclude(key) {
			continue
		}
		cost := t.cost(now, r, route) * (1 + jitter*rng.Float64())
		if cost < lowest {
			best, lowest, found = key, cost, true
		}
	}
	return best, found
}

// Known reports whether a replica takes requests.
func (t *Table) Known(key string) bool {
	r := t.replicas[key]
	return r != nil && !r.gone
}

// Sent notes an attempt at a replica. It returns nil if the replica is unknown.
func (t *Table) Sent(now time.Duration, route, key string) *Attempt {
	r := t.replicas[key]
	if r == nil {
		return nil
	}
	a := &Attempt{replica: r, route: route, sent: now}
	r.open = append(r.open, a)
	return a
}

// Ended notes the reply to an attempt, which Sent returned. A cancelled attempt
// tells only how long it took at least.
func (t *Table) Ended(now time.Duration, a *Attempt, reply *dispatch.Reply) {
	if a == nil {
		return
	}
	r := a.replica
	r.close(a)
	took := now - a.sent
	switch {
	case reply.Outcome == dispatch.OK:
		r.faults = 0
		r.heldUntil = 0
		r.observeRefusal(now, 0)
		t.learn(now, a, took)
	case reply.Code == result.EndpointShed:
		r.observeRefusal(now, 1)
	case reply.Code == result.Cancelled || reply.Code == result.CancelledBeforeSend:
		t.atLeast(now, a, took)
	case reply.Code == result.UnknownEndpoint:
		r.gone = true
	case reply.Code == result.ConnectionLimit || reply.Code == result.ExpiredBeforeSend:
	default:
		r.fault(now)
	}
}

// Unreachable reports whether a replica failed several times in a row and is not
// to be tried again yet, or is gone.
func (t *Table) Unreachable(now time.Duration, key string) bool {
	r := t.replicas[key]
	return r == nil || r.gone || r.faults >= unreachableFaults && now < r.heldUntil
}

func (r *replica) fault(now time.Duration) {
	hold := min(minFaultHold<<min(r.faults, 6), maxFaultHold)
	r.faults++
	r.heldUntil = max(r.heldUntil, now+hold)
}

// observeRefusal takes whether an attempt was refused, as 1 or 0.
func (r *replica) observeRefusal(now time.Duration, refused float64) {
	share := r.refusalShare(now)
	r.refusals = share + refusalWeight*(refused-share)
	r.refusalsAt = now
}

// refusalShare returns the share of refusals, which fades as it ages.
func (r *replica) refusalShare(now time.Duration) float64 {
	return r.refusals * math.Exp2(-float64(now-r.refusalsAt)/float64(refusalHalfLife))
}

func (r *replica) close(a *Attempt) {
	for i, o := range r.open {
		if o == a {
			r.open[i] = r.open[len(r.open)-1]
			r.open = r.open[:len(r.open)-1]
			return
		}
	}
}

// learn takes the time of an attempt that succeeded.
func (t *Table) learn(now time.Duration, a *Attempt, took time.Duration) {
	typical := t.Typical(a.route)
	sample := min(float64(took)/typical, maxSample)
	t.observe(now, a.replica, sample)
	if _, known := t.typical[a.route]; !known {
		t.typical[a.route] = float64(took)
		return
	}
	t.typical[a.route] = typical * (1 + typicalWeight*(min(sample, maxTypicalStep)-1))
}

// atLeast takes the time of an attempt that was given up.
func (t *Table) atLeast(now time.Duration, a *Attempt, took time.Duration) {
	sample := min(float64(took)/t.Typical(a.route), maxSample)
	if sample > a.replica.current(now) {
		t.observe(now, a.replica, sample)
	}
}

func (t *Table) observe(now time.Duration, r *replica, sample float64) {
	current := r.current(now)
	weight := fasterWeight
	if sample > current {
		weight = slowerWeight
	}
	r.slowness = current + weight*(sample-current)
	r.slownessAt = now
}

// current returns the slowness, drawn to normal as it ages.
func (r *replica) current(now time.Duration) float64 {
	keep := math.Exp2(-float64(now-r.slownessAt) / float64(slownessHalfLife))
	return 1 + (r.slowness-1)*keep
}

// Typical returns the typical time of an attempt of a route, in nanoseconds.
func (t *Table) Typical(route string) float64 {
	if v := t.typical[route]; v > 0 {
		return v
	}
	return float64(defaultTypical)
}

// cost estimates when a further attempt ends, in typical times.
func (t *Table) cost(now time.Duration, r *replica, route string) float64 {
	slowness := max(r.current(now), t.openAge(now, r))
	if now < r.coldUntil {
		slowness = max(slowness, coldFactor)
	}
	cost := slowness*(1+float64(len(r.open))/float64(r.slots)) + refusalCost*r.refusalShare(now)
	if r.dataCentre != t.dataCentre {
		cost *= remoteFactor
	}
	if now < r.heldUntil {
		cost += holdCost * (1 + float64(r.faults))
	}
	return cost
}

// openAge returns the age of the longest open attempt as a slowness. A replica
// that stands still is known by it before it replies.
func (t *Table) openAge(now time.Duration, r *replica) float64 {
	longest := 0.0
	for _, a := range r.open {
		longest = max(longest, float64(now-a.sent)/t.Typical(a.route))
	}
	return longest / openPatience
}
