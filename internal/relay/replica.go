package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/edf"
	"github.com/gypsumlug/gypsumlug/internal/endpoint"
)

const (
	// leavingTTL is the time that a sign of leaving from a reply counts; the
	// view, which outlasts it, is fed from the same sign.
	leavingTTL = 30 * time.Second
	// minBackoff and maxHold bound the time in which nothing is sent after repeated
	// refusals. It doubles with each refusal.
	minBackoff = time.Millisecond
	maxBackoff = 32 * time.Millisecond
	// toleratedRefusals is the number of refusals in a row that cause no hold.
	toleratedRefusals = 1
	// serviceTimeWeight is the weight of a new sample in the average service time.
	serviceTimeWeight = 0.2
)

// replica is the state of one endpoint.
type replica struct {
	id      string
	address string
	// configured is false after the endpoint left the configuration.
	configured   bool
	viewLeaving  bool
	leavingUntil time.Duration
	assigned     bool
	share        int

	limit     *endpoint.Limit
	queues    [config.UrgencyCount]edf.Queue[*attempt]
	suspects  edf.Queue[*attempt]
	scheduler edf.ClassScheduler
	// sentSinceSuspect counts the attempts sent since the last suspect.
	sentSinceSuspect int

	running            []*attempt
	suspectRunning     bool
	averageServiceTime float64 // average time from send to completion in nanoseconds

	consecutiveRefusals int
	backoffUntil        time.Duration

	// inFlightPeaks are the most attempts in flight in this and the last warm period.
	inFlightPeaks    [2]int
	connectionTarget ConnectionTarget
}

func (r *replica) leaving(now time.Duration) bool { return r.viewLeaving || now < r.leavingUntil }

func (r *replica) queued() int {
	n := r.suspects.Len()
	for class := range r.queues {
		n += r.queues[class].Len()
	}
	return n
}

func (r *replica) hasAttempts() bool { return len(r.running) > 0 || r.queued() > 0 }

// capacity returns the number of attempts that may be in flight.
func (r *replica) capacity() int { return min(r.limit.Value(), max(r.share, 1)) }

func (r *replica) queueOf(a *attempt) *edf.Queue[*attempt] {
	if a.isSuspect() {
		return &r.suspects
	}
	return &r.queues[a.request.Urgency]
}

// waiting returns the waiting attempts in order of arrival.
func (r *replica) waiting() []*attempt {
	out := slices.AppendSeq(make([]*attempt, 0, r.queued()), r.suspects.All)
	for class := range r.queues {
		out = slices.AppendSeq(out, r.queues[class].All)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return out
}

// popNext chooses the class and takes its first attempt, or returns nil.
func (r *replica) popNext() *attempt {
	var ready edf.Ready
	for class := range r.queues {
		ready[class] = r.queues[class].Len() > 0
	}
	class, ok := r.scheduler.Choose(ready)
	if !ok {
		return nil
	}
	a := r.queues[class].First()
	r.queues[class].Remove(a)
	return a
}

// expectedWait estimates how long an attempt would wait in its class.
func (r *replica) expectedWait(a *attempt) time.Duration {
	ahead := r.queues[a.request.Urgency].CountBefore(&a.Item)
	for class := range a.request.Urgency {
		ahead += r.queues[class].Len()
	}
	return time.Duration(float64(ahead+1) * r.averageServiceTime / float64(r.capacity()))
}

// recordRefusal counts a refusal by the endpoint and holds back after several.
func (r *replica) recordRefusal(now time.Duration) {
	r.consecutiveRefusals++
	if n := r.consecutiveRefusals - toleratedRefusals; n > 0 {
		r.backoffUntil = now + min(minBackoff<<min(n-1, 10), maxBackoff)
	}
}

func (r *replica) recordServiceTime(duration time.Duration) {
	r.consecutiveRefusals = 0
	r.backoffUntil = 0
	if r.averageServiceTime == 0 {
		r.averageServiceTime = float64(duration)
		return
	}
	r.averageServiceTime += serviceTimeWeight * (float64(duration) - r.averageServiceTime)
}
