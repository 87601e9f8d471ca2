package split

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// host is a host with the hash of its address.
type host struct {
	address string
	hash    uint64
}

func newHost(p Peer) host { return host{address: p.Address, hash: xxhash.Sum64String(p.Address)} }

// weight is the rank of a host in the team of a group: its hash, mixed with the
// group by the finalizer of SplitMix64.
func (h host) weight(group int) uint64 {
	const golden = 0x9e3779b97f4a7c15
	x := h.hash + uint64(group+1)*golden
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// teamKey names the team of a group in a data centre.
type teamKey struct {
	centre        string
	group, groups int
}

// team returns the addresses of the hosts of a data centre that serve a group: those
// with the greatest weights. They hold until the peers change.
func (t *Table) team(centre string, group, groups int) []string {
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
	return slices.Contains(t.team(t.self.DataCentre, group, groups), t.self.Address)
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

// heaviest returns the addresses of the n hosts with the greatest weights for a
// group.
func heaviest(hosts []host, group, n int) []string {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b host) int {
		return cmp.Or(cmp.Compare(b.weight(group), a.weight(group)), cmp.Compare(a.address, b.address))
	})
	out := make([]string, 0, n)
	for _, h := range sorted[:n] {
		out = append(out, h.address)
	}
	return out
}
