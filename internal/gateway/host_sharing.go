package gateway

import (
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// ConnectingHosts tells which hosts keep connections to the replicas of a service.
type ConnectingHosts struct {
	// Count is their number.
	Count int
	// IncludesSelf tells that this host is one of them.
	IncludesSelf bool
}

// ConnectingHosts returns who keeps connections to the replicas of each service of a view:
// all hosts do, unless the service is a shard of a divided index; then the hosts of
// its team do. Services that no route names yet are taken for the shards of the
// index to come, so that not every host opens connections to all of them.
func (g *Gateway) ConnectingHosts(v *routing.View) map[string]ConnectingHosts {
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	all := ConnectingHosts{Count: g.shared.hosts, IncludesSelf: true}
	out := make(map[string]ConnectingHosts)
	for _, r := range v.Replicas {
		out[r.Service] = all
	}
	unrouted := make(map[string]bool)
	for service := range out {
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
		g.shared.assignGroups(out, route.Shards)
	}
	coming := make([]string, 0, len(unrouted))
	for service := range unrouted {
		coming = append(coming, service)
	}
	g.shared.assignGroups(out, coming)
	return out
}

// assignGroups notes that the shards of an index are dealt among groups of hosts; the
// caller holds mu.
func (s *sharedState) assignGroups(sharings map[string]ConnectingHosts, shards []string) {
	groups := s.peers.Groups(len(shards))
	if groups == 1 {
		return
	}
	for _, service := range shards {
		hosts, known := sharings[service]
		if !known {
			continue
		}
		group := split.GroupOf(service, groups)
		sharings[service] = ConnectingHosts{
			Count:        min(hosts.Count, s.peers.OwnerCount(groups)),
			IncludesSelf: hosts.IncludesSelf && s.peers.Owns(group, groups),
		}
	}
}

// updateHostsByService works out who shares the allowance of each service; the caller holds mu.
func (s *sharedState) updateHostsByService() {
	s.hostsByService = s.hostsByDividedService(s.view)
	s.resizeBudgets()
}

// ownerMargin is the room for hosts that send to a group's replicas without being of
// its team.
const ownerMargin = 2

// hostsByDividedService returns the sharers of the services whose shards this host's teams
// serve; the caller holds mu.
func (s *sharedState) hostsByDividedService(v *routing.View) map[string]int {
	out := make(map[string]int)
	if v.Config == nil {
		return out
	}
	for i := range v.Config.Routes {
		shards := v.Config.Routes[i].Shards
		groups := s.peers.Groups(len(shards))
		if groups == 1 {
			continue
		}
		for _, service := range shards {
			if group := split.GroupOf(service, groups); s.peers.Owns(group, groups) {
				out[service] = min(ownerMargin*s.peers.OwnerCount(groups), s.hosts)
			}
		}
	}
	return out
}

// sharingHosts returns the number of hosts that share the allowance of a service; the
// caller holds mu.
func (s *sharedState) sharingHosts(service string) int {
	if n := s.hostsByService[service]; n > 0 {
		return n
	}
	return s.hosts
}
