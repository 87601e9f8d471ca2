package catalog

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/storepos"
)

// Bounds of the records of removed replicas. A host that lags behind them is sent a
// listing.
const (
	// removedRetention is how long the record of a removed replica is kept.
	removedRetention = 10 * time.Minute
	// maxRemoved is the largest number of such records.
	maxRemoved = 4096
)

// Entries returns the entries for another host, sorted by ID: all replicas if
// since is zero, else all changes after that revision of the epoch, including removals.
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

// KnowsChangesSince reports whether the catalog has every removal after a position, so
// that a host at that position can be sent changes.
func (c *Catalog) KnowsChangesSince(position storepos.Position) bool {
	return c.ResumeRevision() > 0 && position.Epoch == c.position.Epoch && position.Revision >= c.historyStart
}

// toEntry returns the entry that is sent to another host.
func (r *record) toEntry(now time.Duration, id string) Entry {
	e := Entry{ID: id, Revision: r.revision, Replica: r.replica, HeldRemaining: r.removal.Remaining(now), HeldLeaving: r.leaving.Active()}
	if r.replica != nil {
		e.ColdRemaining = max(r.replica.ColdUntil-now, 0)
	}
	if r.lostUntil > 0 {
		e.LostRemaining, e.Missing = max(r.lostUntil-now, 1), r.missing
	}
	return e
}

// Digest returns a hash of the replicas as they are in the store, by which hosts
// compare their state.
func (c *Catalog) Digest() uint64 {
	if c.digestValid {
		return c.digest
	}
	h := fnv.New64a()
	for _, r := range c.stored() {
		fmt.Fprintf(h, "%s|%d|%s|%s|%s|%d|%t\n", r.ID, r.Born, r.Service, r.Address, r.DataCentre, r.Slots, r.Leaving)
	}
	c.digest, c.digestValid = h.Sum64(), true
	return c.digest
}

// stored returns the replicas that are in the store, sorted by ID.
func (c *Catalog) stored() []*routing.Replica {
	out := make([]*routing.Replica, 0, len(c.records))
	for _, r := range c.records {
		if r.replica != nil && r.lostUntil == 0 {
			out = append(out, r.replica)
		}
	}
	sortByID(out)
	return out
}

// Confirm notes that the store held the same replicas at the given position and
// time. If the position is later than the known one, changes can be read after it,
// so that a listing is no longer needed. A position of another epoch confirms nothing.
func (c *Catalog) Confirm(position storepos.Position, confirmedAt time.Duration) {
	if position.Epoch != c.position.Epoch {
		return
	}
	if c.position.Before(position) {
		c.needsListing = false
		c.position = position
	}
	c.confirmedAt = max(c.confirmedAt, confirmedAt)
}

// pruneRemoved drops the records of replicas that were removed before removedRetention,
// and the oldest ones over maxRemoved.
func (c *Catalog) pruneRemoved(now time.Duration) {
	count := 0
	for id, r := range c.records {
		switch {
		case r.replica != nil:
		case now-r.removedAt > removedRetention:
			c.dropRecord(id)
		default:
			count++
		}
	}
	if count > maxRemoved {
		c.dropOldest(count - maxRemoved)
	}
}

// dropOldest drops the n oldest records of removed replicas.
func (c *Catalog) dropOldest(n int) {
	var removed []string
	for id, r := range c.records {
		if r.replica == nil {
			removed = append(removed, id)
		}
	}
	slices.SortFunc(removed, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.records[a].revision, c.records[b].revision), cmp.Compare(a, b))
	})
	for _, id := range removed[:n] {
		c.dropRecord(id)
	}
}

// dropRecord forgets a removed replica.
func (c *Catalog) dropRecord(id string) {
	c.historyStart = max(c.historyStart, c.records[id].revision)
	if c.records[id].changedAtEntry || c.records[id].revision > c.enteredAt {
		c.previous = storepos.Position{}
	}
	delete(c.records, id)
}
