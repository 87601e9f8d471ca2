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
	"fmt"
	"hash/fnv"
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
	ID       string `msgpack:"i"`
	Revision uint64 `msgpack:"r"`
	// Replica is nil if the entry was removed or cannot be read.
	Replica *routing.Replica `msgpack:"p"`
	// LostFor is how much longer a lost entry is kept; zero for one that the
	// store holds.
	LostFor time.Duration `msgpack:"l"`
	// ColdFor is how much longer the replica is slow, where Replica comes from
	// another host, whose clock is another one.
	ColdFor time.Duration `msgpack:"c"`
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
	// broken tells that the changes since revision can't be read.
	broken bool
}

// New returns an empty catalog.
func New() *Catalog { return &Catalog{records: make(map[string]*record)} }

// Known reports whether a whole listing was read.
func (c *Catalog) Known() bool { return c.known }

// Follow returns the revision whose changes are to be read next, or zero if a
// whole listing is needed.
func (c *Catalog) Follow() uint64 {
	if c.broken || !c.known {
		return 0
	}
	return c.revision
}

// Reset asks for a whole listing, since changes were missed. What is known stays
// in use until it comes.
func (c *Catalog) Reset() { c.broken = true }

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
	c.broken = false
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
		if e.LostFor > 0 {
			r.lostUntil = now + e.LostFor
		}
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

// Entries returns what another host needs: all replicas if since is zero, else
// what changed after that revision, removals included.
func (c *Catalog) Entries(now time.Duration, since uint64) []Entry {
	out := make([]Entry, 0, len(c.records))
	for id, r := range c.records {
		if r.revision <= since || since == 0 && r.replica == nil {
			continue
		}
		out = append(out, r.entry(now, id))
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (r *record) entry(now time.Duration, id string) Entry {
	e := Entry{ID: id, Revision: r.revision, Replica: r.replica}
	if r.replica != nil {
		e.ColdFor = max(r.replica.ColdUntil-now, 0)
	}
	if r.lostUntil > 0 {
		e.LostFor = max(r.lostUntil-now, 1)
	}
	return e
}

// Digest identifies what the store holds, so that hosts can compare it.
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

// Fresh notes that the store still held the same at a later revision.
func (c *Catalog) Fresh(revision uint64, read time.Duration) {
	if revision > c.revision {
		c.broken = false
	}
	c.revision = max(c.revision, revision)
	c.read = max(c.read, read)
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
