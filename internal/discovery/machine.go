package discovery

import (
	"errors"
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
	self       string
	dataCentre string
	start      uint64
	seeds      []string
	rng        *rand.Rand
	members    *members
	catalog    *catalog.Catalog
	config     *routing.Config
	digest     uint64
	reading    bool
	failures   int
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

// NewMachine returns a machine for a host at a peer address in a data centre. Seeds are peer
// addresses that may be stale. It begins at a time of the clock.
func NewMachine(self, dataCentre string, start uint64, seeds []string, now time.Duration, rng *rand.Rand) *Machine {
	seed := slices.Contains(seeds, self)
	seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == self })
	m := &Machine{
		self:       self,
		dataCentre: dataCentre,
		start:      start,
		seeds:      seeds,
		rng:        rng,
		members:    newMembers(self),
		catalog:    catalog.New(),
		hosts:      1,
	}
	m.spread = time.Duration(rng.Int64N(int64(staleSpread)))
	switch {
	case len(seeds) == 0:
		m.readAt = now
	case seed:
		m.readAt = now + time.Duration(rng.Int64N(int64(seedWait)))
	default:
		m.readAt = now + startWait + time.Duration(rng.Int64N(int64(startWait)))
	}
	return m
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
	if h.Format != FormatVersion || h.From == m.self {
		return m.take()
	}
	unknown := m.members.hosts[h.From] == nil
	if h.Leaving {
		m.members.left(h.From)
	} else {
		m.members.heard(h.From, h.Start, h.DataCentre, now)
	}
	for _, x := range h.Members {
		m.members.heard(x.Address, x.Start, x.DataCentre, now-x.Age)
	}
	if unknown && !h.Leaving {
		m.sendTo(now, []string{h.From})
	}
	if h.Reading && m.members.precedes(h.From) {
		m.acting = false
	}
	m.compare(now, &h)
	m.readDue(now)
	return m.take()
}

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
	return s
}

// ReadDone handles the outcome of a read.
func (m *Machine) ReadDone(now time.Duration, r ReadResult) Actions {
	m.reading = false
	if r.Err != nil {
		m.readFailed(now, r.Err)
		return m.take()
	}
	if m.failures > 0 {
		m.changed(Change{Kind: ChangeStoreBack, Source: sourceStore})
	}
	m.failures = 0
	m.acting = true
	m.readAt = now + readPause
	changed := m.takeConfig(r.Config, sourceStore)
	if r.Read.After == 0 {
		changed = m.catalog.List(now, r.Revision, r.Entries) || changed
	} else {
		changed = m.catalog.Apply(now, r.Revision, r.Entries) || changed
	}
	if changed {
		m.publish(now, sourceStore)
	}
	m.sendTo(now, m.members.addresses())
	m.readDue(now)
	return m.take()
}

const sourceStore = "store"

func (m *Machine) readFailed(now time.Duration, err error) {
	if m.failures == 0 {
		m.changed(Change{Kind: ChangeStoreLost, Source: sourceStore, Err: err})
	}
	m.failures++
	m.acting = false
	if errors.Is(err, ErrHistoryGone) {
		m.catalog.Reset()
		m.readAt = now
		m.readDue(now)
		return
	}
	longest := maxReadRetry
	if m.members.rank() < readRetryFirst {
		longest = 2 * minReadRetry
	}
	wait := min(minReadRetry<<min(m.failures-1, 4), longest)
	m.readAt = now + wait/2 + time.Duration(m.rng.Int64N(int64(wait)))
}

// readDue orders a read if it is this host's turn.
func (m *Machine) readDue(now time.Duration) {
	if m.reading || now < m.readAt || now < m.turn() {
		return
	}
	m.reading = true
	read := &Read{After: m.catalog.Follow()}
	if read.After > 0 {
		read.Wait = readWait
	}
	m.out.Read = read
}

// turn returns when this host reads: at once if it is the one that does, else
// when what it knows is so old that those before it seem to fail.
func (m *Machine) turn() time.Duration {
	if !m.catalog.Known() || m.config == nil {
		return 0
	}
	if m.acting {
		return 0
	}
	wait := staleAfter + time.Duration(min(m.members.rank(), staleSteps))*staleStep
	if m.members.rank() > staleSteps {
		wait += m.spread
	}
	return m.catalog.Read() + wait
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
}

func (m *Machine) sendTo(now time.Duration, to []string) {
	if len(to) == 0 {
		return
	}
	h := Hello{
		Format:     FormatVersion,
		From:       m.self,
		Start:      m.start,
		DataCentre: m.dataCentre,
		Leaving:    m.leaving,
		Reading:    m.acting,
		Version:    m.version(),
		Revision:   m.catalog.Revision(),
		Digest:     m.digest,
		Age:        m.age(now),
		Members:    m.members.sample(now, m.rng),
	}
	for _, address := range to {
		m.out.Send = append(m.out.Send, Outgoing{To: address, Hello: h})
	}
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
