package discovery

import (
	"slices"
	"time"
)

// compare takes over the freshness of a peer that knows the same, and asks one
// that knows more.
func (m *Machine) compare(now time.Duration, h *Hello) {
	newer := h.Revision > m.catalog.Revision() || !m.catalog.Known() && h.Revision > 0
	same := h.Digest == m.digest && m.catalog.Known()
	switch {
	case h.Version > m.version(), newer && !same:
		m.fetch(now, h.From)
	case same && h.Revision >= m.catalog.Revision() && h.Version == m.version():
		m.catalog.Fresh(h.Revision, now-h.Age)
	}
}

func (m *Machine) fetch(now time.Duration, from string) {
	if m.fetching || now < m.fetchAt {
		return
	}
	m.fetching = true
	m.out.Fetch = from
	m.out.Request = StateRequest{Format: FormatVersion, Version: m.version(), Revision: m.catalog.Follow()}
}

// Fetched handles a peer's state, or the failure to get it.
func (m *Machine) Fetched(now time.Duration, from string, s *State, err error) Actions {
	m.fetching = false
	if err != nil || s.Format != FormatVersion {
		m.fetchAt = now + fetchRetry
		m.changed(Change{Kind: ChangeFetchError, Source: from, Err: err})
		return m.take()
	}
	for _, x := range s.Members {
		m.members.heard(x, now-x.Age)
	}
	changed := m.takeConfig(s.Config, from)
	if s.Revision > m.catalog.Revision() || !m.catalog.Known() && s.Revision > 0 {
		for _, e := range s.Entries {
			if e.Replica != nil {
				e.Replica.ColdUntil = now + e.ColdFor
			}
		}
		changed = m.takeEntries(now, s) || changed
		m.catalog.Fresh(s.Revision, now-s.Age)
	}
	if changed {
		m.publish(now, from)
	}
	return m.take()
}

// takeEntries takes a peer's replicas, whole or as changes of what is known.
func (m *Machine) takeEntries(now time.Duration, s *State) bool {
	if s.Since == 0 {
		return m.catalog.List(now, s.Revision, s.Entries)
	}
	if s.Since > m.catalog.Revision() {
		return false
	}
	return m.catalog.Apply(now, s.Revision, s.Entries)
}

// State returns what this host tells a peer.
func (m *Machine) State(now time.Duration, r StateRequest) *State {
	s := &State{Format: FormatVersion, Revision: m.catalog.Revision(), Age: m.age(now)}
	if m.catalog.Follow() > 0 && r.Revision > 0 {
		s.Since = r.Revision
	}
	s.Entries = m.catalog.Entries(now, s.Since)
	if m.version() > r.Version {
		s.Config = m.config
	}
	if r.Revision == 0 {
		s.Members = m.members.all(now)
	}
	return s
}

func (m *Machine) helloDue(now time.Duration) {
	if now < m.helloAt {
		return
	}
	m.helloAt = now + helloInterval
	to := m.members.some(helloFanout, m.rng)
	if len(m.seeds) > 0 {
		if seed := m.seeds[m.rng.IntN(len(m.seeds))]; !slices.Contains(to, seed) {
			to = append(to, seed)
		}
	}
	if len(m.members.hosts) == 0 {
		to = m.seeds
	}
	m.sendTo(now, to)
	m.ask(now)
}

// ask asks hosts that were not heard for long for a sign, without telling them of
// others.
func (m *Machine) ask(now time.Duration) {
	silent := m.members.silent(now)
	if len(silent) == 0 {
		return
	}
	h := m.hello(now)
	h.Ask = true
	m.send(h, silent)
}

// sendTo sends a heartbeat that tells of other hosts.
func (m *Machine) sendTo(now time.Duration, to []string) {
	if len(to) == 0 {
		return
	}
	h := m.hello(now)
	h.Members = m.members.sample(now, m.rng)
	m.send(h, to)
}

func (m *Machine) send(h Hello, to []string) {
	for _, address := range to {
		m.out.Send = append(m.out.Send, Outgoing{To: address, Hello: h})
	}
}

// hello returns a heartbeat that tells of this host alone.
func (m *Machine) hello(now time.Duration) Hello {
	return Hello{
		Format:     FormatVersion,
		From:       m.self.Address,
		Start:      m.self.Start,
		DataCentre: m.self.DataCentre,
		Processor:  m.self.Processor,
		Leaving:    m.leaving,
		Reading:    m.acting,
		Version:    m.version(),
		Revision:   m.catalog.Revision(),
		Digest:     m.digest,
		Age:        m.age(now),
	}
}
