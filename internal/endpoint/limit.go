package endpoint

import (
	"math"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	// headroomPerMille is the ceiling of a limit, in thousandths of the slots.
	headroomPerMille = 1500
	// shedFactor and queueFactor shrink the limit after a refusal and when
	// attempts wait at the endpoint.
	shedFactor  = 0.7
	queueFactor = 0.9
	// queueFloor is the waiting time at the endpoint that is always tolerated.
	queueFloor = 2 * time.Millisecond
	// minDecreaseInterval is the least time between two decreases; a longer
	// service time extends it, so that one overload counts once.
	minDecreaseInterval = time.Millisecond
	// minProbeInterval is the time after which a full limit tries one more. It
	// doubles with each try that ends in a refusal, up to maxProbeInterval, or
	// to maxShareProbeInterval below the share.
	minProbeInterval      = 100 * time.Millisecond
	maxShareProbeInterval = time.Second
	maxProbeInterval      = 10 * time.Second
)

// Limit is the number of attempts that one relay keeps in flight at one
// replica. It starts from the relay's share of the published slots, so that
// relays together fill the slots without collisions, and may grow to all slots
// and headroomPerMille beyond, so that no slot idles when other relays have no
// work. It shrinks when the endpoint sheds or lets attempts wait, and then tries
// the refused level again only after a while, since each try may cost a refusal.
// It is at least 1 and never above the ceiling.
type Limit struct {
	value   float64
	share   float64
	ceiling float64
	// bound is the level up to which the limit grows freely.
	bound         float64
	probeAt       time.Duration
	probeInterval time.Duration
	// refused tells that the last probe ended in a refusal.
	refused bool
	// ramp is set after a cold start until the share is reached.
	ramp        bool
	decreasedAt time.Duration
	service     float64 // moving average in nanoseconds
	queue       float64 // moving average in nanoseconds
}

// NewLimit returns the limit of a replica with slots that relays relays share.
func NewLimit(slots, relays int) *Limit {
	l := &Limit{decreasedAt: -minDecreaseInterval}
	l.Resize(slots, relays)
	l.value = l.share
	l.bound = l.share
	l.probeInterval = minProbeInterval
	return l
}

// Resize takes over a change of the slots or of the number of relays.
func (l *Limit) Resize(slots, relays int) {
	slots, relays = max(slots, 1), max(relays, 1)
	l.share = float64((slots + relays - 1) / relays)
	l.ceiling = float64((slots*headroomPerMille + 999) / 1000)
	l.value = min(l.value, l.ceiling)
	l.bound = min(l.bound, l.ceiling)
}

// Value returns the limit.
func (l *Limit) Value() int { return max(int(l.value), 1) }

// Ceiling returns the largest value that the limit may take.
func (l *Limit) Ceiling() int { return int(l.ceiling) }

// RecordCompletion takes a reply to an attempt that ran. latency is the time since it
// was sent, service the endpoint's own time of it, and full tells whether the
// limit was reached while it ran.
func (l *Limit) RecordCompletion(now, latency, service time.Duration, full bool) {
	l.service += latencyWeight * (float64(service) - l.service)
	l.queue += latencyWeight * (float64(max(latency-service, 0)) - l.queue)
	if l.queue > float64(queueFloor)+l.service/2 {
		l.decrease(now, queueFactor)
		return
	}
	switch {
	case l.ramp:
		l.value++
		l.ramp = l.value < l.share
	case full:
		l.probe(now)
		l.value += 1 / l.value
	}
	l.value = min(l.value, l.bound)
}

// probe raises the bound of a limit that has reached it, if it is time to.
func (l *Limit) probe(now time.Duration) {
	if l.value < l.bound || l.bound >= l.ceiling || now < l.probeAt {
		return
	}
	if !l.refused {
		l.probeInterval = minProbeInterval
	}
	l.refused = false
	l.bound++
	l.probeAt = now + l.probeInterval
}

// shed takes the level that was refused out of reach for a while.
func (l *Limit) shed(now time.Duration) {
	longest := maxProbeInterval
	if l.bound <= l.share {
		longest = maxShareProbeInterval
	}
	l.probeInterval = min(2*l.probeInterval, longest)
	l.probeAt = now + l.probeInterval
	l.refused = true
	l.bound = max(min(l.bound, math.Floor(l.value))-1, 1)
}

// RecordRefusal takes a refusal by the endpoint.
func (l *Limit) RecordRefusal(now time.Duration, code result.Code) {
	switch code {
	case result.EndpointShed:
		if l.mayDecrease(now) {
			l.shed(now)
			l.decrease(now, shedFactor)
		}
	case result.EndpointCold:
		l.StartCold()
	}
}

// StartCold starts the limit anew at 1, for an endpoint that was started again. It
// then grows by one with each reply until the share is reached.
func (l *Limit) StartCold() {
	l.value = 1
	l.bound = l.share
	l.ramp = l.share > 1
	l.queue = 0
}

func (l *Limit) mayDecrease(now time.Duration) bool {
	return now-l.decreasedAt >= max(minDecreaseInterval, time.Duration(l.service))
}

func (l *Limit) decrease(now time.Duration, factor float64) {
	if !l.mayDecrease(now) {
		return
	}
	l.decreasedAt = now
	l.ramp = false
	l.value = max(l.value*factor, 1)
}
