package endpoint

import (
	"math"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	// maxLimitPerMille is the ceiling of a limit, in thousandths of the slots.
	maxLimitPerMille = 1500
	// The limit is multiplied by shedDecreaseFactor when the endpoint sheds an
	// attempt, and by queueDecreaseFactor when attempts queue at the endpoint.
	shedDecreaseFactor  = 0.7
	queueDecreaseFactor = 0.9
	// toleratedQueueTime is the queueing time at the endpoint that never causes
	// a decrease; half of the service time is tolerated in addition.
	toleratedQueueTime = 2 * time.Millisecond
	// minDecreaseInterval is the least time between two decreases. A longer
	// service time extends it, so that one overload causes one decrease.
	minDecreaseInterval = time.Millisecond
	// minProbeInterval is the time after which a limit that has reached its
	// growth bound probes one level higher. It doubles with each probe that ends
	// in a refusal, up to maxProbeInterval, or up to maxProbeIntervalBelowShare
	// while the bound is not above the share.
	minProbeInterval           = 100 * time.Millisecond
	maxProbeIntervalBelowShare = time.Second
	maxProbeInterval           = 10 * time.Second
)

// Limit is an adaptive concurrency limit: the number of attempts that one relay
// keeps in flight at one replica. It starts at the relay's share of the
// published slots, so that all relays together fill the slots without exceeding
// them. It may grow to all slots and further, up to maxLimitPerMille, so that no
// slot is idle while other relays have no work. It shrinks when the endpoint
// sheds an attempt or lets attempts queue, and probes the refused level again
// only after an interval, since each probe may cost a refusal. The limit is at
// least 1 and never above the ceiling.
type Limit struct {
	value float64
	// share is this relay's share of the published slots, and ceiling the
	// largest value.
	share   float64
	ceiling float64
	// growthBound is the level up to which the limit grows without a probe.
	growthBound   float64
	probeAt       time.Duration
	probeInterval time.Duration
	// probeRefused tells that the last probe ended in a refusal.
	probeRefused bool
	// slowStart is set after a cold start until the share is reached.
	slowStart   bool
	decreasedAt time.Duration
	serviceTime float64 // moving average in nanoseconds
	queueTime   float64 // moving average in nanoseconds
}

// NewLimit returns the limit of one relay for a replica. slots is the published
// number of slots of the replica, relays the number of relays that share them.
func NewLimit(slots, relays int) *Limit {
	l := &Limit{decreasedAt: -minDecreaseInterval}
	l.Resize(slots, relays)
	l.value = l.share
	l.growthBound = l.share
	l.probeInterval = minProbeInterval
	return l
}

// Resize applies a change of the slots or of the number of relays.
func (l *Limit) Resize(slots, relays int) {
	slots, relays = max(slots, 1), max(relays, 1)
	l.share = float64((slots + relays - 1) / relays)
	l.ceiling = float64((slots*maxLimitPerMille + 999) / 1000)
	l.value = min(l.value, l.ceiling)
	l.growthBound = min(l.growthBound, l.ceiling)
}

// Value returns the current limit.
func (l *Limit) Value() int { return max(int(l.value), 1) }

// Ceiling returns the largest value that the limit may take.
func (l *Limit) Ceiling() int { return int(l.ceiling) }

// RecordCompletion records a reply to an attempt that ran. latency is the time
// since it was sent, serviceTime the time that the endpoint reported for it, and
// full tells whether the limit was reached while it ran.
func (l *Limit) RecordCompletion(now, latency, serviceTime time.Duration, full bool) {
	l.serviceTime += latencyWeight * (float64(serviceTime) - l.serviceTime)
	l.queueTime += latencyWeight * (float64(max(latency-serviceTime, 0)) - l.queueTime)
	if l.queueTime > float64(toleratedQueueTime)+l.serviceTime/2 {
		l.decrease(now, queueDecreaseFactor)
		return
	}
	switch {
	case l.slowStart:
		l.value++
		l.slowStart = l.value < l.share
	case full:
		l.raiseGrowthBound(now)
		l.value += 1 / l.value
	}
	l.value = min(l.value, l.growthBound)
}

// raiseGrowthBound raises the growth bound by one if the limit has reached it
// and the probe interval has passed.
func (l *Limit) raiseGrowthBound(now time.Duration) {
	if l.value < l.growthBound || l.growthBound >= l.ceiling || now < l.probeAt {
		return
	}
	if !l.probeRefused {
		l.probeInterval = minProbeInterval
	}
	l.probeRefused = false
	l.growthBound++
	l.probeAt = now + l.probeInterval
}

// backOffAfterShed lowers the growth bound below the refused level and lengthens
// the probe interval.
func (l *Limit) backOffAfterShed(now time.Duration) {
	maxInterval := maxProbeInterval
	if l.growthBound <= l.share {
		maxInterval = maxProbeIntervalBelowShare
	}
	l.probeInterval = min(2*l.probeInterval, maxInterval)
	l.probeAt = now + l.probeInterval
	l.probeRefused = true
	l.growthBound = max(min(l.growthBound, math.Floor(l.value))-1, 1)
}

// RecordRefusal records a refusal by the endpoint. Codes other than EndpointShed
// and EndpointCold have no effect.
func (l *Limit) RecordRefusal(now time.Duration, code result.Code) {
	switch code {
	case result.EndpointShed:
		if l.mayDecrease(now) {
			l.backOffAfterShed(now)
			l.decrease(now, shedDecreaseFactor)
		}
	case result.EndpointCold:
		l.StartCold()
	}
}

// StartCold resets the limit to 1, for an endpoint that was restarted. The limit
// then grows by one with each reply until it reaches the share.
func (l *Limit) StartCold() {
	l.value = 1
	l.growthBound = l.share
	l.slowStart = l.share > 1
	l.queueTime = 0
}

func (l *Limit) mayDecrease(now time.Duration) bool {
	return now-l.decreasedAt >= max(minDecreaseInterval, time.Duration(l.serviceTime))
}

// decrease multiplies the limit by factor, unless the last decrease was too
// recent.
func (l *Limit) decrease(now time.Duration, factor float64) {
	if !l.mayDecrease(now) {
		return
	}
	l.decreasedAt = now
	l.slowStart = false
	l.value = max(l.value*factor, 1)
}
