package gateway

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/ratelimit"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// ColdBound says how many requests a cold replica may get in any one second from all hosts
// together: its service's rate times Overage, plus Slack.
type ColdBound struct {
	// Stated is set if the deployment has such a bound.
	Stated         bool
	Overage, Slack float64
}

// boundOf returns the bound of a replica of a service, or zero.
func (b ColdBound) boundOf(s routing.Service) float64 {
	if !b.Stated || s.ColdPerSecond <= 0 {
		return 0
	}
	return max(s.ColdPerSecond*b.Overage+b.Slack, 0)
}

// coldEndpoints returns the replicas of a view that have a bound while they are cold. The
// caller must hold mu.
func (s *sharedState) coldEndpoints(v *routing.View) map[string]ratelimit.ColdEndpoint {
	out := make(map[string]ratelimit.ColdEndpoint)
	if v == nil || v.Config == nil {
		return out
	}
	for key, r := range v.Replicas {
		if bound := s.coldBound.boundOf(v.Config.Services[r.Service]); bound > 0 {
			out[key] = ratelimit.ColdEndpoint{Bound: bound, Until: r.ColdUntil}
		}
	}
	return out
}

// updateColdEndpoints must be called when the view or the bound has changed. The caller must
// hold mu.
func (s *sharedState) updateColdEndpoints(now time.Duration, v *routing.View) {
	s.coldView, s.shardsByService = v, shardCounts(v)
	if peers, changed := s.recentPeers.Refresh(now); changed {
		s.recentTable.SetPeers(peers)
	}
	s.cold.SetEndpoints(now, s.coldEndpoints(v))
	s.cold.SendersChanged()
}

// shardCounts returns, for each service that is a shard, the number of shards of its index.
func shardCounts(v *routing.View) map[string]int {
	out := make(map[string]int)
	if v == nil || v.Config == nil {
		return out
	}
	for i := range v.Config.Routes {
		shards := v.Config.Routes[i].Shards
		for _, service := range shards {
			out[service] = max(out[service], len(shards))
		}
	}
	return out
}

// coldSenders returns the hosts among which the bound of a cold replica is divided: of those
// known lately, the owners of its group if its service is a shard of a divided index, else
// all. Others send nothing to it while it is cold. The number is larger if more hosts
// are known than their addresses. The caller must hold mu.
func (s *sharedState) coldSenders(key string) (addresses []string, count int) {
	all := s.recentTable.Hosts()
	if s.coldView == nil || s.coldView.Replicas[key] == nil {
		return nil, 0
	}
	service := s.coldView.Replicas[key].Service
	addresses = s.recentTable.OwnersByCentre(service, s.shardsByService[service])
	count = len(addresses)
	if s.hosts > len(all) {
		count = (count*s.hosts + len(all) - 1) / len(all)
	}
	return addresses, count
}

// recordRecentPeers records the known hosts. The caller must hold mu.
func (s *sharedState) recordRecentPeers(now time.Duration, peers []split.Peer) {
	s.recentTable.SetPeers(s.recentPeers.Update(now, peers))
	s.cold.SendersChanged()
}

// learnCold records for how long a replica says that it is cold.
func (s *sharedState) learnCold(now time.Duration, reply *dispatch.Reply) {
	if reply.Cold <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold.Learn(now, reply.Endpoint, reply.Cold)
}

// writeCold returns the code to refuse an attempt with that is about to be written to a
// replica which is cold, or zero.
func (s *sharedState) writeCold(now time.Duration, key string, ticket *ratelimit.Ticket) result.Code {
	if ticket == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.cold.Write(now, key, ticket) {
		return result.EndpointCold
	}
	return 0
}

// endCold records the end of an attempt.
func (s *sharedState) endCold(now time.Duration, ticket *ratelimit.Ticket, reply *dispatch.Reply) {
	if ticket == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A refusal of the replica itself reached it.
	s.cold.End(now, ticket, reply.Outcome == dispatch.Refused && reply.RateLimit == nil)
}

// SetCold records which replicas of a view are cold, before SetView puts it in use.
func (g *Gateway) SetCold(v *routing.View) { g.shared.setCold(g.cfg.Now(), v) }

func (s *sharedState) setCold(now time.Duration, v *routing.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateColdEndpoints(now, v)
}

// WithoutShare returns until when a cold replica gets nothing from this host, or zero.
func (g *Gateway) WithoutShare(key string) time.Duration {
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	return g.shared.cold.WithoutShare(g.cfg.Now(), key)
}

// ColdReplicas returns the number of replicas that are cold and have a bound.
func (g *Gateway) ColdReplicas() int {
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	return g.shared.cold.ColdCount(g.cfg.Now())
}
