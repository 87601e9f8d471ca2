package admission

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/edf"
)

// holdSampleWeight is the weight of a new sample in the average hold times, which
// are the times from the admission of a request to its release.
const holdSampleWeight = 0.1

// entry is a request that waits or runs.
type entry struct {
	edf.Item
	id         string
	service    *service
	caller     *caller
	admitted   bool
	admittedAt time.Duration
}

// service is the state of one service.
type service struct {
	name string
	// config is nil after the service was removed from the configuration.
	config  *config.Service
	callers map[string]*caller
	// defaultCaller is shared by all callers if the configuration lists none.
	defaultCaller caller
	queue         edf.Queue[*entry]
	inFlight      int
	// averageHold is the average time from admission to release in nanoseconds.
	averageHold float64
}

// hasCapacity reports whether the in-flight limit of the service allows a request.
func (s *service) hasCapacity() bool {
	return s.config != nil && s.inFlight < s.config.InFlightLimit
}

// caller returns the state of the named caller, or nil if the service lists callers
// and not this one.
func (s *service) caller(name string) *caller {
	if len(s.config.Callers) == 0 {
		return &s.defaultCaller
	}
	c := s.callers[name]
	if c == nil || c.limits == nil {
		return nil
	}
	return c
}

// configure applies a new configuration, or nil if the service was removed. It keeps
// the state of callers that are listed or have unfinished requests.
func (s *service) configure(c *config.Service) {
	s.config = c
	for _, state := range s.callers {
		state.limits = nil
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
	for name, state := range s.callers {
		if state.limits == nil && state.unfinished == 0 {
			delete(s.callers, name)
		}
	}
}

// observeHold adds the time from a request's admission to its release to the average.
func (s *service) observeHold(hold time.Duration) {
	if s.averageHold == 0 {
		s.averageHold = float64(hold)
		return
	}
	s.averageHold += holdSampleWeight * (float64(hold) - s.averageHold)
}
