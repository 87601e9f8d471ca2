// Package balance chooses a replica for an attempt and bounds extra attempts.
//
// A [ReplicaTable] learns how slow each replica is from the attempts that this host
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
	// increaseWeight and decreaseWeight are the weights of a sample that is slower
	// or faster than what is known of a replica: it is avoided at once and
	// trusted again gradually.
	increaseWeight = 0.5
	decreaseWeight = 0.25
	// relativeLatencyHalfLife is the time in which an unused slowness loses half of its
	// distance from normal.
	relativeLatencyHalfLife = 3 * time.Second
	// maxRelativeLatency bounds a sample of slowness.
	maxRelativeLatency = 50
	// typicalLatencyWeight is the weight of an attempt in the typical time of a route.
	typicalLatencyWeight = 0.05
	// maxTypicalSample bounds how far above the typical time an attempt counts.
	maxTypicalSample = 2
	// refusalWeight is the weight of an attempt in the share of refusals, and
	// refusalRateHalfLife the time in which an unused share halves.
	refusalWeight       = 0.3
	refusalRateHalfLife = 2 * time.Second
	// refusalPenalty is the time that a refusal costs, in typical times: the attempt
	// that follows and its share of the budget.
	refusalPenalty = 4
	// minAvoidance and maxAvoidance bound the time for which a replica that
	// failed is avoided; it doubles with each failure in a row.
	minAvoidance = 100 * time.Millisecond
	maxAvoidance = 2 * time.Second
	// unreachableFailures is the number of failures in a row after which a replica
	// counts as unreachable while it is avoided.
	unreachableFailures = 3
	// avoidancePenalty is what avoiding adds to a replica's cost, in typical times.
	avoidancePenalty = 1000
	// coldFactor is the slowness of a replica that has just started.
	coldFactor = 1.6
	// remoteFactor is the cost of a replica in another data centre.
	remoteFactor = 1.25
	// jitter is the random part of a cost; it keeps hosts from choosing alike.
	jitter = 0.1
	// outstandingDivisor is how many typical times an attempt may be open until its
	// age counts against the replica.
	outstandingDivisor = 2
)

// defaultTypicalLatency stands for a route without replies.
const defaultTypicalLatency = 20 * time.Millisecond

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
	// relativeLatency is the time of an attempt as a multiple of what is typical.
	relativeLatency   float64
	relativeLatencyAt time.Duration
	// refusalRate is the share of attempts that the replica refuses.
	refusalRate   float64
	refusalRateAt time.Duration
	outstanding   []*Attempt
	failures      int
	// gone tells that another process answered at the replica's address.
	gone       bool
	avoidUntil time.Duration
}

// ReplicaTable holds the beliefs about all replicas of a view.
type ReplicaTable struct {
	dataCentre     string
	replicas       map[string]*replica
	typicalLatency map[string]float64 // nanoseconds, by route
}

// NewReplicaTable returns a table for a host in a data centre.
func NewReplicaTable(dataCentre string) *ReplicaTable {
	return &ReplicaTable{dataCentre: dataCentre, replicas: make(map[string]*replica), typicalLatency: make(map[string]float64)}
}

// SetReplicas takes over the replicas of a view. Incarnations that stay keep
// their state.
func (t *ReplicaTable) SetReplicas(replicas map[string]*routing.Replica) {
	for key := range t.replicas {
		if replicas[key] == nil {
			delete(t.replicas, key)
		}
	}
	for key, r := range replicas {
		known := t.replicas[key]
		if known == nil {
			known = &replica{relativeLatency: 1}
			t.replicas[key] = known
		}
		known.slots = max(r.Slots, 1)
		known.dataCentre = r.DataCentre
		known.coldUntil = r.ColdUntil
	}
}

// Pick chooses the candidate at which an attempt of a route would end first, and
// that exclude does not report.
func (t *ReplicaTable) Pick(now time.Duration, route string, candidates []string, exclude func(string) bool, rng *rand.Rand) (string, bool) {
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

// Available reports whether a replica takes requests.
func (t *ReplicaTable) Available(key string) bool {
	r := t.replicas[key]
	return r != nil && !r.gone
}

// AttemptSent notes an attempt at a replica. It returns nil if the replica is unknown.
func (t *ReplicaTable) AttemptSent(now time.Duration, route, key string) *Attempt {
	r := t.replicas[key]
	if r == nil {
		return nil
	}
	a := &Attempt{replica: r, route: route, sent: now}
	r.outstanding = append(r.outstanding, a)
	return a
}

// AttemptEnded notes the reply to an attempt, which Sent returned. A cancelled attempt
// tells only how long it took at least.
func (t *ReplicaTable) AttemptEnded(now time.Duration, a *Attempt, reply *dispatch.Reply) {
	if a == nil {
		return
	}
	r := a.replica
	r.removeOutstanding(a)
	took := now - a.sent
	switch {
	case reply.Outcome == dispatch.OK:
		r.failures = 0
		r.avoidUntil = 0
		r.recordRefusal(now, 0)
		t.recordLatency(now, a, took)
	case reply.Code == result.EndpointShed:
		r.recordRefusal(now, 1)
	case reply.Code == result.Cancelled || reply.Code == result.CancelledBeforeSend:
		t.recordMinLatency(now, a, took)
	case reply.Code == result.UnknownEndpoint:
		r.gone = true
	case reply.Code == result.ConnectionLimit || reply.Code == result.ExpiredBeforeSend:
	default:
		r.recordFailure(now)
	}
}

// Unreachable reports whether a replica failed several times in a row and is not
// to be tried again yet, or is gone.
func (t *ReplicaTable) Unreachable(now time.Duration, key string) bool {
	r := t.replicas[key]
	return r == nil || r.gone || r.failures >= unreachableFailures && now < r.avoidUntil
}

func (r *replica) recordFailure(now time.Duration) {
	hold := min(minAvoidance<<min(r.failures, 6), maxAvoidance)
	r.failures++
	r.avoidUntil = max(r.avoidUntil, now+hold)
}

// recordRefusal takes whether an attempt was refused, as 1 or 0.
func (r *replica) recordRefusal(now time.Duration, refused float64) {
	share := r.currentRefusalRate(now)
	r.refusalRate = share + refusalWeight*(refused-share)
	r.refusalRateAt = now
}

// currentRefusalRate returns the share of refusals, which fades as it ages.
func (r *replica) currentRefusalRate(now time.Duration) float64 {
	return r.refusalRate * math.Exp2(-float64(now-r.refusalRateAt)/float64(refusalRateHalfLife))
}

func (r *replica) removeOutstanding(a *Attempt) {
	for i, o := range r.outstanding {
		if o == a {
			r.outstanding[i] = r.outstanding[len(r.outstanding)-1]
			r.outstanding = r.outstanding[:len(r.outstanding)-1]
			return
		}
	}
}

// recordLatency takes the time of an attempt that succeeded.
func (t *ReplicaTable) recordLatency(now time.Duration, a *Attempt, took time.Duration) {
	typical := t.TypicalLatency(a.route)
	sample := min(float64(took)/typical, maxRelativeLatency)
	t.updateRelativeLatency(now, a.replica, sample)
	if _, known := t.typicalLatency[a.route]; !known {
		t.typicalLatency[a.route] = float64(took)
		return
	}
	t.typicalLatency[a.route] = typical * (1 + typicalLatencyWeight*(min(sample, maxTypicalSample)-1))
}

// recordMinLatency takes the time of an attempt that was given up.
func (t *ReplicaTable) recordMinLatency(now time.Duration, a *Attempt, took time.Duration) {
	sample := min(float64(took)/t.TypicalLatency(a.route), maxRelativeLatency)
	if sample > a.replica.currentRelativeLatency(now) {
		t.updateRelativeLatency(now, a.replica, sample)
	}
}

func (t *ReplicaTable) updateRelativeLatency(now time.Duration, r *replica, sample float64) {
	current := r.currentRelativeLatency(now)
	weight := decreaseWeight
	if sample > current {
		weight = increaseWeight
	}
	r.relativeLatency = current + weight*(sample-current)
	r.relativeLatencyAt = now
}

// currentRelativeLatency returns the slowness, drawn to normal as it ages.
func (r *replica) currentRelativeLatency(now time.Duration) float64 {
	keep := math.Exp2(-float64(now-r.relativeLatencyAt) / float64(relativeLatencyHalfLife))
	return 1 + (r.relativeLatency-1)*keep
}

// TypicalLatency returns the typical time of an attempt of a route, in nanoseconds.
func (t *ReplicaTable) TypicalLatency(route string) float64 {
	if v := t.typicalLatency[route]; v > 0 {
		return v
	}
	return float64(defaultTypicalLatency)
}

// cost estimates when a further attempt ends, in typical times.
func (t *ReplicaTable) cost(now time.Duration, r *replica, route string) float64 {
	slowness := max(r.currentRelativeLatency(now), t.outstandingLatency(now, r))
	if now < r.coldUntil {
		slowness = max(slowness, coldFactor)
	}
	cost := slowness*(1+float64(len(r.outstanding))/float64(r.slots)) + refusalPenalty*r.currentRefusalRate(now)
	if r.dataCentre != t.dataCentre {
		cost *= remoteFactor
	}
	if now < r.avoidUntil {
		cost += avoidancePenalty * (1 + float64(r.failures))
	}
	return cost
}

// outstandingLatency returns the age of the longest open attempt as a slowness. A replica
// that stands still is known by it before it replies.
func (t *ReplicaTable) outstandingLatency(now time.Duration, r *replica) float64 {
	longest := 0.0
	for _, a := range r.outstanding {
		longest = max(longest, float64(now-a.sent)/t.TypicalLatency(a.route))
	}
	return longest / outstandingDivisor
}
