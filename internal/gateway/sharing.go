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
	g.beliefs.mu.Lock()
	defer g.beliefs.mu.Unlock()
	all := ConnectingHosts{Count: g.beliefs.hosts, IncludesSelf: true}
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
		g.beliefs.shareGroup(out, route.Shards)
	}
	coming := make([]string, 0, len(unrouted))
	for service := range unrouted {
		coming = append(coming, service)
	}
	g.beliefs.shareGroup(out, coming)
	return out
}

// shareGroup notes that the shards of an index are dealt among groups of hosts; the
// caller holds mu.
func (b *beliefs) shareGroup(sharings map[string]ConnectingHosts, shards []string) {
	groups := b.peers.Groups(len(shards))
	if groups == 1 {
		return
	}
	for _, service := range shards {
		s, known := sharings[service]
		if !known {
			continue
		}
		group := split.Group(service, groups)
		sharings[service] = ConnectingHosts{
			Count:        min(s.Count, b.peers.TeamSize(groups)),
			IncludesSelf: s.IncludesSelf && b.peers.Serves(group, groups),
		}
	}
}

// share works out who shares the allowance of each service; the caller holds mu.
func (b *beliefs) share() {
	b.sharers = b.divisions(b.view)
	b.resize()
}

// teamMargin is the room for hosts that send to a group's replicas without being of
// its team.
const teamMargin = 2

// divisions returns the sharers of the services whose shards this host's teams
// serve; the caller holds mu.
func (b *beliefs) divisions(v *routing.View) map[string]int {
	out := make(map[string]int)
	if v.Config == nil {
		return out
	}
	for i := range v.Config.Routes {
		shards := v.Config.Routes[i].Shards
		groups := b.peers.Groups(len(shards))
		if groups == 1 {
			continue
		}
		for _, service := range shards {
			if group := split.Group(service, groups); b.peers.Serves(group, groups) {
				out[service] = min(teamMargin*b.peers.TeamSize(groups), b.hosts)
			}
		}
	}
	return out
}

// sharing returns the number of hosts that share the allowance of a service; the
// caller holds mu.
func (b *beliefs) sharing(service string) int {
	if n := b.sharers[service]; n > 0 {
		return n
	}
	return b.hosts
}
