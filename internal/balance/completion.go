package balance

import (
	"math"
	"time"
)

const (
	// completionBuckets is the number of equal parts of a route's target in which
	// completions are counted.
	completionBuckets = 32
	// completionHalfLife is the time in which the weight of an attempt halves.
	// completionDecayInterval is the least time between two decays.
	completionHalfLife      = 4 * time.Second
	completionDecayInterval = 100 * time.Millisecond
	// initialCompletionRate is the share of open attempts assumed to complete within a
	// bucket without data: an attempt that is open is expected to complete. Each bucket
	// starts from the rate of the one before it, with the weight completionPrior, since
	// few attempts are open for long.
	initialCompletionRate = 0.1
	completionPrior       = 0.5
)

// CompletionTimes estimates how likely an open attempt of a route completes within a time,
// from how long earlier ones took. Attempts that ended without an answer, or were
// cancelled, count for as long as they were open.
type CompletionTimes struct {
	width time.Duration
	// ended and completed are the numbers of attempts that ended, and of those that
	// completed, by the bucket of their duration. The last bucket is for longer ones.
	ended, completed [completionBuckets + 1]float64
	decayedAt        time.Duration
}

// NewCompletionTimes returns an estimator for a route with the given target.
func NewCompletionTimes(target time.Duration) *CompletionTimes {
	return &CompletionTimes{width: max(target/completionBuckets, 1)}
}

// bucket returns the bucket of a duration.
func (c *CompletionTimes) bucket(d time.Duration) int {
	return int(min(max(d, 0)/c.width, completionBuckets))
}

// Observe adds an attempt that was open for a time and then completed or ended otherwise.
func (c *CompletionTimes) Observe(now, took time.Duration, completed bool) {
	c.decay(now)
	i := c.bucket(took)
	c.ended[i]++
	if completed {
		c.completed[i]++
	}
}

func (c *CompletionTimes) decay(now time.Duration) {
	if now-c.decayedAt < completionDecayInterval {
		return
	}
	factor := math.Exp2(-float64(now-c.decayedAt) / float64(completionHalfLife))
	c.decayedAt = now
	for i := range c.ended {
		c.ended[i] *= factor
		c.completed[i] *= factor
	}
}

// Chance returns how likely an attempt that has been open for a time completes before it
// has been open until another time.
func (c *CompletionTimes) Chance(open, until time.Duration) float64 {
	atRisk := 0.0
	for i := range c.ended {
		atRisk += c.ended[i]
	}
	rate, missed := initialCompletionRate, 1.0
	from, end := c.bucket(open), c.bucket(until)
	for i := range c.ended {
		if i >= end {
			break
		}
		rate = (c.completed[i] + completionPrior*rate) / (atRisk + completionPrior)
		if i >= from {
			missed *= 1 - rate
		}
		atRisk = max(atRisk-c.ended[i], 0)
	}
	return 1 - missed
}
