package daemon

import "sync"

// serialQueue runs functions one at a time, in the order in which they are
// enqueued, without blocking enqueue. The zero value is ready for use.
type serialQueue struct {
	mu      sync.Mutex
	pending []func()
	running bool
}

func (s *serialQueue) enqueue(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, f)
	if !s.running {
		s.running = true
		go s.drain()
	}
}

func (s *serialQueue) drain() {
	for {
		batch := s.takeBatch()
		if batch == nil {
			return
		}
		for _, f := range batch {
			f()
		}
	}
}

// takeBatch removes and returns the pending functions. If there are none, it
// returns nil and marks the queue as not running.
func (s *serialQueue) takeBatch() []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.pending
	s.pending = nil
	s.running = batch != nil
	return batch
}
