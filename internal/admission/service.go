package admission

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/edf"
)

// holdWeight is the weight of a new sample in the average time that requests
// hold their place.
const holdWeight = 0.1

// entry is a request that has not ended.
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
	// config is nil after the service left the configuration.
	config  *config.Service
	callers map[string]*caller
	// anyone stands for all callers of a service that lists none.
	anyone   caller
	queue    edf.Queue[*entry]
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
