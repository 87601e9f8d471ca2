// Package control is the machine of the control goroutine. It composes the
// configuration, the roster, the endpoint hints and the quarantine, and
// publishes what traffic reads as an immutable [view.View].
//
// The machine does no I/O. The adapter calls it from one goroutine with events
// and the monotonic time since process start, and carries out the returned
// [Actions]. Each fetch and watch must be ended by exactly one call of Manifest or
// Document, with an error if it failed; the machine also gives up by itself after
// a timeout. Tick must be called when Next has passed.
//
// Invariants: the revision in force never falls; a leaving hint's life never
// grows on its way between hosts; the cost of a host (heartbeats, hints, calls
// to the platform) is bounded by constants that don't depend on the fleet.
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
	// PauseThreshold is the gap between two ticks that counts as a pause.
	PauseThreshold = 3 * time.Second
	// DefaultStartWait is the default of Config.StartWait. A host waits up to SyncWaits
	// times as long while it is fetching a higher revision.
	DefaultStartWait = 10 * time.Second
	// MaxSyncWaitFactor multiplies the wait while a higher revision is being fetched.
	MaxSyncWaitFactor = 3
	// StartJitter spreads the first calls to the platform when many hosts start.
	StartJitter = 3 * time.Second
)

// Quarantine keeps the requests that crash endpoints; quarantine.Set implements
// it.
type Quarantine interface {
	// RecordCrash takes a crash that this host saw.
	RecordCrash(now time.Duration, crash view.Crash)
	// RecordRecovery clears requests that ran to the end.
	RecordRecovery(now time.Duration, requests []view.Fingerprint)
	// MergeHints takes the hints of a peer.
	MergeHints(now time.Duration, hints []peerwire.SuspectHint)
	// Hints returns at most limit hints for a heartbeat.
	Hints(now time.Duration, limit int) []peerwire.SuspectHint
	// Degrees returns the requests that aren't innocent at the time of the last
	// event. The map is new.
	Degrees() map[view.Fingerprint]view.Suspicion
	// Tick drops what has expired.
	Tick(now time.Duration)
}

// Config configures a Machine.
type Config struct {
	// Quarantine must not be nil.
	Quarantine Quarantine
	// Seeds are peer addresses through which the host finds the others; some may
	// be stale.
	Seeds []string
	// StartWait is how long the host waits for peers and platform before it is
	// ready with what it has; zero means SyncWait.
	StartWait time.Duration
}

// Machine is the control state of one host. It isn't safe for concurrent use.
type Machine struct {
	cfg    Config
	self   view.Host
	rng    *rand.Rand
	store  *configuration.Store
	roster *roster.Roster

	leaving  leavingHints
	fetch    fetches
	sync     syncState
	counts   Counts
	lastTick time.Duration
	started  bool

	heartbeatAt time.Duration
	// pushAt is when news is pushed to a few peers; zero means there is none.
	pushAt   time.Duration
	lastPush time.Duration

	published  *view.View
	assignment *roster.Assignment
	assigned   assignmentKey
	suspects   map[view.Fingerprint]view.Suspicion
	urgent     bool
}

// Counts are the events of a machine since its start.
type Counts struct {
	HeartbeatsSent     uint64 `json:"heartbeats_sent"`
	HeartbeatsReceived uint64 `json:"heartbeats_received"`
	// HeartbeatsRefused counts heartbeats without an incarnation and those that
	// bear this host's own address.
	HeartbeatsRefused uint64 `json:"heartbeats_refused"`
	PlatformCalls     uint64 `json:"platform_calls"`
	PlatformFailures  uint64 `json:"platform_failures"`
	PeerFetches       uint64 `json:"peer_fetches"`
	PeerFailures      uint64 `json:"peer_failures"`
	Pauses            uint64 `json:"pauses"`
	Installed         uint64 `json:"installed"`
}

// New returns the machine of the host self, whose State is ignored: it starts as
// [view.HostStarting].
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

// start sets the first timers.
func (m *Machine) start(now time.Duration) {
	m.started = true
	m.lastTick = now
	m.sync.begin(now)
	m.heartbeatAt = now
	m.fetch.pollAt = now + m.jitter(StartJitter)
	m.roster.SetSeeds(now, m.cfg.Seeds)
	m.urgent = true
}

func (m *Machine) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(limit)))
}

// Tick advances the timers.
func (m *Machine) Tick(now time.Duration) Actions {
	a := m.begin(now)
	m.lastTick = now
	m.roster.Tick(now)
	m.cfg.Quarantine.Tick(now)
	m.leaving.expire(now)
	m.store.ExpireCandidate(now)
	m.fetch.expire(now, &m.counts)
	m.beat(now, &a)
	m.schedule(now, &a)
	return m.end(now, a, true)
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
		at = min(at, now+documentRetry)
	}
	return max(0, at-now)
}

// begin notices a pause; every event passes here.
func (m *Machine) begin(now time.Duration) Actions {
	if !m.started {
		m.start(now)
	}
	if now-m.lastTick > PauseThreshold {
		m.resume(now)
	}
	return Actions{}
}

// resume makes all beliefs suspect after a pause: the host isn't ready until a
// peer or the platform told it what is in force.
func (m *Machine) resume(now time.Duration) {
	m.counts.Pauses++
	m.lastTick = now
	m.roster.Resume(now)
	m.sync.refresh(now)
	m.heartbeatAt = now
	m.fetch.pollAt = now + m.jitter(HeartbeatInterval)
	m.urgent = true
}

// end finishes an event: pushes, document fetches and the view.
func (m *Machine) end(now time.Duration, a Actions, tick bool) Actions {
	m.fetchDocuments(now, &a)
	m.updateReady(now)
	m.push(now, &a)
	m.publish(now, &a, tick)
	return a
}

// HandleObservation takes what traffic saw.
func (m *Machine) HandleObservation(now time.Duration, o view.Observation) Actions {
	a := m.begin(now)
	switch {
	case o.Leaving != "":
		if m.leaving.observe(now, o.Leaving) {
			m.announce(now)
		}
	case o.Crash != nil:
		m.cfg.Quarantine.RecordCrash(now, *o.Crash)
		m.announce(now)
	case len(o.Recovered) > 0:
		m.cfg.Quarantine.RecordRecovery(now, o.Recovered)
		m.urgent = true
	}
	return m.end(now, a, false)
}

// HandleUnreachable notes that a connection to a peer could not be opened, for a
// heartbeat or for traffic.
func (m *Machine) HandleUnreachable(now time.Duration, address string) Actions {
	a := m.begin(now)
	m.roster.Unreachable(now, address)
	return m.end(now, a, false)
}

// Leave announces that this host is stopping. It is final.
func (m *Machine) Leave(now time.Duration) Actions {
	a := m.begin(now)
	m.self.State = view.HostLeaving
	m.urgent = true
	for _, peer := range m.roster.Sample(leaveLocalPeers, leaveRemotePeers) {
		m.send(now, &a, peer, heartbeatOptions{hosts: true})
	}
	return m.end(now, a, false)
}

// ManifestBytes returns the manifest in force for peers, or nil.
func (m *Machine) ManifestBytes() []byte { return m.store.ManifestBytes() }

// DocumentBytes returns a document for peers, or nil.
func (m *Machine) DocumentBytes(hash string) []byte { return m.store.DocumentBytes(hash) }

// platformFailed counts a call to the platform that failed.
func (m *Machine) platformFailed(err error) {
	m.counts.PlatformFailures++
	m.fetch.platformUp = false
	m.store.CountRefusal(err)
}

// reason says why the host takes no requests, or zero.
func (m *Machine) reason() result.Code {
	switch {
	case m.self.State == view.HostLeaving:
		return result.Stopping
	case m.store.Bundle() == nil:
		return result.NotReady
	case m.sync.refreshing:
		return result.StaleBelief
	case !m.sync.done:
		return result.NotReady
	}
	return 0
}
