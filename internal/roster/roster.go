// Package roster decides which hosts are believed to be alive, which of them a
// host sends heartbeats to, which hosts watch the platform, and which hosts are
// the relays of an endpoint.
//
// A host begins with a few seeds, some of which may be stale; the others it knows
// from heartbeats, directly or through others. Each belief carries the time since the host itself was heard, measured by monotonic clocks and
// added up over hops, and ends when nothing newer arrives. All of it is a hint:
// a host that is wrong about another wastes a message, and no promise to a
// caller rests on it.
//
// Invariants: a belief is only replaced by one that was heard later; an
// incarnation that is leaving stays leaving; an incarnation that was replaced
// comes back only by its own word. The number of hosts, of heartbeats and of
// hints is bounded, so that the cost of a host does not grow with the fleet.
package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	// SuspectAfter is how long a host is believed alive after it was heard.
	SuspectAfter = 90 * time.Second
	// ForgetAfter is how long a silent host that is no seed is still probed. It is
	// longer than two regions are expected to be cut off from each other.
	ForgetAfter = 3 * time.Hour
	// MaxHosts bounds the known hosts.
	MaxHosts = 4096
	// neverFailed is before any time at which a host can have been heard, which
	// may be before this process started.
	neverFailed = -SuspectAfter
	// changeTransmissions is how often a change of a host is passed on before
	// other hosts' news.
	changeTransmissions = 6
)

// Roster is what one host knows of the others. It isn't safe for concurrent use.
type Roster struct {
	self       view.Incarnation
	dataCentre string
	rng        *rand.Rand
	hosts      map[string]*member
	dirty      bool
	version    uint64
	local      []*member
	remote     []*member
	silent     []*member
}

// member is what is known of one host.
type member struct {
	host view.Host
	// heard is when the host itself was last heard, on this host's clock.
	heard time.Duration
	// until is when the belief that it is alive ends.
	until time.Duration
	// failed is when the host could last not be reached; only later word of it
	// counts.
	failed time.Duration
	// seen is when the host was last heard of.
	seen         time.Duration
	everHeard    bool
	seed         bool
	alive        bool
	passOn       int
	retired      uint64
	retiredUntil time.Duration
}

// New returns an empty roster of the host self.
func New(self view.Incarnation, dataCentre string, rng *rand.Rand) *Roster {
	return &Roster{self: self, dataCentre: dataCentre, rng: rng, hosts: make(map[string]*member)}
}

// AddSeeds adds addresses from the host's settings. They are probed, and believed
// alive only once they were heard.
func (r *Roster) AddSeeds(now time.Duration, addresses []string) {
	for _, address := range addresses {
		if m := r.member(now, address); m != nil {
			m.seed = true
		}
	}
}

// RecordHeartbeat takes what a host says of itself in a heartbeat.
func (r *Roster) RecordHeartbeat(now time.Duration, h *peerwire.Heartbeat) {
	m := r.member(now, h.From.Address)
	if m == nil || h.From.Start == 0 {
		return
	}
	said := view.Host{Incarnation: h.From, DataCentre: h.DataCentre, State: h.State, Revision: h.Revision}
	if m.retired == h.From.Start {
		m.retired = 0
	}
	r.take(m, now, now, said)
}

// RecordHints takes hints about other hosts.
func (r *Roster) RecordHints(now time.Duration, hints []peerwire.HostHint) {
	for i := range hints {
		r.learn(now, &hints[i])
	}
}

func (r *Roster) learn(now time.Duration, h *peerwire.HostHint) {
	if h.Age < 0 || h.Age >= SuspectAfter || h.Incarnation.Start == 0 {
		return
	}
	heard := now - h.Age
	m := r.member(now, h.Incarnation.Address)
	if m == nil || (m.everHeard && heard <= m.heard) {
		return
	}
	if m.retired == h.Incarnation.Start && now < m.retiredUntil {
		return
	}
	said := view.Host{Incarnation: h.Incarnation, DataCentre: h.DataCentre, State: h.State, Revision: h.Revision}
	r.take(m, now, heard, said)
}

// take replaces the belief about a host by a newer one.
func (r *Roster) take(m *member, now, heard time.Duration, said view.Host) {
	replaced := m.everHeard && m.host.Incarnation.Start != said.Incarnation.Start
	if replaced {
		m.retired = m.host.Incarnation.Start
		m.retiredUntil = now + SuspectAfter
	}
	if !replaced && m.host.State == view.HostLeaving {
		said.State = view.HostLeaving
	}
	if !replaced {
		said.Revision = max(said.Revision, m.host.Revision)
	}
	m.heard = heard
	if heard > m.failed {
		m.until = max(m.until, heard+SuspectAfter)
	}
	if (!m.alive && now < m.until) || replaced || said.State != m.host.State || said.DataCentre != m.host.DataCentre {
		m.passOn = changeTransmissions
		r.dirty = true
	}
	m.host = said
	m.seen = now
	m.everHeard = true
}

// member returns the entry of an address, and makes it if there is room.
func (r *Roster) member(now time.Duration, address string) *member {
	if address == "" || address == r.self.Address {
		return nil
	}
	if m, ok := r.hosts[address]; ok {
		return m
	}
	if len(r.hosts) >= MaxHosts {
		return nil
	}
	m := &member{host: view.Host{Incarnation: view.Incarnation{Address: address}}, seen: now, failed: neverFailed}
	r.hosts[address] = m
	r.dirty = true
	return m
}

// ExtendAfterPause extends the beliefs of before a pause, so that a host that slept does
// not take all others for dead. It is called once when a pause was noticed; the
// ages that are passed on stay true.
func (r *Roster) ExtendAfterPause(now time.Duration) {
	for _, m := range r.hosts {
		if m.alive {
			m.until = max(m.until, now+SuspectAfter)
		}
	}
}

// MarkUnreachable notes that a connection to a host could not be opened. It isn't
// believed alive until it was heard after that; others judge for themselves.
func (r *Roster) MarkUnreachable(now time.Duration, address string) {
	m := r.hosts[address]
	if m == nil || !m.alive {
		return
	}
	m.failed = now
	m.until = now
	r.dirty = true
}

// Tick ends beliefs that are too old and forgets hosts.
func (r *Roster) Tick(now time.Duration) {
	for address, m := range r.hosts {
		alive := m.everHeard && now < m.until
		if alive != m.alive {
			m.alive = alive
			r.dirty = true
		}
		if !alive && !m.seed && now-m.seen >= ForgetAfter {
			delete(r.hosts, address)
			r.dirty = true
		}
	}
	if r.dirty {
		r.rebuild(now)
	}
}

// rebuild sorts the hosts into the lists that are sampled from.
func (r *Roster) rebuild(now time.Duration) {
	r.dirty = false
	r.version++
	r.local, r.remote, r.silent = r.local[:0], r.remote[:0], r.silent[:0]
	for _, m := range r.sorted() {
		m.alive = m.everHeard && now < m.until
		switch {
		case !m.alive:
			r.silent = append(r.silent, m)
		case m.host.DataCentre == r.dataCentre:
			r.local = append(r.local, m)
		default:
			r.remote = append(r.remote, m)
		}
	}
}

func (r *Roster) sorted() []*member {
	all := make([]*member, 0, len(r.hosts))
	for _, m := range r.hosts {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *member) int {
		return cmp.Compare(a.host.Incarnation.Address, b.host.Incarnation.Address)
	})
	return all
}

// Version changes whenever an address, incarnation, data centre or state of the
// live hosts may have changed. Revisions don't change it.
func (r *Roster) Version() uint64 { return r.version }

// KnownCount returns the number of known hosts without this one.
func (r *Roster) KnownCount() int { return len(r.hosts) }

// LiveHosts returns the hosts believed alive without this one, sorted by address. The
// slice is new.
func (r *Roster) LiveHosts() []view.Host {
	out := make([]view.Host, 0, len(r.local)+len(r.remote))
	for _, m := range r.local {
		out = append(out, m.host)
	}
	for _, m := range r.remote {
		out = append(out, m.host)
	}
	slices.SortFunc(out, func(a, b view.Host) int {
		return cmp.Compare(a.Incarnation.Address, b.Incarnation.Address)
	})
	return out
}

// HostStatus describes one known host for operators.
type HostStatus struct {
	Host view.Host
	// Alive tells whether the host is believed alive.
	Alive bool
	// Seed tells whether the host's settings name it.
	Seed bool
	// Heard tells whether it was ever heard, and Age how long ago.
	Heard bool
	Age   time.Duration
}

// HostStatuses returns all known hosts without this one, sorted by address.
func (r *Roster) HostStatuses(now time.Duration) []HostStatus {
	all := r.sorted()
	out := make([]HostStatus, 0, len(all))
	for _, m := range all {
		out = append(out, HostStatus{Host: m.host, Alive: m.alive, Seed: m.seed, Heard: m.everHeard, Age: now - m.heard})
	}
	return out
}

// HighestRevision returns the highest revision that a live host has in force.
func (r *Roster) HighestRevision() config.Revision {
	var highest config.Revision
	for _, m := range r.local {
		highest = max(highest, m.host.Revision)
	}
	for _, m := range r.remote {
		highest = max(highest, m.host.Revision)
	}
	return highest
}
