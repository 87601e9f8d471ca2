package control

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/roster"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	// pushInterval is the least time between two pushes. A push is a heartbeat to
	// a few peers ahead of the regular round, so that a change spreads sooner.
	pushInterval = 100 * time.Millisecond
	// pushLocalPeers and pushRemotePeers are the numbers of peers that a push
	// goes to, in this data centre and in others.
	pushLocalPeers  = 4
	pushRemotePeers = 2
	// leaveLocalPeers and leaveRemotePeers are the numbers of peers told of a
	// planned stop, in this data centre and in others.
	leaveLocalPeers  = 6
	leaveRemotePeers = 3
	// maxSuspectHints bounds the suspect hints in a heartbeat.
	maxSuspectHints = 32
)

// heartbeatOptions say what a heartbeat contains besides the state of the
// sender.
type heartbeatOptions struct {
	// includeHosts adds hints about the known hosts.
	includeHosts bool
	// requestReply asks the peer for a heartbeat in reply.
	requestReply bool
	leaving      []peerwire.EndpointHint
}

// sendHeartbeats sends a round of heartbeats if one is due.
func (m *Machine) sendHeartbeats(now time.Duration, a *Actions) {
	if now < m.heartbeatAt {
		return
	}
	m.heartbeatAt = now + HeartbeatInterval
	for _, peer := range m.roster.SampleTargets(roster.LocalPeers, roster.RemotePeers) {
		options := heartbeatOptions{includeHosts: true, requestReply: !m.sync.done, leaving: m.leaving.sample(now)}
		m.sendHeartbeat(now, a, peer, options)
	}
}

// requestPush publishes the view and schedules a push to a few peers.
func (m *Machine) requestPush(now time.Duration) {
	m.publishNow = true
	if m.pushAt == 0 {
		m.pushAt = max(now, m.lastPush+pushInterval)
	}
}

// pushHeartbeats sends heartbeats with the current state and the new leaving
// hints to a few peers if a push is due. Each host pushes a leaving hint once,
// when it learns of it; hosts that the pushes missed get it with the regular
// heartbeats.
func (m *Machine) pushHeartbeats(now time.Duration, a *Actions) {
	if m.pushAt == 0 || now < m.pushAt {
		return
	}
	m.pushAt = 0
	m.lastPush = now
	unpushed := m.leaving.takeUnpushed(now)
	for _, peer := range m.roster.SampleTargets(pushLocalPeers, pushRemotePeers) {
		m.sendHeartbeat(now, a, peer, heartbeatOptions{leaving: unpushed})
	}
	if len(m.leaving.unpushed) > 0 {
		m.pushAt = now + pushInterval
	}
}

func (m *Machine) sendHeartbeat(now time.Duration, a *Actions, peer string, o heartbeatOptions) {
	h := peerwire.Heartbeat{
		From:         m.self.Incarnation,
		DataCentre:   m.self.DataCentre,
		State:        m.self.State,
		Revision:     m.store.Revision(),
		ManifestHash: m.store.ManifestHash(),
		Leaving:      o.leaving,
		Suspects:     m.cfg.Quarantine.Hints(now, maxSuspectHints),
		Reply:        o.requestReply,
	}
	if o.includeHosts {
		h.Hosts = m.roster.Hints(now)
	}
	m.counts.HeartbeatsSent++
	a.Heartbeats = append(a.Heartbeats, Heartbeat{To: peer, Message: h})
}

// HandleHeartbeat handles a heartbeat of a peer. The host replies if the peer
// asks for a reply or has a lower revision in force. A reply never asks for a
// reply, and replies because of the revision end once the peer has caught up.
func (m *Machine) HandleHeartbeat(now time.Duration, h peerwire.Heartbeat) Actions {
	a := m.beginEvent(now)
	if h.From.Start == 0 || h.From.Address == "" || h.From.Address == m.self.Incarnation.Address {
		m.counts.HeartbeatsRefused++
		return m.finishEvent(now, a, false)
	}
	m.counts.HeartbeatsReceived++
	m.roster.RecordHeartbeat(now, &h)
	m.roster.RecordHints(now, h.Hosts)
	if m.leaving.merge(now, h.Leaving) {
		m.requestPush(now)
	}
	m.mergeSuspectHints(now, h.Suspects)
	m.sync.recordHeartbeat(now)
	m.fetchIfNewer(now, &h, &a)
	if h.Reply || h.Revision < m.store.Revision() {
		m.sendHeartbeat(now, &a, h.From.Address, heartbeatOptions{includeHosts: true, leaving: m.leaving.sample(now)})
	}
	return m.finishEvent(now, a, false)
}

func (m *Machine) mergeSuspectHints(now time.Duration, hints []peerwire.SuspectHint) {
	if len(hints) == 0 {
		return
	}
	before := m.suspects
	m.cfg.Quarantine.MergeHints(now, hints)
	if !sameDegrees(before, m.cfg.Quarantine.Degrees()) {
		m.requestPush(now)
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

// fetchIfNewer fetches the peer's manifest if its revision is higher, and counts
// a conflict if the peer has the same revision with different content.
func (m *Machine) fetchIfNewer(now time.Duration, h *peerwire.Heartbeat, a *Actions) {
	m.store.CheckPeerManifest(now, h.Revision, h.ManifestHash)
	if h.Revision <= max(m.store.Revision(), m.store.CandidateRevision()) || m.store.RecentlyRefused(now, h.ManifestHash) {
		return
	}
	m.fetchFromPeer(now, h.From.Address, a)
}
