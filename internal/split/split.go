// Package split divides the queries of indexes with many shards among hosts.
//
// For such an index, one small host cannot complete the fan-out within the
// query's time, and all hosts together would need more connections than the
// replicas accept. So the shards are hashed into groups, and each group has
// owners: hosts in each data centre, chosen by rendezvous hashing, so that
// hosts whose lists of peers differ slightly agree on nearly all owners. The
// host that receives a query sends each group's shards to one of the group's
// owners in its own data centre, serves the groups that it owns itself, and
// merges the parts. If the host's data centre has few of the replicas, it sends
// all groups to owners in data centres that have them, so that one message per
// group, not per shard, crosses between data centres. Groups only improve
// efficiency: any host can serve any shard, and a host serves a group itself if
// the owner that it asked did not accept the request.
//
// A [PeerTable] tracks the other hosts and their recent failures. Its methods
// take events and the monotonic time. It is not safe for concurrent use.
package split

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/overload"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	// shardsPerGroup is the approximate number of shards of a query that one
	// host serves. minShardsToDivide is the number of shards from which the
	// queries of an index are divided.
	shardsPerGroup    = 15
	minShardsToDivide = 40
	// hostsPerGroup is the approximate number of owners of a group in a data
	// centre.
	hostsPerGroup = 4
	// minBackoff and maxBackoff bound the time for which a host that failed is
	// not picked. The time doubles with each consecutive failure.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
)

// Request asks a host to serve some shards of a query.
type Request struct {
	// Index is the Digest of the route's shards at the sending host. A host
	// with a different digest for the route refuses the request.
	Index uint64 `msgpack:"i"`
	Route string `msgpack:"r"`
	// Shards are indexes into the route's shards.
	Shards []int `msgpack:"s"`
	// TopRecords is the number of records that the sending host needs of the shards, by
	// its version of the route; zero from a host of an earlier version.
	TopRecords int              `msgpack:"k,omitempty"`
	Message    dispatch.Message `msgpack:"m"`
	// Target is the time within which the reply is on time.
	Target time.Duration `msgpack:"t"`
	// TimeLimit is the time until which further replies are useful. If it is not above
	// Target, as from a host of an earlier version, there is one reply, by Target.
	TimeLimit time.Duration `msgpack:"l,omitempty"`
	// Failures are outcomes of attempts at replicas of the shards that fail to answer.
	Failures []peerwire.FailureHint `msgpack:"f,omitempty"`
	// Overload are the sending host's hints about the load of the index, if there are any.
	Overload []overload.Hint `msgpack:"o,omitempty"`
	// Departed reports, at the sending host, whether the caller has disconnected, and
	// at the receiving host, whether the sending host has closed the connection. It may
	// be nil, and is not sent.
	Departed func() bool `msgpack:"-"`
	// OnPartial receives, at the sending host, the replies before the last one, and sends
	// one at the receiving host. It may be nil, and is not sent.
	OnPartial func(*Reply) `msgpack:"-"`
}

// Reply is the result of a Request, or some of it: a host replies by the target, and
// again as long as shards are open that it may still cover. Each reply holds what was
// not in an earlier one; the last one holds the missing shards.
type Reply struct {
	// Code is nonzero if the host refused the request. Nothing ran in that
	// case.
	Code result.Code `msgpack:"c"`
	// Stamps are the endpoints' signatures of the shards' responses. Records are
	// the top records of the shards, greatest first.
	Stamps  []string  `msgpack:"s"`
	Records []byte    `msgpack:"r"`
	Missing []Missing `msgpack:"m"`
	// MayHaveRun means that an endpoint may have run the request.
	MayHaveRun bool `msgpack:"y"`
	Attempts   int  `msgpack:"a"`
	// More means that another reply follows.
	More bool `msgpack:"o,omitempty"`
	// Unlikely means that the shards that are open are unlikely to be covered by the
	// target.
	Unlikely bool `msgpack:"u,omitempty"`
	// OutOfReach are the data centres whose replicas the host can't reach.
	OutOfReach []string `msgpack:"z,omitempty"`
	// Failures are outcomes of attempts at replicas of the shards that fail to answer.
	Failures []peerwire.FailureHint `msgpack:"f,omitempty"`
	// Scarce are the shards of the request whose replicas lacked capacity recently,
	// according to the replying host.
	Scarce []Scarce `msgpack:"x,omitempty"`
}

// Scarce is a shard whose replicas lacked capacity recently, and the share of its queries
// that they have capacity for, in percent: above 100 if they had capacity for more.
type Scarce struct {
	Shard   int `msgpack:"s"`
	Percent int `msgpack:"p"`
}

// Missing is a shard without a response, and the reason.
type Missing struct {
	Shard int         `msgpack:"s"`
	Code  result.Code `msgpack:"c"`
}

// Peer is a host that can serve groups.
type Peer struct {
	Address    string
	DataCentre string
	// CPUPercent is the CPU available to the host, in hundredths of a CPU. Zero
	// means one whole CPU.
	CPUPercent int
}

// PeerTable tracks the hosts that groups can be sent to.
type PeerTable struct {
	self Peer
	// hostsByCentre holds the known hosts, including this one, by data centre.
	hostsByCentre map[string][]host
	peerStates    map[string]*peerState
	ownerCache    map[ownerKey][]host
}

type peerState struct {
	inFlight     int
	failures     int
	backoffUntil time.Duration
}

// NewPeerTable returns a table that holds only this host.
func NewPeerTable(self Peer) *PeerTable {
	t := &PeerTable{self: self, peerStates: make(map[string]*peerState)}
	t.SetPeers(nil)
	return t
}

// SetPeers replaces the other hosts. State is kept for those that remain.
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

// Groups returns the number of groups for an index with the given number of
// shards. One means that its queries are not divided. The number is a power of
// two, so that hosts whose lists of peers differ slightly compute the same one.
func (t *PeerTable) Groups(shards int) int {
	return groupsFor(shards, len(t.hostsByCentre[t.self.DataCentre]))
}

// groupsFor returns the number of groups for an index in a data centre with a number of
// hosts.
func groupsFor(shards, hosts int) int {
	if shards < minShardsToDivide {
		return 1
	}
	idealGroups := min(float64(shards)/shardsPerGroup, float64(hosts)/hostsPerGroup)
	return 1 << max(int(math.Round(math.Log2(idealGroups))), 0)
}

// Digest identifies the shards of an index and their order.
func Digest(services []string) uint64 {
	d := xxhash.New()
	for _, s := range services {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// GroupShards returns, for each group, the indexes of its services.
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

// PreferRemote reports whether a query is better served from other data
// centres, because this host's is not one of replicaCentres.
func (t *PeerTable) PreferRemote(replicaCentres []string) bool {
	return len(replicaCentres) > 0 && !slices.Contains(replicaCentres, t.self.DataCentre)
}

// Pick chooses one of a group's owners: of two random candidates, the one with
// fewer requests from this host relative to its CPU. replicaCentres are the
// data centres with enough of the replicas. If they are given and don't include
// this host's data centre, the candidates are the owners in those data centres;
// otherwise, or if none of those is available, the owners in this host's data
// centre. Pick returns false if every candidate is in backoff.
func (t *PeerTable) Pick(now time.Duration, group, groups int, replicaCentres []string, rng *rand.Rand) (string, bool) {
	var candidates []host
	if t.PreferRemote(replicaCentres) {
		for _, centre := range replicaCentres {
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

// relativeLoad returns the number of requests from this host to h, including
// one more, per CPU of h.
func (t *PeerTable) relativeLoad(h host) float64 {
	return float64(t.stateOf(h.address).inFlight+1) / h.cpu
}

// appendAvailable appends the owners that are other hosts and not in backoff.
func (t *PeerTable) appendAvailable(out []host, now time.Duration, owners []host) []host {
	for _, h := range owners {
		if h.address != t.self.Address && now >= t.stateOf(h.address).backoffUntil {
			out = append(out, h)
		}
	}
	return out
}

// IsLocal reports whether a host is in this host's data centre.
func (t *PeerTable) IsLocal(address string) bool {
	return slices.ContainsFunc(t.hostsByCentre[t.self.DataCentre], func(h host) bool { return h.address == address })
}

// RequestSent records that a request was sent to a host.
func (t *PeerTable) RequestSent(address string) { t.stateOf(address).inFlight++ }

// RequestEnded records the end of a request to a host and whether it succeeded.
func (t *PeerTable) RequestEnded(now time.Duration, address string, ok bool) {
	s := t.stateOf(address)
	s.inFlight--
	if ok {
		s.failures = 0
		return
	}
	s.recordFailure(now)
}

// RequestCancelled records that a request to a host was cancelled.
func (t *PeerTable) RequestCancelled(address string) { t.stateOf(address).inFlight-- }

// ReplyLate records that a host's reply is late. The request is still in
// flight.
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
