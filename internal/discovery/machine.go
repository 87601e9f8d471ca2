package discovery

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/catalog"
	"github.com/gypsumlug/gypsumlug/internal/evacuation"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// Timing of the machine. Times are from a clock that advances while the host is
// suspended, so that a resumed host recognises that its state is old.
const (
	// TickInterval is the longest time between two steps of the machine.
	TickInterval = 100 * time.Millisecond
	// changeWait is how long the store may hold a read of changes until there is
	// one.
	changeWait = 700 * time.Millisecond
	// readPause is how long a host waits after a successful read before it reads
	// again, so that a read returns several changes at once.
	readPause = 120 * time.Millisecond
	// staleAfter is the age of its state at which the first host of the read order
	// starts to read the store. The read order is by CPU capacity, then by the hash of
	// the address. Each next host starts staleStep later than the one before it, up to
	// maxStaleSteps steps. The hosts further back start a random time of less than
	// staleSpread after that.
	staleAfter    = 950 * time.Millisecond
	staleStep     = 40 * time.Millisecond
	maxStaleSteps = 12
	staleSpread   = 400 * time.Millisecond
	// minReadRetry and maxReadRetry bound the backoff after failed reads. For the
	// first fastRetryHosts hosts of the read order the upper bound is twice
	// minReadRetry. The backoff is then multiplied by a random factor from 0.5 to 1.5.
	minReadRetry   = 300 * time.Millisecond
	maxReadRetry   = 2500 * time.Millisecond
	fastRetryHosts = 2
	// A new host gives its peers time to send it their state before it reads the
	// store. A seed, which new hosts contact first, waits less than maxSeedWait; any
	// other host waits from startWait to twice startWait.
	maxSeedWait = 100 * time.Millisecond
	startWait   = 500 * time.Millisecond
	// heartbeatInterval is the time between rounds of heartbeats. Each round goes to
	// heartbeatFanout random hosts of the own data centre. Every remoteRoundInterval-th
	// one also goes to a random host of another data centre, and every
	// seedRoundInterval-th one to a seed, since bytes between data centres are charged
	// for.
	heartbeatInterval   = 500 * time.Millisecond
	heartbeatFanout     = 3
	remoteRoundInterval = 4
	seedRoundInterval   = 16
	// leavingRounds is the number of rounds of heartbeats by which a host that leaves
	// tells all others, so that those that miss one hear of it.
	leavingRounds = 4
	// fetchRetryDelay is the least time between a failed fetch from a peer and the
	// next fetch.
	fetchRetryDelay = 200 * time.Millisecond
	// maxDifference is how long this host may have other replicas than the reader at the
	// same revision. listingPause is the least time between two fetches of all replicas
	// for such a difference.
	maxDifference = 500 * time.Millisecond
	listingPause  = time.Second
	// auditInterval is the time between two full listings that the reader reads while it
	// follows the changes, so that no difference to the store lasts longer.
	auditInterval = 30 * time.Second
	// informedAfter is the time after its start from which a host counts as informed,
	// since it has heard many heartbeats. newsInterval is the least time between two
	// requests for news.
	informedAfter = 10 * time.Second
	newsInterval  = 300 * time.Millisecond
)

// Machine decides when a host reads the store or fetches from a peer, and which
// configuration and replicas are in force. It is pure: events and times go in,
// actions come out.
//
// Invariants: the version of the configuration in force and the position of the
// replicas, by epoch and then by revision, never decrease; at most one read and one fetch
// are in flight; two hosts with the same position have the same replicas of the store, and a
// difference is ended by a listing.
type Machine struct {
	self    Member
	seeds   []string
	rng     *rand.Rand
	members *members
	catalog *catalog.Catalog
	config  *routing.Config
	// evacuations is the set of evacuated data centres.
	evacuations *evacuation.Set
	// differsSince is when the reader was first seen to have other replicas at the same
	// revision; zero if it has none.
	differsSince time.Duration
	// wantsListing is set if the next fetch is to return all replicas. nextListing is the
	// earliest time of the next such fetch.
	wantsListing bool
	nextListing  time.Duration
	// startedAt is when this host started, hasNews is set once an informed peer has told
	// its news to it, and nextNews is the earliest time at which a peer is asked for them.
	startedAt time.Duration
	hasNews   bool
	nextNews  time.Duration
	// nextAudit is when this host, if it is the reader, next reads a full listing.
	nextAudit    time.Duration
	readInFlight bool
	readFailures int
	// isReader is set while this host reads the store for the others: its last read
	// succeeded, and no host before it in the read order has claimed the role since.
	isReader bool
	// takesOver is set if this host is to take over reading from a smaller host.
	takesOver bool
	// yielded is set if a host that comes before this one in the read order has read
	// the store since this host began its last read.
	yielded bool
	// staleJitter is a random delay that is added to the age from which this host
	// reads the store, if more than maxStaleSteps hosts precede it.
	staleJitter   time.Duration
	nextRead      time.Duration
	fetchInFlight bool
	nextFetch     time.Duration
	// remoteOffer is newer state of another data centre that this host waits to get
	// from nearby; nil if there is none.
	remoteOffer   *remoteOffer
	nextHeartbeat time.Duration
	leaving       bool
	// leavingRoundsLeft is the number of further rounds of heartbeats that go to all hosts.
	leavingRoundsLeft int
	// round counts the rounds of heartbeats.
	round int
	// heardOutsideAt is when a heartbeat of a host of another data centre came last, to
	// this host or to another one of its data centre; zero if none has.
	heardOutsideAt time.Duration
	nextOutsideAsk time.Duration
	isolated       bool
	hostCount      int
	peers          []split.Peer
	pendingActions Actions
}

// NewMachine returns a machine for the host self, which starts at the time now.
// Peers reach the host at self.Address. Seeds are peer addresses, some of which may
// be stale.
func NewMachine(self Member, seeds []string, now time.Duration, rng *rand.Rand) *Machine {
	isSeed := slices.Contains(seeds, self.Address)
	m := &Machine{
		self:      self,
		startedAt: now,
		rng:       rng,
		members:   newMembers(self),
		catalog:   catalog.New(),
		hostCount: 1,

		evacuations: evacuation.New(),
	}
	m.SetSeeds(seeds)
	m.staleJitter = time.Duration(rng.Int64N(int64(staleSpread)))
	switch {
	case len(m.seeds) == 0:
		m.nextRead = now
	case isSeed:
		m.nextRead = now + time.Duration(rng.Int64N(int64(maxSeedWait)))
	default:
		m.nextRead = now + startWait + time.Duration(rng.Int64N(int64(startWait)))
	}
	return m
}

// SetSeeds replaces the seed addresses.
func (m *Machine) SetSeeds(seeds []string) {
	m.seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == m.self.Address })
}

// Tick performs what is due at the time now.
func (m *Machine) Tick(now time.Duration) Actions {
	m.members.expire(now)
	evacuationsChanged := m.adoptEvacuations(now, sourceExpiry, m.evacuations.Expire(now))
	m.updateHostCount()
	m.askOtherDataCentres(now)
	m.updateIsolation(now)
	if peers, changed := m.members.takePeers(); changed && !slices.Equal(peers, m.peers) {
		m.peers = peers
		m.pendingActions.Peers = peers
	}
	if m.catalog.Tick(now) || evacuationsChanged {
		m.publishView(now, sourceExpiry)
	}
	m.readStoreIfDue(now)
	m.fetchOfferIfDue(now)
	m.queueHeartbeatsIfDue(now)
	return m.takeActions()
}

// Leave announces that the host is stopping.
func (m *Machine) Leave(now time.Duration) Actions {
	m.leaving = true
	m.leavingRoundsLeft = leavingRounds
	m.nextHeartbeat = now
	m.queueHeartbeatsIfDue(now)
	return m.takeActions()
}

// HandleHeartbeat handles a heartbeat of another host.
func (m *Machine) HandleHeartbeat(now time.Duration, h Heartbeat) Actions {
	if h.Format != FormatVersion || h.From == m.self.Address {
		return m.takeActions()
	}
	m.hearOutside(now, &h)
	isNew := m.members.hosts[h.From] == nil
	if h.Leaving {
		m.members.recordLeaving(h.From, h.Start, now)
	} else {
		m.members.recordHeartbeat(Member{Address: h.From, Start: h.Start, DataCentre: h.DataCentre, CPUPercent: h.CPUPercent}, now, now)
	}
	for _, d := range h.Departures {
		m.members.recordLeaving(d.Address, d.Start, now)
	}
	for _, member := range h.Members {
		m.members.recordHeartbeat(member, now-member.Age, now)
	}
	m.members.recordPresence(now, h.Presence)
	switch {
	case isNew && !h.Leaving:
		m.queueHeartbeatsWithMembers(now, []string{h.From})
	case h.ReplyRequested:
		m.queueHeartbeats(m.newHeartbeat(now), []string{h.From})
	}
	if h.ReadsStore {
		m.reconsiderReading(&h)
	}
	m.compareState(now, &h)
	m.readStoreIfDue(now)
	return m.takeActions()
}

// reconsiderReading handles a heartbeat of a host that reads the store. One in an earlier
// epoch doesn't read it now, or can't tell the epoch. This host stops reading if the other comes before it in the read order. It takes over if it is the
// first in that order and larger than the other, which the hosts started with or which
// took over when a large host failed.
func (m *Machine) reconsiderReading(h *Heartbeat) {
	if h.Epoch < m.catalog.Position().Epoch {
		return
	}
	if m.members.precedes(h.From) {
		m.isReader, m.yielded = false, true
		return
	}
	m.takesOver = !m.isReader && m.self.CPUPercent > h.CPUPercent && m.members.readRank() == 0
}

// configVersion returns the version of the configuration in force, or zero.
func (m *Machine) configVersion() uint64 {
	if m.config == nil {
		return 0
	}
	return m.config.Version
}

// stateAge returns the time since the store last confirmed the state.
func (m *Machine) stateAge(now time.Duration) time.Duration { return now - m.confirmedAt() }

// adoptConfig puts a configuration in force if its version is higher than that of
// the current one. It reports whether it did.
func (m *Machine) adoptConfig(c *routing.Config, source string) bool {
	if c == nil || c.Version <= m.configVersion() {
		return false
	}
	m.config = c
	m.recordChange(Change{Kind: ChangeConfig, Source: source, Version: c.Version})
	return true
}

// updateHostCount reports the number of hosts if it changed.
func (m *Machine) updateHostCount() {
	if m.members.fleetSize == m.hostCount {
		return
	}
	m.hostCount = m.members.fleetSize
	m.pendingActions.HostCount = m.hostCount
	m.recordChange(Change{Kind: ChangeFleetSize, HostCount: m.hostCount})
}

// publishView adds a new view to the pending actions, once both the configuration and the
// replicas are known.
func (m *Machine) publishView(now time.Duration, source string) {
	if m.config == nil || !m.catalog.Loaded() {
		return
	}
	replicas := m.withColdStarts(now, m.catalog.Replicas())
	m.pendingActions.View = routing.NewEvacuatedView(m.config, replicas, m.evacuations.Active(), m.catalog.ConfirmedAt())
	m.recordChange(Change{Kind: ChangeReplicas, Source: source, Revision: m.catalog.Revision(), ReplicaCount: len(replicas), Digest: m.catalog.Digest()})
}

func (m *Machine) recordChange(c Change) {
	m.pendingActions.Changes = append(m.pendingActions.Changes, c)
}

// takeActions returns the pending actions and clears them.
func (m *Machine) takeActions() Actions {
	actions := m.pendingActions
	m.pendingActions = Actions{}
	return actions
}
