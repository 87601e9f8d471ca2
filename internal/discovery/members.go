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
	// minMemberTTL is the least time without a heartbeat after which a host is
	// forgotten. memberTTLPerHost times the number of known hosts applies if it is
	// longer, since information spreads more slowly in a larger fleet.
	minMemberTTL     = 8 * time.Second
	memberTTLPerHost = 60 * time.Millisecond
	// A host that was silent for its TTL divided by askTTLDivisor is asked for a
	// heartbeat. maxAsksPerRound bounds the number of hosts that are asked at a time.
	askTTLDivisor = 2
	// A host of another data centre is asked by about remoteAskers hosts of this one in each
	// round, which tell the others of the answer, and by all that have not heard of it after
	// remoteAskPercent of its TTL. Asks by each host after half of the TTL were four fifths
	// of the bytes of heartbeats between the data centres of 99 hosts.
	remoteAskers     = 2
	remoteAskPercent = 75
	maxAsksPerRound  = 8
	// fleetSizeRetention is how long the fleet size stays at an earlier, larger
	// value, since hosts whose heartbeats are lost still send requests to replicas.
	fleetSizeRetention = 60 * time.Second
	// leftRetention is how long a host that has left is remembered, so that others which
	// do not know yet can't bring it back.
	leftRetention = 60 * time.Second
	// memberNewsTime is how long a host that was first heard of, or heard again, is told of
	// before others, so that all hosts soon know one that starts or can be reached again.
	memberNewsTime = 10 * time.Second
	// departureNewsTime is how long hosts tell each other of a host that has left, for
	// those that missed all its announcements. maxDepartures bounds those that one
	// heartbeat tells of.
	departureNewsTime = 5 * time.Second
	maxDepartures     = 8
	// sampleSize is the largest number of members in a heartbeat. The members with
	// the latest heartbeats are preferred; the order is random among those whose
	// ages round down to the same multiple of ageGranularity.
	sampleSize = 16
	// remotePlaces is the part of a heartbeat within a data centre that tells of hosts of
	// other data centres: remoteMembers members, and the presence of further hosts in about
	// the space of the other places. Hosts nearby are heard directly and so are always the
	// most recent; without places of their own hosts elsewhere would hardly be told of.
	remotePlaces  = 8
	remoteMembers = 4
	// maxRemoteNews bounds the members of other data centres while there is news of many.
	maxRemoteNews = 12
	// remoteSampleSize is the largest number of members of the sender's own data centre in a
	// heartbeat to another one, besides the presence of further ones. One in thirdInterval of
	// these tells of a member of any other data centre, too, and each one of up to
	// maxThirdNews of them while there is news of them.
	remoteSampleSize = 2
	thirdInterval    = 4
	maxThirdNews     = 4
	ageGranularity   = time.Second
)

// members are the other known hosts. This information is advisory: no guarantee
// to a caller depends on it.
//
// Invariant: an incarnation of a host that has announced that it leaves is not added
// again, whoever tells of it.
type members struct {
	self string
	// selfHash is the hash of self.
	selfHash uint64
	// selfCPUPercent is this host's CPU capacity, as in Member.CPUPercent.
	selfCPUPercent int
	hosts          map[string]*member
	// ordered has the same members as hosts, sorted by address. It is kept sorted, since each
	// tick and each round of heartbeats goes through the members in this order.
	ordered []*member
	// rank is the number of members that precede this host in the read order.
	rank int
	// peersChanged is set if a peer may have changed since the last call of takePeers.
	peersChanged bool
	// left holds the incarnations of hosts that left lately, by address.
	left map[string]departure
	// fleetSize is the largest recent number of hosts, including this one.
	// fleetSizeAt is when it was last set.
	fleetSize   int
	fleetSizeAt time.Duration
}

// departure is an incarnation that has announced that it leaves, and when.
type departure struct {
	start uint64
	at    time.Duration
}

// member is a known host with the time of its latest known heartbeat. newsAt is when it was
// first heard of, or heard again after it was silent for so long that others may have
// forgotten it.
type member struct {
	Member
	heartbeatAt time.Duration
	newsAt      time.Duration
	// precedes is set if the host comes before this one in the read order.
	precedes bool
	// presence identifies the incarnation in presence entries.
	presence presenceID
}

func newMembers(self Member) *members {
	return &members{self: self.Address, selfHash: xxhash.Sum64String(self.Address), selfCPUPercent: self.CPUPercent, hosts: make(map[string]*member), left: make(map[string]departure), fleetSize: 1}
}

// recordHeartbeat records, at the time now, that a host sent a heartbeat at a time. It ignores a
// heartbeat that isn't later than the latest known one, so that a delayed heartbeat
// of an earlier incarnation changes nothing, and one of an incarnation that has left.
func (m *members) recordHeartbeat(reported Member, at, now time.Duration) {
	if reported.Address == m.self || reported.Address == "" {
		return
	}
	if left, ok := m.left[reported.Address]; ok && left.start == reported.Start {
		return
	}
	known := m.hosts[reported.Address]
	if known != nil && at <= known.heartbeatAt {
		return
	}
	newsAt := now
	if known != nil && known.Start == reported.Start && at-known.heartbeatAt <= m.remoteAskAfter() {
		newsAt = known.newsAt
	}
	m.put(reported, at, newsAt)
}

// put adds a member, or replaces the one with its address.
func (m *members) put(reported Member, heartbeatAt, newsAt time.Duration) {
	h := m.hosts[reported.Address]
	isNew := h == nil
	if isNew {
		h = &member{Member: Member{Address: reported.Address}}
		m.ordered = slices.Insert(m.ordered, m.position(reported.Address), h)
		m.hosts[reported.Address] = h
		m.peersChanged = true
		m.setPrecedes(h, m.precedesSelf(reported.Address, reported.CPUPercent))
	} else if h.CPUPercent != reported.CPUPercent || h.DataCentre != reported.DataCentre {
		m.peersChanged = true
		m.setPrecedes(h, m.precedesSelf(reported.Address, reported.CPUPercent))
	}
	if isNew || h.Start != reported.Start {
		h.presence = presenceIDOf(&reported)
	}
	h.Member, h.heartbeatAt, h.newsAt = reported, heartbeatAt, newsAt
}

// setPrecedes sets whether a member comes before this host in the read order.
func (m *members) setPrecedes(h *member, precedes bool) {
	if h.precedes {
		m.rank--
	}
	if precedes {
		m.rank++
	}
	h.precedes = precedes
}

// remove removes a member.
func (m *members) remove(h *member) {
	i := m.position(h.Address)
	m.ordered = slices.Delete(m.ordered, i, i+1)
	delete(m.hosts, h.Address)
	m.peersChanged = true
	m.setPrecedes(h, false)
}

// position returns the position in ordered at which a host is, or would be.
func (m *members) position(address string) int {
	i, _ := slices.BinarySearchFunc(m.ordered, address, func(h *member, a string) int { return cmp.Compare(h.Address, a) })
	return i
}

// recordLeaving records that an incarnation of a host has announced that it leaves.
func (m *members) recordLeaving(address string, start uint64, now time.Duration) {
	if m.left[address].start != start {
		m.left[address] = departure{start: start, at: now}
	}
	if known := m.hosts[address]; known != nil && known.Start == start {
		m.remove(known)
	}
}

// recentDepartures returns the hosts that have left within departureNewsTime, the latest
// first.
func (m *members) recentDepartures(now time.Duration) []Departure {
	var out []Departure
	for address, d := range m.left {
		if now-d.at <= departureNewsTime {
			out = append(out, Departure{Address: address, Start: d.start})
		}
	}
	slices.SortFunc(out, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(m.left[b.Address].at, m.left[a.Address].at), cmp.Compare(a.Address, b.Address))
	})
	return out[:min(len(out), maxDepartures)]
}

// expire forgets hosts whose TTL is over, and those that left long ago, and updates the
// fleet size.
func (m *members) expire(now time.Duration) {
	ttl := m.ttl()
	for i := len(m.ordered) - 1; i >= 0; i-- {
		if h := m.ordered[i]; now-h.heartbeatAt > ttl {
			m.remove(h)
		}
	}
	for address, d := range m.left {
		if now-d.at > leftRetention {
			delete(m.left, address)
		}
	}
	if n := len(m.hosts) + 1; n >= m.fleetSize || now-m.fleetSizeAt > fleetSizeRetention {
		m.fleetSize, m.fleetSizeAt = n, now
	}
}

// ttl returns the time without a heartbeat after which a host is forgotten.
func (m *members) ttl() time.Duration {
	return max(minMemberTTL, time.Duration(len(m.hosts))*memberTTLPerHost)
}

// askAfter returns the time without a heartbeat after which a host is asked for one.
func (m *members) askAfter() time.Duration { return m.ttl() / askTTLDivisor }

// remoteAskAfter returns the time without a heartbeat after which a host of another data
// centre is asked for one by all hosts.
func (m *members) remoteAskAfter() time.Duration { return m.ttl() * remoteAskPercent / 100 }

// isNews reports whether a known host is to be told of before others: it was first heard of,
// or heard again, lately, and is not silent.
func (m *members) isNews(now time.Duration, h *member) bool {
	return now-h.newsAt < memberNewsTime && now-h.heartbeatAt <= m.askAfter()
}

// silentAddresses returns the addresses of the hosts to ask for a heartbeat, those that
// were silent for longest first. dataCentre is the data centre of this host.
func (m *members) silentAddresses(now time.Duration, dataCentre string, rng *rand.Rand) []string {
	near, far := m.byDistance(dataCentre)
	chance := remoteAskers / float64(len(near)+1)
	far = slices.DeleteFunc(far, func(a string) bool {
		return now-m.hosts[a].heartbeatAt <= m.remoteAskAfter() && rng.Float64() >= chance
	})
	out := slices.DeleteFunc(append(near, far...), func(a string) bool { return now-m.hosts[a].heartbeatAt <= m.askAfter() })
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(m.hosts[a].heartbeatAt, m.hosts[b].heartbeatAt) })
	return out[:min(len(out), maxAsksPerRound)]
}

// addresses returns the addresses of the known hosts, sorted.
func (m *members) addresses() []string {
	out := make([]string, 0, len(m.ordered))
	for _, h := range m.ordered {
		out = append(out, h.Address)
	}
	return out
}

// takePeers returns the other hosts, sorted by address, or false if they are the same as
// at the last call.
func (m *members) takePeers() ([]split.Peer, bool) {
	if !m.peersChanged {
		return nil, false
	}
	m.peersChanged = false
	out := make([]split.Peer, 0, len(m.ordered))
	for _, h := range m.ordered {
		out = append(out, split.Peer{Address: h.Address, DataCentre: h.DataCentre, CPUPercent: h.CPUPercent})
	}
	return out, true
}

// readRank returns this host's position in the order in which hosts take over
// reading the store; the host at position zero reads first.
func (m *members) readRank() int { return m.rank }

// firstOf reports whether this host comes first in the read order among the known hosts of
// a data centre.
func (m *members) firstOf(dataCentre string) bool {
	for _, h := range m.ordered {
		if h.precedes && h.DataCentre == dataCentre {
			return false
		}
	}
	return true
}

// precedes reports whether another host comes before this one in the read order. The CPU
// capacity of a host that is not known counts as zero.
func (m *members) precedes(address string) bool {
	if h := m.hosts[address]; h != nil {
		return h.precedes
	}
	return m.precedesSelf(address, 0)
}

// precedesSelf reports whether another host comes before this one in the read order: by
// CPU capacity, the largest first, since the other hosts fetch each change from the
// host that reads it; and by the hash of the address.
func (m *members) precedesSelf(address string, cpuPercent int) bool {
	return cmp.Or(
		cmp.Compare(m.selfCPUPercent, cpuPercent),
		cmp.Compare(xxhash.Sum64String(address), m.selfHash),
		cmp.Compare(address, m.self),
	) < 0
}

// sampleMembers returns what a heartbeat within the data centre tells of other hosts: the
// members nearby and elsewhere with the latest heartbeats, and the presence of further ones
// elsewhere. If there are too few members of one kind, the other kind gets their places.
func (m *members) sampleMembers(now time.Duration, dataCentre string, rng *rand.Rand) (told []Member, presence []byte) {
	near, far := m.latest(now, dataCentre, rng)
	news := min(m.countNews(now, far), maxRemoteNews)
	fromFar := min(len(far), max(remoteMembers, news, sampleSize-len(near)))
	fromNear := min(len(near), sampleSize-max(fromFar, min(len(far), remotePlaces)))
	told = append(reportsOf(near[:fromNear], now), reportsOf(far[:fromFar], now)...)
	return told, encodePresence(reportsOf(far[fromFar:], now))
}

// sampleNear returns what a heartbeat to another data centre tells of other hosts: a few
// members of the own data centre with the latest heartbeats, and the presence of further
// ones. Now and then it tells of a member of a third data centre, and of more if there is
// news of them, so that data centres that have forgotten each other after a cut hear of each
// other.
func (m *members) sampleNear(now time.Duration, dataCentre string, rng *rand.Rand) (told []Member, presence []byte) {
	near, far := m.latest(now, dataCentre, rng)
	n := min(len(near), remoteSampleSize)
	fromThird := min(m.countNews(now, far), maxThirdNews)
	if rng.IntN(thirdInterval) == 0 {
		fromThird = max(fromThird, 1)
	}
	told = append(reportsOf(near[:n], now), reportsOf(far[:min(len(far), fromThird)], now)...)
	return told, encodePresence(reportsOf(near[n:], now))
}

// countNews returns the number of members of which there is news.
func (m *members) countNews(now time.Duration, of []*member) int {
	n := 0
	for _, h := range of {
		if m.isNews(now, h) {
			n++
		}
	}
	return n
}

// latest returns the members that are in a data centre and those that are not, both with
// those of which there is news first, and then by the time of their latest heartbeat, in a
// random order where the ages are about the same.
func (m *members) latest(now time.Duration, dataCentre string, rng *rand.Rand) (near, far []*member) {
	type candidate struct {
		*member
		rank time.Duration
	}
	all := make([]candidate, len(m.ordered))
	for i, h := range m.ordered {
		all[i] = candidate{h, m.newsRank(now, h)}
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	for _, c := range all {
		if c.DataCentre == dataCentre {
			near = append(near, c.member)
		} else {
			far = append(far, c.member)
		}
	}
	return near, far
}

// newsRank returns the place of a member in the order in which heartbeats tell of them.
func (m *members) newsRank(now time.Duration, h *member) time.Duration {
	if m.isNews(now, h) {
		return -1
	}
	return (now - h.heartbeatAt) / ageGranularity
}

// reportsOf returns what this host tells of members at the time now.
func reportsOf(members []*member, now time.Duration) []Member {
	out := make([]Member, len(members))
	for i, h := range members {
		out[i] = h.reportedAt(now)
	}
	return out
}

// reportedAt returns what this host tells of a member at the time now.
func (h *member) reportedAt(now time.Duration) Member {
	out := h.Member
	out.Age = now - h.heartbeatAt
	return out
}

// listMembers returns all members, sorted by address.
func (m *members) listMembers(now time.Duration) []Member {
	out := make([]Member, 0, len(m.ordered))
	for _, h := range m.ordered {
		out = append(out, h.reportedAt(now))
	}
	return out
}

// isRemote reports whether a host is not known to be in a data centre.
func (m *members) isRemote(address, dataCentre string) bool {
	h := m.hosts[address]
	return h == nil || h.DataCentre != dataCentre
}

// byDistance returns the addresses of the known hosts that are in a data centre and of
// those that are not, both sorted.
func (m *members) byDistance(dataCentre string) (near, far []string) {
	for _, h := range m.ordered {
		if h.DataCentre == dataCentre {
			near = append(near, h.Address)
		} else {
			far = append(far, h.Address)
		}
	}
	return near, far
}
