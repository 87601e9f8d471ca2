package gateway

import (
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// SetEvacuated replaces the evacuated data centres, whose replicas get no attempts from now
// on. SetView does the same with those of the view; a caller that closes connections
// before calls this first, so that attempts which end with them are not taken for crashes.
func (g *Gateway) SetEvacuated(dataCentres []string) { g.shared.setEvacuated(dataCentres) }

func (s *sharedState) setEvacuated(dataCentres []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuate(dataCentres)
}

// evacuate replaces the evacuated data centres. The caller must hold mu.
func (s *sharedState) evacuate(dataCentres []string) {
	s.evacuated = make(map[string]bool, len(dataCentres))
	for _, dataCentre := range dataCentres {
		s.evacuated[dataCentre] = true
	}
}

// isEvacuated reports whether a replica gets nothing since its data centre is evacuated. A
// request may have begun with a view from before. The caller must hold mu.
func (s *sharedState) isEvacuated(r *routing.Replica) bool {
	return r != nil && s.evacuated[r.DataCentre]
}

// replicaOf returns a replica of the view, or nil. The caller must hold mu.
func (s *sharedState) replicaOf(key string) *routing.Replica {
	if s.view == nil {
		return nil
	}
	return s.view.Replicas[key]
}

// tooManyEvacuated reports whether so many shards of a plan have replicas in evacuated data
// centres only that the route's LeastShards cannot be met.
func tooManyEvacuated(route *routing.Route, plan *routing.Plan) bool {
	return plan.Evacuated > 0 && plan.Served < max(route.LeastShards, 1)
}

// refusalForEvacuation returns the code to refuse a request with because of evacuations,
// or zero.
func refusalForEvacuation(route *routing.Route, plan *routing.Plan) result.Code {
	if tooManyEvacuated(route, plan) {
		return result.EndpointEvacuated
	}
	return 0
}
