// Package edf orders work that waits: by earliest deadline within an urgency
// class, and by class with a floor for the classes that are passed over.
package edf

import (
	"container/heap"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
)

// FloorInterval is the number of choices of which at least one goes to a class
// that was passed over in all others.
const FloorInterval = 10

// Item is the place of an element; types that wait embed it. Deadline and
// Sequence must not change while the element is in a queue.
type Item struct {
	Deadline time.Duration
	// Sequence orders elements with equal deadlines.
	Sequence uint64
	index    int
}

// Position returns the item itself, so that types that embed an Item are an
// [Element].
func (i *Item) Position() *Item { return i }

// Before reports whether i goes before other.
func (i *Item) Before(other *Item) bool {
	if i.Deadline != other.Deadline {
		return i.Deadline < other.Deadline
	}
	return i.Sequence < other.Sequence
}

// Element is what a queue holds.
type Element interface {
	Position() *Item
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
func (q *Queue[T]) Remove(e T) { heap.Remove(&q.elements, e.Position().index) }

// Ahead counts the elements that go before one that is not in the queue.
func (q *Queue[T]) Ahead(i *Item) int {
	n := 0
	for _, e := range q.elements {
		if e.Position().Before(i) {
			n++
		}
	}
	return n
}

// All calls yield for each element, in no useful but a reproducible order. The
// queue must not be changed meanwhile.
func (q *Queue[T]) All(yield func(T) bool) {
	for _, e := range q.elements {
		if !yield(e) {
			return
		}
	}
}

// elements implements heap.Interface.
type elements[T Element] []T

// Len returns the number of elements.
func (h elements[T]) Len() int { return len(h) }

// Less compares two elements.
func (h elements[T]) Less(i, j int) bool { return h[i].Position().Before(h[j].Position()) }

// Swap exchanges two elements.
func (h elements[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].Position().index = i
	h[j].Position().index = j
}

// Push appends a T for package heap.
func (h *elements[T]) Push(x any) {
	e := x.(T)
	e.Position().index = len(*h)
	*h = append(*h, e)
}

// Pop removes the last element for package heap.
func (h *elements[T]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	var zero T
	(*h)[last] = zero
	*h = (*h)[:last]
	return e
}

// Ready tells for each class whether it has work that could start.
type Ready [config.UrgencyCount]bool

// Floor chooses classes, the most urgent first. A class that stays ready is
// chosen at least once in FloorInterval + UrgencyCount choices.
type Floor struct {
	// passed counts for each class the choices that passed it over.
	passed [config.UrgencyCount]int
}

// Choose returns the class that goes next, or false if none is ready.
func (f *Floor) Choose(ready Ready) (config.Urgency, bool) {
	chosen := -1
	for class, ok := range ready {
		if !ok {
			f.passed[class] = 0
			continue
		}
		overdue := chosen >= 0 && f.passed[class] >= FloorInterval-1 && f.passed[class] > f.passed[chosen]
		if chosen < 0 || overdue {
			chosen = class
		}
		f.passed[class]++
	}
	if chosen < 0 {
		return 0, false
	}
	f.passed[chosen] = 0
	return config.Urgency(chosen), true
}
