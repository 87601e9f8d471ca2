// Package catalog keeps the replicas that are registered in the platform's store.
//
// A [Catalog] is updated from full listings and from individual changes, each with
// its revision in the store. A change that is older than the known state of its key
// is ignored, so that no key returns to an older state. A listing of a later epoch, which
// a store has that was restored from an older copy, replaces the content whatever its
// revision; see [storepos.Hold] for what the copy doesn't undo.
//
// Invariant: the content reflects every change up to the catalog's position. Hosts
// verify it by the [Catalog.Digest] of a peer at the same position.
//
// The removal of an entry normally means that the replica left. If the entries of
// many replicas disappear at once, the store may have lost them in an outage of
// its own. Such entries are kept for [ReregistrationGrace], within which a live
// replica registers again.
package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/storepos"
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
	// Missing is set beside LostRemaining if the store's copy lacks the entry.
	Missing bool `msgpack:"mi,omitempty"`
	// ColdRemaining is how much longer the replica is slow after its start. It is set
	// in entries that come from another host, whose clock isn't comparable with this
	// one's.
	ColdRemaining time.Duration `msgpack:"c"`
	// HeldRemaining is how much longer the replica is out of use, since it was removed
	// before the store was restored from a copy that has it.
	HeldRemaining time.Duration `msgpack:"hr,omitempty"`
	// HeldLeaving is set if the replica was leaving before the store was restored from a
	// copy that doesn't say so, until it is written again.
	HeldLeaving bool `msgpack:"hl,omitempty"`
}

// Confirmation is what the store confirmed, and when.
type Confirmation struct {
	Position storepos.Position
	// At is when the store confirmed the content at Position.
	At time.Duration
	// EpochSince is when the epoch is known to have begun.
	EpochSince time.Duration
}

// record holds what is known of one replica ID.
type record struct {
	revision uint64
	replica  *routing.Replica
	// lostUntil is when an entry that disappeared in a mass loss is removed; zero
	// for other entries.
	lostUntil time.Duration
	// missing is set if the entry disappeared since the store's copy lacks it.
	missing bool
	// removedAt is when the replica was removed, if replica is nil. knownRemoved is set if
	// the store said so, in contrast to one that was missing while the store was out of reach.
	removedAt    time.Duration
	knownRemoved bool
	// changedAtEntry is set if the state at the entry into the epoch differed from the one
	// before.
	changedAtEntry bool
	// removal is active while the replica is out of use though the store has it, and
	// leaving while it counts as leaving though the store has it otherwise.
	removal, leaving storepos.Hold
	// born and sequence identify the latest state that the replica has registered.
	born     int64
	sequence uint64
}

// remove turns the record into that of a removed replica.
func (r *record) remove(now time.Duration) {
	r.replica, r.lostUntil, r.removedAt, r.knownRemoved = nil, 0, now, !r.missing
	r.removal, r.leaving, r.missing = storepos.Hold{}, storepos.Hold{}, false
}

// graceIsOver reports whether an entry that disappeared is to be removed.
func (r *record) graceIsOver(now, confirmedAt time.Duration) bool {
	switch {
	case r.lostUntil == 0:
		return false
	case r.missing:
		return storepos.GraceIsOver(now, confirmedAt, r.lostUntil)
	default:
		return now >= r.lostUntil
	}
}

// inForce returns the replica as it is to be used, or nil if it isn't.
func (r *record) inForce() *routing.Replica {
	switch {
	case r.replica == nil || r.removal.Active():
		return nil
	case r.leaving.Active() && !r.replica.Leaving:
		held := *r.replica
		held.Leaving = true
		return &held
	default:
		return r.replica
	}
}

// Catalog holds the replicas by ID. It is not safe for concurrent use.
type Catalog struct {
	records  map[string]*record
	position storepos.Position
	// previous is the position from which the catalog entered its epoch, and enteredAt the
	// revision at which it did; zero if it began with this epoch, or if what the entry changed
	// is no longer known.
	previous  storepos.Position
	enteredAt uint64
	// epochSince is when the store's epoch is known to have begun.
	epochSince time.Duration
	// historyStart is the revision of the epoch after which every removal of a known
	// replica has a record.
	historyStart uint64
	// confirmedAt is when the store last confirmed the content.
	confirmedAt time.Duration
	// storeFailedAt is when a read of the store last failed; zero if none has.
	storeFailedAt time.Duration
	loaded        bool
	// needsListing is set if the changes after position can't be read.
	needsListing bool
	// holds is the number of records with a hold, and holdsDigest the result of HoldsDigest.
	holds       int
	holdsDigest uint64
	// digest is the result of Digest while digestValid is set.
	digest      uint64
	digestValid bool
}

// New returns an empty catalog.
func New() *Catalog { return &Catalog{records: make(map[string]*record)} }

// Loaded reports whether a full listing was applied.
func (c *Catalog) Loaded() bool { return c.loaded }

// ResumeRevision returns the revision of the epoch after which changes are to be read
// next, or zero if a full listing is needed.
func (c *Catalog) ResumeRevision() uint64 {
	if c.needsListing || !c.loaded {
		return 0
	}
	return c.position.Revision
}

// RequireListing notes that changes were missed, so that a full listing is needed.
// The known replicas stay in use until then.
func (c *Catalog) RequireListing() { c.needsListing = true }

// Position returns the store's position that the catalog reflects.
func (c *Catalog) Position() storepos.Position { return c.position }

// Revision returns the revision of Position.
func (c *Catalog) Revision() uint64 { return c.position.Revision }

// EpochSince returns when the store's epoch is known to have begun, by the clock of the
// times that are passed to the other methods.
func (c *Catalog) EpochSince() time.Duration { return c.epochSince }

// ConfirmedAt returns the time at which the store last confirmed the content, by the
// clock of the times that are passed to the other methods.
func (c *Catalog) ConfirmedAt() time.Duration { return c.confirmedAt }

// ApplyListing replaces the content by a full listing that the store returned at the
// time now. It is described at ApplyPeerListing.
func (c *Catalog) ApplyListing(now time.Duration, position storepos.Position, entries []Entry) bool {
	return c.ApplyPeerListing(now, Confirmation{Position: position, At: now, EpochSince: now}, entries)
}

// ApplyPeerListing replaces the content by a full listing at a position. Entries that are
// not listed are removed, and what is known of later revisions is kept. A listing that is
// older than the content is ignored. It reports whether the replicas changed.
func (c *Catalog) ApplyPeerListing(now time.Duration, f Confirmation, entries []Entry) bool {
	if c.loaded && f.Position.Before(c.position) {
		return false
	}
	first := !c.loaded
	listed := latestByID(entries)
	changed := false
	switch {
	case first:
		c.beginEpoch(f)
	case f.Position.Epoch > c.position.Epoch:
		changed = c.enterEpoch(now, f, listed)
	}
	revision := f.Position.Revision
	for id, r := range c.records {
		if _, ok := listed[id]; !ok && r.revision <= revision && r.replica != nil {
			listed[id] = Entry{ID: id, Revision: revision}
		}
	}
	// A record that is not later than the listing yields to it, whatever its revision. One
	// that agrees with it keeps its revision, by which a hold has ended.
	for id, e := range listed {
		if r := c.records[id]; r != nil && r.revision > e.Revision && r.revision <= revision && !r.agrees(e) {
			r.revision = e.Revision
		}
	}
	c.loaded = true
	c.needsListing = false
	return c.apply(update{now: now, confirmedAt: f.At, revision: revision, first: first, latest: listed}) || changed
}

// ApplyChanges applies the changes up to a position, which the store returned at the time
// now. It is described at ApplyPeerChanges.
func (c *Catalog) ApplyChanges(now time.Duration, position storepos.Position, entries []Entry) bool {
	return c.applyChanges(position, update{now: now, confirmedAt: now, explicit: true}, entries)
}

// ApplyPeerChanges applies the changes up to a position of the catalog's epoch. Those of
// another epoch are ignored, and those up to a revision that the content already reflects.
// It reports whether the replicas changed.
func (c *Catalog) ApplyPeerChanges(now time.Duration, f Confirmation, entries []Entry) bool {
	return c.applyChanges(f.Position, update{now: now, confirmedAt: f.At}, entries)
}

func (c *Catalog) applyChanges(position storepos.Position, u update, entries []Entry) bool {
	if position.Epoch != c.position.Epoch || position.Before(c.position) {
		return false
	}
	if position == c.position {
		c.confirmedAt = max(c.confirmedAt, u.confirmedAt)
		return false
	}
	u.revision, u.latest = position.Revision, latestByID(entries)
	return c.apply(u)
}

// latestByID returns the latest entry of each ID.
func latestByID(entries []Entry) map[string]Entry {
	out := make(map[string]Entry, len(entries))
	for _, e := range entries {
		if known, ok := out[e.ID]; !ok || e.Revision >= known.Revision {
			out[e.ID] = e
		}
	}
	return out
}

// update is a set of changes that a catalog applies.
type update struct {
	now time.Duration
	// confirmedAt is when the store confirmed the state at revision.
	confirmedAt time.Duration
	revision    uint64
	// first is set for the first listing.
	first bool
	// explicit is set for changes that were read from the store, whose entries without a
	// replica are removals of this epoch. Those of another host may be older.
	explicit bool
	// latest holds the latest change of each ID.
	latest map[string]Entry
}

// apply applies an update. It reports whether the replicas changed.
func (c *Catalog) apply(u update) bool {
	countBefore := c.registeredCount()
	var lost []*record
	changed := false
	for id, e := range u.latest {
		r := c.records[id]
		if r == nil {
			r = &record{removedAt: u.now, changedAtEntry: true}
			c.records[id] = r
		}
		if e.Revision < r.revision {
			continue
		}
		rewritten := e.Revision > r.revision
		r.revision = e.Revision
		switch {
		case e.Replica == nil && r.removal.Active():
			r.remove(u.now)
			c.digestValid = false
		case e.Replica == nil && r.missing && u.explicit:
			r.missing = false
			r.remove(u.now)
			changed = true
		case e.Replica == nil:
			if r.replica != nil && r.lostUntil == 0 {
				lost = append(lost, r)
			}
		case e.LostRemaining > 0 && !u.first:
			c.applyLost(u.now, r, e)
		default:
			becameCold := rewritten && adoptColdStart(u.now, r, e.Replica)
			changed = c.register(u.now, r, e) || becameCold || changed
		}
	}
	changed = c.removeLost(u.now, lost, countBefore) || changed
	c.countHolds()
	c.position.Revision = max(c.position.Revision, u.revision)
	c.confirmedAt = max(c.confirmedAt, u.confirmedAt)
	c.digestValid = c.digestValid && !changed
	return changed
}

// register applies an entry that has a replica. It reports whether the replica changed.
func (c *Catalog) register(now time.Duration, r *record, e Entry) bool {
	before := r.inForce()
	if r.lostUntil > 0 {
		c.digestValid = false
	}
	r.lostUntil, r.missing = 0, false
	if e.LostRemaining > 0 {
		r.lostUntil, r.missing = now+min(e.LostRemaining, ReregistrationGrace), e.Missing
	}
	r.noteDocument(e.Replica)
	r.updateHolds(now, e)
	switch {
	case r.replica == nil || !equivalent(r.replica, e.Replica):
		r.replica = e.Replica
		c.digestValid = false
	case r.replica.Sequence != e.Replica.Sequence: // other hosts compare the sequence
		renumbered := *e.Replica
		renumbered.ColdUntil = r.replica.ColdUntil
		r.replica = &renumbered
	}
	return !sameInForce(before, r.inForce())
}

// agrees reports whether the record has what an entry says of the store's content.
func (r *record) agrees(e Entry) bool {
	if r.replica == nil || e.Replica == nil || r.lostUntil > 0 || e.LostRemaining > 0 {
		return false
	}
	return equivalent(r.replica, e.Replica)
}

// sameInForce reports whether two states of one replica are used in the same way.
func sameInForce(a, b *routing.Replica) bool {
	if a == nil || b == nil {
		return a == b
	}
	return equivalent(a, b)
}

// Tick removes the entries of a mass loss whose grace period is over, and the records of
// replicas that were removed long ago, and uses replicas again whose removal is no longer
// held. It reports whether the replicas changed.
func (c *Catalog) Tick(now time.Duration) bool {
	changed := false
	for _, r := range c.records {
		if r.graceIsOver(now, c.confirmedAt) {
			r.missing = r.missing && !storepos.InContact(c.confirmedAt, r.lostUntil)
			r.remove(now)
			changed = true
		}
		if r.removal.Expired(now, c.confirmedAt) {
			r.removal = storepos.Hold{}
			changed = true
		}
	}
	c.pruneRemoved(now)
	if changed {
		c.countHolds()
		c.digestValid = false
	}
	return changed
}

// EntryRevision returns the revision of a replica's entry, or zero if it is unknown.
func (c *Catalog) EntryRevision(id string) uint64 {
	if r := c.records[id]; r != nil {
		return r.revision
	}
	return 0
}

// Replicas returns the replicas, sorted by ID.
func (c *Catalog) Replicas() []*routing.Replica {
	out := make([]*routing.Replica, 0, len(c.records))
	for _, r := range c.records {
		if replica := r.inForce(); replica != nil {
			out = append(out, replica)
		}
	}
	sortByID(out)
	return out
}

func sortByID(replicas []*routing.Replica) {
	slices.SortFunc(replicas, func(a, b *routing.Replica) int { return cmp.Compare(a.ID, b.ID) })
}

// equivalent reports whether two replicas agree in all fields but ColdUntil and Sequence,
// so that a change of any other field that requests depend on counts as a change.
func equivalent(a, b *routing.Replica) bool {
	return a.ID == b.ID && a.Born == b.Born && a.Service == b.Service && a.Address == b.Address &&
		a.DataCentre == b.DataCentre && a.Slots == b.Slots && a.Leaving == b.Leaving
}
