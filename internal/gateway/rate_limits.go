package gateway

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/ratelimit"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// maxLimitsPerHeartbeat bounds the number of rate limits sent in one heartbeat.
const maxLimitsPerHeartbeat = 8

// LimitChange reports a change of the rate limit of a replica.
type LimitChange struct {
	Replica string
	// PerSecond is the limit in requests a second, or zero if there is none any more.
	PerSecond float64
	// FromPeer means that another host told of it.
	FromPeer bool
}

// sendingHosts returns the addresses of the hosts that send to a replica: the owners
// of its group if its service is a shard of a divided index, else all. The caller must
// hold mu.
func (s *sharedState) sendingHosts(key string) []string {
	if s.view == nil || s.view.Replicas[key] == nil {
		return s.peers.Hosts()
	}
	service := s.view.Replicas[key].Service
	if groups := s.groupsByService[service]; groups > 1 {
		return s.peers.Owners(split.GroupOf(service, groups), groups)
	}
	return s.peers.Hosts()
}

// learnRateLimit records the rate limit that a replica's answer names, if any. It
// reports whether that is new.
func (s *sharedState) learnRateLimit(now time.Duration, reply *dispatch.Reply) (changed bool) {
	if reply.RateLimit == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Learn(now, reply.Endpoint, reply.RateLimit.PerSecond)
}

// RateLimitHints returns the rate limits to report to other hosts.
func (g *Gateway) RateLimitHints() []ratelimit.Hint {
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	return g.shared.limits.Hints(g.cfg.Now(), maxLimitsPerHeartbeat)
}

// MergeRateLimitHints merges the rate limits that another host reported.
func (g *Gateway) MergeRateLimitHints(hints []ratelimit.Hint) {
	for _, h := range hints[:min(len(hints), maxLimitsPerHeartbeat)] {
		if g.shared.mergeRateLimit(g.cfg.Now(), h) {
			g.cfg.Recorder.LimitChanged(LimitChange{Replica: h.Endpoint, PerSecond: h.PerSecond, FromPeer: true})
		}
	}
}

// mergeRateLimit merges a hint about a replica that this host knows.
func (s *sharedState) mergeRateLimit(now time.Duration, h ratelimit.Hint) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takesRequests(h.Endpoint) && s.limits.Merge(now, h)
}
