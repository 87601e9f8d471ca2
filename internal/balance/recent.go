package balance

import (
	"slices"
	"time"
)

// recentCount is the number of durations that RecentDurations keeps.
const recentCount = 32

// RecentDurations holds the latest durations of a kind of request. The zero value is
// empty.
type RecentDurations struct {
	durations []time.Duration
	// next is the index of the oldest duration, once there are recentCount.
	next int
}

// Observe adds one duration.
func (r *RecentDurations) Observe(d time.Duration) {
	if len(r.durations) < recentCount {
		r.durations = append(r.durations, d)
		return
	}
	r.durations[r.next] = d
	r.next = (r.next + 1) % recentCount
}

// Quantile returns a quantile of the durations, between 0 and 1, or zero if there are
// none.
func (r *RecentDurations) Quantile(q float64) time.Duration {
	if len(r.durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.durations))
	return sorted[int(q*float64(len(sorted)-1))]
}
