package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/balance"
	"github.com/gypsumlug/gypsumlug/internal/belief"
	"github.com/gypsumlug/gypsumlug/internal/overload"
	"github.com/gypsumlug/gypsumlug/internal/quarantine"
	"github.com/gypsumlug/gypsumlug/internal/ratelimit"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

const (
	// hedgeQuantile is the quantile of a route's attempt latencies that is used
	// as its hedge delay.
	hedgeQuantile = 0.87
	// initialHedgeDivisor is the divisor of the route's latency target that
	// gives the first estimate of that quantile.
	initialHedgeDivisor = 4
	// Bounds of the hedge delay, as divisors of the route's latency target.
	minHedgeDelayDivisor = 12
	maxHedgeDelayDivisor = 3
)

// sharedState is the state that all requests of a host share.
//
// Concurrency: mu guards every field.
type sharedState struct {
	mu        sync.Mutex
	rng       *rand.Rand
	replicas  *balance.ReplicaTable
	allowance balance.Allowance
	view      *routing.View
	// evacuated holds the data centres whose replicas get no attempts. It is replaced
	// before the view that lacks them is in use.
	evacuated map[string]bool
	hosts     int
	// hostsByService is the number of hosts among which the budget of a service
	// is divided, for the shards of divided indexes. The budget of any other service
	// is divided among all hosts.
	hostsByService map[string]int
	// groupsByService is the number of groups of the divided index that a service is a
	// shard of.
	groupsByService map[string]int
	budgets         map[string]*balance.Budget
	hedgeLatencies  map[string]*balance.QuantileEstimator
	// completionTimes estimates how long attempts take, by route.
	completionTimes map[string]*balance.CompletionTimes
	// recentDurations are those of successful attempts, by route.
	recentDurations map[string]*balance.RecentDurations
	// gates admit the queries of each index, keyed by the digest of its shards; meter
	// holds the capacity of the shards that this host sends to. waiters holds the
	// channels on which waiting queries learn what is decided.
	gates map[uint64]*indexGate
	meter overload.Meter
	// slotsByService is this host's part of the requests that the replicas of a service
	// run at a time, for the shards of indexes.
	slotsByService map[string]float64
	waiters        map[uint64]chan overload.Decision
	// suspects holds the requests suspected of crashing replicas.
	suspects *quarantine.Tracker
	// attempts holds the attempts that have no response.
	attempts *quarantine.Attempts
	peers    *split.PeerTable
	// limits holds the rate limits that replicas name.
	limits *ratelimit.Table
	// cold divides the requests that cold replicas may get. coldView is the view
	// whose replicas it knows, shardsByService the number of shards of the index of a
	// service, and recentPeers and recentTable hold the hosts
	// that were known lately.
	cold            *ratelimit.ColdTable
	coldBound       ColdBound
	coldView        *routing.View
	shardsByService map[string]int
	recentPeers     split.RecentPeers
	recentTable     *split.PeerTable
	// beliefs holds what replicas have said of themselves.
	beliefs *belief.Table
}

func newSharedState(dataCentre string, self split.Peer, rng *rand.Rand) *sharedState {
	s := &sharedState{
		rng:             rng,
		replicas:        balance.NewReplicaTable(dataCentre, self.Address),
		hosts:           1,
		budgets:         make(map[string]*balance.Budget),
		hedgeLatencies:  make(map[string]*balance.QuantileEstimator),
		completionTimes: make(map[string]*balance.CompletionTimes),
		recentDurations: make(map[string]*balance.RecentDurations),
		gates:           make(map[uint64]*indexGate),
		waiters:         make(map[uint64]chan overload.Decision),
		suspects:        quarantine.New(quarantine.Config{MaxRequests: maxSuspects, ProveByCount: true}),
		attempts:        quarantine.NewAttempts(),
		peers:           split.NewPeerTable(self),
		recentTable:     split.NewPeerTable(self),
		beliefs:         belief.NewTable(self.Address),
	}
	s.limits = ratelimit.NewTable(self.Address, s.sendingHosts)
	s.cold = ratelimit.NewColdTable(self.Address, s.coldSenders)
	s.replicas.SetSenders(s.sharingHosts)
	return s
}

// tooFewReachable reports whether so many shards of a plan have no reachable
// replica, or only ones that left, that the route's LeastShards cannot be met.
func (s *sharedState) tooFewReachable(now time.Duration, route *routing.Route, plan *routing.Plan) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return tooFewUsable(route, plan, func(key string) bool {
		return !s.replicas.Unreachable(now, key) && s.beliefs.Check(now, key, true).Code != result.EndpointLeaving
	})
}

// tooFewAllowed returns the code to refuse a request with if the rate limits of replicas,
// or the bounds of those that are cold, leave so few shards of a plan that the route's
// LeastShards cannot be met now, else zero.
func (s *sharedState) tooFewAllowed(now time.Duration, route *routing.Route, plan *routing.Plan) result.Code {
	s.mu.Lock()
	defer s.mu.Unlock()
	limited := func(key string) bool { return s.limits.Allows(now, key) }
	switch {
	case s.limits.Active() && tooFewUsable(route, plan, limited):
		return result.EndpointRateLimit
	case s.cold.AnyCold(now) && tooFewUsable(route, plan, func(key string) bool { return limited(key) && s.cold.Allows(now, key) }):
		return result.EndpointCold
	default:
		return 0
	}
}

// tooFewUsable reports whether fewer shards of a plan than the route's LeastShards
// have a usable replica. A shard without replicas does not count as usable.
func tooFewUsable(route *routing.Route, plan *routing.Plan, usable func(key string) bool) bool {
	shards := plan.Index.Snapshots[0].Shards
	spare := len(shards) - max(route.LeastShards, 1)
	for i := range shards {
		if slices.ContainsFunc(shards[i].Replicas, usable) {
			continue
		}
		if spare--; spare < 0 {
			return true
		}
	}
	return false
}

func (s *sharedState) setHosts(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = n
	s.cold.SendersChanged()
	if s.view != nil {
		s.updateHostsByService()
	}
}

// setView replaces the view. It returns the attempts that had no response from
// replicas that ended without announcing it.
func (s *sharedState) setView(now time.Duration, v *routing.View) []*quarantine.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	var blamed []*quarantine.Attempt
	s.evacuate(v.EvacuatedDataCentres())
	if s.view != nil {
		for _, key := range v.EndedSince(s.view) {
			if s.beliefs.IsLeaving(key) {
				continue
			}
			blamed = append(blamed, s.attempts.EndpointEnded(now, key)...)
		}
	}
	s.replicas.SetReplicas(v.Replicas)
	s.limits.Retain(func(key string) bool { return v.Replicas[key] != nil })
	if s.view == nil || s.view.Config != v.Config {
		s.retainGates(v)
	}
	s.view = v
	s.updateHostsByService()
	s.updateColdEndpoints(now, v)
	return blamed
}

func (s *sharedState) setAllowance(now time.Duration, a balance.Allowance, cold ColdBound) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allowance = a
	s.resizeBudgets()
	s.coldBound = cold
	s.updateColdEndpoints(now, s.view)
}

// resizeBudgets recomputes this host's share of the allowance in every budget.
// The caller must hold mu.
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

// budget returns the budget of a service, and creates it on first use. The
// caller must hold mu.
func (s *sharedState) budget(now time.Duration, service string) *balance.Budget {
	budget := s.budgets[service]
	if budget == nil {
		budget = balance.NewBudget(now, s.allowance, s.sharingHosts(service))
		s.budgets[service] = budget
	}
	return budget
}
