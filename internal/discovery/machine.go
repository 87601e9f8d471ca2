package discovery

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/catalog"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// Timing of the machine. Times are of the clock that counts suspension, so that
// a host that was suspended knows that its beliefs are old.
const (
	// TickInterval is the longest time between two steps.
	TickInterval = 100 * time.Millisecond
	// readWait is how long a read of changes waits in the store for one.
	readWait = 700 * time.Millisecond
	// readPause is the time between two reads of the first host, in which changes
	// gather.
	readPause = 120 * time.Millisecond
	// staleAfter is the age of what a host knows from which it reads itself,
	// later by staleStep for each of staleSteps hosts before it in the order. The
	// hosts beyond spread over staleSpread.
	staleAfter  = 950 * time.Millisecond
	staleStep   = 40 * time.Millisecond
	staleSteps  = 12
	staleSpread = 400 * time.Millisecond
	// minReadRetry and maxReadRetry bound the time between reads that fail; hosts
	// beyond the first readRetryFirst wait longest.
	minReadRetry   = 300 * time.Millisecond
	maxReadRetry   = 2500 * time.Millisecond
	readRetryFirst = 2
	// A new host waits for its peers before it reads the store: a seed, which the
	// others ask, up to seedWait, another one from startWait to twice as long.
	seedWait  = 100 * time.Millisecond
	startWait = 500 * time.Millisecond
	// helloInterval is the time between heartbeats, each to helloFanout hosts and
	// to one seed.
	helloInterval = 500 * time.Millisecond
	helloFanout   = 2
	// fetchRetry is the time after a failed fetch from a peer.
	fetchRetry = 200 * time.Millisecond
)

// Read is an order to read the store.
type Read struct {
	// After is the revision whose changes are read; zero reads everything.
	After uint64
	// Wait is how long the store may wait for a change.
	Wait time.Duration
}

// ReadResult is the outcome of a Read.
type ReadResult struct {
	Read     Read
	Started  time.Duration
	Config   *routing.Config
	Entries  []catalog.Entry
	Revision uint64
	Err      error
}

// Outgoing is a heartbeat to a host.
type Outgoing struct {
	To    string
	Hello Hello
}

// Actions are the outputs of one step.
type Actions struct {
	Read *Read
	// Fetch is the host to ask for its state, and Request what to ask.
	Fetch   string
	Request StateRequest
	Send    []Outgoing
	// View is set when what is known changed.
	View *routing.View
	// Hosts is the number of hosts that share limits.
	Hosts int
	// Peers are the other hosts, set when they change.
	Peers []split.Peer
	// Changed is for the log.
	Changed []Change
}

// ChangeKind tells what a Change is about.
type ChangeKind string

// The kinds of changes.
const (
	ChangeConfig     ChangeKind = "configuration in force"
	ChangeReplicas   ChangeKind = "replicas changed"
	ChangeStoreLost  ChangeKind = "store lost"
	ChangeStoreBack  ChangeKind = "store regained"
	ChangeFleet      ChangeKind = "fleet size changed"
	ChangeFetchError ChangeKind = "fetch from peer failed"
)

// Change is a change of what the host believes.
type Change struct {
	Kind ChangeKind
	// Source is "store" or a peer's address.
	Source   string
	Version  uint64
	Revision uint64
	Replicas int
	Hosts    int
	Err      error
}

// Machine decides when a host reads the store or asks a peer, and what it
// believes. It is pure: events and times go in, actions come out.
//
// Invariants: the version of the configuration and the revision of the replicas
// in force never go back; at most one read and one fetch are under way.
type Machine struct {
	self     Member
	seeds    []string
	rng      *rand.Rand
	members  *members
	catalog  *catalog.Catalog
	config   *routing.Config
	digest   uint64
	reading  bool
	failures int
	// acting tells that this host reads the store for the others: it did so last,
	// and no host before it in the order does.
	acting   bool
	spread   time.Duration
	readAt   time.Duration
	fetching bool
	fetchAt  time.Duration
	helloAt  time.Duration
	leaving  bool
	hosts    int
	peers    []split.Peer
	out      Actions
}

// NewMachine returns a machine for a host; its Address is where peers reach it. Seeds
// are peer addresses that may be stale. It begins at a time of the clock.
func NewMachine(self Member, seeds []string, now time.Duration, rng *rand.Rand) *Machine {
	seed := slices.Contains(seeds, self.Address)
	m := &Machine{
		self:    self,
		rng:     rng,
		members: newMembers(self.Address),
		catalog: catalog.New(),
		hosts:   1,
	}
	m.SetSeeds(seeds)
	m.spread = time.Duration(rng.Int64N(int64(staleSpread)))
	switch {
	case len(m.seeds) == 0:
		m.readAt = now
	case seed:
		m.readAt = now + time.Duration(rng.Int64N(int64(seedWait)))
	default:
		m.readAt = now + startWait + time.Duration(rng.Int64N(int64(startWait)))
	}
	return m
}

// SetSeeds replaces the seeds.
func (m *Machine) SetSeeds(seeds []string) {
	m.seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == m.self.Address })
}

// Tick handles the passing of time.
func (m *Machine) Tick(now time.Duration) Actions {
	m.members.tick(now)
	m.resize()
	if peers := m.members.peers(); !slices.Equal(peers, m.peers) {
		m.peers = peers
		m.out.Peers = peers
	}
	if m.catalog.Tick(now) {
		m.publish(now, "expiry")
	}
	m.readDue(now)
	m.helloDue(now)
	return m.take()
}

// Leave announces that the host is stopping.
func (m *Machine) Leave(now time.Duration) Actions {
	m.leaving = true
	m.sendTo(now, m.members.addresses())
	return m.take()
}

// Hello handles a heartbeat.
func (m *Machine) Hello(now time.Duration, h Hello) Actions {
	if h.Format != FormatVersion || h.From == m.self.Address {
		return m.take()
	}
	unknown := m.members.hosts[h.From] == nil
	if h.Leaving {
		m.members.left(h.From)
	} else {
		m.members.heard(Member{Address: h.From, Start: h.Start, DataCentre: h.DataCentre, Processor: h.Processor}, now)
	}
	for _, x := range h.Members {
		m.members.heard(x, now-x.Age)
	}
	switch {
	case unknown && !h.Leaving:
		m.sendTo(now, []string{h.From})
	case h.Ask:
		m.send(m.hello(now), []string{h.From})
	}
	if h.Reading && m.members.precedes(h.From) {
		m.acting = false
	}
	m.compare(now, &h)
	m.readDue(now)
	return m.take()
}

func (m *Machine) version() uint64 {
	if m.config == nil {
		return 0
	}
	return m.config.Version
}

// age returns the time since the store confirmed what is known.
func (m *Machine) age(now time.Duration) time.Duration { return now - m.catalog.Read() }

func (m *Machine) takeConfig(c *routing.Config, source string) bool {
	if c == nil || c.Version <= m.version() {
		return false
	}
	m.config = c
	m.changed(Change{Kind: ChangeConfig, Source: source, Version: c.Version})
	return true
}

// resize follows the number of hosts.
func (m *Machine) resize() {
	if m.members.size == m.hosts {
		return
	}
	m.hosts = m.members.size
	m.out.Hosts = m.hosts
	m.changed(Change{Kind: ChangeFleet, Hosts: m.hosts})
}

// publish hands out a view once both halves are known.
func (m *Machine) publish(now time.Duration, source string) {
	m.digest = m.catalog.Digest()
	if m.config == nil || !m.catalog.Known() {
		return
	}
	replicas := m.catalog.Replicas()
	m.out.View = routing.NewView(m.config, replicas, m.catalog.Read())
	m.changed(Change{Kind: ChangeReplicas, Source: source, Revision: m.catalog.Revision(), Replicas: len(replicas)})
}

func (m *Machine) changed(c Change) { m.out.Changed = append(m.out.Changed, c) }

func (m *Machine) take() Actions {
	out := m.out
	m.out = Actions{}
	return out
}
