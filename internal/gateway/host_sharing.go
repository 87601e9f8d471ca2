package gateway

import (
	"math"

	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// ConnectingHosts describes the hosts that keep connections to the replicas of
// a service.
type ConnectingHosts struct {
	// Count is the number of these hosts.
	Count int
	// IncludesSelf means that this host is one of them.
	IncludesSelf bool
}

// ConnectingHosts returns, for each service of a view, which hosts keep
// connections to its replicas. All hosts do, unless the service is a shard of a
// divided index: then only the owners of its group do. Services that are in no
// route yet are treated as shards of one future index, so that not every host
// opens connections to all of them.
func (g *Gateway) ConnectingHosts(v *routing.View) map[string]ConnectingHosts {
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	all := ConnectingHosts{Count: g.shared.hosts, IncludesSelf: true}
	byService := make(map[string]ConnectingHosts)
	for _, r := range v.Replicas {
		byService[r.Service] = all
	}
	unrouted := make(map[string]bool)
	for service := range byService {
		unrouted[service] = true
	}
	for i := range v.Config.Routes {
		route := &v.Config.Routes[i]
		for _, part := range route.Parts {
			delete(unrouted, part.Service)
		}
		for _, service := range route.Shards {
			delete(unrouted, service)
		}
		g.shared.assignGroups(byService, route.Shards)
	}
	futureShards := make([]string, 0, len(unrouted))
	for service := range unrouted {
		futureShards = append(futureShards, service)
	}
	g.shared.assignGroups(byService, futureShards)
	return byService
}

// assignGroups records that, if an index is divided, only the owners of a
// shard's group connect to the shard's replicas. The caller must hold mu.
func (s *sharedState) assignGroups(byService map[string]ConnectingHosts, shards []string) {
	groups := s.peers.Groups(len(shards))
	if groups == 1 {
		return
	}
	for _, service := range shards {
		hosts, known := byService[service]
		if !known {
			continue
		}
		group := split.GroupOf(service, groups)
		byService[service] = ConnectingHosts{
			Count:        min(hosts.Count, s.peers.OwnerCount(groups)),
			IncludesSelf: hosts.IncludesSelf && s.peers.Owns(group, groups),
		}
	}
}

// updateHostsByService recomputes how many hosts share the allowance of each
// service, and which services are shards of divided indexes. The caller must hold mu.
func (s *sharedState) updateHostsByService() {
	s.groupsByService = s.groupsByDividedService(s.view)
	s.hostsByService = s.hostsByDividedService()
	s.slotsByService = s.slotsByShard()
	s.meter.Retain(func(shard string) bool { return s.slotsByService[shard] > 0 })
	s.resizeBudgets()
	s.limits.SendersChanged()
}

// groupsByDividedService returns, for each shard of a divided index, the number of
// groups of the index. The caller must hold mu.
func (s *sharedState) groupsByDividedService(v *routing.View) map[string]int {
	out := make(map[string]int)
	if v.Config == nil {
		return out
	}
	for i := range v.Config.Routes {
		shards := v.Config.Routes[i].Shards
		if groups := s.peers.Groups(len(shards)); groups > 1 {
			for _, service := range shards {
				out[service] = groups
			}
		}
	}
	return out
}

// The factors by which the number of hosts that share an allowance is multiplied, for the
// owners of a group and for other hosts. Owners send nearly all that its replicas get;
// other hosts send to them if no owner accepts a part.
const (
	ownerMargin    = 1.5
	nonOwnerMargin = 2
)

// hostsByDividedService returns, for each service that is a shard of a divided index, the
// number of hosts by which this host divides the service's allowance. The caller must
// hold mu.
func (s *sharedState) hostsByDividedService() map[string]int {
	out := make(map[string]int)
	for service, groups := range s.groupsByService {
		if s.peers.Owns(split.GroupOf(service, groups), groups) {
			out[service] = min(int(math.Ceil(ownerMargin*float64(s.ownerCount(groups)))), s.hosts)
		} else {
			out[service] = nonOwnerMargin * s.hosts
		}
	}
	return out
}

// ownerCount returns the number of owners of a group as of the time when the most hosts
// were known: hosts that are only out of sight still send. The number of hosts falls
// after a while, and this one with it. The caller must hold mu.
func (s *sharedState) ownerCount(groups int) int {
	seen, known := s.peers.OwnerCount(groups), len(s.peers.Hosts())
	return max(seen, seen*s.hosts/max(known, 1))
}

// sharingHosts returns the number of hosts that share the allowance of a
// service. The caller must hold mu.
func (s *sharedState) sharingHosts(service string) int {
	if n := s.hostsByService[service]; n > 0 {
		return n
	}
	return s.hosts
}
