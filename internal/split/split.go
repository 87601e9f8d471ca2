// Package split divides the queries of wide indexes among hosts.
//
// Where an index has many shards, the fan-out takes one small host longer than
// the query has, and all hosts together more connections than the replicas
// accept. So the shards are dealt into groups by hash, and each group has a team of
// hosts in each data centre, by rendezvous hashing: hosts that know nearly the
// same others agree on nearly all of it. A host asks one host of each group's team
// in its own data centre for that group's shards, serves those of its own teams
// itself, and merges the parts. A host whose data centre has few of the replicas
// asks hosts of those that have them, for all groups, so that one message a group
// crosses between data centres and not one a shard. Groups are an efficiency only:
// any host can serve any shard, and a host whose helper fails does so.
//
// A [PeerTable] knows the other hosts and which of them failed lately. It is fed with
// events and the monotonic time; it is not safe for concurrent use.
package split

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	// shardsPerGroup is about the number of shards that one host serves of a query,
	// and minShardsToDivide the number from which a query is divided.
	shardsPerGroup    = 15
	minShardsToDivide = 40
	// hostsPerGroup is about the number of hosts of a team.
	hostsPerGroup = 4
	// minBackoff and maxBackoff bound the time for which a host that failed is not
	// asked; it doubles with each failure in a row.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
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
	// CPUPercent is what the host has of one, in hundredths; zero means a whole one.
	CPUPercent int
}

// PeerTable knows the hosts that may be asked.
type PeerTable struct {
	self Peer
	// hostsByCentre are the known hosts of each data centre, with this one.
	hostsByCentre map[string][]host
	peerStates    map[string]*peerState
	ownerCache    map[ownerKey][]host
}

type peerState struct {
	inFlight     int
	failures     int
	backoffUntil time.Duration
}

// NewPeerTable returns a table of the host itself.
func NewPeerTable(self Peer) *PeerTable {
	t := &PeerTable{self: self, peerStates: make(map[string]*peerState)}
	t.SetPeers(nil)
	return t
}

// SetPeers replaces the other hosts.
func (t *PeerTable) SetPeers(peers []Peer) {
	t.hostsByCentre = map[string][]host{t.self.DataCentre: {newHost(t.self)}}
	t.ownerCache = make(map[ownerKey][]host)
	known := make(map[string]bool, len(peers))
	for _, p := range peers {
		if p.Address != t.self.Address && !known[p.Address] {
			t.hostsByCentre[p.DataCentre] = append(t.hostsByCentre[p.DataCentre], newHost(p))
		}
		known[p.Address] = true
	}
	for address := range t.peerStates {
		if !known[address] {
			delete(t.peerStates, address)
		}
	}
}

// Groups returns the number of groups for an index; one means that its queries are
// not divided. It is a power of two, so that hosts that know a few more or fewer
// others come to the same one.
func (t *PeerTable) Groups(shards int) int {
	if shards < minShardsToDivide {
		return 1
	}
	most := min(float64(shards)/shardsPerGroup, float64(len(t.hostsByCentre[t.self.DataCentre]))/hostsPerGroup)
	return 1 << max(int(math.Round(math.Log2(most))), 0)
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

// GroupShards returns the positions of the services by group.
func GroupShards(services []string, groups int) [][]int {
	out := make([][]int, groups)
	for i, s := range services {
		g := GroupOf(s, groups)
		out[g] = append(out[g], i)
	}
	return out
}

// GroupOf returns the group of a service.
func GroupOf(service string, groups int) int {
	return int(xxhash.Sum64String(service) % uint64(groups))
}

// PreferRemote reports whether a query is best served from other data centres: the
// own one is not among those near the replicas.
func (t *PeerTable) PreferRemote(near []string) bool {
	return len(near) > 0 && !slices.Contains(near, t.self.DataCentre)
}

// Pick chooses a host of a group's team: of two at random the one with fewer
// requests from here. It is of the own data centre if that is near the replicas or
// near is empty, or else of one that is; failing that, of the own one. It returns
// false if there is none that is not held.
func (t *PeerTable) Pick(now time.Duration, group, groups int, near []string, rng *rand.Rand) (string, bool) {
	var candidates []host
	if t.PreferRemote(near) {
		for _, centre := range near {
			candidates = t.appendAvailable(candidates, now, t.owners(centre, group, groups))
		}
	}
	if len(candidates) == 0 {
		candidates = t.appendAvailable(nil, now, t.owners(t.self.DataCentre, group, groups))
	}
	if len(candidates) == 0 {
		return "", false
	}
	a, b := candidates[rng.IntN(len(candidates))], candidates[rng.IntN(len(candidates))]
	if t.relativeLoad(b) < t.relativeLoad(a) {
		return b.address, true
	}
	return a.address, true
}

// relativeLoad returns what one more request from here makes of a host's relativeLoad, for each
// processor that it has.
func (t *PeerTable) relativeLoad(h host) float64 {
	return float64(t.stateOf(h.address).inFlight+1) / h.cpus
}

// appendAvailable appends the other hosts of a team that are not held.
func (t *PeerTable) appendAvailable(out []host, now time.Duration, team []host) []host {
	for _, h := range team {
		if h.address != t.self.Address && now >= t.stateOf(h.address).backoffUntil {
			out = append(out, h)
		}
	}
	return out
}

// RequestSent notes a request to a host.
func (t *PeerTable) RequestSent(address string) { t.stateOf(address).inFlight++ }

// RequestEnded notes the end of a request to a host.
func (t *PeerTable) RequestEnded(now time.Duration, address string, ok bool) {
	s := t.stateOf(address)
	s.inFlight--
	if ok {
		s.failures = 0
		return
	}
	s.recordFailure(now)
}

// RequestCancelled notes that a request to a host was given up.
func (t *PeerTable) RequestCancelled(address string) { t.stateOf(address).inFlight-- }

// ReplyLate notes that a host's reply did not come in time. The request has not ended.
func (t *PeerTable) ReplyLate(now time.Duration, address string) {
	t.stateOf(address).recordFailure(now)
}

func (s *peerState) recordFailure(now time.Duration) {
	s.backoffUntil = now + min(minBackoff<<min(s.failures, 4), maxBackoff)
	s.failures++
}

func (t *PeerTable) stateOf(address string) *peerState {
	s := t.peerStates[address]
	if s == nil {
		s = &peerState{}
		t.peerStates[address] = s
	}
	return s
}
