package balance

import "time"

// QuantileEstimator follows a quantile of a stream of durations with one number.
type QuantileEstimator struct {
	share float64
	value float64
}

// quantileStep is the relative step of an estimate.
const quantileStep = 0.05

// NewQuantileEstimator returns an estimate of the share quantile that begins at a value.
func NewQuantileEstimator(share float64, begin time.Duration) *QuantileEstimator {
	return &QuantileEstimator{share: share, value: float64(begin)}
}

// Observe takes one duration.
func (q *QuantileEstimator) Observe(d time.Duration) {
	step := quantileStep * q.value
	if float64(d) > q.value {
		q.value += step * q.share
	} else {
		q.value -= step * (1 - q.share)
	}
}

// Value returns the estimate.
func (q *QuantileEstimator) Value() time.Duration { return time.Duration(q.value) }
