// Package roster tracks the membership of the fleet by gossip. It decides which
// hosts are considered alive, which of them receive heartbeats, which hosts watch
// the platform, and which hosts are the relays of an endpoint.
//
// A host starts from a few seed addresses, some of which may be stale. It learns
// of other hosts from their heartbeats, or from hints in the heartbeats of third
// hosts. Each record carries the time since its host's own last heartbeat,
// measured by monotonic clocks and summed over hops, and expires when nothing
// newer arrives. Membership is advisory: a host with wrong information wastes a
// message, and no guarantee to a caller depends on it.
//
// Invariants: a record is only replaced by one with a later heartbeat; an
// incarnation that is leaving stays leaving; an incarnation that was replaced is
// accepted again only from its own heartbeat. The numbers of hosts, heartbeats
// and hints are bounded, so that the cost per host does not grow with the fleet.
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
	// LivenessTimeout is how long a host is considered alive after its last
	// heartbeat.
	LivenessTimeout = 90 * time.Second
	// ForgetAfter is how long a silent host that is not a seed is still probed. It
	// is longer than the longest expected partition between two regions.
	ForgetAfter = 3 * time.Hour
	// MaxHosts bounds the number of known hosts.
	MaxHosts = 4096
	// neverUnreachable is the initial value of unreachableAt. It is earlier than any
	// accepted heartbeat, including those that were sent before this process started.
	neverUnreachable = -LivenessTimeout
	// changeTransmissions is the number of heartbeats that report a changed host
	// with priority over unchanged ones.
	changeTransmissions = 6
)

// Roster holds what one host knows of the others. It isn't safe for concurrent
// use.
type Roster struct {
	self       view.Incarnation
	dataCentre string
	rng        *rand.Rand
	hosts      map[string]*member
	// dirty is set when the lists below are out of date.
	dirty   bool
	version uint64
	// local and remote are the live hosts of this data centre and of the others;
	// silent are the hosts that are not alive.
	local  []*member
	remote []*member
	silent []*member
}

// member holds what is known of one host.
type member struct {
	host view.Host
	// heartbeatAt is the time of the host's latest known heartbeat, by this host's
	// clock. It is valid if hasHeartbeat is set.
	heartbeatAt time.Duration
	// aliveUntil is when the host ceases to be considered alive.
	aliveUntil time.Duration
	// unreachableAt is the time of the last failure to connect to the host; only a
	// later heartbeat makes the host alive again.
	unreachableAt time.Duration
	// updatedAt is when this record was created or last updated.
	updatedAt    time.Duration
	hasHeartbeat bool
	seed         bool
	alive        bool
	// pendingTransmissions is the number of heartbeats that are still to report the
	// last change with priority.
	pendingTransmissions int
	// replacedStart is the Start of the previous incarnation, zero if there is
	// none. Hints about it are ignored until replacedUntil.
	replacedStart uint64
	replacedUntil time.Duration
}

// New returns an empty roster for the host self.
func New(self view.Incarnation, dataCentre string, rng *rand.Rand) *Roster {
	return &Roster{self: self, dataCentre: dataCentre, rng: rng, hosts: make(map[string]*member)}
}

// AddSeeds adds seed addresses from the host's settings. Seeds are probed, and
// considered alive only after a heartbeat.
func (r *Roster) AddSeeds(now time.Duration, addresses []string) {
	for _, address := range addresses {
		if m := r.findOrAdd(now, address); m != nil {
			m.seed = true
		}
	}
}

// RecordHeartbeat updates the record of the host that sent a heartbeat.
func (r *Roster) RecordHeartbeat(now time.Duration, h *peerwire.Heartbeat) {
	m := r.findOrAdd(now, h.From.Address)
	if m == nil || h.From.Start == 0 {
		return
	}
	reported := view.Host{Incarnation: h.From, DataCentre: h.DataCentre, State: h.State, Revision: h.Revision}
	if m.replacedStart == h.From.Start {
		m.replacedStart = 0
	}
	r.updateMember(m, now, now, reported)
}

// RecordHints updates the records of other hosts from the hints in a heartbeat.
func (r *Roster) RecordHints(now time.Duration, hints []peerwire.HostHint) {
	for i := range hints {
		r.recordHint(now, &hints[i])
	}
}

func (r *Roster) recordHint(now time.Duration, h *peerwire.HostHint) {
	if h.Age < 0 || h.Age >= LivenessTimeout || h.Incarnation.Start == 0 {
		return
	}
	heartbeatAt := now - h.Age
	m := r.findOrAdd(now, h.Incarnation.Address)
	if m == nil || (m.hasHeartbeat && heartbeatAt <= m.heartbeatAt) {
		return
	}
	if m.replacedStart == h.Incarnation.Start && now < m.replacedUntil {
		return
	}
	reported := view.Host{Incarnation: h.Incarnation, DataCentre: h.DataCentre, State: h.State, Revision: h.Revision}
	r.updateMember(m, now, heartbeatAt, reported)
}

// updateMember replaces the record of a host by newer information.
func (r *Roster) updateMember(m *member, now, heartbeatAt time.Duration, reported view.Host) {
	replaced := m.hasHeartbeat && m.host.Incarnation.Start != reported.Incarnation.Start
	if replaced {
		m.replacedStart = m.host.Incarnation.Start
		m.replacedUntil = now + LivenessTimeout
	}
	if !replaced && m.host.State == view.HostLeaving {
		reported.State = view.HostLeaving
	}
	if !replaced {
		reported.Revision = max(reported.Revision, m.host.Revision)
	}
	m.heartbeatAt = heartbeatAt
	if heartbeatAt > m.unreachableAt {
		m.aliveUntil = max(m.aliveUntil, heartbeatAt+LivenessTimeout)
	}
	if (!m.alive && now < m.aliveUntil) || replaced || reported.State != m.host.State || reported.DataCentre != m.host.DataCentre {
		m.pendingTransmissions = changeTransmissions
		r.dirty = true
	}
	m.host = reported
	m.updatedAt = now
	m.hasHeartbeat = true
}

// findOrAdd returns the record of an address, and adds one if there are fewer than
// MaxHosts. It returns nil for an address that isn't a known peer and can't be
// added.
func (r *Roster) findOrAdd(now time.Duration, address string) *member {
	if address == "" || address == r.self.Address {
		return nil
	}
	if m, ok := r.hosts[address]; ok {
		return m
	}
	if len(r.hosts) >= MaxHosts {
		return nil
	}
	m := &member{host: view.Host{Incarnation: view.Incarnation{Address: address}}, updatedAt: now, unreachableAt: neverUnreachable}
	r.hosts[address] = m
	r.dirty = true
	return m
}

// ExtendAfterPause extends the liveness of the hosts that were alive before a pause
// of this process, so that it doesn't consider all others dead afterwards. It is
// called once per detected pause. The ages in hints are not affected.
func (r *Roster) ExtendAfterPause(now time.Duration) {
	for _, m := range r.hosts {
		if m.alive {
			m.aliveUntil = max(m.aliveUntil, now+LivenessTimeout)
		}
	}
}

// MarkUnreachable records that a connection to a host could not be opened. The host
// isn't considered alive until a later heartbeat. Other hosts aren't told: each
// decides from its own connections.
func (r *Roster) MarkUnreachable(now time.Duration, address string) {
	m := r.hosts[address]
	if m == nil || !m.alive {
		return
	}
	m.unreachableAt = now
	m.aliveUntil = now
	r.dirty = true
}

// Tick expires the liveness of silent hosts and forgets hosts that were silent for
// long.
func (r *Roster) Tick(now time.Duration) {
	for address, m := range r.hosts {
		alive := m.hasHeartbeat && now < m.aliveUntil
		if alive != m.alive {
			m.alive = alive
			r.dirty = true
		}
		if !alive && !m.seed && now-m.updatedAt >= ForgetAfter {
			delete(r.hosts, address)
			r.dirty = true
		}
	}
	if r.dirty {
		r.rebuildLists(now)
	}
}

// rebuildLists divides the hosts into the lists local, remote and silent.
func (r *Roster) rebuildLists(now time.Duration) {
	r.dirty = false
	r.version++
	r.local, r.remote, r.silent = r.local[:0], r.remote[:0], r.silent[:0]
	for _, m := range r.sortedMembers() {
		m.alive = m.hasHeartbeat && now < m.aliveUntil
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

// sortedMembers returns all records, sorted by address.
func (r *Roster) sortedMembers() []*member {
	all := make([]*member, 0, len(r.hosts))
	for _, m := range r.hosts {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *member) int {
		return cmp.Compare(a.host.Incarnation.Address, b.host.Incarnation.Address)
	})
	return all
}

// Version returns a number that changes whenever the set of live hosts, or the
// incarnation, data centre or state of one of them, may have changed. A change of
// a host's revision doesn't change it.
func (r *Roster) Version() uint64 { return r.version }

// KnownCount returns the number of known hosts, excluding this one.
func (r *Roster) KnownCount() int { return len(r.hosts) }

// LiveHosts returns a new slice of the live hosts, excluding this one, sorted by
// address.
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
	// Alive reports whether the host is considered alive.
	Alive bool
	// Seed reports whether this host's settings name it as a seed.
	Seed bool
	// HasHeartbeat reports whether any heartbeat of the host is known, directly or by
	// a hint. Age is the time since the latest one.
	HasHeartbeat bool
	Age          time.Duration
}

// HostStatuses describes all known hosts, excluding this one, sorted by address.
func (r *Roster) HostStatuses(now time.Duration) []HostStatus {
	all := r.sortedMembers()
	out := make([]HostStatus, 0, len(all))
	for _, m := range all {
		out = append(out, HostStatus{Host: m.host, Alive: m.alive, Seed: m.seed, HasHeartbeat: m.hasHeartbeat, Age: now - m.heartbeatAt})
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
