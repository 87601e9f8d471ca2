package roster

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	// MinRelays is the number of relays of an endpoint if its cap permits.
	MinRelays = 2
	// SlotsPerRelay is the number of slots that call for one relay more.
	SlotsPerRelay = 4
	// MinShare is the smallest useful share of connections: one for work and one
	// that is being opened or probed.
	MinShare = 2
	// ConcurrentRelaySets is how many sets of relays may hold their shares at once
	// without passing the endpoint's cap: the present set, and one more while
	// hosts are replaced or two parts of the fleet see different hosts.
	ConcurrentRelaySets = 2
	// DirectHostsPerSlot is the number of hosts per slot up to which each host
	// sends to the endpoint itself.
	DirectHostsPerSlot = 1
	// WatchersPerDataCentre is the number of hosts of a data centre that watch
	// the platform.
	WatchersPerDataCentre = 2
)

// Assignment tells which hosts relay to an endpoint, and this host's share of
// its connections. It is immutable.
type Assignment struct {
	// Relays maps an endpoint to peer addresses in order of preference.
	Relays map[string][]string
	// ConnectionShares maps an endpoint to the connections that this host may hold. An
	// endpoint that this host doesn't relay to is absent.
	ConnectionShares map[string]int
}

// candidate is a host with the hash of its address.
type candidate struct {
	address string
	hash    uint64
	score   uint64
}

// AssignRelays works out the relays of every endpoint from the hosts that are ready.
// Relays are the hosts of the endpoint's data centre with the highest rendezvous
// scores, or of all data centres if it has none. When the whole fleet is small
// against the slots and the connection cap, each host comes first in its own
// list.
//
// The share is the cap divided by the number of relays and by Generations,
// rounded down. So the shares of all hosts that agree on the assignment sum to
// at most half of the cap, and those of two disagreeing sets to at most the cap.
// More sets at once may pass the cap; the endpoint then refuses connections. An
// endpoint whose cap is below Generations has one relay with a share of one.
func AssignRelays(bundle *config.Bundle, self view.Host, others []view.Host) *Assignment {
	p := newPlanner(self, others)
	endpoints := bundle.Endpoints()
	a := &Assignment{Relays: make(map[string][]string, len(endpoints)), ConnectionShares: make(map[string]int)}
	for id, e := range endpoints {
		relays, count := p.relays(id, e)
		a.Relays[id] = relays
		if slices.Contains(relays[:min(count, len(relays))], self.Incarnation.Address) {
			a.ConnectionShares[id] = share(e, count)
		}
	}
	return a
}

// planner groups the candidates by data centre.
type planner struct {
	self     string
	ready    bool
	all      []candidate
	byCentre map[string][]candidate
	top      []candidate
}

func newPlanner(self view.Host, others []view.Host) *planner {
	p := &planner{self: self.Incarnation.Address, ready: self.State == view.HostReady, byCentre: make(map[string][]candidate)}
	p.add(self)
	for _, h := range others {
		p.add(h)
	}
	if len(p.all) == 0 {
		p.all = []candidate{newCandidate(p.self)}
		p.ready = true
	}
	return p
}

func (p *planner) add(h view.Host) {
	if h.State != view.HostReady {
		return
	}
	c := newCandidate(h.Incarnation.Address)
	p.all = append(p.all, c)
	p.byCentre[h.DataCentre] = append(p.byCentre[h.DataCentre], c)
}

func newCandidate(address string) candidate {
	return candidate{address: address, hash: xxhash.Sum64String(address)}
}

// relays returns the relays of an endpoint and by how many hosts its cap is
// shared.
func (p *planner) relays(id string, e *config.Endpoint) ([]string, int) {
	pool := p.byCentre[e.DataCentre]
	if len(pool) == 0 {
		pool = p.all
	}
	count := min(relayCount(e), len(pool))
	relays := p.highest(pool, xxhash.Sum64String(id), count)
	if !direct(e, len(p.all)) {
		return relays, count
	}
	return p.selfFirst(relays), len(p.all)
}

// selfFirst puts this host before the other relays.
func (p *planner) selfFirst(relays []string) []string {
	if !p.ready {
		return relays
	}
	out := make([]string, 0, len(relays)+1)
	out = append(out, p.self)
	for _, r := range relays {
		if r != p.self {
			out = append(out, r)
		}
	}
	return out
}

// highest returns the addresses of the count candidates with the highest scores.
func (p *planner) highest(pool []candidate, key uint64, count int) []string {
	p.top = p.top[:0]
	for _, c := range pool {
		c.score = mix(c.hash ^ key)
		p.top = insert(p.top, c, count)
	}
	out := make([]string, len(p.top))
	for i, c := range p.top {
		out[i] = c.address
	}
	return out
}

// insert keeps the limit candidates with the highest scores in order. Equal
// scores are ordered by address.
func insert(top []candidate, c candidate, limit int) []candidate {
	if len(top) == limit && !above(c, top[limit-1]) {
		return top
	}
	if len(top) < limit {
		top = append(top, c)
	}
	i := len(top) - 1
	for i > 0 && above(c, top[i-1]) {
		top[i] = top[i-1]
		i--
	}
	top[i] = c
	return top
}

func above(a, b candidate) bool {
	return a.score > b.score || (a.score == b.score && a.address < b.address)
}

// mix is the finalizer of SplitMix64; every input bit affects every output bit.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// relayCount is the number of relays that an endpoint's slots call for, and that
// its cap can give a useful share.
func relayCount(e *config.Endpoint) int {
	wanted := max(MinRelays, (e.Slots+SlotsPerRelay-1)/SlotsPerRelay)
	return max(1, min(wanted, e.MaxConnections/(ConcurrentRelaySets*MinShare)))
}

// direct tells whether every host of the fleet may send to the endpoint itself.
func direct(e *config.Endpoint, hosts int) bool {
	return hosts <= DirectHostsPerSlot*e.Slots && hosts*ConcurrentRelaySets*MinShare <= e.MaxConnections
}

func share(e *config.Endpoint, hosts int) int {
	return max(1, e.MaxConnections/(ConcurrentRelaySets*hosts))
}

// IsWatcher tells whether this host is one of the watchers of its data centre. The
// choice changes with the revision in force, so that watching goes round and a
// host that can't reach the platform is not chosen for long.
func (r *Roster) IsWatcher(revision config.Revision) bool {
	p := &planner{}
	pool := []candidate{newCandidate(r.self.Address)}
	for _, m := range r.local {
		if m.host.State != view.HostLeaving {
			pool = append(pool, newCandidate(m.host.Incarnation.Address))
		}
	}
	key := xxhash.Sum64String(r.dataCentre + "/" + strconv.FormatUint(uint64(revision), 10))
	return slices.Contains(p.highest(pool, key, WatchersPerDataCentre), r.self.Address)
}
