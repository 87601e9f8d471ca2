package control

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/roster"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// refreshSettle is how long after a pause heartbeats may still be old.
const refreshSettle = 200 * time.Millisecond

// syncState tells whether the host knows what is in force elsewhere.
type syncState struct {
	since            time.Duration
	done             bool
	refreshing       bool
	alone            bool
	peerAnswered     bool
	platformAnswered bool
	// platformAsked tells that a call to the platform ended, well or not.
	platformAsked bool
}

func (s *syncState) begin(now time.Duration) { *s = syncState{since: now} }

// refresh asks again after a pause.
func (s *syncState) refresh(now time.Duration) {
	*s = syncState{since: now, refreshing: true}
}

// peerHeard notes a heartbeat. Right after a pause it may have waited in a buffer
// since before, and says nothing.
func (s *syncState) peerHeard(now time.Duration) {
	if !s.refreshing || now-s.since >= refreshSettle {
		s.peerAnswered = true
	}
}

// updateReady ends the synchronization when the host has the highest revision
// that peers and platform told of, or when it waited long enough.
func (m *Machine) updateReady(now time.Duration) {
	s := &m.sync
	if s.alone && (s.peerAnswered || s.platformAnswered) {
		s.alone = false
		m.urgent = true
	}
	if s.done || m.store.Bundle() == nil || !m.synchronized(now) {
		return
	}
	s.alone = !s.peerAnswered && !s.platformAnswered
	s.done = true
	s.refreshing = false
	if m.self.State == view.HostStarting {
		m.self.State = view.HostReady
	}
	m.announce(now)
}

func (m *Machine) synchronized(now time.Duration) bool {
	s := &m.sync
	waited := now - s.since
	if waited >= MaxSyncWaitFactor*m.cfg.StartWait {
		return true
	}
	behind := m.store.CandidateRevision() != 0 || m.roster.HighestRevision() > m.store.HighestSeen()
	if behind {
		return false
	}
	if waited >= m.cfg.StartWait {
		return true
	}
	if s.refreshing {
		return s.peerAnswered || s.platformAnswered
	}
	return s.platformAsked && (s.peerAnswered || s.platformAnswered && m.roster.KnownCount() == 0)
}

// assignmentKey tells what an assignment was worked out from.
type assignmentKey struct {
	bundle  *config.Bundle
	version uint64
	state   view.HostState
	valid   bool
}

// publish makes a new view if anything that traffic reads has changed. A change
// of hosts alone waits for the next tick, so that heartbeats don't each publish.
func (m *Machine) publish(now time.Duration, a *Actions, tick bool) {
	key := assignmentKey{bundle: m.store.Bundle(), version: m.roster.Version(), state: m.self.State, valid: true}
	stale := m.urgent || m.leaving.changed || (tick && (key != m.assigned || m.suspectsChanged()))
	if !stale {
		return
	}
	m.urgent = false
	m.leaving.changed = false
	m.suspects = m.cfg.Quarantine.Degrees()
	m.published = m.buildView(now, key)
	a.View = m.published
}

func (m *Machine) suspectsChanged() bool {
	return !sameDegrees(m.suspects, m.cfg.Quarantine.Degrees())
}

func (m *Machine) buildView(now time.Duration, key assignmentKey) *view.View {
	hosts := m.roster.LiveHosts()
	if key != m.assigned {
		m.assignment = roster.AssignRelays(key.bundle, m.self, hosts)
		m.assigned = key
	}
	reason := m.reason()
	return &view.View{
		PublishedAt:      now,
		Self:             m.self,
		Bundle:           key.bundle,
		Hosts:            hosts,
		LeavingEndpoints: m.leaving.set(),
		Suspects:         m.suspects,
		Relays:           m.assignment.Relays,
		ConnectionShares: m.assignment.ConnectionShares,
		Ready:            reason == 0,
		Reason:           reason,
	}
}
