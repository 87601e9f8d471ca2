package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumlug/gypsumlug/internal/overload"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

const (
	// patienceDivisor is the divisor of the latency target that bounds how long a query
	// waits for admission.
	patienceDivisor = 8
	// patienceAttempts is the number of usual attempts that must fit after the wait.
	patienceAttempts = 3
	// ownReportInterval is the least time between two reports of the shards that a host
	// owns.
	ownReportInterval = 50 * time.Millisecond
	// maxOverloadHints bounds the hints about load in one heartbeat.
	maxOverloadHints = 4
)

// AdmissionChange reports that the gate of an index begins or ends to refuse queries.
type AdmissionChange struct {
	// Route is the route of the query that met the change.
	Route   string
	Limited bool
	overload.Status
}

// serveIndex answers a query of an index, if it is admitted. A query is admitted before
// anything is done for it, so that a refusal costs next to nothing.
func (g *Gateway) serveIndex(ctx context.Context, r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, groups int) Answer {
	arrived := g.cfg.Now()
	gate, decision := g.awaitAdmission(ctx, r, route, plan)
	if decision.Verdict == overload.Refuse {
		a := g.refuse(r, route, decision.Code)
		a.RetryAfter = max(decision.RetryAfter, minRetryAfter)
		return a
	}
	defer func() { g.shared.queryEnded(g.cfg.Now(), gate, route) }()
	r.waited = g.cfg.Now() - arrived
	allowLate := !g.shared.limited(g.cfg.Now(), gate)
	if groups > 1 {
		return g.serveDivided(ctx, r, v, route, plan, groups, allowLate)
	}
	defer func() { g.shared.reportOwnMeter(g.cfg.Now(), gate, plan) }()
	return g.serveWhole(ctx, r, v, route, plan, allowLate)
}

// awaitAdmission offers a query to the gate of its index and waits for the decision.
func (g *Gateway) awaitAdmission(ctx context.Context, r *Request, route *routing.Route, plan *routing.Plan) (*indexGate, overload.Decision) {
	q := overload.Request{
		ID: g.sequence.Add(1), Route: route.Name, Urgency: overload.UrgencyOf(route.Priority), LeastShards: route.LeastShards,
		Timeout: r.CallerTimeout, Caller: callerKey(r),
	}
	o := g.shared.offer(g.cfg.Now(), q, route, plan)
	if o.change != nil {
		g.cfg.Recorder.AdmissionChanged(*o.change)
	}
	if o.decision.Verdict != overload.Wait {
		return o.gate, o.decision
	}
	timer := time.NewTimer(o.patience)
	defer timer.Stop()
	select {
	case decision := <-o.waiting:
		return o.gate, decision
	case <-timer.C:
		g.shared.tickGate(g.cfg.Now(), o.gate)
		return o.gate, <-o.waiting // The deadline has passed, so that it is decided.
	case <-ctx.Done():
		if g.shared.cancelWait(q.ID, o.gate) {
			return o.gate, overload.Decision{Verdict: overload.Refuse, Code: result.CallerGone}
		}
		return o.gate, <-o.waiting
	}
}

// callerKey identifies a caller together with the content of its request, whose ID may
// differ between tries.
func callerKey(r *Request) overload.CallerKey {
	d := xxhash.New()
	for _, text := range []string{r.Message.Caller, r.Message.Method, r.Message.Host, r.Message.Target} {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Message.Body)
	return overload.CallerKey(d.Sum64())
}

// patience returns how long a query of a route can wait. The caller must hold mu.
func (s *sharedState) patience(route *routing.Route) time.Duration {
	usual := time.Duration(s.replicas.TypicalLatency(route.Name))
	return max(min(route.Target/patienceDivisor, route.Target-patienceAttempts*usual), 0)
}

// indexGate is the gate of an index and what was last done with it.
type indexGate struct {
	*overload.Gate
	// limited is set if the gate was reported to refuse queries.
	limited bool
	// ownReportAt is when this host last reported the shards that it owns.
	ownReportAt time.Duration
}

// gate returns the gate of an index. The caller must hold mu.
func (s *sharedState) gate(plan *routing.Plan) *indexGate {
	g := s.gates[plan.Digest]
	if g == nil {
		g = &indexGate{Gate: overload.NewGate(len(plan.Services))}
		s.gates[plan.Digest] = g
	}
	return g
}

// retainGates drops the gates of indexes that a view does not have. The caller must hold
// mu.
func (s *sharedState) retainGates(v *routing.View) {
	if v.Config == nil {
		return
	}
	kept := make(map[uint64]*indexGate)
	for i := range v.Config.Routes {
		if plan := v.Plan(&v.Config.Routes[i], ""); plan != nil && s.gates[plan.Digest] != nil {
			kept[plan.Digest] = s.gates[plan.Digest]
		}
	}
	s.gates = kept
}

// offered is the result of offering a query to the gate of its index.
type offered struct {
	gate     *indexGate
	decision overload.Decision
	// waiting gets the decision if the query waits, after patience at the latest.
	waiting  <-chan overload.Decision
	patience time.Duration
	// change is nil unless the gate began or ceased to refuse queries.
	change *AdmissionChange
}

// offer offers a query to the gate of its index.
func (s *sharedState) offer(now time.Duration, q overload.Request, route *routing.Route, plan *routing.Plan) offered {
	s.mu.Lock()
	defer s.mu.Unlock()
	gate := s.gate(plan)
	q.Work = time.Duration(s.replicas.TypicalLatency(route.Name))
	q.Patience = s.patience(route)
	s.reportOwned(now, gate, plan)
	o := offered{gate: gate, decision: gate.Offer(now, q, s.rng.Float64()), patience: q.Patience}
	if o.decision.Verdict == overload.Wait {
		waiting := make(chan overload.Decision, 1)
		s.waiters[q.ID] = waiting
		o.waiting = waiting
	}
	s.deliver(gate.Tick(now, s.rng.Float64()))
	o.change = s.admissionChange(now, gate, route)
	return o
}

// admissionChange returns the change if the gate began or ceased to refuse queries since
// the last call. The caller must hold mu.
func (s *sharedState) admissionChange(now time.Duration, gate *indexGate, route *routing.Route) *AdmissionChange {
	limited := gate.Limited(now)
	if limited == gate.limited {
		return nil
	}
	gate.limited = limited
	return &AdmissionChange{Route: route.Name, Limited: limited, Status: gate.Status(now)}
}

// deliver tells waiting queries what was decided about them. The caller must hold mu.
func (s *sharedState) deliver(c overload.Changes) {
	for _, id := range c.Admitted {
		s.waiters[id] <- overload.Decision{Verdict: overload.Admit}
		delete(s.waiters, id)
	}
	for _, r := range c.Refused {
		s.waiters[r.ID] <- r.Decision
		delete(s.waiters, r.ID)
	}
}

// tickGate refuses the queries of an index that waited too long.
func (s *sharedState) tickGate(now time.Duration, gate *indexGate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(gate.Tick(now, s.rng.Float64()))
}

// cancelWait ends the wait of a query whose caller has disconnected. It returns false if
// the query has been decided about.
func (s *sharedState) cancelWait(id uint64, gate *indexGate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !gate.Cancel(id) {
		return false
	}
	delete(s.waiters, id)
	return true
}

// limited reports whether the gate of an index refuses some queries.
func (s *sharedState) limited(now time.Duration, gate *indexGate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return gate.Limited(now)
}

// queryEnded records the end of an admitted query.
func (s *sharedState) queryEnded(now time.Duration, gate *indexGate, route *routing.Route) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gate.Ended(now, route.Name)
}

// unknownSlots leaves out of a shard's share how long its attempts take. The queries of an index
// that is not divided are refused only when replicas refuse: where a shard has two replicas of
// which one is slow, its attempts take long while the other one has capacity left.
const unknownSlots = 0

// reportOwnMeter tells the gate of an index what this host knows of its shards, after a
// query that was not divided.
func (s *sharedState) reportOwnMeter(now time.Duration, gate *indexGate, plan *routing.Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, service := range plan.Services {
		share, known := s.meter.Share(now, service, unknownSlots)
		gate.Report(now, i, share, known)
	}
}

// reportScarce tells the gate of an index which of the shards of a part lack capacity,
// according to a reply. From a host of an earlier version, the shards count as scarce that
// the replicas refused.
func (s *sharedState) reportScarce(now time.Duration, plan *routing.Plan, shards []int, reply *split.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gate := s.gates[plan.Digest]
	if gate == nil {
		return // The configuration no longer has the index.
	}
	shares := make(map[int]float64, len(reply.Scarce))
	for _, scarce := range reply.Scarce {
		shares[scarce.Shard] = float64(scarce.Percent) / 100
	}
	if len(reply.Scarce) == 0 {
		for _, m := range reply.Missing {
			if m.Code == result.MissingRefused {
				shares[m.Shard] = 0
			}
		}
	}
	for _, shard := range shards {
		share, scarce := shares[shard]
		if !scarce {
			share = 1
		}
		gate.Report(now, shard, share, scarce)
	}
}

// overloadHints returns the hints about the load of an index, for the hosts that parts are
// sent to.
func (s *sharedState) overloadHints(now time.Duration, plan *routing.Plan) []overload.Hint {
	s.mu.Lock()
	defer s.mu.Unlock()
	gate := s.gates[plan.Digest]
	if gate == nil {
		return nil
	}
	return gate.Hints(now, maxOverloadHints)
}

// OverloadHints returns the hints about load for a heartbeat.
func (g *Gateway) OverloadHints() []overload.Hint {
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	var out []overload.Hint
	for _, gate := range g.shared.gates {
		out = append(out, gate.Hints(g.cfg.Now(), maxOverloadHints-len(out))...)
	}
	return out
}

// MergeOverloadHints merges the hints about load of another host.
func (g *Gateway) MergeOverloadHints(hints []overload.Hint) {
	if len(hints) == 0 {
		return
	}
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	for _, h := range hints[:min(len(hints), maxOverloadHints)] {
		for _, gate := range g.shared.gates {
			gate.Merge(g.cfg.Now(), h)
		}
	}
}

// IndexStatus describes the admission of an index.
type IndexStatus struct {
	// Route is a route of the index.
	Route string
	overload.Status
}

// Admission returns the state of the admission of each index of the view.
func (g *Gateway) Admission() []IndexStatus {
	v := g.View()
	if v == nil || v.Config == nil {
		return nil
	}
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	var out []IndexStatus
	seen := make(map[uint64]bool)
	for i := range v.Config.Routes {
		route := &v.Config.Routes[i]
		plan := v.Plan(route, "")
		if len(route.Shards) == 0 || plan == nil || seen[plan.Digest] {
			continue
		}
		seen[plan.Digest] = true
		out = append(out, IndexStatus{Route: route.Name, Status: g.shared.gate(plan).Status(g.cfg.Now())})
	}
	return out
}

// reportOwned tells a gate what this host knows of the shards whose attempts it sends, as
// their owner. The caller must hold mu.
func (s *sharedState) reportOwned(now time.Duration, gate *indexGate, plan *routing.Plan) {
	groups := s.peers.Groups(len(plan.Services))
	if groups == 1 || now-gate.ownReportAt < ownReportInterval {
		return
	}
	gate.ownReportAt = now
	for i, service := range plan.Services {
		if s.peers.Owns(split.GroupOf(service, groups), groups) {
			share, known := s.meter.Share(now, service, s.slotsByService[service])
			gate.Report(now, i, share, known)
		}
	}
}
