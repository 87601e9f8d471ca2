// Package split divides the queries of wide indexes among hosts.
//
// Where an index has many shards, the fan-out takes one small host longer than
// the query has, and all hosts together more connections than the replicas
// accept. So the shards and the hosts are dealt into groups by hash. A host asks
// one host of each group in its own data centre for that group's shards, serves
// those of its own group itself, and merges the parts. A host whose data centre
// has few of the replicas asks hosts of those that have them, for all groups, so
// that one message a group crosses between data centres and not one a shard.
// Groups are an efficiency only: any host can serve any shard, and a host whose
// helper fails does so.
//
// A [Table] knows the other hosts and which of them failed lately. It is fed with events and the monotonic time; it is not safe for
// concurrent use.
package split

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	// shardsPerGroup is the number of shards that one host serves of a query, and
	// wideIndex the number from which a query is divided.
	shardsPerGroup = 15
	wideIndex      = 40
	// hostsPerGroup is the least number of hosts of a group in a data centre.
	hostsPerGroup = 4
	// minHold and maxHold bound the time for which a host that failed is not
	// asked; it doubles with each failure in a row.
	minHold = 500 * time.Millisecond
	maxHold = 8 * time.Second
)

// Request asks a host for some shards of a query.
type Request struct {
	// Index identifies the shards of the route at the asking host; see Digest. A
	// host that knows others for the route does not take the request.
	Index uint64 `msgpack:"i"`
	Route string `msgpack:"r"`
	// Shards are positions among the route's shards.
	Shards  []int            `msgpack:"s"`
	Message dispatch.Message `msgpack:"m"`
	// Target is the time in which the reply is of use.
	Target time.Duration `msgpack:"t"`
}

// Reply is a host's part of a query.
type Reply struct {
	// Code is not zero if the host did not take the request; nothing ran then.
	Code result.Code `msgpack:"c"`
	// Stamps are the signatures of the shards' responses, and Records their
	// greatest records, greatest first.
	Stamps  []string  `msgpack:"s"`
	Records []byte    `msgpack:"r"`
	Missing []Missing `msgpack:"m"`
	// MayHaveRun tells that an endpoint may have run the request.
	MayHaveRun bool `msgpack:"y"`
	Attempts   int  `msgpack:"a"`
}

// Missing is a shard without a part, and why.
type Missing struct {
	Shard int         `msgpack:"s"`
	Code  result.Code `msgpack:"c"`
}

// Peer is another host.
type Peer struct {
	Address    string
	DataCentre string
}

// Table knows the hosts that may be asked.
type Table struct {
	self Peer
	// peers are sorted by address; local is the number of those in the own data
	// centre.
	peers []Peer
	local int
	state map[string]*peerState
}

type peerState struct {
	inFlight  int
	failures  int
	heldUntil time.Duration
}

// NewTable returns a table of the host itself.
func NewTable(self Peer) *Table { return &Table{self: self, state: make(map[string]*peerState)} }

// SetPeers replaces the other hosts.
func (t *Table) SetPeers(peers []Peer) {
	t.peers, t.local = t.peers[:0], 0
	known := make(map[string]bool, len(peers))
	for _, p := range peers {
		known[p.Address] = true
		if p.Address == t.self.Address {
			continue
		}
		t.peers = append(t.peers, p)
		if p.DataCentre == t.self.DataCentre {
			t.local++
		}
	}
	slices.SortFunc(t.peers, func(a, b Peer) int { return strings.Compare(a.Address, b.Address) })
	for address := range t.state {
		if !known[address] {
			delete(t.state, address)
		}
	}
}

// Groups returns the number of groups for an index; one means that its queries are
// not divided.
func (t *Table) Groups(shards int) int {
	if shards < wideIndex {
		return 1
	}
	return max(min((shards+shardsPerGroup-1)/shardsPerGroup, (t.local+1)/hostsPerGroup), 1)
}

// Own returns the group of this host.
func (t *Table) Own(groups int) int { return groupOf(t.self.Address, groups) }

// GroupSize returns the number of known hosts of this host's group, with this one.
func (t *Table) GroupSize(groups int) int {
	own, n := t.Own(groups), 1
	for _, p := range t.peers {
		if groupOf(p.Address, groups) == own {
			n++
		}
	}
	return n
}

// Digest identifies the shards of an index, in their order.
func Digest(services []string) uint64 {
	d := xxhash.New()
	for _, s := range services {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Deal returns the positions of the services by group.
func Deal(services []string, groups int) [][]int {
	out := make([][]int, groups)
	for i, s := range services {
		g := groupOf(s, groups)
		out[g] = append(out[g], i)
	}
	return out
}

// Serves reports whether a service is in the group of this host.
func (t *Table) Serves(service string, groups int) bool {
	return groupOf(service, groups) == t.Own(groups)
}

func groupOf(name string, groups int) int { return int(xxhash.Sum64String(name) % uint64(groups)) }

// Elsewhere reports whether a query is best served from other data centres: the
// own one is not among those near the replicas.
func (t *Table) Elsewhere(near []string) bool {
	return len(near) > 0 && !slices.Contains(near, t.self.DataCentre)
}

// Pick chooses a host of a group: of two at random the one with fewer requests
// from here. It is of the own data centre if that is near the replicas or near is
// empty, or else of one that is; failing that, of the own one. It returns false if
// there is none that is not held.
func (t *Table) Pick(now time.Duration, group, groups int, near []string, rng *rand.Rand) (string, bool) {
	var candidates []string
	if t.Elsewhere(near) {
		candidates = t.candidates(now, group, groups, func(centre string) bool { return slices.Contains(near, centre) })
	}
	if len(candidates) == 0 {
		candidates = t.candidates(now, group, groups, func(centre string) bool { return centre == t.self.DataCentre })
	}
	if len(candidates) == 0 {
		return "", false
	}
	a, b := candidates[rng.IntN(len(candidates))], candidates[rng.IntN(len(candidates))]
	if t.of(b).inFlight < t.of(a).inFlight {
		return b, true
	}
	return a, true
}

// candidates returns the hosts of a group in some data centres that are not held.
func (t *Table) candidates(now time.Duration, group, groups int, in func(centre string) bool) []string {
	var out []string
	for _, p := range t.peers {
		if in(p.DataCentre) && groupOf(p.Address, groups) == group && now >= t.of(p.Address).heldUntil {
			out = append(out, p.Address)
		}
	}
	return out
}

// Sent notes a request to a host.
func (t *Table) Sent(address string) { t.of(address).inFlight++ }

// Ended notes the end of a request to a host.
func (t *Table) Ended(now time.Duration, address string, ok bool) {
	s := t.of(address)
	s.inFlight--
	if ok {
		s.failures = 0
		return
	}
	s.heldUntil = now + min(minHold<<min(s.failures, 4), maxHold)
	s.failures++
}

func (t *Table) of(address string) *peerState {
	s := t.state[address]
	if s == nil {
		s = &peerState{}
		t.state[address] = s
	}
	return s
}
