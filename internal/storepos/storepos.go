// Package storepos compares positions in the history of the platform's store, which can be
// restored from an older copy.
//
// A restored store assigns revisions again that it had assigned before, so that a revision
// says nothing without its epoch, which rises by one at each restoration. Content of an
// earlier epoch is older than any of a later epoch. Content of a later epoch may hold older
// states of single keys, though: those that the copy holds. [Hold] is the rule for these.
//
// Invariant: the state of a key that was in force isn't undone by the copy before the key
// is written again, or before a bounded time is over.
package storepos

import (
	"cmp"
	"time"
)

// Position is a position in the store's history. A host of a version without epochs, and a
// store that states none, have the epoch zero.
type Position struct{ Epoch, Revision uint64 }

// Compare returns a negative number if p is before other, and a positive one if it is after.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, other.Epoch), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether p is before other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// Superseded reports whether the state of a key that a listing of a later epoch holds at the
// revision listed is older than the state that was in force, which was written at the revision
// known of an earlier epoch. A write after the restoration may have a lower revision than
// known as well; until the key is written once more, it is taken for the copy's.
func Superseded(known, listed uint64) bool { return listed < known }

// Hold keeps a state in force that the older copy lacks. The zero value holds nothing.
type Hold struct {
	active bool
	// revision is that of the copy's state of the key, or of the listing if the copy
	// doesn't hold the key.
	revision uint64
	// until is when the hold ends if the key isn't written again; zero if only a write
	// ends it.
	until time.Duration
}

// NewHold returns a hold against the state that a listing holds at a revision. It ends when
// the key is written at a later one, or at the time until, unless that is zero.
func NewHold(revision uint64, until time.Duration) Hold {
	return Hold{active: true, revision: revision, until: until}
}

// Active reports whether the hold has not been ended.
func (h Hold) Active() bool { return h.active }

// Expired reports whether a hold that is active is over at the time now, so that it is to be
// replaced by the zero value. confirmedAt is when the store last confirmed what is known of
// it; see GraceIsOver.
func (h Hold) Expired(now, confirmedAt time.Duration) bool {
	return h.active && h.until > 0 && GraceIsOver(now, confirmedAt, h.until)
}

// Remaining returns how much longer a hold with a bound lasts at most, at least one unit
// while it is active, and zero for other holds.
func (h Hold) Remaining(now time.Duration) time.Duration {
	if !h.active || h.until == 0 {
		return 0
	}
	return max(h.until-now, 1)
}

// AfterWrite returns the hold after a write of the key was seen at a revision of the same
// epoch, which may be the copy's own one.
func (h Hold) AfterWrite(revision uint64) Hold {
	if revision > h.revision {
		return Hold{}
	}
	return h
}

// Grace returns when the grace period of an epoch ends that lasts length after the store's
// return, for a host that learns at the time now of content which the store confirmed
// observed after its return. What a live writer has lost is in the content once the store was
// observed for that long.
func Grace(now, observed, length time.Duration) time.Duration {
	return now + length - min(max(observed, 0), length)
}

// contactAge is the greatest age of the store's last confirmation on a host in contact with
// the store. Confirmations are up to 0.9 s old while nothing changes, so that a grace period
// rarely lasts 0.1 s longer on such a host. maxOverrun is how much
// longer a grace period lasts at most on a host without contact.
const (
	contactAge = 800 * time.Millisecond
	maxOverrun = 2 * time.Second
)

// InContact reports whether a host to which the store last confirmed its state at confirmedAt
// knows what was written until the time end.
func InContact(confirmedAt, end time.Duration) bool { return confirmedAt+contactAge >= end }

// GraceIsOver reports whether a grace period that ends at the time end is over on a host to
// which the store last confirmed its state at confirmedAt. On a host that lost contact with
// the store before the end it lasts longer, for a bounded time, since that host can't know
// what was written again.
func GraceIsOver(now, confirmedAt, end time.Duration) bool {
	return now >= end && InContact(confirmedAt, end) || now >= end+maxOverrun
}
