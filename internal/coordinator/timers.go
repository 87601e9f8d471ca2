package coordinator

import (
	"container/heap"
	"time"
)

// timer schedules a step for a running query or a submission. Exactly one
// of query and submission is set.
type timer struct {
	at time.Duration
	// sequence orders timers with equal times, so that the order of steps does
	// not depend on the layout of the heap.
	sequence uint64
	// heapPosition is the index in the heap plus one, or zero if the timer is
	// not scheduled.
	heapPosition int
	query        *runningQuery
	submission   *submission
}

// timerHeap is a min-heap of timers by time. The timer of a request is removed
// when the request ends, so that the heap does not retain ended requests.
type timerHeap []*timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPosition = i + 1
	h[j].heapPosition = j + 1
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	*h = append(*h, t)
	t.heapPosition = len(*h)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.heapPosition = 0
	return t
}

// next returns the time of the earliest timer, and whether any timer is
// scheduled.
func (h timerHeap) next() (time.Duration, bool) {
	if len(h) == 0 {
		return 0, false
	}
	return h[0].at, true
}

// set schedules or reschedules a timer.
func (h *timerHeap) set(t *timer, at time.Duration) {
	switch {
	case t.heapPosition == 0:
		t.at = at
		heap.Push(h, t)
	case t.at != at:
		t.at = at
		heap.Fix(h, t.heapPosition-1)
	}
}

func (h *timerHeap) remove(t *timer) {
	if t.heapPosition > 0 {
		heap.Remove(h, t.heapPosition-1)
	}
}

// due reports whether the earliest timer is due.
func (h timerHeap) due(now time.Duration) bool { return len(h) > 0 && h[0].at <= now }

// processTimeouts processes everything that is due at now. Requests that wait
// for admission come before the timers, so that a request whose deadline has
// passed in the queue is refused as not dispatched.
func (m *Machine) processTimeouts(now time.Duration) {
	m.applyAdmissionChanges(now, m.admission.Tick(now))
	for m.timers.due(now) {
		t := m.timers[0]
		m.timers.remove(t)
		if t.query != nil {
			m.applyQueryActions(now, t.query, t.query.query.Tick(now))
		} else {
			m.expireWaiters(now, t.submission)
		}
	}
}
