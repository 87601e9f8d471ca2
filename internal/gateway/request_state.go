package gateway

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// requestState gives the query state machine of one request access to the
// shared state.
type requestState struct {
	*sharedState
	route    *routing.Route
	services []string
	now      func() time.Duration
}

// Eligible implements query.ReplicaSelector.
func (r requestState) Eligible(_ time.Duration, key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replicas.Available(key)
}

// Pick implements query.ReplicaSelector.
func (r requestState) Pick(now time.Duration, candidates, exclude []string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if key, ok := r.pick(now, candidates, exclude, false); ok {
		return key, true
	}
	return r.pick(now, candidates, exclude, true)
}

// pick returns a candidate that is not in exclude and may get an attempt now. If
// lastResort is set, replicas that are leaving may for a while. The caller must hold mu.
func (r requestState) pick(now time.Duration, candidates, exclude []string, lastResort bool) (string, bool) {
	excluded := func(key string) bool {
		return slices.Contains(exclude, key) || r.block(now, key, lastResort).Code != 0
	}
	if len(exclude) == 0 {
		return r.replicas.PickFirst(now, r.route.Name, candidates, excluded, r.rng)
	}
	return r.replicas.Pick(now, r.route.Name, candidates, excluded, r.rng)
}

// HedgeDelay implements query.ReplicaSelector.
func (r requestState) HedgeDelay(*config.Service) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.hedgeLatencies[r.route.Name]
	if q == nil {
		return r.route.Timeout // no attempt of the route has succeeded yet: don't hedge
	}
	return min(max(q.Value(), r.route.Target/minHedgeDelayDivisor), r.route.Target/maxHedgeDelayDivisor)
}

// CountPrimary implements query.Budgets.
func (r requestState) CountPrimary(shard int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(r.now(), r.services[shard]).CountRequest()
}

// TakeHedge implements query.Budgets. A shard whose replicas lack capacity gets no hedges:
// they take capacity from the first attempts of other queries.
func (r requestState) TakeHedge(shard int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	service := r.services[shard]
	if r.meter.Refuses(now, service) {
		return false
	}
	budget := r.budget(now, service)
	if len(r.route.Shards) > 1 {
		return budget.TakeForCoverage(now)
	}
	return budget.TakeHedge(now)
}

// TakeLate implements query.Budgets.
func (r requestState) TakeLate(shard int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	return r.budget(now, r.services[shard]).TakeLate(now)
}

// TakeRetry implements query.Budgets.
func (r requestState) TakeRetry(shard int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	return r.budget(now, r.services[shard]).Take(now)
}
