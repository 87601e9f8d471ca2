package discovery

import (
	"slices"
	"time"
)

// compareWith compares this host's state with that of a heartbeat's sender. If
// the sender has newer state, it is fetched. If both have the same configuration
// and replicas, the store's confirmation to the sender holds for this host, too.
func (m *Machine) compareWith(now time.Duration, h *Heartbeat) {
	newer := h.Revision > m.catalog.Revision() || !m.catalog.Loaded() && h.Revision > 0
	sameReplicas := h.Digest == m.digest && m.catalog.Loaded()
	switch {
	case h.Version > m.version(), newer && !sameReplicas:
		m.fetch(now, h.From)
	case sameReplicas && h.Revision >= m.catalog.Revision() && h.Version == m.version():
		m.catalog.Confirm(h.Revision, now-h.Age)
	}
}

// fetch requests a peer's state, unless a fetch is in flight or failed less than
// fetchRetryDelay ago.
func (m *Machine) fetch(now time.Duration, from string) {
	if m.fetchInFlight || now < m.nextFetch {
		return
	}
	m.fetchInFlight = true
	m.pendingActions.FetchFrom = from
	m.pendingActions.FetchRequest = StateRequest{Format: FormatVersion, Version: m.version(), Revision: m.catalog.ResumeRevision()}
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
		m.members.record(member, now-member.Age)
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
		m.publish(now, from)
	}
	return m.takeActions()
}

// adoptEntries applies a peer's replicas, which are a full listing or changes. It
// ignores changes that start after the revision of the known replicas. It reports
// whether the replicas changed.
func (m *Machine) adoptEntries(now time.Duration, s *State) bool {
	if s.Since == 0 {
		return m.catalog.ApplyListing(now, s.Revision, s.Entries)
	}
	if s.Since > m.catalog.Revision() {
		return false
	}
	return m.catalog.ApplyChanges(now, s.Revision, s.Entries)
}

// StateFor returns the answer to a peer's request for this host's state.
func (m *Machine) StateFor(now time.Duration, r StateRequest) *State {
	s := &State{Format: FormatVersion, Revision: m.catalog.Revision(), Age: m.age(now)}
	if m.catalog.ResumeRevision() > 0 && r.Revision > 0 {
		s.Since = r.Revision
	}
	s.Entries = m.catalog.Entries(now, s.Since)
	if m.version() > r.Version {
		s.Config = m.config
	}
	if r.Revision == 0 {
		s.Members = m.members.list(now)
	}
	return s
}

// sendHeartbeatsIfDue sends a round of heartbeats at each heartbeatInterval.
func (m *Machine) sendHeartbeatsIfDue(now time.Duration) {
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
	m.sendWithMembers(now, to)
	m.askSilentHosts(now)
}

// askSilentHosts asks hosts that were silent for long for a heartbeat. Its own
// heartbeats to them omit other members.
func (m *Machine) askSilentHosts(now time.Duration) {
	silent := m.members.silentAddresses(now)
	if len(silent) == 0 {
		return
	}
	h := m.newHeartbeat(now)
	h.ReplyRequested = true
	m.send(h, silent)
}

// sendWithMembers sends a heartbeat that includes a sample of other members.
func (m *Machine) sendWithMembers(now time.Duration, to []string) {
	if len(to) == 0 {
		return
	}
	h := m.newHeartbeat(now)
	h.Members = m.members.sample(now, m.rng)
	m.send(h, to)
}

// send queues a heartbeat to each of the addresses.
func (m *Machine) send(h Heartbeat, to []string) {
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
		Version:    m.version(),
		Revision:   m.catalog.Revision(),
		Digest:     m.digest,
		Age:        m.age(now),
	}
}
