package gateway

import (
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

const (
	// maxFailuresPerHeartbeat bounds the number of hints on failing replicas in one
	// heartbeat, and of those that are accepted from one message.
	maxFailuresPerHeartbeat = 32
	// maxFailuresPerPart bounds the number of hints in a request for a part, or a reply.
	maxFailuresPerPart = 24
)

// partFailures returns the outcomes to report with a part that has some shards of a plan.
// The hosts that serve the same shards depend on each other's outcomes, and heartbeats
// between two of them are rare in a large fleet.
func (g *Gateway) partFailures(plan *routing.Plan, shards []int) []peerwire.FailureHint {
	now := g.cfg.Now()
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	if !g.shared.replicas.AnyFailures(now) {
		return nil
	}
	var keys []string
	for _, i := range shards {
		keys = append(keys, plan.Index.Snapshots[0].Shards[i].Replicas...)
	}
	return g.shared.replicas.FailureHintsOf(now, keys, maxFailuresPerPart, g.shared.rng)
}

// FailureHints returns the outcomes to report to other hosts of attempts at replicas that
// fail to answer.
func (g *Gateway) FailureHints() []peerwire.FailureHint {
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	return g.shared.replicas.FailureHints(g.cfg.Now(), maxFailuresPerHeartbeat, g.shared.rng)
}

// MergeFailureHints records the outcomes that another host reported.
func (g *Gateway) MergeFailureHints(hints []peerwire.FailureHint) {
	if len(hints) == 0 {
		return
	}
	now := g.cfg.Now()
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	for _, h := range hints[:min(len(hints), maxFailuresPerHeartbeat)] {
		g.shared.replicas.MergeFailureHint(now, h)
	}
}

// LossyReplicas returns the number of replicas that fail to answer some of their attempts.
func (g *Gateway) LossyReplicas() int {
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	return g.shared.replicas.Lossy(g.cfg.Now())
}

// RampingReplicas returns the number of replicas whose rate of attempts rises after a start
// or failures.
func (g *Gateway) RampingReplicas() int {
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	return g.shared.replicas.Ramping()
}
