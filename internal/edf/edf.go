// Package edf orders waiting work: by earliest deadline first (EDF) within an
// urgency class, and by priority between the classes, with a minimum share that
// keeps the less urgent classes from starving.
package edf

import (
	"container/heap"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
)

// FairnessInterval is the number of consecutive choices within which a class that
// stays ready is chosen, unless another class was skipped more often.
const FairnessInterval = 10

// Item is the sort key of an element and its position in a queue. Types that are
// queued embed it. Deadline and Sequence must not change while the element is in a
// queue.
type Item struct {
	Deadline time.Duration
	// Sequence orders elements with equal deadlines.
	Sequence uint64
	// index is the position in the heap.
	index int
}

// QueueItem returns the item itself, so that types that embed an Item implement
// [Element].
func (i *Item) QueueItem() *Item { return i }

// Before reports whether i is sorted before other.
func (i *Item) Before(other *Item) bool {
	if i.Deadline != other.Deadline {
		return i.Deadline < other.Deadline
	}
	return i.Sequence < other.Sequence
}

// Element is an element of a [Queue].
type Element interface {
	QueueItem() *Item
}

// Queue is a priority queue with the earliest deadline first. The zero value is
// an empty queue. An element is in at most one queue at a time.
type Queue[T Element] struct {
	elements elements[T]
}

// Len returns the number of elements.
func (q *Queue[T]) Len() int { return len(q.elements) }

// Push adds an element.
func (q *Queue[T]) Push(e T) { heap.Push(&q.elements, e) }

// First returns the element with the earliest deadline. The queue must not be
// empty.
func (q *Queue[T]) First() T { return q.elements[0] }

// Remove removes an element that is in the queue.
func (q *Queue[T]) Remove(e T) { heap.Remove(&q.elements, e.QueueItem().index) }

// CountBefore returns the number of elements that are sorted before i, which is not
// in the queue.
func (q *Queue[T]) CountBefore(i *Item) int {
	n := 0
	for _, e := range q.elements {
		if e.QueueItem().Before(i) {
			n++
		}
	}
	return n
}

// All is an iterator over the elements in heap order, which is not sorted but
// reproducible. The queue must not be changed during the iteration.
func (q *Queue[T]) All(yield func(T) bool) {
	for _, e := range q.elements {
		if !yield(e) {
			return
		}
	}
}

// elements implements heap.Interface.
type elements[T Element] []T

// Len implements heap.Interface.
func (h elements[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h elements[T]) Less(i, j int) bool { return h[i].QueueItem().Before(h[j].QueueItem()) }

// Swap implements heap.Interface.
func (h elements[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].QueueItem().index = i
	h[j].QueueItem().index = j
}

// Push implements heap.Interface. x is a T.
func (h *elements[T]) Push(x any) {
	e := x.(T)
	e.QueueItem().index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface. It removes the last element.
func (h *elements[T]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	var zero T
	(*h)[last] = zero
	*h = (*h)[:last]
	return e
}

// Ready tells for each urgency class whether it has work that can start.
type Ready [config.UrgencyCount]bool

// ClassScheduler chooses the urgency class that is served next, the most urgent
// first. A class that stays ready is chosen at least once in FairnessInterval +
// UrgencyCount choices.
type ClassScheduler struct {
	// skipped counts for each class the consecutive choices in which it was ready
	// and another class was chosen.
	skipped [config.UrgencyCount]int
}

// Choose returns the class that is served next, or false if none is ready.
func (s *ClassScheduler) Choose(ready Ready) (config.Urgency, bool) {
	chosen := -1
	for class, ok := range ready {
		if !ok {
			s.skipped[class] = 0
			continue
		}
		overdue := chosen >= 0 && s.skipped[class] >= FairnessInterval-1 && s.skipped[class] > s.skipped[chosen]
		if chosen < 0 || overdue {
			chosen = class
		}
		s.skipped[class]++
	}
	if chosen < 0 {
		return 0, false
	}
	s.skipped[chosen] = 0
	return config.Urgency(chosen), true
}
