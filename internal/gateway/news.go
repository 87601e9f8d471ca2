package gateway

import (
	"math"
	"slices"

	"github.com/gypsumlug/gypsumlug/internal/discovery"
	"github.com/gypsumlug/gypsumlug/internal/quarantine"
)

// maxNews bounds the suspects, the rate limits and the leaving replicas that are accepted
// from a host's news, each.
const maxNews = 512

// News returns all that this host has learned of requests and replicas, for a host that
// has just started.
func (g *Gateway) News() *discovery.News {
	now := g.cfg.Now()
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	return &discovery.News{
		Suspects:        g.shared.suspects.AllHints(now),
		RateLimits:      firstNews(g.shared.limits.Hints(now, math.MaxInt)),
		LeavingReplicas: firstNews(g.shared.beliefs.AllLeaving()),
	}
}

// MergeNews merges the news of another host.
func (g *Gateway) MergeNews(n *discovery.News) {
	for hints := range slices.Chunk(firstNews(n.Suspects), quarantine.MaxHints) {
		g.MergeSuspectHints(hints)
	}
	for hints := range slices.Chunk(firstNews(n.RateLimits), maxLimitsPerHeartbeat) {
		g.MergeRateLimitHints(hints)
	}
	for hints := range slices.Chunk(firstNews(n.LeavingReplicas), maxLeavingPerHeartbeat) {
		g.MergeLeavingHints(hints)
	}
}

// firstNews returns the first maxNews items.
func firstNews[T any](items []T) []T { return items[:min(len(items), maxNews)] }
