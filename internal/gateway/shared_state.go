package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/balance"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/quarantine"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

const (
	// hedgeQuantile is the share of attempts that reply before a hedge is sent.
	hedgeQuantile = 0.87
	// hedgeBegin is the part of the latency target after which a hedge is sent
	// while the latencies are not known.
	hedgeBegin = 4
	// Bounds of the hedge delay as divisors of the latency target.
	hedgeLeast = 12
	hedgeMost  = 3
)

// sharedState are what all requests of a host share.
//
// Concurrency: mu guards every field.
type sharedState struct {
	mu        sync.Mutex
	rng       *rand.Rand
	replicas  *balance.ReplicaTable
	allowance balance.Allowance
	view      *routing.View
	hosts     int
	// hostsByService is the number of hosts that share the allowance of a service whose
	// shards are divided; the others are shared by all.
	hostsByService map[string]int
	budgets        map[string]*balance.Budget
	hedgeLatencies map[string]*balance.QuantileEstimator
	// throttles are by index, named by its first shard.
	throttles map[string]*balance.Throttle
	// suspects are the requests that may crash replicas.
	suspects *quarantine.Tracker
	peers    *split.PeerTable
}

func newSharedState(dataCentre string, self split.Peer, rng *rand.Rand) *sharedState {
	return &sharedState{
		rng:            rng,
		replicas:       balance.NewReplicaTable(dataCentre),
		hosts:          1,
		budgets:        make(map[string]*balance.Budget),
		hedgeLatencies: make(map[string]*balance.QuantileEstimator),
		throttles:      make(map[string]*balance.Throttle),
		suspects:       quarantine.New(quarantine.Config{MaxRequests: maxSuspects}),
		peers:          split.NewPeerTable(self),
	}
}

// admit reports whether a query of an index is worth beginning, and overloaded
// whether some are not.
func (s *sharedState) admit(now time.Duration, route *routing.Route) (admitted, overloaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.throttle(route)
	admitted = t.Admit(now, s.rng.Float64())
	return admitted, t.Overloaded(now)
}

// tooFewReachable reports whether too few shards of a plan have a replica that can be
// reached for the least share of the route.
func (s *sharedState) tooFewReachable(now time.Duration, route *routing.Route, plan *routing.Plan) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	shards := plan.Index.Snapshots[0].Shards
	spare := len(shards) - max(route.LeastShards, 1)
	for i := range shards {
		if slices.ContainsFunc(shards[i].Replicas, func(key string) bool { return !s.replicas.Unreachable(now, key) }) {
			continue
		}
		if spare--; spare < 0 {
			return true
		}
	}
	return false
}

// recordOutcome notes whether an admitted query of an index was of use.
func (s *sharedState) recordOutcome(now time.Duration, route *routing.Route, useful bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.throttle(route).RecordOutcome(now, useful)
}

// throttle returns the throttle of a route's index; the caller holds mu.
func (s *sharedState) throttle(route *routing.Route) *balance.Throttle {
	t := s.throttles[route.Shards[0]]
	if t == nil {
		t = &balance.Throttle{}
		s.throttles[route.Shards[0]] = t
	}
	return t
}

func (s *sharedState) setHosts(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = n
	s.resizeBudgets()
}

func (s *sharedState) setView(v *routing.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas.SetReplicas(v.Replicas)
	s.view = v
	s.updateHostsByService()
}

func (s *sharedState) setAllowance(a balance.Allowance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allowance = a
	s.resizeBudgets()
}

// resizeBudgets gives every budget its share of the allowance; the caller holds mu.
func (s *sharedState) resizeBudgets() {
	for service, budget := range s.budgets {
		budget.Resize(s.allowance, s.sharingHosts(service))
	}
}

// hostCount returns the number of hosts that share the allowance.
func (s *sharedState) hostCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts
}

func (s *sharedState) randFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// budget returns the budget of a service; the caller holds mu.
func (s *sharedState) budget(now time.Duration, service string) *balance.Budget {
	budget := s.budgets[service]
	if budget == nil {
		budget = balance.NewBudget(now, s.allowance, s.sharingHosts(service))
		s.budgets[service] = budget
	}
	return budget
}

// attemptSent notes an attempt.
func (s *sharedState) attemptSent(now time.Duration, route, key string) *balance.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas.AttemptSent(now, route, key)
}

// attemptEnded notes the reply to an attempt that took a time.
func (s *sharedState) attemptEnded(now time.Duration, route *routing.Route, a *balance.Attempt, reply *dispatch.Reply, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas.AttemptEnded(now, a, reply)
	if reply.Outcome == dispatch.OK {
		s.recordLatency(route, took)
	}
}

// recordLatency notes the time of an attempt of a route; the caller holds mu.
func (s *sharedState) recordLatency(route *routing.Route, took time.Duration) {
	q := s.hedgeLatencies[route.Name]
	if q == nil {
		q = balance.NewQuantileEstimator(hedgeQuantile, route.Target/hedgeBegin)
		s.hedgeLatencies[route.Name] = q
	}
	q.Observe(took)
}

// requestState are the beliefs as one request's query machine sees them.
type requestState struct {
	*sharedState
	route    *routing.Route
	services []string
	now      func() time.Duration
}

// Eligible implements query.Replicas.
func (r requestState) Eligible(_ time.Duration, key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replicas.Available(key)
}

// Pick implements query.Replicas.
func (r requestState) Pick(now time.Duration, candidates, exclude []string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	excluded := func(key string) bool { return slices.Contains(exclude, key) }
	return r.replicas.Pick(now, r.route.Name, candidates, excluded, r.rng)
}

// HedgeDelay implements query.Replicas.
func (r requestState) HedgeDelay(*config.Service) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.hedgeLatencies[r.route.Name]
	if q == nil {
		return r.route.Timeout // a route of which no request succeeds is not hedged
	}
	return min(max(q.Value(), r.route.Target/hedgeLeast), r.route.Target/hedgeMost)
}

// CountPrimary implements query.Budgets.
func (r requestState) CountPrimary(shard int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(r.now(), r.services[shard]).CountRequest()
}

// TakeHedge implements query.Budgets.
func (r requestState) TakeHedge(shard int) bool { return r.takeExtraAttempt(shard) }

// TakeRetry implements query.Budgets.
func (r requestState) TakeRetry(shard int) bool { return r.takeExtraAttempt(shard) }

func (r requestState) takeExtraAttempt(shard int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	return r.budget(now, r.services[shard]).Take(now)
}
