package discovery

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/catalog"
	"github.com/gypsumlug/gypsumlug/internal/storepos"
)

// compareState compares this host's state with that of a heartbeat's sender. If
// the sender has newer state, it is fetched. If both have the same configuration
// and replicas, the store's confirmation to the sender holds for this host, too. What a
// sender in an earlier epoch has of the store says nothing.
func (m *Machine) compareState(now time.Duration, h *Heartbeat) {
	theirs, ours := h.position(), m.catalog.Position()
	sameEpoch := theirs.Epoch == ours.Epoch
	sameReplicas := m.catalog.Loaded() && sameEpoch && h.Digest == m.catalog.Digest()
	sameEvacuations := m.evacuations.Same(h.Evacuations)
	switch {
	case m.isBehind(now, h):
		m.fetchNewer(now, h)
	case sameReplicas && sameEvacuations && !theirs.Before(ours) && h.Version == m.configVersion():
		m.catalog.Confirm(theirs, now-h.Age)
		m.evacuations.Confirm(h.Evacuations, now-h.Age)
		if h.ReadsStore {
			m.differsSince = 0
		}
	case !(sameReplicas && sameEvacuations) && theirs == ours && h.ReadsStore && !m.isReader:
		m.handleDifference(now, h.From, sameReplicas)
	}
	if m.catalog.Loaded() && sameEpoch && !theirs.Before(ours) && h.Holds != m.catalog.HoldsDigest() {
		m.requestHolds(now, h.From)
	}
}

// requestHolds requests all replicas of a peer that holds other ones as leaving. One of the
// two has then seen a draining state before the store was restored, or a write since, that the
// other has not.
func (m *Machine) requestHolds(now time.Duration, from string) {
	if now < m.nextListing || m.fetchInFlight {
		return
	}
	m.nextListing = now + listingPause
	m.wantsListing = true
	m.requestState(now, from)
}

// handleDifference handles a heartbeat of the reader that has other replicas or evacuations
// at the same revision. While a listing is spread, hosts may briefly differ so, since its
// pages are not a snapshot. Each state has the whole set of evacuations, so that the replicas
// are not listed for a difference in that alone, which lasts as long as one host holds an
// evacuation that another one knows to have ended.
func (m *Machine) handleDifference(now time.Duration, reader string, sameReplicas bool) {
	if m.differsSince == 0 {
		m.differsSince = now
	}
	switch {
	case now-m.differsSince < maxDifference || now < m.nextListing:
	case sameReplicas:
		m.nextListing = now + listingPause
		m.requestState(now, reader)
	default:
		m.requestListing(now, reader)
	}
}

// requestListing requests all replicas of a peer whose replicas differ from this host's at
// the same revision.
func (m *Machine) requestListing(now time.Duration, from string) {
	if now < m.nextListing {
		return
	}
	m.nextListing = now + listingPause
	m.wantsListing = true
	m.recordChange(Change{Kind: ChangeDiverged, Source: from, Revision: m.catalog.Revision(), Digest: m.catalog.Digest()})
	m.requestState(now, from)
}

// requestState requests a peer's state, unless a fetch is in flight or failed less
// than fetchRetryDelay ago.
func (m *Machine) requestState(now time.Duration, from string) {
	if m.fetchInFlight || now < m.nextFetch {
		return
	}
	m.fetchInFlight = true
	m.pendingActions.FetchFrom = from
	request := StateRequest{Format: FormatVersion, Version: m.configVersion(), AcrossEpochs: true, News: m.wantsNews(now)}
	if request.News {
		m.nextNews = now + newsInterval
	}
	if !m.wantsListing {
		request.Epoch, request.Revision = m.catalog.Position().Epoch, m.catalog.ResumeRevision()
	}
	m.pendingActions.FetchRequest = request
}

// informed reports whether this host knows what the fleet has learned: an informed peer has
// told it, or it has run for a while.
func (m *Machine) informed(now time.Duration) bool {
	return m.hasNews || now-m.startedAt >= informedAfter
}

// wantsNews reports whether a peer is to be asked for its news.
func (m *Machine) wantsNews(now time.Duration) bool {
	return !m.informed(now) && now >= m.nextNews
}

// HandleState handles a peer's state, or the failure to fetch it.
func (m *Machine) HandleState(now time.Duration, from string, s *State, err error) Actions {
	m.fetchInFlight = false
	if err != nil || s.Format != FormatVersion {
		m.nextFetch = now + fetchRetryDelay
		m.recordChange(Change{Kind: ChangeFetchError, Source: from, Err: err})
		return m.takeActions()
	}
	for _, member := range s.Members {
		m.members.recordHeartbeat(member, now-member.Age, now)
	}
	m.hasNews = m.hasNews || s.Informed
	changed := m.adoptConfig(s.Config, from)
	changed = m.adoptEvacuations(now, from, m.evacuations.ApplyState(now, now-s.Age, s.Evacuations)) || changed
	changed = m.adoptReplicas(now, from, s) || changed
	if changed {
		m.publishView(now, from)
		m.announceNearby(now, from)
	}
	m.verifyReplicas(now, from, s)
	return m.takeActions()
}

// adoptReplicas applies a peer's replicas, which are a full listing or changes after a
// revision of this host. A listing is also applied at an equal position, to end a
// difference. Replicas of an earlier epoch are ignored, and so are changes of another one.
// It reports whether the replicas changed.
func (m *Machine) adoptReplicas(now time.Duration, from string, s *State) bool {
	ours := m.catalog.Position()
	if s.Revision == 0 || m.catalog.Loaded() && s.position().Before(ours) {
		return false
	}
	for _, e := range s.Entries {
		if e.Replica != nil {
			e.Replica.ColdUntil = now + e.ColdRemaining
		}
	}
	confirmation := catalog.Confirmation{Position: s.position(), At: now - s.Age, EpochSince: now - s.EpochAge}
	defer m.noteEpoch(m.catalog.Loaded(), ours.Epoch, from)
	switch {
	case s.AcrossEpochs:
		if ours != (storepos.Position{Epoch: s.SinceEpoch, Revision: s.Since}) {
			return false
		}
		return m.catalog.ApplyPeerEntry(now, confirmation, s.Entries)
	case s.Since == 0:
		m.wantsListing = false
		return m.catalog.ApplyPeerListing(now, confirmation, s.Entries)
	case s.Since > ours.Revision:
		return false
	}
	return m.catalog.ApplyPeerChanges(now, confirmation, s.Entries)
}

// verifyReplicas compares the replicas with those of the peer whose state was just
// adopted. If they differ at the same revision, the peer's listing is requested; a host that
// reads the store reads its listing instead.
func (m *Machine) verifyReplicas(now time.Duration, from string, s *State) {
	switch {
	case s.Digest == 0 || s.position() != m.catalog.Position():
	case s.Digest == m.catalog.Digest():
		m.differsSince = 0
	case m.isReader:
		m.nextAudit = min(m.nextAudit, max(m.nextListing, now))
		m.nextListing = now + listingPause
	default:
		m.requestListing(now, from)
	}
}

// StateFor returns the answer to a peer's request for this host's state. A peer in a later
// epoch gets no replicas, since it would ignore them.
func (m *Machine) StateFor(now time.Duration, r StateRequest) *State {
	position := m.catalog.Position()
	s := &State{Format: FormatVersion, Epoch: position.Epoch, Revision: position.Revision, Digest: m.catalog.Digest(), Age: m.stateAge(now)}
	s.Evacuations = m.evacuations.State(now)
	if position.Epoch > 0 {
		s.EpochAge = now - m.catalog.EpochSince()
	}
	switch {
	case r.Epoch > position.Epoch:
	case r.AcrossEpochs && r.Revision > 0 && r.position() == m.catalog.Previous():
		s.AcrossEpochs, s.SinceEpoch, s.Since = true, r.Epoch, r.Revision
		s.Entries = m.catalog.EntriesSinceEntry(now)
	case r.Revision > 0 && m.catalog.KnowsChangesSince(r.position()):
		s.Since = r.Revision
		s.Entries = m.catalog.Entries(now, s.Since)
	default:
		s.Entries = m.catalog.Entries(now, 0)
	}
	if m.configVersion() > r.Version {
		s.Config = m.config
	}
	if r.Revision == 0 {
		s.Members = m.members.listMembers(now)
	}
	s.Informed = r.News && m.informed(now)
	return s
}

// queueHeartbeatsIfDue queues a round of heartbeats once per heartbeatInterval.
func (m *Machine) queueHeartbeatsIfDue(now time.Duration) {
	if now < m.nextHeartbeat {
		return
	}
	m.nextHeartbeat = now + heartbeatInterval
	m.queueHeartbeatsWithMembers(now, m.nextRound())
	m.askSilentHosts(now)
}

// nextRound returns the addresses to which the next round of heartbeats goes: all hosts in
// the first rounds of one that leaves, else some random ones, now and then with a seed. A
// host that knows no other one sends to all seeds.
func (m *Machine) nextRound() []string {
	if m.leavingRoundsLeft > 0 {
		m.leavingRoundsLeft--
		return m.members.addresses()
	}
	if len(m.members.hosts) == 0 {
		return m.seeds
	}
	m.round++
	near, far := m.members.byDistance(m.self.DataCentre)
	to := m.randomOf(near, heartbeatFanout)
	// While the data centre appears to be cut off, each round goes to all kinds of hosts:
	// those elsewhere may have been forgotten, and tell of the end of the cut.
	alone := m.isolated || len(near) < heartbeatFanout
	if alone || m.round%remoteRoundInterval == 0 {
		to = append(to, m.randomOf(far, 1)...)
	}
	if len(m.seeds) > 0 && (alone || m.round%seedRoundInterval == 0) {
		if seed := m.seeds[m.rng.IntN(len(m.seeds))]; !slices.Contains(to, seed) {
			to = append(to, seed)
		}
	}
	return to
}

// randomOf returns up to n random ones of some addresses, whose order it changes.
func (m *Machine) randomOf(addresses []string, n int) []string {
	m.rng.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return slices.Clone(addresses[:min(len(addresses), n)])
}

// askSilentHosts queues heartbeats that ask long-silent hosts for a reply. They
// omit other members.
func (m *Machine) askSilentHosts(now time.Duration) {
	silent := m.members.silentAddresses(now, m.self.DataCentre, m.rng)
	if len(silent) == 0 {
		return
	}
	h := m.newHeartbeat(now)
	h.ReplyRequested = true
	m.queueHeartbeats(h, silent)
}

// queueHeartbeatsWithMembers queues a heartbeat that includes a sample of other
// members to each of the addresses.
func (m *Machine) queueHeartbeatsWithMembers(now time.Duration, to []string) {
	if len(to) == 0 {
		return
	}
	h := m.newHeartbeat(now)
	h.Members, h.Presence = m.members.sampleMembers(now, m.self.DataCentre, m.rng)
	remote := h
	remote.Members, remote.Presence = m.members.sampleNear(now, m.self.DataCentre, m.rng)
	for _, address := range to {
		outgoing := OutgoingHeartbeat{To: address, Heartbeat: h, Round: true}
		if m.members.isRemote(address, m.self.DataCentre) {
			outgoing.Heartbeat, outgoing.Remote = remote, true
		}
		m.pendingActions.Heartbeats = append(m.pendingActions.Heartbeats, outgoing)
	}
}

// queueHeartbeats queues a heartbeat to each of the addresses.
func (m *Machine) queueHeartbeats(h Heartbeat, to []string) {
	for _, address := range to {
		m.pendingActions.Heartbeats = append(m.pendingActions.Heartbeats, OutgoingHeartbeat{To: address, Heartbeat: h, Remote: m.members.isRemote(address, m.self.DataCentre)})
	}
}

// newHeartbeat returns a heartbeat that describes this host and no other members.
func (m *Machine) newHeartbeat(now time.Duration) Heartbeat {
	return Heartbeat{
		Format:      FormatVersion,
		From:        m.self.Address,
		Start:       m.self.Start,
		DataCentre:  m.self.DataCentre,
		CPUPercent:  m.self.CPUPercent,
		Leaving:     m.leaving,
		ReadsStore:  m.isReader,
		Version:     m.configVersion(),
		Epoch:       m.catalog.Position().Epoch,
		Revision:    m.catalog.Revision(),
		Digest:      m.catalog.Digest(),
		Holds:       m.catalog.HoldsDigest(),
		Age:         m.stateAge(now),
		OutsideAge:  m.outsideAge(now),
		Departures:  m.members.recentDepartures(now),
		Evacuations: m.evacuations.Summary(),
	}
}
