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
	// minHold and maxHold bound the time in which nothing is sent after repeated
	// refusals. It doubles with each refusal.
	minHold = time.Millisecond
	maxHold = 32 * time.Millisecond
	// freeRefusals is the number of refusals in a row that cause no hold.
	freeRefusals = 1
	// serviceWeight is the weight of a new sample in the average service time.
	serviceWeight = 0.2
)

// replica is the state of one endpoint.
type replica struct {
	id      string
	address string
	// known is false after the endpoint left the configuration.
	known        bool
	viewLeaving  bool
	leavingUntil time.Duration
	assigned     bool
	share        int

	limit    *endpoint.Limit
	queues   [config.UrgencyCount]edf.Queue[*attempt]
	suspects edf.Queue[*attempt]
	floor    edf.Floor
	// sinceSuspect counts the attempts sent since the last suspect.
	sinceSuspect int

	running []*attempt
	alone   bool
	service float64 // average time from send to completion in nanoseconds

	refusals  int
	holdUntil time.Duration

	// peaks are the most attempts in flight in this and the last warm period.
	peaks  [2]int
	target ConnectionTarget
}

func (r *replica) leaving(now time.Duration) bool { return r.viewLeaving || now < r.leavingUntil }

func (r *replica) queued() int {
	n := r.suspects.Len()
	for class := range r.queues {
		n += r.queues[class].Len()
	}
	return n
}

func (r *replica) busy() bool { return len(r.running) > 0 || r.queued() > 0 }

// capacity returns the number of attempts that may be in flight.
func (r *replica) capacity() int { return min(r.limit.Value(), max(r.share, 1)) }

func (r *replica) queueOf(a *attempt) *edf.Queue[*attempt] {
	if a.suspect() {
		return &r.suspects
	}
	return &r.queues[a.request.Urgency]
}

// all returns the waiting attempts in order of arrival.
func (r *replica) all() []*attempt {
	out := slices.AppendSeq(make([]*attempt, 0, r.queued()), r.suspects.All)
	for class := range r.queues {
		out = slices.AppendSeq(out, r.queues[class].All)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return out
}

// next chooses the class and takes its first attempt, or returns nil.
func (r *replica) next() *attempt {
	var ready edf.Ready
	for class := range r.queues {
		ready[class] = r.queues[class].Len() > 0
	}
	class, ok := r.floor.Choose(ready)
	if !ok {
		return nil
	}
	a := r.queues[class].First()
	r.queues[class].Remove(a)
	return a
}

// expectedWait estimates how long an attempt would wait in its class.
func (r *replica) expectedWait(a *attempt) time.Duration {
	ahead := r.queues[a.request.Urgency].Ahead(&a.Item)
	for class := range a.request.Urgency {
		ahead += r.queues[class].Len()
	}
	return time.Duration(float64(ahead+1) * r.service / float64(r.capacity()))
}

// refused counts a refusal by the endpoint and holds back after several.
func (r *replica) refused(now time.Duration) {
	r.refusals++
	if n := r.refusals - freeRefusals; n > 0 {
		r.holdUntil = now + min(minHold<<min(n-1, 10), maxHold)
	}
}

func (r *replica) observe(duration time.Duration) {
	r.refusals = 0
	r.holdUntil = 0
	if r.service == 0 {
		r.service = float64(duration)
		return
	}
	r.service += serviceWeight * (float64(duration) - r.service)
}
