// Package catalog keeps what the platform's store says of the replicas.
//
// A [Catalog] is fed with whole listings and with single changes, each with its
// revision in the store. It never goes back: a change that is older than what is
// known of its key is ignored.
//
// A removed entry means that the replica left. Where the store took the entries
// of many replicas at once it may have lost them in an outage of its own: such
// entries are kept for [ReturnGrace], within which a live replica registers
// again.
package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// ReturnGrace is how long an entry that was lost with many others is kept.
const ReturnGrace = 2 * time.Second

// Entries that are lost at once, as a share of all, from which the store is
// taken to have lost them.
const (
	massLossDivisor = 4
	massLossLeast   = 3
)

// Entry is what the store holds under the ID of one replica.
type Entry struct {
	ID       string
	Revision uint64
	// Replica is nil if the entry was removed or cannot be read.
	Replica *routing.Replica
}

// record is what is known of one ID.
type record struct {
	revision uint64
	replica  *routing.Replica
	// lostUntil is set while a lost entry is kept.
	lostUntil time.Duration
}

// Catalog holds the replicas by ID. It is not safe for concurrent use.
type Catalog struct {
	records  map[string]*record
	revision uint64
	read     time.Duration
	known    bool
}

// New returns an empty catalog.
func New() *Catalog { return &Catalog{records: make(map[string]*record)} }

// Known reports whether a whole listing was read.
func (c *Catalog) Known() bool { return c.known }

// Revision returns the store's revision that the catalog follows.
func (c *Catalog) Revision() uint64 { return c.revision }

// Read returns the monotonic time of the last answer of the store.
func (c *Catalog) Read() time.Duration { return c.read }

// List replaces the catalog by a whole listing of the store at a revision. It
// reports whether the replicas changed. Entries that are not listed are removed.
func (c *Catalog) List(now time.Duration, revision uint64, entries []Entry) bool {
	if c.known && revision < c.revision {
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
	c.known = true
	return c.Apply(now, revision, entries)
}

// Apply takes the changes up to a revision. It reports whether the replicas
// changed.
func (c *Catalog) Apply(now time.Duration, revision uint64, entries []Entry) bool {
	c.revision = max(c.revision, revision)
	c.read = now
	before := c.present()
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
		if r.replica == nil || !same(r.replica, e.Replica) {
			r.replica = e.Replica
			changed = true
		}
	}
	return c.lose(now, lost, before) || changed
}

// lose removes the entries, or keeps them for a while if they are many.
func (c *Catalog) lose(now time.Duration, lost []*record, before int) bool {
	if len(lost) >= massLossLeast && len(lost)*massLossDivisor >= before {
		for _, r := range lost {
			r.lostUntil = now + ReturnGrace
		}
		return false
	}
	for _, r := range lost {
		r.replica = nil
	}
	return len(lost) > 0
}

// Tick removes lost entries whose time is up. It reports whether the replicas
// changed.
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

// Replicas returns the replicas in the order of their IDs.
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

func (c *Catalog) present() int {
	n := 0
	for _, r := range c.records {
		if r.replica != nil && r.lostUntil == 0 {
			n++
		}
	}
	return n
}

// same compares what requests depend on.
func same(a, b *routing.Replica) bool {
	return a.ID == b.ID && a.Born == b.Born && a.Service == b.Service && a.Address == b.Address &&
		a.DataCentre == b.DataCentre && a.Slots == b.Slots && a.Leaving == b.Leaving
}
