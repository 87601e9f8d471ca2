// Package catalog keeps the replicas that are registered in the platform's store.
//
// A [Catalog] is updated from full listings and from individual changes, each with
// its revision in the store. A change that is older than the known state of its key
// is ignored, so that no key returns to an older state.
//
// The removal of an entry normally means that the replica left. If the entries of
// many replicas disappear at once, the store may have lost them in an outage of
// its own. Such entries are kept for [ReregistrationGrace], within which a live
// replica registers again.
package catalog

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// ReregistrationGrace is how long an entry that disappeared together with many
// others is kept.
const ReregistrationGrace = 2 * time.Second

// A mass loss is the simultaneous removal of at least massLossMin entries that
// make up at least one massLossDivisor-th of all. It is attributed to the store,
// not to the replicas.
const (
	massLossDivisor = 4
	massLossMin     = 3
)

// Entry is the state of one replica's key in the store.
type Entry struct {
	ID       string `msgpack:"i"`
	Revision uint64 `msgpack:"r"`
	// Replica is nil if the entry was removed or cannot be decoded.
	Replica *routing.Replica `msgpack:"p"`
	// LostRemaining is how much longer an entry is kept after a mass loss; zero for
	// one that is in the store.
	LostRemaining time.Duration `msgpack:"l"`
	// ColdRemaining is how much longer the replica is slow after its start. It is set
	// in entries that come from another host, whose clock isn't comparable with this
	// one's.
	ColdRemaining time.Duration `msgpack:"c"`
}

// record holds what is known of one replica ID.
type record struct {
	revision uint64
	replica  *routing.Replica
	// lostUntil is when an entry that disappeared in a mass loss is removed; zero
	// for other entries.
	lostUntil time.Duration
}

// Catalog holds the replicas by ID. It is not safe for concurrent use.
type Catalog struct {
	records  map[string]*record
	revision uint64
	// confirmedAt is when the store last confirmed the content, or when a listing or
	// changes were last applied, if that is later.
	confirmedAt time.Duration
	loaded      bool
	// needsListing is set if the changes after revision can't be read.
	needsListing bool
}

// New returns an empty catalog.
func New() *Catalog { return &Catalog{records: make(map[string]*record)} }

// Loaded reports whether a full listing was applied.
func (c *Catalog) Loaded() bool { return c.loaded }

// ResumeRevision returns the revision after which changes are to be read next, or
// zero if a full listing is needed.
func (c *Catalog) ResumeRevision() uint64 {
	if c.needsListing || !c.loaded {
		return 0
	}
	return c.revision
}

// RequireListing notes that changes were missed, so that a full listing is needed.
// The known replicas stay in use until then.
func (c *Catalog) RequireListing() { c.needsListing = true }

// Revision returns the store revision that the catalog reflects.
func (c *Catalog) Revision() uint64 { return c.revision }

// ConfirmedAt returns the time at which the store last confirmed the content, or at
// which a listing or changes were last applied, if that is later. It is by the clock
// of the times that are passed to the other methods.
func (c *Catalog) ConfirmedAt() time.Duration { return c.confirmedAt }

// ApplyListing replaces the content by a full listing of the store at a revision.
// Entries that are not listed are removed. A listing that is older than the content
// is ignored. It reports whether the replicas changed.
func (c *Catalog) ApplyListing(now time.Duration, revision uint64, entries []Entry) bool {
	if c.loaded && revision < c.revision {
		return false
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	for id, r := range c.records {
		if !listed[id] && r.revision <= revision && r.replica != nil {
			entries = append(entries, Entry{ID: id, Revision: revision})
		}
	}
	c.loaded = true
	c.needsListing = false
	return c.ApplyChanges(now, revision, entries)
}

// ApplyChanges applies the changes up to a revision. It reports whether the
// replicas changed.
func (c *Catalog) ApplyChanges(now time.Duration, revision uint64, entries []Entry) bool {
	c.revision = max(c.revision, revision)
	c.confirmedAt = now
	countBefore := c.registeredCount()
	var lost []*record
	changed := false
	for _, e := range entries {
		r := c.records[e.ID]
		if r == nil {
			r = &record{}
			c.records[e.ID] = r
		}
		if e.Revision < r.revision {
			continue
		}
		r.revision = e.Revision
		if e.Replica == nil {
			if r.replica != nil && r.lostUntil == 0 {
				lost = append(lost, r)
			}
			continue
		}
		r.lostUntil = 0
		if e.LostRemaining > 0 {
			r.lostUntil = now + e.LostRemaining
		}
		if r.replica == nil || !equivalent(r.replica, e.Replica) {
			r.replica = e.Replica
			changed = true
		}
	}
	return c.removeLost(now, lost, countBefore) || changed
}

// removeLost removes entries that disappeared from the store. It keeps them for
// ReregistrationGrace if they are a mass loss among the countBefore entries that the
// store had before. It reports whether the replicas changed.
func (c *Catalog) removeLost(now time.Duration, lost []*record, countBefore int) bool {
	if len(lost) >= massLossMin && len(lost)*massLossDivisor >= countBefore {
		for _, r := range lost {
			r.lostUntil = now + ReregistrationGrace
		}
		return false
	}
	for _, r := range lost {
		r.replica = nil
	}
	return len(lost) > 0
}

// Tick removes the entries of a mass loss whose grace period is over. It reports
// whether the replicas changed.
func (c *Catalog) Tick(now time.Duration) bool {
	changed := false
	for _, r := range c.records {
		if r.lostUntil > 0 && now >= r.lostUntil {
			r.lostUntil = 0
			r.replica = nil
			changed = true
		}
	}
	return changed
}

// Replicas returns the replicas, sorted by ID.
func (c *Catalog) Replicas() []*routing.Replica {
	out := make([]*routing.Replica, 0, len(c.records))
	for _, r := range c.records {
		if r.replica != nil {
			out = append(out, r.replica)
		}
	}
	slices.SortFunc(out, func(a, b *routing.Replica) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Entries returns the entries for another host, sorted by ID: all replicas if
// since is zero, else all changes after that revision, including removals.
func (c *Catalog) Entries(now time.Duration, since uint64) []Entry {
	out := make([]Entry, 0, len(c.records))
	for id, r := range c.records {
		if r.revision <= since || since == 0 && r.replica == nil {
			continue
		}
		out = append(out, r.toEntry(now, id))
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// toEntry returns the entry that is sent to another host.
func (r *record) toEntry(now time.Duration, id string) Entry {
	e := Entry{ID: id, Revision: r.revision, Replica: r.replica}
	if r.replica != nil {
		e.ColdRemaining = max(r.replica.ColdUntil-now, 0)
	}
	if r.lostUntil > 0 {
		e.LostRemaining = max(r.lostUntil-now, 1)
	}
	return e
}

// Digest returns a hash of the replicas that are in the store, by which hosts
// compare their state.
func (c *Catalog) Digest() uint64 {
	h := fnv.New64a()
	for _, r := range c.Replicas() {
		if c.records[r.ID].lostUntil > 0 {
			continue
		}
		fmt.Fprintf(h, "%s|%d|%s|%s|%s|%d|%t\n", r.ID, r.Born, r.Service, r.Address, r.DataCentre, r.Slots, r.Leaving)
	}
	return h.Sum64()
}

// Confirm notes that the store held the same replicas at the given revision and
// time. If the revision is later than the known one, changes can be read after it,
// so that a listing is no longer needed.
func (c *Catalog) Confirm(revision uint64, confirmedAt time.Duration) {
	if revision > c.revision {
		c.needsListing = false
	}
	c.revision = max(c.revision, revision)
	c.confirmedAt = max(c.confirmedAt, confirmedAt)
}

// registeredCount returns the number of replicas, without those of a mass loss.
func (c *Catalog) registeredCount() int {
	n := 0
	for _, r := range c.records {
		if r.replica != nil && r.lostUntil == 0 {
			n++
		}
	}
	return n
}

// equivalent reports whether two replicas agree in all fields but ColdUntil, so that
// a change of any other field that requests depend on counts as a change.
func equivalent(a, b *routing.Replica) bool {
	return a.ID == b.ID && a.Born == b.Born && a.Service == b.Service && a.Address == b.Address &&
		a.DataCentre == b.DataCentre && a.Slots == b.Slots && a.Leaving == b.Leaving
}
