package discovery

import (
	"slices"
	"time"
)

// compareState compares this host's state with that of a heartbeat's sender. If
// the sender has newer state, it is fetched. If both have the same configuration
// and replicas, the store's confirmation to the sender holds for this host, too.
func (m *Machine) compareState(now time.Duration, h *Heartbeat) {
	newer := h.Revision > m.catalog.Revision() || !m.catalog.Loaded() && h.Revision > 0
	sameReplicas := m.catalog.Loaded() && h.Digest == m.catalog.Digest()
	switch {
	case h.Version > m.configVersion(), newer && !sameReplicas:
		m.requestState(now, h.From)
	case sameReplicas && h.Revision >= m.catalog.Revision() && h.Version == m.configVersion():
		m.catalog.Confirm(h.Revision, now-h.Age)
	}
}

// requestState requests a peer's state, unless a fetch is in flight or failed less
// than fetchRetryDelay ago.
func (m *Machine) requestState(now time.Duration, from string) {
	if m.fetchInFlight || now < m.nextFetch {
		return
	}
	m.fetchInFlight = true
	m.pendingActions.FetchFrom = from
	m.pendingActions.FetchRequest = StateRequest{Format: FormatVersion, Version: m.configVersion(), Revision: m.catalog.ResumeRevision()}
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
		m.members.recordHeartbeat(member, now-member.Age)
	}
	changed := m.adoptConfig(s.Config, from)
	if s.Revision > m.catalog.Revision() || !m.catalog.Loaded() && s.Revision > 0 {
		for _, e := range s.Entries {
			if e.Replica != nil {
				e.Replica.ColdUntil = now + e.ColdRemaining
			}
		}
		changed = m.adoptEntries(now, s) || changed
		m.catalog.Confirm(s.Revision, now-s.Age)
	}
	if changed {
		m.publishView(now, from)
	}
	return m.takeActions()
}

// adoptEntries applies a peer's replicas, which are a full listing or changes. It
// ignores changes that start after the revision of the known replicas. It reports
// whether the replicas changed.
func (m *Machine) adoptEntries(now time.Duration, s *State) bool {
	if s.Since == 0 {
		return m.catalog.ApplyPeerListing(now, now-s.Age, s.Revision, s.Entries)
	}
	if s.Since > m.catalog.Revision() {
		return false
	}
	return m.catalog.ApplyPeerChanges(now, now-s.Age, s.Revision, s.Entries)
}

// StateFor returns the answer to a peer's request for this host's state.
func (m *Machine) StateFor(now time.Duration, r StateRequest) *State {
	s := &State{Format: FormatVersion, Revision: m.catalog.Revision(), Age: m.stateAge(now)}
	if m.catalog.ResumeRevision() > 0 && r.Revision > 0 {
		s.Since = r.Revision
	}
	s.Entries = m.catalog.Entries(now, s.Since)
	if m.configVersion() > r.Version {
		s.Config = m.config
	}
	if r.Revision == 0 {
		s.Members = m.members.listMembers(now)
	}
	return s
}

// queueHeartbeatsIfDue queues a round of heartbeats once per heartbeatInterval.
func (m *Machine) queueHeartbeatsIfDue(now time.Duration) {
	if now < m.nextHeartbeat {
		return
	}
	m.nextHeartbeat = now + heartbeatInterval
	to := m.members.randomAddresses(heartbeatFanout, m.rng)
	if len(m.seeds) > 0 {
		if seed := m.seeds[m.rng.IntN(len(m.seeds))]; !slices.Contains(to, seed) {
			to = append(to, seed)
		}
	}
	if len(m.members.hosts) == 0 {
		to = m.seeds
	}
	m.queueHeartbeatsWithMembers(now, to)
	m.askSilentHosts(now)
}

// askSilentHosts queues heartbeats that ask long-silent hosts for a reply. They
// omit other members.
func (m *Machine) askSilentHosts(now time.Duration) {
	silent := m.members.silentAddresses(now)
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
	h.Members = m.members.sampleMembers(now, m.rng)
	m.queueHeartbeats(h, to)
}

// queueHeartbeats queues a heartbeat to each of the addresses.
func (m *Machine) queueHeartbeats(h Heartbeat, to []string) {
	for _, address := range to {
		m.pendingActions.Heartbeats = append(m.pendingActions.Heartbeats, OutgoingHeartbeat{To: address, Heartbeat: h})
	}
}

// newHeartbeat returns a heartbeat that describes this host and no other members.
func (m *Machine) newHeartbeat(now time.Duration) Heartbeat {
	return Heartbeat{
		Format:     FormatVersion,
		From:       m.self.Address,
		Start:      m.self.Start,
		DataCentre: m.self.DataCentre,
		CPUPercent: m.self.CPUPercent,
		Leaving:    m.leaving,
		ReadsStore: m.isReader,
		Version:    m.configVersion(),
		Revision:   m.catalog.Revision(),
		Digest:     m.catalog.Digest(),
		Age:        m.stateAge(now),
	}
}
