// Package control is the state machine of the control goroutine. It combines the
// configuration, the roster, the leaving hints and the quarantine, and publishes
// the state that the request path reads as an immutable [view.View].
//
// The machine does no I/O. The adapter calls it from one goroutine with events
// and the monotonic time since process start, and carries out the returned
// [Actions]. For each fetch and watch, the adapter must call HandleManifest or
// HandleDocument exactly once, with an error if it failed; the machine also
// gives up by itself after a timeout. Tick must be called when the time returned
// by NextTick has passed.
//
// Invariants: the revision in force never decreases; the remaining time to live
// of a leaving hint never grows as it passes from host to host; the cost per
// host (heartbeats, hints, calls to the platform) is bounded by constants that
// do not depend on the size of the fleet.
package control

import (
	"math/rand/v2"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/configuration"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/roster"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	// HeartbeatInterval is the time between two rounds of heartbeats.
	HeartbeatInterval = time.Second
	// PauseThreshold is the time between two ticks above which the process
	// counts as having been paused.
	PauseThreshold = 3 * time.Second
	// DefaultStartWait is the default of Config.StartWait.
	DefaultStartWait = 10 * time.Second
	// MaxSyncWaitFactor times Config.StartWait is how long a host waits at most
	// while it is fetching a higher revision.
	MaxSyncWaitFactor = 3
	// StartJitter spreads the first calls to the platform when many hosts start
	// at once.
	StartJitter = 3 * time.Second
)

// Quarantine tracks the requests that crash endpoints; quarantine.Tracker
// implements it.
type Quarantine interface {
	// RecordCrash records a crash that this host saw.
	RecordCrash(now time.Duration, crash view.Crash)
	// RecordRecovery clears suspects that ran to completion.
	RecordRecovery(now time.Duration, requests []view.Fingerprint)
	// MergeHints merges the hints of a peer.
	MergeHints(now time.Duration, hints []peerwire.SuspectHint)
	// Hints returns at most limit hints for a heartbeat.
	Hints(now time.Duration, limit int) []peerwire.SuspectHint
	// Degrees returns the degree of suspicion of every request that is suspected
	// or quarantined, as of the last event. The caller owns the map.
	Degrees() map[view.Fingerprint]view.Suspicion
	// Tick advances the time and drops expired records.
	Tick(now time.Duration)
}

// Config configures a Machine.
type Config struct {
	// Quarantine must not be nil.
	Quarantine Quarantine
	// Seeds are the peer addresses from which the host discovers the others;
	// some may be stale.
	Seeds []string
	// StartWait is how long the host waits for peers and the platform before it
	// becomes ready with the configuration that it has; zero means
	// DefaultStartWait.
	StartWait time.Duration
}

// Machine is the control state of one host. It is not safe for concurrent use.
type Machine struct {
	cfg    Config
	self   view.Host
	rng    *rand.Rand
	store  *configuration.Store
	roster *roster.Roster

	leaving  leavingHints
	fetch    fetchState
	sync     syncState
	counts   Counts
	lastTick time.Duration
	started  bool

	heartbeatAt time.Duration
	// pushAt is when heartbeats are next pushed to a few peers, ahead of the
	// regular round; zero means that no push is requested.
	pushAt   time.Duration
	lastPush time.Duration

	published    *view.View
	assignment   *roster.Assignment
	assignedFrom assignmentInputs
	suspects     map[view.Fingerprint]view.Suspicion
	// publishNow tells that the event at hand must publish a view.
	publishNow bool
}

// Counts are the event counts of a machine since its start.
type Counts struct {
	HeartbeatsSent     uint64 `json:"heartbeats_sent"`
	HeartbeatsReceived uint64 `json:"heartbeats_received"`
	// HeartbeatsRefused counts heartbeats without an incarnation and those with
	// this host's own address.
	HeartbeatsRefused uint64 `json:"heartbeats_refused"`
	PlatformCalls     uint64 `json:"platform_calls"`
	PlatformFailures  uint64 `json:"platform_failures"`
	PeerFetches       uint64 `json:"peer_fetches"`
	PeerFailures      uint64 `json:"peer_failures"`
	Pauses            uint64 `json:"pauses"`
	// Installed counts the revisions that came into force on this host.
	Installed uint64 `json:"installed"`
}

// New returns the machine of the host self. It ignores the State of self: the
// host starts as [view.HostStarting].
func New(cfg Config, self view.Host, rng *rand.Rand) *Machine {
	self.State = view.HostStarting
	if cfg.StartWait <= 0 {
		cfg.StartWait = DefaultStartWait
	}
	m := &Machine{
		cfg:    cfg,
		self:   self,
		rng:    rng,
		store:  configuration.New(),
		roster: roster.New(self.Incarnation, self.DataCentre, rng),
	}
	m.leaving.init()
	m.fetch.init()
	return m
}

// initTimers sets the first timers, at the first event.
func (m *Machine) initTimers(now time.Duration) {
	m.started = true
	m.lastTick = now
	m.sync.begin(now)
	m.heartbeatAt = now
	m.fetch.pollAt = now + m.jitter(StartJitter)
	m.roster.AddSeeds(now, m.cfg.Seeds)
	m.publishNow = true
}

func (m *Machine) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(limit)))
}

// Tick handles the timers that are due.
func (m *Machine) Tick(now time.Duration) Actions {
	a := m.beginEvent(now)
	m.lastTick = now
	m.roster.Tick(now)
	m.cfg.Quarantine.Tick(now)
	m.leaving.expire(now)
	m.store.ExpireCandidate(now)
	m.fetch.expire(now, &m.counts)
	m.sendHeartbeats(now, &a)
	m.startDueCalls(now, &a)
	return m.finishEvent(now, a, true)
}

// NextTick returns how long after now Tick is due.
func (m *Machine) NextTick(now time.Duration) time.Duration {
	if !m.started {
		return 0
	}
	at := min(m.heartbeatAt, m.fetch.pollAt, now+HeartbeatInterval)
	if m.pushAt != 0 {
		at = min(at, m.pushAt)
	}
	if len(m.store.MissingDocuments()) > 0 {
		at = min(at, now+documentRetryDelay)
	}
	return max(0, at-now)
}

// beginEvent sets the first timers at the first event and detects a pause of the
// process. Every event handler calls it first.
func (m *Machine) beginEvent(now time.Duration) Actions {
	if !m.started {
		m.initTimers(now)
	}
	if now-m.lastTick > PauseThreshold {
		m.recoverFromPause(now)
	}
	return Actions{}
}

// recoverFromPause treats all state as possibly stale after a pause: the host is
// not ready until a peer or the platform has told it the revision in force.
func (m *Machine) recoverFromPause(now time.Duration) {
	m.counts.Pauses++
	m.lastTick = now
	m.roster.ExtendAfterPause(now)
	m.sync.beginResync(now)
	m.heartbeatAt = now
	m.fetch.pollAt = now + m.jitter(HeartbeatInterval)
	m.publishNow = true
}

// finishEvent fetches missing documents, updates readiness, pushes heartbeats and
// publishes the view, each if it is due. tick tells that the event is a Tick.
// Every event handler calls it last.
func (m *Machine) finishEvent(now time.Duration, a Actions, tick bool) Actions {
	m.fetchMissingDocuments(now, &a)
	m.updateReadiness(now)
	m.pushHeartbeats(now, &a)
	m.publishView(now, &a, tick)
	return a
}

// HandleObservation handles an observation of the request path.
func (m *Machine) HandleObservation(now time.Duration, o view.Observation) Actions {
	a := m.beginEvent(now)
	switch {
	case o.LeavingEndpoint != "":
		if m.leaving.record(now, o.LeavingEndpoint) {
			m.requestPush(now)
		}
	case o.Crash != nil:
		m.cfg.Quarantine.RecordCrash(now, *o.Crash)
		m.requestPush(now)
	case len(o.Recovered) > 0:
		m.cfg.Quarantine.RecordRecovery(now, o.Recovered)
		m.publishNow = true
	}
	return m.finishEvent(now, a, false)
}

// HandleUnreachable records that a connection to a peer could not be opened,
// whether for a heartbeat or for requests.
func (m *Machine) HandleUnreachable(now time.Duration, address string) Actions {
	a := m.beginEvent(now)
	m.roster.MarkUnreachable(now, address)
	return m.finishEvent(now, a, false)
}

// Leave announces to peers that this host is stopping. It cannot be undone.
func (m *Machine) Leave(now time.Duration) Actions {
	a := m.beginEvent(now)
	m.self.State = view.HostLeaving
	m.publishNow = true
	for _, peer := range m.roster.SampleTargets(leaveLocalPeers, leaveRemotePeers) {
		m.sendHeartbeat(now, &a, peer, heartbeatOptions{includeHosts: true})
	}
	return m.finishEvent(now, a, false)
}

// ManifestBytes returns the manifest in force, to serve it to peers, or nil.
func (m *Machine) ManifestBytes() []byte { return m.store.ManifestBytes() }

// DocumentBytes returns a document, to serve it to peers, or nil.
func (m *Machine) DocumentBytes(hash string) []byte { return m.store.DocumentBytes(hash) }

// recordPlatformFailure records a failed call to the platform.
func (m *Machine) recordPlatformFailure(err error) {
	m.counts.PlatformFailures++
	m.fetch.platformUp = false
	m.store.CountRefusal(err)
}

// notReadyReason returns why the host accepts no requests, or zero if it does.
func (m *Machine) notReadyReason() result.Code {
	switch {
	case m.self.State == view.HostLeaving:
		return result.Stopping
	case m.store.Bundle() == nil:
		return result.NotReady
	case m.sync.resyncing:
		return result.StaleBelief
	case !m.sync.done:
		return result.NotReady
	}
	return 0
}
