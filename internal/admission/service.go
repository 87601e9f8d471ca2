package admission

import (
	"container/heap"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
)

// holdWeight is the weight of a new sample in the average time that requests
// hold their place.
const holdWeight = 0.1

// entry is a request that has not ended.
type entry struct {
	id       string
	service  *service
	caller   *caller
	deadline time.Duration
	sequence uint64
	// index is the place in the heap, or admitted.
	index      int
	admittedAt time.Duration
}

const admitted = -1

// before is the order of admission within a class.
func (e *entry) before(other *entry) bool {
	if e.deadline != other.deadline {
		return e.deadline < other.deadline
	}
	return e.sequence < other.sequence
}

// entries is a heap with the earliest deadline first.
type entries []*entry

func (h entries) Len() int           { return len(h) }
func (h entries) Less(i, j int) bool { return h[i].before(h[j]) }
func (h entries) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends an *entry for package heap.
func (h *entries) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop removes the last entry for package heap.
func (h *entries) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// ahead counts the entries that would be admitted before e.
func (h entries) ahead(e *entry) int {
	n := 0
	for _, other := range h {
		if other.before(e) {
			n++
		}
	}
	return n
}

// service is the state of one service.
type service struct {
	name string
	// config is nil after the service left the configuration.
	config  *config.Service
	callers map[string]*caller
	// anyone stands for all callers of a service that lists none.
	anyone   caller
	queue    entries
	inFlight int
	// hold is the average time from admission to release in nanoseconds.
	hold float64
}

func (s *service) hasCapacity() bool {
	return s.config != nil && s.inFlight < s.config.InFlightLimit
}

// caller returns the state of the named caller; it is nil if the service lists
// callers and not this one.
func (s *service) caller(name string) *caller {
	if len(s.config.Callers) == 0 {
		return &s.anyone
	}
	c := s.callers[name]
	if c == nil || c.limits == nil {
		return nil
	}
	return c
}

// configure takes over a new configuration and keeps the callers' counts.
func (s *service) configure(c *config.Service) {
	s.config = c
	for _, known := range s.callers {
		known.limits = nil
	}
	if c == nil {
		return
	}
	for i := range c.Callers {
		limits := &c.Callers[i]
		if s.callers[limits.Name] == nil {
			s.callers[limits.Name] = &caller{}
		}
		s.callers[limits.Name].limits = limits
	}
	for name, known := range s.callers {
		if known.limits == nil && known.requests == 0 {
			delete(s.callers, name)
		}
	}
}

// observe takes the time that a request held its place.
func (s *service) observe(hold time.Duration) {
	if s.hold == 0 {
		s.hold = float64(hold)
		return
	}
	s.hold += holdWeight * (float64(hold) - s.hold)
}

func (s *service) push(e *entry) { heap.Push(&s.queue, e) }

func (s *service) remove(e *entry) { heap.Remove(&s.queue, e.index) }
