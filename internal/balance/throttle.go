package balance

import (
	"math"
	"time"
)

const (
	// throttleHalfLife is the time in which an outcome loses half of its weight.
	throttleHalfLife = time.Second
	// throttleFactor times the requests that succeed are admitted. Its inverse is
	// the share of successes from which requests are refused.
	throttleFactor = 1.3
	// throttleReserve is the number of failures that are always tolerated.
	throttleReserve = 3
	// maxRefusalShare bounds the share that is refused, so that recovery is seen.
	maxRefusalShare = 0.75
)

// Throttle refuses requests that would fail for lack of capacity.
//
// An index of many shards that is asked for more than its replicas can run
// answers almost no query whole: each shard drops a few, and each query needs
// nearly all shards. Admitting only a little more than what succeeds keeps those
// that are admitted whole. The share that is refused follows from the outcomes
// alone: it grows while less than the inverse of throttleFactor of the admitted
// requests succeed.
type Throttle struct {
	requests  float64
	successes float64
	decayedAt time.Duration
}

// Admit reports whether a request is admitted; point is drawn from [0, 1). A
// refused request is counted here, an admitted one by Done.
func (t *Throttle) Admit(now time.Duration, point float64) bool {
	t.decay(now)
	if point >= t.refusalShare() {
		return true
	}
	t.requests++
	return false
}

// RecordOutcome takes the outcome of an admitted request.
func (t *Throttle) RecordOutcome(now time.Duration, success bool) {
	t.decay(now)
	t.requests++
	if success {
		t.successes++
	}
}

// Overloaded reports whether requests are being refused.
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
	keep := math.Exp2(-float64(now-t.decayedAt) / float64(throttleHalfLife))
	t.requests *= keep
	t.successes *= keep
	t.decayedAt = now
}
