package discovery

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumlug/gypsumlug/internal/split"
)

const (
	// memberTTL is the least time without a sign after which a host is forgotten, and
	// memberTTLEach what each known host adds up to, since news take longer in a
	// larger fleet.
	memberTTL     = 8 * time.Second
	memberTTLEach = 60 * time.Millisecond
	// askAfter is the part of that time, as a divisor, after which a host is asked
	// for a sign, and asksPerHello bounds those that are asked at a time.
	askAfter     = 2
	asksPerHello = 8
	// sizeMemory is how long the size of a larger fleet is remembered, since
	// hosts that cannot be heard still send to replicas.
	sizeMemory = 60 * time.Second
	// sampleSize is the number of members in a heartbeat. Those heard within about
	// freshness of each other are drawn at random.
	sampleSize = 16
	freshness  = 2 * time.Second
)

// members are the other hosts. They are hints: no promise rests on them.
type members struct {
	self  string
	hosts map[string]*member
	// size is the largest number of hosts seen lately, this one included.
	size   int
	sizeAt time.Duration
}

type member struct {
	Member
	heard time.Duration
}

func newMembers(self string) *members {
	return &members{self: self, hosts: make(map[string]*member), size: 1}
}

// heard notes a sign of a host at a time. A sign of an earlier incarnation that
// comes late changes nothing.
func (m *members) heard(x Member, at time.Duration) {
	if x.Address == m.self || x.Address == "" {
		return
	}
	if known := m.hosts[x.Address]; known == nil || at > known.heard {
		m.hosts[x.Address] = &member{Member: x, heard: at}
	}
}

func (m *members) left(address string) { delete(m.hosts, address) }

// tick forgets hosts that were not heard for long.
func (m *members) tick(now time.Duration) {
	ttl := m.ttl()
	for address, h := range m.hosts {
		if now-h.heard > ttl {
			delete(m.hosts, address)
		}
	}
	if n := len(m.hosts) + 1; n >= m.size || now-m.sizeAt > sizeMemory {
		m.size, m.sizeAt = n, now
	}
}

// ttl returns the time without a sign after which a host is forgotten.
func (m *members) ttl() time.Duration {
	return max(memberTTL, time.Duration(len(m.hosts))*memberTTLEach)
}

// silent returns the hosts to ask for a sign: those not heard for long, the longest
// first.
func (m *members) silent(now time.Duration) []string {
	var out []string
	for _, a := range m.addresses() {
		if now-m.hosts[a].heard > m.ttl()/askAfter {
			out = append(out, a)
		}
	}
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(m.hosts[a].heard, m.hosts[b].heard) })
	return out[:min(len(out), asksPerHello)]
}

// addresses returns the known hosts in a fixed order.
func (m *members) addresses() []string {
	out := make([]string, 0, len(m.hosts))
	for a := range m.hosts {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

// peers returns the other hosts.
func (m *members) peers() []split.Peer {
	out := make([]split.Peer, 0, len(m.hosts))
	for _, a := range m.addresses() {
		out = append(out, split.Peer{Address: a, DataCentre: m.hosts[a].DataCentre, CPUPercent: m.hosts[a].Processor})
	}
	return out
}

// rank returns this host's position in the order in which hosts read the store:
// zero reads first.
func (m *members) rank() int {
	rank := 0
	for a := range m.hosts {
		if m.precedes(a) {
			rank++
		}
	}
	return rank
}

// precedes reports whether another host comes before this one in that order.
func (m *members) precedes(address string) bool {
	own, other := xxhash.Sum64String(m.self), xxhash.Sum64String(address)
	return other < own || other == own && address < m.self
}

// sample returns some members for a heartbeat: those heard last.
func (m *members) sample(now time.Duration, rng *rand.Rand) []Member {
	out := m.all(now)
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b Member) int { return cmp.Compare(a.Age/freshness, b.Age/freshness) })
	return out[:min(len(out), sampleSize)]
}

// all returns all members.
func (m *members) all(now time.Duration) []Member {
	out := make([]Member, 0, len(m.hosts))
	for _, a := range m.addresses() {
		x := m.hosts[a].Member
		x.Age = now - m.hosts[a].heard
		out = append(out, x)
	}
	return out
}

// some returns up to n members at random.
func (m *members) some(n int, rng *rand.Rand) []string {
	out := m.addresses()
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), n)]
}
