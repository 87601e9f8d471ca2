package gateway

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/balance"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// usualQuantile is the quantile of a route's recent attempts that is taken for the time
// which the next one needs.
const usualQuantile = 0.9

// StopAt announces that Stop will be called at a time, by the clock of the gateway. From
// then on a request is refused if its route usually takes longer than what is left, since
// it would be running when it has to be answered: its caller could not tell whether it
// has run.
func (g *Gateway) StopAt(at time.Duration) { g.stopAt.Store(int64(at)) }

// Stop makes the requests in progress answer immediately with the replies received so
// far. Later ones are refused. It must be called at most once, before the process exits.
func (g *Gateway) Stop() {
	g.StopAt(g.cfg.Now())
	close(g.stopping)
}

// endsTooLate reports whether an attempt that is sent now would usually not have ended
// when the host stops.
func (g *Gateway) endsTooLate(route *routing.Route) bool {
	at := time.Duration(g.stopAt.Load())
	if at == 0 {
		return false
	}
	left := at - g.cfg.Now()
	return left <= 0 || g.shared.usualDuration(route) > left
}

// refuseStopping refuses a request that this host can't serve before it stops. Another
// host can at once.
func (g *Gateway) refuseStopping(r *Request, route *routing.Route) Answer {
	a := g.refuse(r, route, result.Stopping)
	a.RetryAfter = minRetryAfter + time.Duration(g.shared.randFloat()*float64(minRetryAfter))
	return a
}

// usualDuration returns the time that an attempt of a route usually takes, or the target
// of the route if none has succeeded yet.
func (s *sharedState) usualDuration(route *routing.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := s.recentDurations[route.Name]
	if recent == nil {
		return route.Target
	}
	return recent.Quantile(usualQuantile)
}

// recordDuration records the duration of a successful attempt. The caller must hold mu.
func (s *sharedState) recordDuration(route *routing.Route, took time.Duration) {
	recent := s.recentDurations[route.Name]
	if recent == nil {
		recent = &balance.RecentDurations{}
		s.recentDurations[route.Name] = recent
	}
	recent.Observe(took)
}
