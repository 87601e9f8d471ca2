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
	// leavingTTL is how long an endpoint counts as leaving after one of its replies
	// said so. The same reply also reaches the view, which keeps it for longer.
	leavingTTL = 30 * time.Second
	// minBackoff and maxBackoff bound the time in which nothing is sent after
	// repeated refusals. It doubles with each refusal.
	minBackoff = time.Millisecond
	maxBackoff = 32 * time.Millisecond
	// requestBytesPerConnection bounds the bodies that this host has in flight at an endpoint,
	// for each connection of its share.
	requestBytesPerConnection = 256 << 10
	// toleratedRefusals is the number of consecutive refusals that cause no backoff.
	toleratedRefusals = 1
	// serviceTimeWeight is the weight of a new sample in the average service time.
	serviceTimeWeight = 0.2
)

// replica is the state that this relay keeps of one endpoint.
type replica struct {
	id      string
	address string
	// configured is false after the endpoint was removed from the configuration.
	configured bool
	// viewLeaving means that the view lists the endpoint as leaving. leavingUntil is
	// the time until which it counts as leaving because of a reply.
	viewLeaving  bool
	leavingUntil time.Duration
	// assigned means that the view assigns the endpoint to this host. share is the
	// number of connections that this host may use.
	assigned bool
	share    int

	limit     *endpoint.Limit
	queues    [config.UrgencyCount]edf.Queue[*attempt]
	suspects  edf.Queue[*attempt]
	scheduler edf.ClassScheduler
	// sentSinceSuspect is the number of attempts sent since the last suspect.
	sentSinceSuspect int

	running []*attempt
	// requestBytes is the size of the bodies of the attempts in flight.
	requestBytes       int
	suspectRunning     bool
	averageServiceTime float64 // from send to completion, in nanoseconds

	consecutiveRefusals int
	backoffUntil        time.Duration

	// inFlightPeaks are the peak numbers of attempts in flight in the current and the
	// last warm period.
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

// capacity returns the largest number of attempts that may be in flight.
func (r *replica) capacity() int { return min(r.limit.Value(), max(r.share, 1)) }

// hasRoom reports whether another attempt may be sent. The last attempt in flight may take the
// bodies over the bound, so that one of any size is sent.
func (r *replica) hasRoom() bool {
	return len(r.running) < r.capacity() && r.requestBytes < max(r.share, 1)*requestBytesPerConnection
}

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

// popNext removes and returns the attempt that is sent next, or nil if none waits.
// Suspects are not included.
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

// expectedWait estimates how long an attempt would wait in the queue of its class.
func (r *replica) expectedWait(a *attempt) time.Duration {
	ahead := r.queues[a.request.Urgency].CountBefore(&a.Item)
	for class := range a.request.Urgency {
		ahead += r.queues[class].Len()
	}
	return time.Duration(float64(ahead+1) * r.averageServiceTime / float64(r.capacity()))
}

// recordRefusal counts a refusal by the endpoint and starts a backoff after repeated
// ones.
func (r *replica) recordRefusal(now time.Duration) {
	r.consecutiveRefusals++
	if n := r.consecutiveRefusals - toleratedRefusals; n > 0 {
		r.backoffUntil = now + min(minBackoff<<min(n-1, 10), maxBackoff)
	}
}

// recordServiceTime adds a sample to the average service time and ends the backoff.
func (r *replica) recordServiceTime(duration time.Duration) {
	r.consecutiveRefusals = 0
	r.backoffUntil = 0
	if r.averageServiceTime == 0 {
		r.averageServiceTime = float64(duration)
		return
	}
	r.averageServiceTime += serviceTimeWeight * (float64(duration) - r.averageServiceTime)
}
