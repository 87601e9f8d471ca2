package balance

import "time"

// QuantileEstimator estimates a quantile of a stream of durations in constant
// space, by moving the estimate up or down a step for each observation.
type QuantileEstimator struct {
	quantile float64
	value    float64
}

// quantileStep is the size of a step relative to the estimate.
const quantileStep = 0.05

// NewQuantileEstimator returns an estimator of the given quantile, between 0
// and 1, that starts at the initial value.
func NewQuantileEstimator(quantile float64, initial time.Duration) *QuantileEstimator {
	return &QuantileEstimator{quantile: quantile, value: float64(initial)}
}

// Observe adds one duration.
func (q *QuantileEstimator) Observe(d time.Duration) {
	step := quantileStep * q.value
	if float64(d) > q.value {
		q.value += step * q.quantile
	} else {
		q.value -= step * (1 - q.quantile)
	}
}

// Value returns the estimate.
func (q *QuantileEstimator) Value() time.Duration { return time.Duration(q.value) }
