package balance

import "time"

// Quantile follows a quantile of a stream of durations with one number.
type Quantile struct {
	share float64
	value float64
}

// quantileStep is the relative step of an estimate.
const quantileStep = 0.05

// NewQuantile returns an estimate of the share quantile that begins at a value.
func NewQuantile(share float64, begin time.Duration) *Quantile {
	return &Quantile{share: share, value: float64(begin)}
}

// Observe takes one duration.
func (q *Quantile) Observe(d time.Duration) {
	step := quantileStep * q.value
	if float64(d) > q.value {
		q.value += step * q.share
	} else {
		q.value -= step * (1 - q.share)
	}
}

// Value returns the estimate.
func (q *Quantile) Value() time.Duration { return time.Duration(q.value) }
