package daemon

import "sync"

// serial runs functions one after another in the order of their arrival, without
// blocking those who pass them. The zero value is ready.
type serial struct {
	mu      sync.Mutex
	waiting []func()
	running bool
}

func (s *serial) run(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = append(s.waiting, f)
	if !s.running {
		s.running = true
		go s.drain()
	}
}

func (s *serial) drain() {
	for {
		batch := s.take()
		if batch == nil {
			return
		}
		for _, f := range batch {
			f()
		}
	}
}

// take returns what waits, or nil after it ended the run.
func (s *serial) take() []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.waiting
	s.waiting = nil
	s.running = batch != nil
	return batch
}
