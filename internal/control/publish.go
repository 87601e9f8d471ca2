package control

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/roster"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// bufferedHeartbeatTime is the time after a pause in which a received heartbeat
// may have been buffered since before the pause.
const bufferedHeartbeatTime = 200 * time.Millisecond

// syncState tracks whether the host knows the revision in force on other hosts.
type syncState struct {
	// startedAt is when the synchronization began.
	startedAt time.Duration
	// done tells that the synchronization has ended, and resyncing that it was
	// started over after a pause.
	done      bool
	resyncing bool
	// alone tells that the synchronization ended although neither a peer nor the
	// platform had answered.
	alone            bool
	peerAnswered     bool
	platformAnswered bool
	// platformAsked tells that a call to the platform has ended, successfully or
	// not.
	platformAsked bool
}

func (s *syncState) begin(now time.Duration) { *s = syncState{startedAt: now} }

// beginResync starts the synchronization over after a pause.
func (s *syncState) beginResync(now time.Duration) {
	*s = syncState{startedAt: now, resyncing: true}
}

// recordHeartbeat records that a heartbeat was received. Shortly after a pause, a
// heartbeat may have been buffered since before the pause and is ignored.
func (s *syncState) recordHeartbeat(now time.Duration) {
	if !s.resyncing || now-s.startedAt >= bufferedHeartbeatTime {
		s.peerAnswered = true
	}
}

// updateReadiness ends the synchronization when the host has the highest
// revision known from peers and the platform in force, or when it has waited
// long enough.
func (m *Machine) updateReadiness(now time.Duration) {
	s := &m.sync
	if s.alone && (s.peerAnswered || s.platformAnswered) {
		s.alone = false
		m.publishNow = true
	}
	if s.done || m.store.Bundle() == nil || !m.synchronized(now) {
		return
	}
	s.alone = !s.peerAnswered && !s.platformAnswered
	s.done = true
	s.resyncing = false
	if m.self.State == view.HostStarting {
		m.self.State = view.HostReady
	}
	m.requestPush(now)
}

// synchronized reports whether the synchronization may end. While a higher
// revision is known, it ends only after MaxSyncWaitFactor times StartWait.
// Otherwise it ends after StartWait, or earlier: after a pause, once a peer or
// the platform has answered; at the start, once a call to the platform has ended
// and a peer has answered (if no peers are known, once the platform has
// answered).
func (m *Machine) synchronized(now time.Duration) bool {
	s := &m.sync
	waited := now - s.startedAt
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
	if s.resyncing {
		return s.peerAnswered || s.platformAnswered
	}
	return s.platformAsked && (s.peerAnswered || s.platformAnswered && m.roster.KnownCount() == 0)
}

// assignmentInputs are the inputs that an assignment was computed from.
type assignmentInputs struct {
	bundle        *config.Bundle
	rosterVersion uint64
	state         view.HostState
	// valid is always set, so that no inputs equal the zero value.
	valid bool
}

// publishView publishes a new view if anything that the request path reads has
// changed. A change of hosts alone, or the expiry of suspects, is published with
// the next tick, so that not every heartbeat causes a new view.
func (m *Machine) publishView(now time.Duration, a *Actions, tick bool) {
	inputs := assignmentInputs{bundle: m.store.Bundle(), rosterVersion: m.roster.Version(), state: m.self.State, valid: true}
	needed := m.publishNow || m.leaving.changed || (tick && (inputs != m.assignedFrom || m.suspectsChanged()))
	if !needed {
		return
	}
	m.publishNow = false
	m.leaving.changed = false
	m.suspects = m.cfg.Quarantine.Degrees()
	m.published = m.buildView(now, inputs)
	a.View = m.published
}

func (m *Machine) suspectsChanged() bool {
	return !sameDegrees(m.suspects, m.cfg.Quarantine.Degrees())
}

func (m *Machine) buildView(now time.Duration, inputs assignmentInputs) *view.View {
	hosts := m.roster.LiveHosts()
	if inputs != m.assignedFrom {
		m.assignment = roster.AssignRelays(inputs.bundle, m.self, hosts)
		m.assignedFrom = inputs
	}
	reason := m.notReadyReason()
	return &view.View{
		PublishedAt:      now,
		Self:             m.self,
		Bundle:           inputs.bundle,
		Hosts:            hosts,
		LeavingEndpoints: m.leaving.endpoints(),
		Suspects:         m.suspects,
		Relays:           m.assignment.Relays,
		ConnectionShares: m.assignment.ConnectionShares,
		Ready:            reason == 0,
		Reason:           reason,
	}
}
