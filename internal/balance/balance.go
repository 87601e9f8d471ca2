// Package balance picks replicas for attempts and limits extra attempts (retries
// and hedges).
//
// A [ReplicaTable] estimates the latency of each replica from the attempts that
// this host sent, and predicts when another attempt would complete. Its methods
// take events and the monotonic time. It is not safe for concurrent use.
//
// Invariants of [ReplicaTable]:
//   - Pick fails only if every candidate is unknown, excluded or replaced by
//     another process at its address. Failures, refusals and latency only rank
//     the candidates.
//   - An estimate for a replica that no reply confirms decays within a few
//     seconds.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

const (
	// increaseWeight and decreaseWeight are the weights of a latency sample
	// above and below the current estimate. A replica that becomes slow is
	// avoided at once and is used again gradually.
	increaseWeight = 0.5
	decreaseWeight = 0.25
	// relativeLatencyHalfLife is the time in which an estimate without new
	// samples loses half of its distance from 1.
	relativeLatencyHalfLife = 3 * time.Second
	// maxRelativeLatency is the upper bound of a relative latency sample.
	maxRelativeLatency = 50
	// typicalLatencyWeight is the weight of an attempt in the typical latency
	// of a route.
	typicalLatencyWeight = 0.05
	// maxTypicalSample is the upper bound of an attempt's latency in that
	// average, as a multiple of the typical latency.
	maxTypicalSample = 2
	// refusalWeight is the weight of an attempt in a replica's refusal rate.
	// refusalRateHalfLife is the time in which a rate without new samples
	// halves.
	refusalWeight       = 0.3
	refusalRateHalfLife = 2 * time.Second
	// refusalPenalty is the cost of a refusal, in typical latencies: it causes
	// another attempt and uses up retry budget.
	refusalPenalty = 4
	// minAvoidance and maxAvoidance bound the time for which a replica that
	// failed is avoided. The time doubles with each consecutive failure.
	minAvoidance = 100 * time.Millisecond
	maxAvoidance = 2 * time.Second
	// unreachableFailures is the number of consecutive failures after which a
	// replica counts as unreachable while it is avoided.
	unreachableFailures = 3
	// avoidancePenalty is added to the cost of an avoided replica, in typical
	// latencies.
	avoidancePenalty = 1000
	// coldFactor is the lower bound of the relative latency assumed for a
	// replica that has just started.
	coldFactor = 1.6
	// remoteFactor multiplies the cost of a replica in another data centre. It is above
	// the spread of the latencies of healthy replicas, so that a request leaves the data
	// centre only if the replica nearby is slow, full or failing.
	remoteFactor = 2.5
	// jitter is the random part of a cost. It keeps hosts from all picking the
	// same replica.
	jitter = 0.1
	// outstandingDivisor divides the age of an outstanding attempt, in typical
	// latencies, before it counts as a relative latency: an attempt counts
	// against its replica once it is twice as old as is typical.
	outstandingDivisor = 2
)

// defaultTypicalLatency is the typical latency of a route without replies.
const defaultTypicalLatency = 20 * time.Millisecond

// Attempt is an attempt that has not been replied to yet.
type Attempt struct {
	replica *replica
	route   string
	sent    time.Duration
}

// replica is the state of one incarnation of a replica.
type replica struct {
	slots      int
	service    string
	dataCentre string
	// ramp is set while the rate of attempts rises after a start or failures. rampPending
	// means that it begins with the next choice.
	ramp        *ramp
	rampPending bool
	centre      *centre
	coldUntil   time.Duration
	// relativeLatency estimates the latency of an attempt as a multiple of its
	// route's typical latency.
	relativeLatency   float64
	relativeLatencyAt time.Duration
	// lastLatency is the latest sample of this host.
	lastLatency float64
	// refusalRate estimates the share of attempts that the replica refuses.
	refusalRate   float64
	refusalRateAt time.Duration
	// failureRate estimates the share of attempts that the replica fails to answer.
	failureRate failureRate
	// hash names the replica in hints.
	hash        uint32
	outstanding []*Attempt
	failures    int
	// gone means that another process answered at the replica's address.
	gone       bool
	avoidUntil time.Duration
}

// ReplicaTable holds the state of all replicas of a view.
type ReplicaTable struct {
	dataCentre string
	// self names this host in hints.
	self           uint32
	replicas       map[string]*replica
	keyByHash      map[uint32]string
	typicalLatency map[string]float64 // nanoseconds, by route
	// centres holds the data centres of the replicas, and answers counts the answers from
	// all of them.
	centres map[string]*centre
	answers uint64
	// isolated means that this host's data centre is cut off from all others.
	isolated bool
	// failuresUntil is until when outcomes of failed attempts may be worth a hint.
	failuresUntil time.Duration
	// senders returns the number of hosts that send to a service; it may be nil.
	senders func(service string) int
	// order holds the keys of the replicas, and nextHint is the index of the one that was
	// last considered for a hint.
	order    []string
	nextHint int
}

// NewReplicaTable returns an empty table for a host with the address self in a data
// centre.
func NewReplicaTable(dataCentre, self string) *ReplicaTable {
	return &ReplicaTable{
		dataCentre: dataCentre, self: hashName(self), replicas: make(map[string]*replica),
		keyByHash: make(map[uint32]string), centres: make(map[string]*centre), typicalLatency: make(map[string]float64),
	}
}

// SetReplicas replaces the set of replicas. Incarnations that remain keep their
// state.
func (t *ReplicaTable) SetReplicas(replicas map[string]*routing.Replica) {
	for key := range t.replicas {
		if replicas[key] == nil {
			delete(t.replicas, key)
			delete(t.keyByHash, hashName(key))
		}
	}
	t.order = slices.DeleteFunc(t.order, func(key string) bool { return replicas[key] == nil })
	// At the first call, only replicas that are cold are known to have started lately.
	first := len(t.replicas) == 0
	for key, r := range replicas {
		state := t.replicas[key]
		if state == nil {
			state = &replica{relativeLatency: 1, hash: hashName(key), rampPending: !first || r.ColdUntil > 0}
			t.replicas[key] = state
			t.keyByHash[state.hash] = key
			t.order = append(t.order, key)
		}
		state.slots = max(r.Slots, 1)
		state.service = r.Service
		state.dataCentre = r.DataCentre
		state.centre = t.centreOf(r.DataCentre)
		state.coldUntil = r.ColdUntil
	}
}

// PickFirst returns the candidate for the first attempt of a shard. It is that of Pick, or
// in a small share of the cases a replica that has failed to answer lately, so that its
// recovery is noticed.
func (t *ReplicaTable) PickFirst(now time.Duration, route string, candidates []string, exclude func(string) bool, rng *rand.Rand) (string, bool) {
	if key, ok := t.reachProbe(now, candidates); ok && !exclude(key) {
		return key, true
	}
	if key, ok := t.rampProbe(now, candidates); ok && !exclude(key) {
		return key, true
	}
	if suspect, ok := t.suspect(now, candidates); ok && rng.Float64() < probeShare && !exclude(suspect) {
		return suspect, true
	}
	return t.Pick(now, route, candidates, exclude, rng)
}

// reachProbe returns the candidate in a data centre out of reach that is due to be probed.
func (t *ReplicaTable) reachProbe(now time.Duration, candidates []string) (string, bool) {
	for _, key := range candidates {
		if r := t.replicas[key]; r != nil && r.centre.outUntil > now && r.centre.probesCentre(now) {
			return key, true
		}
	}
	return "", false
}

// suspect returns the candidate to probe: of those that have failed to answer lately, the
// one with the fewest recent outcomes.
func (t *ReplicaTable) suspect(now time.Duration, candidates []string) (string, bool) {
	suspect, found := "", false
	fewest := math.Inf(1)
	for _, key := range candidates {
		r := t.replicas[key]
		if r == nil || r.gone || now < r.avoidUntil || r.failureRate.current(now) < toleratedRate {
			continue
		}
		if known := r.failureRate.attempts(now); known < fewest {
			suspect, fewest, found = key, known, true
		}
	}
	return suspect, found
}

// Pick returns the candidate with the lowest cost, that is, where an attempt of
// the route should complete first. Candidates for which exclude returns true
// are skipped.
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

// Available reports whether a replica can be sent requests: it is in the table,
// and no other process has answered at its address.
func (t *ReplicaTable) Available(key string) bool {
	r := t.replicas[key]
	return r != nil && !r.gone
}

// AttemptSent records an attempt sent to a replica. It returns nil if the
// replica is unknown.
func (t *ReplicaTable) AttemptSent(now time.Duration, route, key string) *Attempt {
	r := t.replicas[key]
	if r == nil {
		return nil
	}
	a := &Attempt{replica: r, route: route, sent: now}
	r.outstanding = append(r.outstanding, a)
	t.centreSent(now, r)
	r.rampSent()
	return a
}

// AttemptEnded records the reply to an attempt that AttemptSent returned. For a
// cancelled attempt, the time until the cancellation is a lower bound of its
// latency.
func (t *ReplicaTable) AttemptEnded(now time.Duration, a *Attempt, reply *dispatch.Reply) {
	if a == nil {
		return
	}
	r := a.replica
	r.close(a)
	took := now - a.sent
	t.recordReach(r, reply)
	if reply.Outcome != dispatch.OK && reply.Code != result.UnknownEndpoint && t.outOfReach(now, r.centre, t.TypicalLatency(a.route)) {
		return // says nothing about the replica, which is used again once it is in reach
	}
	switch {
	case reply.Outcome == dispatch.OK:
		if r.failures >= unreachableFailures {
			t.startRamp(now, r)
		}
		r.failures = 0
		r.avoidUntil = 0
		r.recordRefusal(now, 0)
		r.failureRate.record(now, 0)
		r.rampAnswered(now, float64(took)/t.TypicalLatency(a.route), 1)
		t.recordLatency(now, a, took)
	case reply.Code == result.EndpointShed:
		r.recordRefusal(now, 1)
		r.rampFailed(now)
	case reply.Code == result.Cancelled || reply.Code == result.CancelledBeforeSend || reply.Code == result.CallerGone:
		if float64(took) > unansweredLatencies*t.TypicalLatency(a.route) {
			t.recordUnanswered(now, r, unansweredWeight)
		}
		t.recordMinLatency(now, a, took)
	case reply.Code == result.UnknownEndpoint:
		r.gone = true
	case reply.Code == result.ConnectionLimit || reply.Code == result.ExpiredBeforeSend ||
		reply.Code == result.EndpointLeaving || reply.Code == result.EndpointPaused ||
		reply.Code == result.EndpointEvacuated || reply.Code == result.EndpointCold:
	case reply.Code == result.ResponseMemory:
		r.recordFailure(now) // this host had no memory for the answer
	default:
		t.recordUnanswered(now, r, 1)
		r.recordFailure(now)
	}
}

// recordUnanswered records an attempt that a replica did not answer, with its weight as a
// failure.
func (t *ReplicaTable) recordUnanswered(now time.Duration, r *replica, weight float64) {
	t.failuresUntil = now + maxHintAge
	r.failureRate.record(now, weight)
	r.rampFailed(now)
}

// recordReach records whether a reply shows that the replica's data centre can be reached.
func (t *ReplicaTable) recordReach(r *replica, reply *dispatch.Reply) {
	switch {
	case reply.Outcome == dispatch.OK || reply.Response != nil || reply.Code == result.EndpointShed || reply.Code == result.UnknownEndpoint:
		t.centreAnswered(r.centre)
	case reply.Code == result.ConnectionLimit || reply.Code == result.ExpiredBeforeSend || reply.Code == result.CancelledBeforeSend ||
		reply.Code == result.CallerGone || reply.Code == result.EndpointLeaving || reply.Code == result.EndpointPaused:
		r.centre.notSent()
	}
}

// Unreachable reports whether a replica is unknown, gone or out of reach, or has failed
// several times in a row and is still avoided.
func (t *ReplicaTable) Unreachable(now time.Duration, key string) bool {
	r := t.replicas[key]
	return r == nil || r.gone || t.confirmedOutOfReach(now, r.centre) || r.failures >= unreachableFailures && now < r.avoidUntil
}

func (r *replica) recordFailure(now time.Duration) {
	avoidance := min(minAvoidance<<min(r.failures, 6), maxAvoidance)
	r.failures++
	r.avoidUntil = max(r.avoidUntil, now+avoidance)
}

// recordRefusal adds an attempt to the refusal rate: 1 if it was refused, 0 if
// not.
func (r *replica) recordRefusal(now time.Duration, refused float64) {
	rate := r.currentRefusalRate(now)
	r.refusalRate = rate + refusalWeight*(refused-rate)
	r.refusalRateAt = now
}

// currentRefusalRate returns the refusal rate, decayed by its age.
func (r *replica) currentRefusalRate(now time.Duration) float64 {
	return r.refusalRate * math.Exp2(-float64(now-r.refusalRateAt)/float64(refusalRateHalfLife))
}

// close removes an attempt from the outstanding ones.
func (r *replica) close(a *Attempt) {
	for i, o := range r.outstanding {
		if o == a {
			r.outstanding[i] = r.outstanding[len(r.outstanding)-1]
			r.outstanding = r.outstanding[:len(r.outstanding)-1]
			return
		}
	}
}
