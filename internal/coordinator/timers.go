package coordinator

import (
	"container/heap"
	"time"
)

// timer is the time at which a running query needs a step. Timers of ended or
// rescheduled queries stay in the heap and are skipped.
type timer struct {
	at    time.Duration
	query *running
}

type timerHeap []timer

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}

// next returns the earliest time of a timer that is still valid.
func (h *timerHeap) next() (time.Duration, bool) {
	for len(*h) > 0 {
		if first := (*h)[0]; first.at == first.query.wake {
			return first.at, true
		}
		heap.Pop(h)
	}
	return 0, false
}

// schedule sets the time of the query's next step.
func (m *Machine) schedule(r *running) {
	at := r.query.Next()
	if at == r.wake {
		return
	}
	r.wake = at
	heap.Push(&m.timers, timer{at: at, query: r})
}

// runTimers steps every query whose time has come.
func (m *Machine) runTimers(now time.Duration) {
	for {
		at, ok := m.timers.next()
		if !ok || at > now {
			return
		}
		r := m.timers[0].query
		heap.Pop(&m.timers)
		r.wake = 0
		m.apply(now, r, r.query.Tick(now))
	}
}
