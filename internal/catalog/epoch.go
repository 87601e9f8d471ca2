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

// beginEpoch takes over the epoch of a listing.
func (c *Catalog) beginEpoch(f Confirmation) {
	c.position, c.confirmedAt = f.Position, f.At
	c.historyStart, c.epochSince = f.Position.Revision, f.EpochSince
	c.digestValid = false
}

// Previous returns the position from which the catalog entered its epoch, so that a host at
// that position can be sent EntriesSinceEntry; zero if there is none.
func (c *Catalog) Previous() storepos.Position { return c.previous }

// EntriesSinceEntry returns the entries, sorted by ID, of all that differs from the state at
// the position Previous, including removals.
func (c *Catalog) EntriesSinceEntry(now time.Duration) []Entry {
	out := []Entry{}
	for id, r := range c.records {
		if r.changedAtEntry || r.revision > c.enteredAt {
			out = append(out, r.toEntry(now, id))
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// ApplyPeerEntry enters a later epoch with the entries by which it differs from the catalog's
// content. It reports whether the replicas changed.
func (c *Catalog) ApplyPeerEntry(now time.Duration, f Confirmation, entries []Entry) bool {
	differs := latestByID(entries)
	var listing []Entry
	for _, e := range entries {
		if e.Replica != nil {
			listing = append(listing, e)
		}
	}
	for id, r := range c.records {
		if _, ok := differs[id]; !ok && r.replica != nil && r.lostUntil == 0 {
			listing = append(listing, Entry{ID: id, Revision: min(r.revision, f.Position.Revision), Replica: r.replica})
		}
	}
	return c.ApplyPeerListing(now, f, listing)
}

// enterEpoch prepares the records for a listing of a later epoch, which holds the content of
// an older copy and what was written since. It removes from listed what another host keeps
// beside the store's content. It reports whether the replicas changed.
func (c *Catalog) enterEpoch(now time.Duration, f Confirmation, listed map[string]Entry) bool {
	graceEnd := storepos.Grace(now, f.At-f.EpochSince, ReregistrationGrace)
	changed := false
	c.previous, c.enteredAt = c.position, f.Position.Revision
	for id, r := range c.records {
		e, ok := listed[id]
		r.changedAtEntry = !r.unchangedBy(e, ok)
		if ok && e.Replica != nil && e.LostRemaining == 0 {
			changed = r.takeOver(now, e, graceEnd) || changed
			continue
		}
		if e.LostRemaining > 0 {
			delete(listed, id)
		}
		changed = r.keepMissing(now, f.Position.Revision, graceEnd) || changed
	}
	c.beginEpoch(f)
	return changed
}

// unchangedBy reports whether the later epoch has the same write of the key as before, or
// lacks it as before.
func (r *record) unchangedBy(e Entry, listed bool) bool {
	if !listed {
		return r.replica == nil
	}
	held := r.removal.Active() || r.leaving.Active() || e.HeldRemaining > 0 || e.HeldLeaving
	return r.agrees(e) && e.Revision == r.revision && !held
}

// takeOver prepares the record for the entry that the later epoch has of it. A removal that
// the copy lacks is held until graceEnd, and a state of leaving until the next write. It
// reports whether the end of an earlier hold changes what is in force.
func (r *record) takeOver(now time.Duration, e Entry, graceEnd time.Duration) bool {
	superseded := r.supersedes(e)
	before := r.inForce()
	removed := before == nil && (r.knownRemoved || r.removal.Active())
	leaving := before != nil && before.Leaving
	r.revision = e.Revision
	r.removal, r.leaving = storepos.Hold{}, storepos.Hold{}
	switch {
	case !superseded:
	case removed && graceEnd > now:
		r.removal = storepos.NewHold(e.Revision, graceEnd)
	case leaving && !e.Replica.Leaving:
		r.leaving = storepos.NewHold(e.Revision, 0)
	}
	return !sameInForce(before, r.inForce())
}

// supersedes reports whether what is known of a replica is later than its entry in a later
// epoch. A state of a later start of the replica is never superseded, whatever its revision,
// nor is one that it has registered after the known one. The latter doesn't hold for a
// removed replica: its last state before the removal may have been one that was not fetched,
// since it repeated the one before.
func (r *record) supersedes(e Entry) bool {
	laterStart := r.sequence > 0 && e.Replica.Born > r.born
	laterState := r.sequence > 0 && r.inForce() != nil && r.compareDocument(e.Replica) < 0
	if laterStart || laterState {
		return false
	}
	held := r.removal.Active() || r.leaving.Active()
	return storepos.Superseded(r.revision, e.Revision) || held && e.Revision == r.revision
}

// keepMissing prepares the record of a replica that the later epoch lacks: it is used until
// end, unless it registers again, or was out of use. It reports whether the replica is no
// longer used.
func (r *record) keepMissing(now time.Duration, revision uint64, end time.Duration) bool {
	r.revision = revision
	switch {
	case r.replica == nil:
		return false
	case r.removal.Active():
		r.remove(now)
		return false
	case r.lostUntil > 0 && !r.missing: // lost before the restoration
		return false
	case end <= now:
		r.missing = false // the store was without it for the whole period
		r.remove(now)
		return true
	}
	r.lostUntil, r.missing = end, true
	if r.leaving.Active() {
		r.leaving = storepos.NewHold(revision, 0)
	}
	return false
}

// Settled reports whether no state is held against the store's content. While one is, an
// equal digest doesn't show that no write has ended it, since the write may repeat what the
// copy has.
func (c *Catalog) Settled() bool { return c.holds == 0 }

// HoldsDigest returns a hash of the replicas that are held as leaving, by which hosts compare
// them; zero if there are none.
func (c *Catalog) HoldsDigest() uint64 { return c.holdsDigest }

// countHolds counts the records with a hold and updates the digest.
func (c *Catalog) countHolds() {
	c.holds, c.holdsDigest = 0, 0
	for id, r := range c.records {
		if r.removal.Active() || r.leaving.Active() {
			c.holds++
		}
		if r.leaving.Active() {
			h := fnv.New64a()
			fmt.Fprintf(h, "%s|%d", id, r.revision)
			c.holdsDigest ^= h.Sum64()
		}
	}
}

// updateHolds ends the holds that an entry's write ends, and takes over those of the host
// that sent it.
func (r *record) updateHolds(now time.Duration, e Entry) {
	r.removal, r.leaving = r.removal.AfterWrite(e.Revision), r.leaving.AfterWrite(e.Revision)
	if e.HeldRemaining > 0 {
		r.removal = storepos.NewHold(e.Revision, now+min(e.HeldRemaining, ReregistrationGrace))
	}
	if e.HeldLeaving {
		r.leaving = storepos.NewHold(e.Revision, 0)
	}
}

// noteDocument notes a state that the replica has registered, if it is the latest.
func (r *record) noteDocument(p *routing.Replica) {
	if r.compareDocument(p) < 0 {
		r.born, r.sequence = p.Born, p.Sequence
	}
}

// compareDocument returns a negative number if a registered state is later than the latest
// known one, and a positive one if it is earlier.
func (r *record) compareDocument(p *routing.Replica) int {
	return cmp.Or(cmp.Compare(r.born, p.Born), cmp.Compare(r.sequence, p.Sequence))
}
