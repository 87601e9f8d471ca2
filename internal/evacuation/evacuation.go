// Package evacuation holds the set of evacuated data centres: those whose replicas get
// nothing until the operator ends the evacuation.
//
// The load that it handles: an operator empties a data centre while hosts are cut off,
// start, or learn late, and takes it into service again while its replicas are cold.
//
// Invariants:
//   - The set reflects every change of the store up to its revision. An older state never
//     undoes a newer one: a data centre that is absent from a full listing is removed only
//     if the listing is at least as late as what is known of it.
//   - Two sets with the same digest have the same evacuations. Hosts compare the digest and
//     fetch the set from a host whose set is later and differs.
//   - A store that was restored from an older copy undoes nothing at once: an evacuation that
//     the copy lacks, and the end of one that the copy still has, hold until the key is
//     written again, or for a bounded time ([storepos.Hold]).
//   - The end of an evacuation that one host has noticed reaches each host that hears of
//     it within [EndedRetention], so that replicas which may be cold are taken as cold.
//
// The package does no I/O, and a [Set] is not safe for concurrent use.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/storepos"
)

// EndedRetention is how long the end of an evacuation is remembered. It exceeds the time
// for which replicas may be cold.
const EndedRetention = 10 * time.Minute

// How long what was in force holds after the store was restored from a copy that has something
// else, if the key is not written again. An evacuation holds longer: replicas elsewhere serve
// meanwhile, while requests to an evacuated data centre do harm.
const (
	evacuationHold = 10 * time.Second
	endHold        = 2 * time.Second
)

// Entry is the state of one data centre's key in the store.
type Entry struct {
	DataCentre string `msgpack:"d"`
	// Revision is that of the key's last change.
	Revision uint64 `msgpack:"r"`
	// Removed means that the evacuation has ended.
	Removed bool `msgpack:"x,omitempty"`
	// Age is the time since the change was noticed. It is set in entries that come from
	// another host.
	Age time.Duration `msgpack:"a,omitempty"`
	// HoldRemaining is how much longer the state holds against that of a restored store;
	// zero for one that the store has.
	HoldRemaining time.Duration `msgpack:"h,omitempty"`
}

// stored reports whether the store has the key: a state that is held is not that of the store.
func (e Entry) stored() bool { return e.Removed == (e.HoldRemaining > 0) }

// Summary identifies a set, for comparison with that of another host.
type Summary struct {
	Epoch    uint64 `msgpack:"p,omitempty"`
	Revision uint64 `msgpack:"r"`
	Digest   uint64 `msgpack:"d"`
	// Ended is the revision of the last end of an evacuation that the host knows.
	Ended uint64 `msgpack:"e,omitempty"`
}

// position returns the position of the store that the set reflects.
func (s *Summary) position() storepos.Position {
	return storepos.Position{Epoch: s.Epoch, Revision: s.Revision}
}

// State is a whole set, for another host.
type State struct {
	Epoch    uint64  `msgpack:"p,omitempty"`
	Revision uint64  `msgpack:"r"`
	Entries  []Entry `msgpack:"e,omitempty"`
}

// Change is the begin or the end of an evacuation.
type Change struct {
	DataCentre string
	Revision   uint64
	Began      bool
}

// record is what is known of one data centre.
type record struct {
	revision  uint64
	active    bool
	changedAt time.Duration
	// hold is set while the state holds against another one of a restored store.
	hold storepos.Hold
}

// Set is the set of evacuated data centres.
type Set struct {
	records  map[string]record
	loaded   bool
	position storepos.Position
	// ended is the revision of the last end of an evacuation, which stays when its record
	// is forgotten.
	ended uint64
	// confirmedAt is when the store last confirmed the set.
	confirmedAt time.Duration
}

// New returns an empty set that reflects no state of the store yet.
func New() *Set { return &Set{records: make(map[string]record)} }

// Loaded reports whether a full listing was applied.
func (s *Set) Loaded() bool { return s.loaded }

// Position returns the position of the store that the set reflects.
func (s *Set) Position() storepos.Position { return s.position }

// ConfirmedAt returns when the store last confirmed the set.
func (s *Set) ConfirmedAt() time.Duration { return s.confirmedAt }

// ApplyListing applies a full listing that the store returned at the time now. A data
// centre that is not listed is removed, unless the listing is the first one after the store
// was restored. A listing that is older than the set is ignored.
func (s *Set) ApplyListing(now time.Duration, position storepos.Position, entries []Entry) []Change {
	if s.loaded && position.Before(s.position) {
		return nil
	}
	return s.replace(now, now, position, entries)
}

// ApplyState applies the set of another host, which the store confirmed to it at the time
// confirmedAt. It is described at ApplyListing.
func (s *Set) ApplyState(now, confirmedAt time.Duration, state *State) []Change {
	if state == nil {
		return nil
	}
	position := storepos.Position{Epoch: state.Epoch, Revision: state.Revision}
	if s.loaded && position.Before(s.position) {
		return nil
	}
	return s.replace(now, confirmedAt, position, state.Entries)
}

// replace applies a full listing that is not older than the set.
func (s *Set) replace(now, confirmedAt time.Duration, position storepos.Position, entries []Entry) []Change {
	before := maps.Clone(s.records)
	if s.loaded && position.Epoch > s.position.Epoch {
		s.enterEpoch(now, position, entries)
	}
	s.releaseEnds(entries)
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.DataCentre] = listed[e.DataCentre] || !e.Removed
	}
	for _, dataCentre := range s.Active() {
		if !listed[dataCentre] && !s.records[dataCentre].hold.Active() {
			entries = append(slices.Clip(entries), Entry{DataCentre: dataCentre, Revision: position.Revision, Removed: true})
		}
	}
	s.loaded = true
	s.apply(now, confirmedAt, position, entries)
	return s.changesSince(before)
}

// releaseEnds ends the hold of each end of an evacuation whose key the store no longer has,
// according to a full listing. The end of the hold would else begin the evacuation again.
func (s *Set) releaseEnds(entries []Entry) {
	stored := make(map[string]bool, len(entries))
	for _, e := range entries {
		stored[e.DataCentre] = stored[e.DataCentre] || e.stored()
	}
	for dataCentre, r := range s.records {
		if !r.active && !stored[dataCentre] {
			r.hold = storepos.Hold{}
			s.records[dataCentre] = r
		}
	}
}

// ApplyChanges applies the changes up to a position that the store returned at the time
// now. Without a listing of the same epoch before them they are ignored.
func (s *Set) ApplyChanges(now time.Duration, position storepos.Position, entries []Entry) []Change {
	if !s.loaded || position.Before(s.position) || position.Epoch != s.position.Epoch {
		return nil
	}
	before := maps.Clone(s.records)
	s.apply(now, now, position, entries)
	return s.changesSince(before)
}

func (s *Set) apply(now, confirmedAt time.Duration, position storepos.Position, entries []Entry) {
	for _, e := range entries {
		s.applyEntry(now, e)
	}
	if s.position.Before(position) {
		s.position = position
	}
	s.confirmedAt = max(s.confirmedAt, confirmedAt)
}

// applyEntry applies one entry unless it is older than what is known of its data centre.
func (s *Set) applyEntry(now time.Duration, e Entry) {
	known, ok := s.records[e.DataCentre]
	if ok && e.Revision < known.revision || !ok && e.Removed && e.Age >= EndedRetention {
		return
	}
	if known.hold.AfterWrite(e.Revision).Active() && known.active == e.Removed {
		return
	}
	if e.Removed {
		s.ended = max(s.ended, e.Revision)
	}
	next := record{revision: e.Revision, active: !e.Removed, changedAt: now - max(e.Age, 0)}
	if e.HoldRemaining > 0 {
		next.hold = storepos.NewHold(e.Revision, now+min(e.HoldRemaining, evacuationHold))
	}
	if ok && known.continues(next) {
		next.changedAt = known.changedAt
	}
	s.records[e.DataCentre] = next
}

// continues reports whether a later record tells of the same evacuation, whose key may have
// been written again, or of the same end.
func (r record) continues(later record) bool {
	sameEnd := r.changedAt == later.changedAt || r.revision == later.revision
	return r.active == later.active && (r.active || sameEnd)
}

// changesSince returns the evacuations that began or ended since there were the records
// before. An end is among them also if its begin was missed.
func (s *Set) changesSince(before map[string]record) []Change {
	var changes []Change
	for dataCentre, r := range s.records {
		if known, ok := before[dataCentre]; !ok || !known.continues(r) {
			changes = append(changes, Change{DataCentre: dataCentre, Revision: r.revision, Began: r.active})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return changes
}

// Expire ends the holds that are over and forgets the ends of evacuations that were noticed
// before EndedRetention. It returns the changes.
func (s *Set) Expire(now time.Duration) []Change {
	before := maps.Clone(s.records)
	for dataCentre, r := range s.records {
		if r.hold.Expired(now, s.confirmedAt) {
			s.records[dataCentre] = record{revision: r.revision, active: !r.active, changedAt: now}
		}
		if !r.active && now-r.changedAt >= EndedRetention {
			delete(s.records, dataCentre)
		}
	}
	return s.changesSince(before)
}
