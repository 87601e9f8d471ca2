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
	// memberTTL is the time without a sign after which a host is forgotten.
	memberTTL = 8 * time.Second
	// sizeMemory is how long the size of a larger fleet is remembered, since
	// hosts that cannot be heard still send to replicas.
	sizeMemory = 60 * time.Second
	// sampleSize is the number of members in a heartbeat.
	sampleSize = 12
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
	start      uint64
	dataCentre string
	heard      time.Duration
}

func newMembers(self string) *members {
	return &members{self: self, hosts: make(map[string]*member), size: 1}
}

// heard notes a sign of a host at a time. A sign of an earlier incarnation that
// comes late changes nothing.
func (m *members) heard(address string, start uint64, dataCentre string, at time.Duration) {
	if address == m.self || address == "" {
		return
	}
	known := m.hosts[address]
	if known == nil {
		m.hosts[address] = &member{start: start, dataCentre: dataCentre, heard: at}
		return
	}
	if at > known.heard {
		known.start, known.dataCentre, known.heard = start, dataCentre, at
	}
}

func (m *members) left(address string) { delete(m.hosts, address) }

// tick forgets hosts that were not heard for long.
func (m *members) tick(now time.Duration) {
	for address, h := range m.hosts {
		if now-h.heard > memberTTL {
			delete(m.hosts, address)
		}
	}
	if n := len(m.hosts) + 1; n >= m.size || now-m.sizeAt > sizeMemory {
		m.size, m.sizeAt = n, now
	}
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
		out = append(out, split.Peer{Address: a, DataCentre: m.hosts[a].dataCentre})
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

// sample returns some members for a heartbeat, those heard last first.
func (m *members) sample(now time.Duration, rng *rand.Rand) []Member {
	out := make([]Member, 0, len(m.hosts))
	for _, a := range m.addresses() {
		h := m.hosts[a]
		out = append(out, Member{Address: a, Start: h.start, DataCentre: h.dataCentre, Age: now - h.heard})
	}
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	out = out[:min(len(out), sampleSize)]
	slices.SortStableFunc(out, func(a, b Member) int { return cmp.Compare(a.Age, b.Age) })
	return out
}

// some returns up to n members at random.
func (m *members) some(n int, rng *rand.Rand) []string {
	out := m.addresses()
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), n)]
}
