package control

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/roster"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	// pushInterval is the least time between two pushes of news.
	pushInterval = 100 * time.Millisecond
	// pushLocalPeers and pushRemotePeers are the peers that news is pushed to.
	pushLocalPeers  = 4
	pushRemotePeers = 2
	// leaveLocalPeers and leaveRemotePeers are the peers told of a planned stop.
	leaveLocalPeers  = 6
	leaveRemotePeers = 3
	// maxSuspectHints bounds the quarantine hints of a heartbeat.
	maxSuspectHints = 32
)

// heartbeatOptions say what a heartbeat carries besides the host's own state.
type heartbeatOptions struct {
	hosts   bool
	reply   bool
	leaving []peerwire.EndpointHint
}

// beat sends the round of heartbeats if it is due.
func (m *Machine) beat(now time.Duration, a *Actions) {
	if now < m.heartbeatAt {
		return
	}
	m.heartbeatAt = now + HeartbeatInterval
	for _, peer := range m.roster.Sample(roster.LocalPeers, roster.RemotePeers) {
		options := heartbeatOptions{hosts: true, reply: !m.sync.done, leaving: m.leaving.sample(now)}
		m.send(now, a, peer, options)
	}
}

// announce asks for a push of news to a few peers.
func (m *Machine) announce(now time.Duration) {
	m.urgent = true
	if m.pushAt == 0 {
		m.pushAt = max(now, m.lastPush+pushInterval)
	}
}

// push sends news to a few peers. Each host forwards news once, when it learns
// of it; the rounds of heartbeats reach those that the pushes missed.
func (m *Machine) push(now time.Duration, a *Actions) {
	if m.pushAt == 0 || now < m.pushAt {
		return
	}
	m.pushAt = 0
	m.lastPush = now
	fresh := m.leaving.takeFresh(now)
	for _, peer := range m.roster.Sample(pushLocalPeers, pushRemotePeers) {
		m.send(now, a, peer, heartbeatOptions{leaving: fresh})
	}
	if len(m.leaving.fresh) > 0 {
		m.pushAt = now + pushInterval
	}
}

func (m *Machine) send(now time.Duration, a *Actions, peer string, o heartbeatOptions) {
	h := peerwire.Heartbeat{
		From:         m.self.Incarnation,
		DataCentre:   m.self.DataCentre,
		State:        m.self.State,
		Revision:     m.store.Revision(),
		ManifestHash: m.store.ManifestHash(),
		Leaving:      o.leaving,
		Suspects:     m.cfg.Quarantine.Hints(now, maxSuspectHints),
		Reply:        o.reply,
	}
	if o.hosts {
		h.Hosts = m.roster.Hints(now)
	}
	m.counts.HeartbeatsSent++
	a.Heartbeats = append(a.Heartbeats, Heartbeat{To: peer, Message: h})
}

// HandleHeartbeat takes a peer's heartbeat. The peer is answered if it asks for it or
// has a lower revision in force; answers are never answered for the first reason,
// and for the second only until the peer has caught up.
func (m *Machine) HandleHeartbeat(now time.Duration, h peerwire.Heartbeat) Actions {
	a := m.begin(now)
	if h.From.Start == 0 || h.From.Address == "" || h.From.Address == m.self.Incarnation.Address {
		m.counts.HeartbeatsRefused++
		return m.end(now, a, false)
	}
	m.counts.HeartbeatsReceived++
	m.roster.Heard(now, &h)
	m.roster.Learn(now, h.Hosts)
	if m.leaving.merge(now, h.Leaving) {
		m.announce(now)
	}
	m.mergeSuspects(now, h.Suspects)
	m.sync.peerHeard(now)
	m.compareRevision(now, &h, &a)
	if h.Reply || h.Revision < m.store.Revision() {
		m.send(now, &a, h.From.Address, heartbeatOptions{hosts: true, leaving: m.leaving.sample(now)})
	}
	return m.end(now, a, false)
}

func (m *Machine) mergeSuspects(now time.Duration, hints []peerwire.SuspectHint) {
	if len(hints) == 0 {
		return
	}
	before := m.suspects
	m.cfg.Quarantine.MergeHints(now, hints)
	if !sameDegrees(before, m.cfg.Quarantine.Degrees()) {
		m.announce(now)
	}
}

func sameDegrees(a, b map[view.Fingerprint]view.Suspicion) bool {
	if len(a) != len(b) {
		return false
	}
	for f, degree := range a {
		if b[f] != degree {
			return false
		}
	}
	return true
}

// compareRevision fetches the peer's manifest if its revision is higher.
func (m *Machine) compareRevision(now time.Duration, h *peerwire.Heartbeat, a *Actions) {
	m.store.CheckPeerManifest(now, h.Revision, h.ManifestHash)
	if h.Revision <= max(m.store.Revision(), m.store.CandidateRevision()) || m.store.RecentlyRefused(now, h.ManifestHash) {
		return
	}
	m.fetchFromPeer(now, h.From.Address, a)
}
