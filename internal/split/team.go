package split

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// host is a host with the hash of its address.
type host struct {
	address   string
	hash      uint64
	processor float64
}

// FullCPU is a processor in the unit of [Peer].
const FullCPU = 100

func newHost(p Peer) host {
	processor := p.CPUPercent
	if processor <= 0 {
		processor = FullCPU
	}
	return host{address: p.Address, hash: xxhash.Sum64String(p.Address), processor: float64(processor) / FullCPU}
}

// weight is the rank of a host in the team of a group, by weighted rendezvous
// hashing: a host is in as many teams as its processor allows.
func (h host) weight(group int) float64 {
	const mantissaBits = 53
	point := (float64(mix(h.hash, group)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -h.processor / math.Log(point)
}

// mix returns a hash and a group mixed by the finalizer of SplitMix64.
func mix(hash uint64, group int) uint64 {
	x := hash + uint64(group+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// teamKey names the team of a group in a data centre.
type teamKey struct {
	centre        string
	group, groups int
}

// team returns the hosts of a data centre that serve a group: those with the
// greatest weights. They hold until the peers change.
func (t *Table) team(centre string, group, groups int) []host {
	key := teamKey{centre: centre, group: group, groups: groups}
	team, known := t.teams[key]
	if !known {
		team = heaviest(t.centres[centre], group, teamSize(len(t.centres[centre]), groups))
		t.teams[key] = team
	}
	return team
}

// Serves reports whether this host is in the team of a group.
func (t *Table) Serves(group, groups int) bool {
	return slices.ContainsFunc(t.team(t.self.DataCentre, group, groups), func(h host) bool { return h.address == t.self.Address })
}

// TeamSize returns the number of known hosts that serve a group, in all data
// centres, with this one.
func (t *Table) TeamSize(groups int) int {
	n := 0
	for _, hosts := range t.centres {
		n += teamSize(len(hosts), groups)
	}
	return n
}

// teamSize returns the number of hosts of a team in a data centre.
func teamSize(hosts, groups int) int { return (hosts + groups - 1) / groups }

// heaviest returns the n hosts with the greatest weights for a group.
func heaviest(hosts []host, group, n int) []host {
	type weighted struct {
		host
		weight float64
	}
	sorted := make([]weighted, 0, len(hosts))
	for _, h := range hosts {
		sorted = append(sorted, weighted{host: h, weight: h.weight(group)})
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
