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
	// maxRefused bounds the share that is refused, so that recovery is seen.
	maxRefused = 0.75
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
	at        time.Duration
}

// Admit reports whether a request is admitted; point is drawn from [0, 1). A
// refused request is counted here, an admitted one by Done.
func (t *Throttle) Admit(now time.Duration, point float64) bool {
	t.fade(now)
	if point >= t.refused() {
		return true
	}
	t.requests++
	return false
}

// Done takes the outcome of an admitted request.
func (t *Throttle) Done(now time.Duration, success bool) {
	t.fade(now)
	t.requests++
	if success {
		t.successes++
	}
}

// Overloaded reports whether requests are being refused.
func (t *Throttle) Overloaded(now time.Duration) bool {
	t.fade(now)
	return t.refused() > 0
}

// refused returns the share of requests to refuse.
func (t *Throttle) refused() float64 {
	excess := t.requests - throttleFactor*t.successes - throttleReserve
	return min(max(excess/(t.requests+1), 0), maxRefused)
}

func (t *Throttle) fade(now time.Duration) {
	keep := math.Exp2(-float64(now-t.at) / float64(throttleHalfLife))
	t.requests *= keep
	t.successes *= keep
	t.at = now
}
