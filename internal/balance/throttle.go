package balance

import (
	"math"
	"time"
)

const (
	// throttleHalfLife is the time in which the weight of an outcome halves.
	throttleHalfLife = time.Second
	// throttleFactor is the ratio of requests to successful ones up to which
	// all requests are admitted. Some are refused while fewer than
	// 1/throttleFactor of them succeed.
	throttleFactor = 1.3
	// throttleReserve is the number of failures that are always tolerated.
	throttleReserve = 3
	// maxRefusalShare bounds the share of requests that are refused, so that
	// the throttle notices when the replicas recover.
	maxRefusalShare = 0.75
)

// Throttle refuses requests that would fail for lack of capacity.
//
// When an index with many shards gets more queries than its replicas can run,
// almost no query is complete: each shard drops a few attempts, and each query
// needs nearly all shards. If only slightly more queries are admitted than
// succeed, the admitted ones are complete. The share of refused requests
// depends only on outcomes: it grows while fewer than 1/throttleFactor of the
// requests succeed.
type Throttle struct {
	requests  float64
	successes float64
	decayedAt time.Duration
}

// Admit reports whether to admit a request. draw is a random number in [0, 1).
// Admit counts a refused request itself; RecordOutcome counts an admitted one.
func (t *Throttle) Admit(now time.Duration, draw float64) bool {
	t.decay(now)
	if draw >= t.refusalShare() {
		return true
	}
	t.requests++
	return false
}

// RecordOutcome counts an admitted request and whether it succeeded.
func (t *Throttle) RecordOutcome(now time.Duration, success bool) {
	t.decay(now)
	t.requests++
	if success {
		t.successes++
	}
}

// Overloaded reports whether the throttle is refusing some requests.
func (t *Throttle) Overloaded(now time.Duration) bool {
	t.decay(now)
	return t.refusalShare() > 0
}

// refusalShare returns the share of requests to refuse.
func (t *Throttle) refusalShare() float64 {
	excess := t.requests - throttleFactor*t.successes - throttleReserve
	return min(max(excess/(t.requests+1), 0), maxRefusalShare)
}

func (t *Throttle) decay(now time.Duration) {
	factor := math.Exp2(-float64(now-t.decayedAt) / float64(throttleHalfLife))
	t.requests *= factor
	t.successes *= factor
	t.decayedAt = now
}
