package gateway

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/balance"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// tooFewInReach reports whether so many shards of a plan have replicas only in data
// centres out of reach that the route's LeastShards cannot be met.
func (s *sharedState) tooFewInReach(now time.Duration, route *routing.Route, plan *routing.Plan) bool {
	if len(route.Shards) == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.replicas.AnyOutOfReach(now) {
		return false
	}
	return tooFewUsable(route, plan, func(key string) bool { return s.replicas.InReach(now, key) })
}

// refuseElsewhere refuses a request that hosts of other data centres can serve.
func (g *Gateway) refuseElsewhere(r *Request, route *routing.Route) Answer {
	a := g.refuse(r, route, result.NoReplica)
	a.RetryAfter = minRetryAfter + time.Duration(g.shared.randFloat()*float64(minRetryAfter))
	a.CloseConnection = true
	return a
}

// ReachesEnough reports whether, for every route with shards, the data centres in reach
// hold enough of them.
func (g *Gateway) ReachesEnough() bool {
	v := g.view.Load()
	if v == nil || v.Config == nil {
		return true
	}
	now := g.cfg.Now()
	for i := range v.Config.Routes {
		route := &v.Config.Routes[i]
		if len(route.Shards) == 0 {
			continue
		}
		if plan := v.Plan(route, ""); plan != nil && g.shared.tooFewInReach(now, route, plan) {
			return false
		}
	}
	return true
}

// SetIsolated records that this host's data centre is cut off from all others, or no
// longer is.
func (g *Gateway) SetIsolated(isolated bool) {
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	g.shared.replicas.SetIsolated(isolated)
}

// HeardFrom records a heartbeat from a data centre.
func (g *Gateway) HeardFrom(dataCentre string) {
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	g.shared.replicas.Heard(dataCentre)
}

// OutOfReach returns the data centres whose replicas can't be reached.
func (g *Gateway) OutOfReach() []string { return g.shared.outOfReach(g.cfg.Now()) }

// outOfReach returns the data centres out of reach.
func (s *sharedState) outOfReach(now time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas.OutOfReach(now)
}

// learnOutOfReach records the data centres that a host of this data centre can't reach.
func (s *sharedState) learnOutOfReach(now time.Duration, address string, dataCentres []string) {
	if len(dataCentres) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.peers.IsLocal(address) {
		return
	}
	for _, name := range dataCentres[:min(len(dataCentres), balance.MaxOutOfReach)] {
		s.replicas.SetOutOfReach(now, name)
	}
}
