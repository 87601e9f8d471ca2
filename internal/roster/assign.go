package roster

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	// MinRelays is the least number of relays of an endpoint whose connection cap
	// allows for them.
	MinRelays = 2
	// SlotsPerRelay is the number of endpoint slots that one relay serves.
	SlotsPerRelay = 4
	// MinConnectionShare is the smallest useful share of an endpoint's connections:
	// one that carries requests and one that is being opened or probed.
	MinConnectionShare = 2
	// ConcurrentRelaySets is the number of relay sets that may hold their connection
	// shares at the same time without exceeding the endpoint's cap: the current
	// set, and a second one while hosts are replaced or two parts of the fleet see
	// different hosts.
	ConcurrentRelaySets = 2
	// DirectHostsPerSlot is the largest number of hosts per endpoint slot at which
	// every host connects to the endpoint directly.
	DirectHostsPerSlot = 1
	// WatchersPerDataCentre is the number of hosts in a data centre that watch the
	// platform for changes.
	WatchersPerDataCentre = 2
)

// Assignment holds the relays of each endpoint and this host's share of each
// endpoint's connections. It is immutable.
type Assignment struct {
	// Relays maps an endpoint ID to the peer addresses of its relays, in order of
	// preference.
	Relays map[string][]string
	// ConnectionShares maps an endpoint ID to the number of connections that this
	// host may hold. Endpoints that this host isn't a relay of are absent.
	ConnectionShares map[string]int
}

// candidate is a host that may be selected. hash is the hash of its address, and
// score its rendezvous score for the key of the current selection.
type candidate struct {
	address string
	hash    uint64
	score   uint64
}

// AssignRelays selects the relays of every endpoint among the ready hosts by
// rendezvous hashing: the hosts with the highest scores in the endpoint's data
// centre, or in all data centres if no host is ready in that one. If the fleet is
// small relative to the endpoint's slots and connection cap, each ready host puts
// itself first in its own list and connects directly.
//
// A connection share is the endpoint's cap divided by the number of hosts that
// share it and by ConcurrentRelaySets, rounded down. The hosts that share the cap
// are the relays, or all ready hosts if these connect directly. The shares of all
// hosts that agree on the assignment thus sum to at most half of the cap, and those
// of two disagreeing sets to at most the cap. Three or more sets may exceed the
// cap; the endpoint then refuses connections. An endpoint whose cap is below
// ConcurrentRelaySets has one relay with a share of one.
func AssignRelays(bundle *config.Bundle, self view.Host, others []view.Host) *Assignment {
	p := newPlanner(self, others)
	endpoints := bundle.Endpoints()
	assignment := &Assignment{Relays: make(map[string][]string, len(endpoints)), ConnectionShares: make(map[string]int)}
	for id, e := range endpoints {
		relays, count := p.selectRelays(id, e)
		assignment.Relays[id] = relays
		if slices.Contains(relays[:min(count, len(relays))], self.Incarnation.Address) {
			assignment.ConnectionShares[id] = connectionShare(e, count)
		}
	}
	return assignment
}

// planner selects relays among the ready hosts, grouped by data centre.
type planner struct {
	// self is the address of this host.
	self         string
	selfReady    bool
	candidates   []candidate
	byDataCentre map[string][]candidate
	// top is the buffer of topScored, reused between calls.
	top []candidate
}

// newPlanner returns a planner for the ready hosts, or for this host alone if none
// is ready.
func newPlanner(self view.Host, others []view.Host) *planner {
	p := &planner{self: self.Incarnation.Address, selfReady: self.State == view.HostReady, byDataCentre: make(map[string][]candidate)}
	p.addHost(self)
	for _, h := range others {
		p.addHost(h)
	}
	if len(p.candidates) == 0 {
		p.candidates = []candidate{newCandidate(p.self)}
		p.selfReady = true
	}
	return p
}

func (p *planner) addHost(h view.Host) {
	if h.State != view.HostReady {
		return
	}
	c := newCandidate(h.Incarnation.Address)
	p.candidates = append(p.candidates, c)
	p.byDataCentre[h.DataCentre] = append(p.byDataCentre[h.DataCentre], c)
}

func newCandidate(address string) candidate {
	return candidate{address: address, hash: xxhash.Sum64String(address)}
}

// selectRelays returns the relays of an endpoint and the number of hosts that share
// its connection cap.
func (p *planner) selectRelays(id string, e *config.Endpoint) ([]string, int) {
	pool := p.byDataCentre[e.DataCentre]
	if len(pool) == 0 {
		pool = p.candidates
	}
	count := min(relayCount(e), len(pool))
	relays := p.topScored(pool, xxhash.Sum64String(id), count)
	if !allowsDirect(e, len(p.candidates)) {
		return relays, count
	}
	return p.withSelfFirst(relays), len(p.candidates)
}

// withSelfFirst returns the relays with this host moved or inserted at the front,
// provided that this host is ready.
func (p *planner) withSelfFirst(relays []string) []string {
	if !p.selfReady {
		return relays
	}
	ordered := make([]string, 0, len(relays)+1)
	ordered = append(ordered, p.self)
	for _, r := range relays {
		if r != p.self {
			ordered = append(ordered, r)
		}
	}
	return ordered
}

// topScored returns the addresses of the count candidates with the highest
// rendezvous scores for the key, best first.
func (p *planner) topScored(pool []candidate, key uint64, count int) []string {
	p.top = p.top[:0]
	for _, c := range pool {
		c.score = mix64(c.hash ^ key)
		p.top = insertByScore(p.top, c, count)
	}
	ordered := make([]string, len(p.top))
	for i, c := range p.top {
		ordered[i] = c.address
	}
	return ordered
}

// insertByScore adds c to top, which holds at most limit candidates, best first.
func insertByScore(top []candidate, c candidate, limit int) []candidate {
	if len(top) == limit && !ranksAbove(c, top[limit-1]) {
		return top
	}
	if len(top) < limit {
		top = append(top, c)
	}
	i := len(top) - 1
	for i > 0 && ranksAbove(c, top[i-1]) {
		top[i] = top[i-1]
		i--
	}
	top[i] = c
	return top
}

// ranksAbove orders candidates by descending score, and equal scores by address.
func ranksAbove(a, b candidate) bool {
	return a.score > b.score || (a.score == b.score && a.address < b.address)
}

// mix64 is the finalizer of SplitMix64: every input bit affects every output bit.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// relayCount returns the number of relays that the endpoint's slots need, at most
// as many as can each get MinConnectionShare of its connection cap, but at least
// one.
func relayCount(e *config.Endpoint) int {
	wanted := max(MinRelays, (e.Slots+SlotsPerRelay-1)/SlotsPerRelay)
	return max(1, min(wanted, e.MaxConnections/(ConcurrentRelaySets*MinConnectionShare)))
}

// allowsDirect reports whether every host of the fleet may connect to the endpoint
// directly.
func allowsDirect(e *config.Endpoint, hosts int) bool {
	return hosts <= DirectHostsPerSlot*e.Slots && hosts*ConcurrentRelaySets*MinConnectionShare <= e.MaxConnections
}

// connectionShare returns the number of connections that each of the hosts may hold.
func connectionShare(e *config.Endpoint, hosts int) int {
	return max(1, e.MaxConnections/(ConcurrentRelaySets*hosts))
}

// IsWatcher reports whether this host is one of the watchers of its data centre.
// The selection depends on the revision in force, so that the role rotates and a
// host that can't reach the platform isn't selected for long.
func (r *Roster) IsWatcher(revision config.Revision) bool {
	p := &planner{}
	pool := []candidate{newCandidate(r.self.Address)}
	for _, m := range r.local {
		if m.host.State != view.HostLeaving {
			pool = append(pool, newCandidate(m.host.Incarnation.Address))
		}
	}
	key := xxhash.Sum64String(r.dataCentre + "/" + strconv.FormatUint(uint64(revision), 10))
	return slices.Contains(p.topScored(pool, key, WatchersPerDataCentre), r.self.Address)
}
