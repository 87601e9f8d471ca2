package balance

import (
	"slices"
	"time"
)

const (
	// A data centre is out of reach if silentAttempts attempts at silentReplicas of its
	// replicas were sent without an answer from any of them, the first of them
	// silenceTime ago or silenceLatencies typical latencies, while answersElsewhere came
	// from other data centres: without those, this host itself may have been suspended.
	silentAttempts   = 6
	silentReplicas   = 3
	answersElsewhere = 3
	silenceTime      = 150 * time.Millisecond
	silenceLatencies = 6
	// outOfReachTime is how long a data centre counts as out of reach without new
	// evidence. It ends earlier with an answer or a heartbeat from there.
	outOfReachTime = 2 * time.Second
	// confirmTime is how long a data centre must have been out of reach before requests are
	// refused for that. Until then it is only avoided: an answer may just be late.
	confirmTime = 300 * time.Millisecond
	// outOfReachPenalty is added to the cost of a replica there, in typical latencies. It is
	// above the penalty of a replica that is avoided after failures.
	outOfReachPenalty = 100_000
	// reachProbeInterval is the least time between two first attempts at a data centre
	// out of reach for shards that have replicas elsewhere.
	reachProbeInterval = 500 * time.Millisecond
)

// MaxOutOfReach bounds the data centres that are accepted from another host.
const MaxOutOfReach = 16

// centre is what is known of the reachability of a data centre.
type centre struct {
	// unanswered is when the first attempt since the last answer was sent, zero if there
	// is none. attempts and replicas are the attempts since then and some of their
	// replicas, and answers the number of all answers until then.
	unanswered time.Duration
	attempts   int
	replicas   []*replica
	answers    uint64
	// outUntil is until when the data centre is out of reach, zero if it was not since its
	// last answer, and probeAt when a first
	// attempt may be sent there nonetheless.
	outUntil, probeAt time.Duration
	// outSince is when it was found to be out of reach.
	outSince time.Duration
}

// centreSent records that an attempt was sent to a replica.
func (t *ReplicaTable) centreSent(now time.Duration, r *replica) {
	c := r.centre
	if c.unanswered == 0 {
		c.unanswered, c.attempts, c.answers = max(now, 1), 0, t.answers
		c.replicas = c.replicas[:0]
	}
	c.attempts++
	if len(c.replicas) < silentReplicas && !slices.Contains(c.replicas, r) {
		c.replicas = append(c.replicas, r)
	}
}

// centreAnswered records that a replica of a data centre answered.
func (t *ReplicaTable) centreAnswered(c *centre) {
	t.answers++
	c.unanswered, c.outUntil = 0, 0
}

// notSent records that an attempt did not leave this host.
func (c *centre) notSent() { c.attempts = max(c.attempts-1, 0) }

// outOfReach reports whether a data centre, other than this host's, is out of reach.
func (t *ReplicaTable) outOfReach(now time.Duration, c *centre, typical float64) bool {
	if now < c.outUntil || t.isolated && c != t.centres[t.dataCentre] {
		return true
	}
	silence := max(silenceTime, time.Duration(silenceLatencies*typical))
	if c == t.centres[t.dataCentre] || c.unanswered == 0 || now-c.unanswered < silence {
		return false
	}
	enough := c.attempts >= silentAttempts && len(c.replicas) >= silentReplicas && t.answers-c.answers >= answersElsewhere
	probeFailed := c.outUntil > 0
	if !enough && !probeFailed {
		return false
	}
	t.setOutOfReach(now, c)
	return true
}

func (t *ReplicaTable) setOutOfReach(now time.Duration, c *centre) {
	if c.outUntil == 0 {
		c.outSince = now
	}
	c.outUntil = now + outOfReachTime
	c.probeAt = now + reachProbeInterval
	c.unanswered = 0
}

// probesCentre reports whether the next first attempt may go to a data centre although it
// is out of reach, and if so takes it.
func (c *centre) probesCentre(now time.Duration) bool {
	if now >= c.outUntil || now < c.probeAt {
		return false
	}
	c.probeAt = now + reachProbeInterval
	return true
}

// centreOf returns the state of a data centre.
func (t *ReplicaTable) centreOf(name string) *centre {
	c := t.centres[name]
	if c == nil {
		c = &centre{}
		t.centres[name] = c
	}
	return c
}

// confirmedOutOfReach reports whether a data centre has been out of reach for a while.
func (t *ReplicaTable) confirmedOutOfReach(now time.Duration, c *centre) bool {
	if !t.outOfReach(now, c, float64(defaultTypicalLatency)) {
		return false
	}
	return t.isolated || now-c.outSince >= confirmTime
}

// OutOfReach returns the names of the data centres that have been out of reach for a while,
// sorted.
func (t *ReplicaTable) OutOfReach(now time.Duration) []string {
	var names []string
	for name, c := range t.centres {
		if t.confirmedOutOfReach(now, c) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// AnyOutOfReach reports whether a data centre has been out of reach for a while.
func (t *ReplicaTable) AnyOutOfReach(now time.Duration) bool {
	for _, c := range t.centres {
		if t.confirmedOutOfReach(now, c) {
			return true
		}
	}
	return false
}

// Known reports whether a replica is in the table.
func (t *ReplicaTable) Known(key string) bool { return t.replicas[key] != nil }

// InReach reports whether a replica is known and its data centre has not been out of reach
// for a while.
func (t *ReplicaTable) InReach(now time.Duration, key string) bool {
	r := t.replicas[key]
	return r != nil && !t.confirmedOutOfReach(now, r.centre)
}

// SetOutOfReach records that a data centre is out of reach, as another host of this data
// centre found.
func (t *ReplicaTable) SetOutOfReach(now time.Duration, dataCentre string) {
	if c := t.centres[dataCentre]; c != nil && dataCentre != t.dataCentre {
		t.setOutOfReach(now, c)
		c.outSince = min(c.outSince, now-confirmTime)
	}
}

// SetIsolated records whether this host's data centre is cut off from all others.
func (t *ReplicaTable) SetIsolated(isolated bool) { t.isolated = isolated }

// Heard records a sign of life from a data centre.
func (t *ReplicaTable) Heard(dataCentre string) {
	if c := t.centres[dataCentre]; c != nil {
		c.unanswered, c.outUntil = 0, 0
	}
}
