package split

import (
	"cmp"
	"slices"
	"time"
)

// RecentRetention is how long a host that is no longer known counts among those that were
// known lately. Hosts that are cut off from each other for less agree on them.
const RecentRetention = 2 * time.Minute

// RecentPeers holds the hosts that were known lately.
type RecentPeers struct {
	current []Peer
	seen    map[string]recentPeer
}

type recentPeer struct {
	Peer
	at time.Duration
}

// Update replaces the known hosts. It returns those that were known within RecentRetention,
// sorted by address.
func (r *RecentPeers) Update(now time.Duration, peers []Peer) []Peer {
	if r.seen == nil {
		r.seen = make(map[string]recentPeer)
	}
	for _, p := range slices.Concat(r.current, peers) {
		r.seen[p.Address] = recentPeer{Peer: p, at: now}
	}
	r.current = peers
	var out []Peer
	for address, p := range r.seen {
		if now-p.at > RecentRetention {
			delete(r.seen, address)
			continue
		}
		out = append(out, p.Peer)
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// Refresh is Update while the known hosts are the same. changed reports whether a host no
// longer counts.
func (r *RecentPeers) Refresh(now time.Duration) (peers []Peer, changed bool) {
	before := len(r.seen)
	peers = r.Update(now, r.current)
	return peers, len(peers) != before
}

// OwnersByCentre returns the addresses of the hosts that own the group of a service in their
// own data centre, for an index with the given number of shards. Each data centre has as
// many groups as its hosts divide the index into, so that hosts of all data centres
// get the same result from the same hosts.
func (t *PeerTable) OwnersByCentre(service string, shards int) []string {
	var addresses []string
	for centre, hosts := range t.hostsByCentre {
		groups := groupsFor(shards, len(hosts))
		for _, h := range t.owners(centre, GroupOf(service, groups), groups) {
			addresses = append(addresses, h.address)
		}
	}
	return addresses
}
