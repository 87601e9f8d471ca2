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

// beliefs are what all requests of a host share.
//
// Concurrency: mu guards every field.
type beliefs struct {
	mu        sync.Mutex
	rng       *rand.Rand
	table     *balance.Table
	allowance balance.Allowance
	view      *routing.View
	hosts     int
	// sharers is the number of hosts that share the allowance of a service whose
	// shards are divided; the others are shared by all.
	sharers map[string]int
	budgets map[string]*balance.Budget
	hedges  map[string]*balance.Quantile
	// throttles are by index, named by its first shard.
	throttles map[string]*balance.Throttle
	// suspects are the requests that may crash replicas.
	suspects *quarantine.Set
	peers    *split.Table
}

func newBeliefs(dataCentre string, self split.Peer, rng *rand.Rand) *beliefs {
	return &beliefs{
		rng:       rng,
		table:     balance.NewTable(dataCentre),
		hosts:     1,
		budgets:   make(map[string]*balance.Budget),
		hedges:    make(map[string]*balance.Quantile),
		throttles: make(map[string]*balance.Throttle),
		suspects:  quarantine.New(quarantine.Config{MaxRequests: maxSuspects}),
		peers:     split.NewTable(self),
	}
}

// admit reports whether a query of an index is worth beginning, and overloaded
// whether some are not.
func (b *beliefs) admit(now time.Duration, route *routing.Route) (admitted, overloaded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.throttle(route)
	admitted = t.Admit(now, b.rng.Float64())
	return admitted, t.Overloaded(now)
}

// impossible reports whether too few shards of a plan have a replica that can be
// reached for the least share of the route.
func (b *beliefs) impossible(now time.Duration, route *routing.Route, plan *routing.Plan) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	shards := plan.Index.Snapshots[0].Shards
	spare := len(shards) - max(route.LeastShards, 1)
	for i := range shards {
		if slices.ContainsFunc(shards[i].Replicas, func(key string) bool { return !b.table.Unreachable(now, key) }) {
			continue
		}
		if spare--; spare < 0 {
			return true
		}
	}
	return false
}

// answered notes whether an admitted query of an index was of use.
func (b *beliefs) answered(now time.Duration, route *routing.Route, useful bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.throttle(route).Done(now, useful)
}

// throttle returns the throttle of a route's index; the caller holds mu.
func (b *beliefs) throttle(route *routing.Route) *balance.Throttle {
	t := b.throttles[route.Shards[0]]
	if t == nil {
		t = &balance.Throttle{}
		b.throttles[route.Shards[0]] = t
	}
	return t
}

func (b *beliefs) setHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = n
	b.resize()
}

func (b *beliefs) setView(v *routing.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.SetReplicas(v.Replicas)
	b.view = v
	b.share()
}

func (b *beliefs) setAllowance(a balance.Allowance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allowance = a
	b.resize()
}

// resize gives every budget its share of the allowance; the caller holds mu.
func (b *beliefs) resize() {
	for service, budget := range b.budgets {
		budget.Resize(b.allowance, b.sharing(service))
	}
}

// fleet returns the number of hosts that share the allowance.
func (b *beliefs) fleet() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hosts
}

func (b *beliefs) random() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.Float64()
}

// budget returns the budget of a service; the caller holds mu.
func (b *beliefs) budget(now time.Duration, service string) *balance.Budget {
	budget := b.budgets[service]
	if budget == nil {
		budget = balance.NewBudget(now, b.allowance, b.sharing(service))
		b.budgets[service] = budget
	}
	return budget
}

// sent notes an attempt.
func (b *beliefs) sent(now time.Duration, route, key string) *balance.Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Sent(now, route, key)
}

// ended notes the reply to an attempt that took a time.
func (b *beliefs) ended(now time.Duration, route *routing.Route, a *balance.Attempt, reply *dispatch.Reply, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Ended(now, a, reply)
	if reply.Outcome == dispatch.OK {
		b.observe(route, took)
	}
}

// observe notes the time of an attempt of a route; the caller holds mu.
func (b *beliefs) observe(route *routing.Route, took time.Duration) {
	q := b.hedges[route.Name]
	if q == nil {
		q = balance.NewQuantile(hedgeQuantile, route.Target/hedgeBegin)
		b.hedges[route.Name] = q
	}
	q.Observe(took)
}

// requestBeliefs are the beliefs as one request's query machine sees them.
type requestBeliefs struct {
	*beliefs
	route    *routing.Route
	services []string
	now      func() time.Duration
}

// Eligible implements query.ReplicaSelector.
func (r requestBeliefs) Eligible(_ time.Duration, key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Known(key)
}

// Pick implements query.ReplicaSelector.
func (r requestBeliefs) Pick(now time.Duration, candidates, exclude []string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	excluded := func(key string) bool { return slices.Contains(exclude, key) }
	return r.table.Pick(now, r.route.Name, candidates, excluded, r.rng)
}

// HedgeDelay implements query.ReplicaSelector.
func (r requestBeliefs) HedgeDelay(*config.Service) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.hedges[r.route.Name]
	if q == nil {
		return r.route.Timeout // a route of which no request succeeds is not hedged
	}
	return min(max(q.Value(), r.route.Target/hedgeLeast), r.route.Target/hedgeMost)
}

// CountPrimary implements query.Budgets.
func (r requestBeliefs) CountPrimary(shard int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(r.now(), r.services[shard]).Primary()
}

// TakeHedge implements query.Budgets.
func (r requestBeliefs) TakeHedge(shard int) bool { return r.take(shard) }

// TakeRetry implements query.Budgets.
func (r requestBeliefs) TakeRetry(shard int) bool { return r.take(shard) }

func (r requestBeliefs) take(shard int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	return r.budget(now, r.services[shard]).Take(now)
}
