package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
)

const (
	// hintAgeUnit is the unit of Age in a hint, and maxHintAge the age from which
	// outcomes are not passed on.
	hintAgeUnit = 100 * time.Millisecond
	maxHintAge  = 2 * failureHalfLife
	// hintCountUnit is the reciprocal of the unit of the counts in a hint.
	hintCountUnit = 4
	maxHintCount  = 127
)

// hashName returns the hash by which a hint names a replica or host.
func hashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// FailureHints returns at most n hints on replicas that fail to answer, in turn. A hint
// holds the outcomes of this host or those that it heard of from another one.
func (t *ReplicaTable) FailureHints(now time.Duration, n int, rng *rand.Rand) []peerwire.FailureHint {
	var hints []peerwire.FailureHint
	if !t.AnyFailures(now) && t.Ramping() == 0 {
		return nil
	}
	for range t.order {
		if len(hints) == n {
			break
		}
		t.nextHint = (t.nextHint + 1) % len(t.order)
		r := t.replicas[t.order[t.nextHint]]
		if !t.worthHint(now, r) {
			continue
		}
		if h, ok := t.failureHint(now, r, rng); ok {
			hints = append(hints, h)
		}
	}
	return hints
}

// FailureHintsOf returns at most n hints on those of some replicas that fail to answer, from
// a random one on.
func (t *ReplicaTable) FailureHintsOf(now time.Duration, keys []string, n int, rng *rand.Rand) []peerwire.FailureHint {
	var hints []peerwire.FailureHint
	start := rng.IntN(max(len(keys), 1))
	for i := range keys {
		if len(hints) == n {
			break
		}
		r := t.replicas[keys[(start+i)%len(keys)]]
		if r == nil || !t.worthHint(now, r) {
			continue
		}
		if h, ok := t.failureHint(now, r, rng); ok {
			hints = append(hints, h)
		}
	}
	return hints
}

// worthHint reports whether other hosts need the outcomes of a replica: it fails to answer,
// or its rate of attempts rises after a start.
func (t *ReplicaTable) worthHint(now time.Duration, r *replica) bool {
	return r.ramp != nil || r.failureRate.current(now) > 0
}

// failureHint returns a hint on a replica: the outcomes of this host in half of the
// cases, if there are any.
func (t *ReplicaTable) failureHint(now time.Duration, r *replica, rng *rand.Rand) (peerwire.FailureHint, bool) {
	source, o, latency := t.self, r.failureRate.own, r.lastLatency
	if n := len(r.failureRate.reports); n > 0 && (o.attempts == 0 || rng.IntN(2) == 0) {
		report := r.failureRate.reports[rng.IntN(n)]
		source, o, latency = report.source, report.outcomes, report.latency
	}
	age := now - o.at
	if o.attempts == 0 || age > maxHintAge {
		return peerwire.FailureHint{}, false
	}
	scale := min(hintCountUnit, maxHintCount/o.attempts)
	return peerwire.FailureHint{
		Replica: r.hash, Source: source, Age: uint8(age / hintAgeUnit),
		Attempts: uint8(math.Round(o.attempts * scale)), Failures: uint8(math.Round(o.failures * scale)),
		Latency: uint8(min(math.Round(latency*hintCountUnit), math.MaxUint8)),
	}, true
}

// MergeFailureHint records the outcomes that another host had with a replica. Hints on
// unknown replicas, of this host's own outcomes, or of no sense are ignored.
func (t *ReplicaTable) MergeFailureHint(now time.Duration, h peerwire.FailureHint) {
	key, known := t.keyByHash[h.Replica]
	age := time.Duration(h.Age) * hintAgeUnit
	if !known || h.Source == t.self || h.Attempts == 0 || h.Failures > h.Attempts || age > maxHintAge {
		return
	}
	r := t.replicas[key]
	if h.Failures == 0 && !t.worthHint(now, r) {
		return
	}
	t.failuresUntil = now + maxHintAge
	reported := report{source: h.Source, latency: float64(h.Latency) / hintCountUnit, outcomes: outcomes{
		attempts: float64(h.Attempts) / hintCountUnit, failures: float64(h.Failures) / hintCountUnit, at: now - age,
	}}
	if earlier, added := r.failureRate.merge(now, reported); added {
		t.rampReported(now, r, earlier, reported)
	}
}

// AnyFailures reports whether a replica may have a failure rate above zero.
func (t *ReplicaTable) AnyFailures(now time.Duration) bool { return now < t.failuresUntil }

// FailureRate returns the estimated share of attempts that a replica fails to answer.
func (t *ReplicaTable) FailureRate(now time.Duration, key string) float64 {
	if r := t.replicas[key]; r != nil {
		return r.failureRate.current(now)
	}
	return 0
}

// Lossy returns the number of replicas that fail to answer some of their attempts.
func (t *ReplicaTable) Lossy(now time.Duration) int {
	n := 0
	for _, r := range t.replicas {
		if r.failureRate.current(now) >= suspectRate {
			n++
		}
	}
	return n
}
