package balance

import (
	"math"
	"time"
)

// recordLatency adds the latency of a successful attempt to the estimates of
// its replica and its route.
func (t *ReplicaTable) recordLatency(now time.Duration, a *Attempt, took time.Duration) {
	typical := t.TypicalLatency(a.route)
	sample := min(float64(took)/typical, maxRelativeLatency)
	t.updateRelativeLatency(now, a.replica, sample)
	a.replica.lastLatency = sample
	if _, known := t.typicalLatency[a.route]; !known {
		t.typicalLatency[a.route] = float64(took)
		return
	}
	t.typicalLatency[a.route] = typical * (1 + typicalLatencyWeight*(min(sample, maxTypicalSample)-1))
}

// recordMinLatency adds the time until an attempt was cancelled to the estimate
// of its replica, if it is above the estimate.
func (t *ReplicaTable) recordMinLatency(now time.Duration, a *Attempt, took time.Duration) {
	sample := min(float64(took)/t.TypicalLatency(a.route), maxRelativeLatency)
	if sample > a.replica.currentRelativeLatency(now) {
		t.updateRelativeLatency(now, a.replica, sample)
	}
}

func (t *ReplicaTable) updateRelativeLatency(now time.Duration, r *replica, sample float64) {
	estimate := r.currentRelativeLatency(now)
	weight := decreaseWeight
	switch {
	case r.ramp != nil && sample <= quickLatency && sample < estimate:
		weight = 1 // a replica that starts has got warm; earlier samples say nothing
	case sample > estimate:
		weight = increaseWeight
	}
	r.relativeLatency = estimate + weight*(sample-estimate)
	r.relativeLatencyAt = now
}

// currentRelativeLatency returns the estimate, decayed towards 1 by its age.
func (r *replica) currentRelativeLatency(now time.Duration) float64 {
	decay := math.Exp2(-float64(now-r.relativeLatencyAt) / float64(relativeLatencyHalfLife))
	return 1 + (r.relativeLatency-1)*decay
}

// TypicalLatency returns the typical latency of an attempt of a route, in
// nanoseconds.
func (t *ReplicaTable) TypicalLatency(route string) float64 {
	if v := t.typicalLatency[route]; v > 0 {
		return v
	}
	return float64(defaultTypicalLatency)
}

// cost estimates when another attempt would complete, in typical latencies.
func (t *ReplicaTable) cost(now time.Duration, r *replica, route string) float64 {
	latency := max(r.currentRelativeLatency(now), t.outstandingLatency(now, r))
	if now < r.coldUntil {
		latency = max(latency, coldFactor)
	}
	cost := latency*(1+float64(len(r.outstanding))/float64(r.slots)) + refusalPenalty*r.currentRefusalRate(now)
	cost += failurePenalty * max(r.failureRate.current(now)-toleratedRate, 0)
	if r.dataCentre != t.dataCentre {
		cost *= remoteFactor
	}
	cost += t.rampCost(now, r)
	if t.outOfReach(now, r.centre, t.TypicalLatency(route)) {
		cost += outOfReachPenalty
	}
	if now < r.avoidUntil {
		cost += avoidancePenalty * (1 + float64(r.failures))
	}
	return cost
}

// outstandingLatency returns the relative latency implied by the age of the
// oldest outstanding attempt, so that a hanging replica is noticed before it
// replies.
func (t *ReplicaTable) outstandingLatency(now time.Duration, r *replica) float64 {
	oldest := 0.0
	for _, a := range r.outstanding {
		oldest = max(oldest, float64(now-a.sent)/t.TypicalLatency(a.route))
	}
	return oldest / outstandingDivisor
}
