package balance

import "time"

// A ramp finds the rate of attempts that a replica can take which has just started, or
// answers again after failures in a row. The rate is that of all hosts together, and each
// sends its share. It rises with each quick answer, also with those that other hosts report,
// and falls at refusals, failures and slow answers. A replica that has had its attempts for
// now costs rampPenalty more, so that it is used all the same once the others are full.

const (
	// rampStart is the share of the capacity that a replica claims with which a ramp starts
	// and below which it does not fall, and minRampStart the least such rate, in attempts
	// per second. A lower one leaves a replica idle that has no trouble: each of many hosts
	// sends to the replicas nearby, and its share is that of all hosts.
	rampStart    = 0.25
	minRampStart = 8
	// rampStep is what a quick answer adds to the rate, which then doubles in about a third
	// of a second while it is used.
	rampStep = 2
	// rampBackoff multiplies the rate at a refusal, a failure or a slow answer, at most once
	// in rampBackoffInterval: attempts that wait together say the same.
	rampBackoff         = 0.6
	rampBackoffInterval = 100 * time.Millisecond
	// An answer is quick up to quickLatency and slow from slowLatency, in typical latencies.
	quickLatency = 2
	slowLatency  = 3
	// rampBurst is the number of attempts that a host may send at once, in seconds of its
	// share, at least one.
	rampBurst = 0.1
	// rampPenalty is added to the cost of a replica whose attempts are used up for now, in
	// typical latencies. It outweighs a replica nearby that is as quick, and not the way to
	// another data centre: where all replicas of a shard have started, as after a change of
	// an index, each gets its requests from nearby.
	rampPenalty = 1.2
	// rampProbes is the number of first attempts per second, of all hosts together, that go
	// to the replica although others are quicker, so that hosts notice when it is warm.
	rampProbes = 4
	// maxRampTime bounds a ramp that is not used enough to end.
	maxRampTime = 15 * time.Second
)

// ramp is the state of a replica's ramp. It is nil if there is none.
type ramp struct {
	// rate is that of all hosts, least the one below which it does not fall, and goal the
	// one at which the ramp ends.
	rate, least, goal float64
	// hosts is the number of hosts that send to the replica.
	hosts       float64
	tokens      float64
	startedAt   time.Duration
	refilledAt  time.Duration
	backedOffAt time.Duration
	probeAt     time.Duration
}

// newRamp returns a ramp for one of a number of hosts that send to a replica, which claims
// to complete capacity attempts per second. phase, below 1, differs between hosts, so that
// their first attempts do not come at once.
func newRamp(now time.Duration, capacity float64, hosts int, phase float64) *ramp {
	n := float64(max(hosts, 1))
	least := max(rampStart*capacity, minRampStart)
	return &ramp{
		rate: least, least: least, goal: max(capacity, 2*least), hosts: n, tokens: phase, startedAt: now, refilledAt: now,
		backedOffAt: now - rampBackoffInterval, probeAt: now + time.Duration(phase*n/rampProbes*float64(time.Second)),
	}
}

// allows reports whether the replica may have another attempt now.
func (p *ramp) allows(now time.Duration) bool {
	share := p.rate / p.hosts
	p.tokens = min(p.tokens+share*(now-p.refilledAt).Seconds(), max(share*rampBurst, 1))
	p.refilledAt = now
	return p.tokens >= 1
}

// probes reports whether the next first attempt is to go to the replica, and if so takes it.
func (p *ramp) probes(now time.Duration) bool {
	if now < p.probeAt {
		return false
	}
	p.probeAt = now + time.Duration(p.hosts/rampProbes*float64(time.Second))
	return true
}

// sent takes an attempt.
func (p *ramp) sent() { p.tokens = max(p.tokens-1, -1) }

// answered records a number of successful answers and their latency, in typical latencies.
func (p *ramp) answered(now time.Duration, latency, answers float64) {
	switch {
	case latency <= quickLatency:
		p.rate += rampStep * answers
	case latency >= slowLatency:
		p.backOff(now)
	}
}

// backOff lowers the rate.
func (p *ramp) backOff(now time.Duration) {
	if now-p.backedOffAt < rampBackoffInterval {
		return
	}
	p.backedOffAt = now
	p.rate = max(p.rate*rampBackoff, p.least)
}

// ended reports whether the replica needs no ramp any more.
func (p *ramp) ended(now time.Duration) bool {
	return p.rate >= p.goal || now-p.startedAt > maxRampTime
}

// startRamp starts the ramp of a replica.
func (t *ReplicaTable) startRamp(now time.Duration, r *replica) {
	r.rampPending = false
	capacity := float64(r.slots) / (t.leastTypicalLatency() / float64(time.Second))
	hosts := 1
	if t.senders != nil {
		hosts = t.senders(r.service)
	}
	const phases = 1 << 10
	r.ramp = newRamp(now, capacity, hosts, float64((t.self^r.hash)*2654435761>>16%phases)/phases)
}

// leastTypicalLatency returns the typical latency of the quickest route.
func (t *ReplicaTable) leastTypicalLatency() float64 {
	least := float64(defaultTypicalLatency)
	for _, v := range t.typicalLatency {
		least = min(least, v)
	}
	return max(least, float64(time.Millisecond))
}

// SetSenders sets the function that returns the number of hosts that send to a service.
func (t *ReplicaTable) SetSenders(senders func(service string) int) { t.senders = senders }

// rampCost returns the part of a replica's cost that its ramp adds.
func (t *ReplicaTable) rampCost(now time.Duration, r *replica) float64 {
	if r.rampPending {
		t.startRamp(now, r)
	}
	if r.ramp == nil || r.ramp.allows(now) {
		return 0
	}
	return rampPenalty
}

// rampSent records that an attempt was sent to a replica.
func (r *replica) rampSent() {
	if r.ramp != nil {
		r.ramp.sent()
	}
}

// rampAnswered records successful answers of a replica, of this host or of another one.
func (r *replica) rampAnswered(now time.Duration, latency, answers float64) {
	if r.ramp == nil {
		return
	}
	r.ramp.answered(now, latency, answers)
	if r.ramp.ended(now) {
		r.ramp = nil
	}
}

// rampReported records the outcomes that another host had with a replica since its earlier
// report. This host's estimate of the latency follows them if it is older.
func (t *ReplicaTable) rampReported(now time.Duration, r *replica, earlier outcomes, reported report) {
	if r.ramp == nil {
		return
	}
	before := earlier.asOf(reported.at)
	if reported.failures-before.failures > minEvidence {
		r.ramp.backOff(now)
		return
	}
	answers := reported.attempts - before.attempts
	if answers <= 0 || reported.latency == 0 {
		return
	}
	if reported.at > r.relativeLatencyAt {
		t.updateRelativeLatency(now, r, reported.latency)
	}
	r.rampAnswered(now, reported.latency, answers)
}

// rampProbe returns the candidate with a ramp that is due to be probed. Hosts probe the
// replicas of their own data centre, since a replica elsewhere has hosts nearby.
func (t *ReplicaTable) rampProbe(now time.Duration, candidates []string) (string, bool) {
	for _, key := range candidates {
		r := t.replicas[key]
		if r == nil || r.gone || r.ramp == nil || r.dataCentre != t.dataCentre {
			continue
		}
		if now >= r.avoidUntil && r.ramp.probes(now) {
			return key, true
		}
	}
	return "", false
}

// rampFailed records a refusal or failure of a replica.
func (r *replica) rampFailed(now time.Duration) {
	if r.ramp != nil {
		r.ramp.backOff(now)
	}
}

// Ramping returns the number of replicas whose rate of attempts rises after a start or
// failures.
func (t *ReplicaTable) Ramping() int {
	n := 0
	for _, r := range t.replicas {
		if r.ramp != nil || r.rampPending {
			n++
		}
	}
	return n
}
