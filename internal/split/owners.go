package split

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// host is a host with the hash of its address.
type host struct {
	address string
	hash    uint64
	cpus    float64
}

// FullCPU is a processor in the unit of [Peer].
const FullCPU = 100

func newHost(p Peer) host {
	processor := p.CPUPercent
	if processor <= 0 {
		processor = FullCPU
	}
	return host{address: p.Address, hash: xxhash.Sum64String(p.Address), cpus: float64(processor) / FullCPU}
}

// rendezvousWeight is the rank of a host in the team of a group, by weighted rendezvous
// hashing: a host is in as many teams as its processor allows.
func (h host) rendezvousWeight(group int) float64 {
	const mantissaBits = 53
	point := (float64(mix(h.hash, group)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -h.cpus / math.Log(point)
}

// mix returns a hash and a group mixed by the finalizer of SplitMix64.
func mix(hash uint64, group int) uint64 {
	x := hash + uint64(group+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ownerKey names the team of a group in a data centre.
type ownerKey struct {
	centre        string
	group, groups int
}

// owners returns the hosts of a data centre that serve a group: those with the
// greatest weights. They hold until the peers change.
func (t *PeerTable) owners(centre string, group, groups int) []host {
	key := ownerKey{centre: centre, group: group, groups: groups}
	team, known := t.ownerCache[key]
	if !known {
		team = highestRanked(t.hostsByCentre[centre], group, ownersPerGroup(len(t.hostsByCentre[centre]), groups))
		t.ownerCache[key] = team
	}
	return team
}

// Owns reports whether this host is in the team of a group.
func (t *PeerTable) Owns(group, groups int) bool {
	return slices.ContainsFunc(t.owners(t.self.DataCentre, group, groups), func(h host) bool { return h.address == t.self.Address })
}

// OwnerCount returns the number of known hosts that serve a group, in all data
// centres, with this one.
func (t *PeerTable) OwnerCount(groups int) int {
	n := 0
	for _, hosts := range t.hostsByCentre {
		n += ownersPerGroup(len(hosts), groups)
	}
	return n
}

// ownersPerGroup returns the number of hosts of a team in a data centre.
func ownersPerGroup(hosts, groups int) int { return (hosts + groups - 1) / groups }

// highestRanked returns the n hosts with the greatest weights for a group.
func highestRanked(hosts []host, group, n int) []host {
	type weighted struct {
		host
		weight float64
	}
	sorted := make([]weighted, 0, len(hosts))
	for _, h := range hosts {
		sorted = append(sorted, weighted{host: h, weight: h.rendezvousWeight(group)})
	}
	slices.SortFunc(sorted, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.address, b.address))
	})
	out := make([]host, 0, n)
	for _, h := range sorted[:n] {
		out = append(out, h.host)
	}
	return out
}
