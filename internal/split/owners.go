package split

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// host is a peer with the hash of its address.
type host struct {
	address string
	hash    uint64
	cpu     float64 // CPUs available to the host
}

// FullCPU is the value of [Peer].CPUPercent for one whole CPU.
const FullCPU = 100

func newHost(p Peer) host {
	cpu := p.CPUPercent
	if cpu <= 0 {
		cpu = FullCPU
	}
	return host{address: p.Address, hash: xxhash.Sum64String(p.Address), cpu: float64(cpu) / FullCPU}
}

// rendezvousWeight returns the weight of a host for a group in weighted
// rendezvous hashing. A host owns a number of groups proportional to its CPU.
func (h host) rendezvousWeight(group int) float64 {
	const mantissaBits = 53
	uniform := (float64(splitMix64(h.hash, group)>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -h.cpu / math.Log(uniform)
}

// splitMix64 combines a hash and a group with the SplitMix64 finalizer.
func splitMix64(hash uint64, group int) uint64 {
	x := hash + uint64(group+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ownerKey identifies the owners of a group in a data centre.
type ownerKey struct {
	centre        string
	group, groups int
}

// owners returns the hosts of a data centre that own a group: those with the
// greatest weights. The result is cached until the peers change.
func (t *PeerTable) owners(centre string, group, groups int) []host {
	key := ownerKey{centre: centre, group: group, groups: groups}
	owners, known := t.ownerCache[key]
	if !known {
		owners = highestRanked(t.hostsByCentre[centre], group, ownersPerGroup(len(t.hostsByCentre[centre]), groups))
		t.ownerCache[key] = owners
	}
	return owners
}

// Owns reports whether this host is an owner of a group.
func (t *PeerTable) Owns(group, groups int) bool {
	return slices.ContainsFunc(t.owners(t.self.DataCentre, group, groups), func(h host) bool { return h.address == t.self.Address })
}

// OwnerCount returns the number of owners of a group in all data centres,
// counted from the known hosts.
func (t *PeerTable) OwnerCount(groups int) int {
	n := 0
	for _, hosts := range t.hostsByCentre {
		n += ownersPerGroup(len(hosts), groups)
	}
	return n
}

// ownersPerGroup returns the number of owners of a group in a data centre with
// the given number of hosts.
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

// Hosts returns the addresses of all known hosts, this one included.
func (t *PeerTable) Hosts() []string {
	var addresses []string
	for _, hosts := range t.hostsByCentre {
		for _, h := range hosts {
			addresses = append(addresses, h.address)
		}
	}
	return addresses
}

// Owners returns the addresses of the owners of a group in all data centres.
func (t *PeerTable) Owners(group, groups int) []string {
	var addresses []string
	for centre := range t.hostsByCentre {
		for _, h := range t.owners(centre, group, groups) {
			addresses = append(addresses, h.address)
		}
	}
	return addresses
}
