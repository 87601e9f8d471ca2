package coordinator

import (
	"container/heap"
	"time"
)

// timer is the time at which a running query or a submission needs a step.
type timer struct {
	at time.Duration
	// order breaks ties, so that steps do not depend on the heap's layout.
	order uint64
	// position is the index in the heap plus one, or zero if it is in none.
	position   int
	query      *running
	submission *submission
}

// timerHeap holds one timer of each query and submission in progress. A timer
// leaves the heap with its request, so that an ended one is not retained.
type timerHeap []*timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i + 1
	h[j].position = j + 1
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	*h = append(*h, t)
	t.position = len(*h)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.position = 0
	return t
}

// next returns the earliest time of a timer.
func (h timerHeap) next() (time.Duration, bool) {
	if len(h) == 0 {
		return 0, false
	}
	return h[0].at, true
}

// set schedules a timer, anew if it was scheduled before.
func (h *timerHeap) set(t *timer, at time.Duration) {
	switch {
	case t.position == 0:
		t.at = at
		heap.Push(h, t)
	case t.at != at:
		t.at = at
		heap.Fix(h, t.position-1)
	}
}

func (h *timerHeap) remove(t *timer) {
	if t.position > 0 {
		heap.Remove(h, t.position-1)
	}
}

// due reports whether a timer's time has come.
func (h timerHeap) due(now time.Duration) bool { return len(h) > 0 && h[0].at <= now }

// expire carries out what is due by time alone: first what waits for admission,
// so that it is refused as never dispatched, and then the timers.
func (m *Machine) expire(now time.Duration) {
	m.admit(now, m.admission.Tick(now))
	for m.timers.due(now) {
		t := m.timers[0]
		m.timers.remove(t)
		if t.query != nil {
			m.apply(now, t.query, t.query.query.Tick(now))
		} else {
			m.expireWaiters(now, t.submission)
		}
	}
}
