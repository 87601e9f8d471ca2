package evacuation

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Active returns the evacuated data centres, sorted.
func (s *Set) Active() []string {
	var out []string
	for dataCentre, r := range s.records {
		if r.active {
			out = append(out, dataCentre)
		}
	}
	slices.Sort(out)
	return out
}

// Ended returns when the evacuation of a data centre was noticed to have ended, and at
// which revision. It returns false if none has ended lately, or one is in force.
func (s *Set) Ended(dataCentre string) (at time.Duration, revision uint64, ok bool) {
	r, known := s.records[dataCentre]
	if !known || r.active {
		return 0, 0, false
	}
	return r.changedAt, r.revision, true
}

// Digest returns a hash of the evacuations in force, and of the ends that hold against a
// restored store, whose keys the store has. It is never zero.
func (s *Set) Digest() uint64 {
	h := fnv.New64a()
	for _, dataCentre := range slices.Sorted(maps.Keys(s.records)) {
		r := s.records[dataCentre]
		switch {
		case !r.active && r.hold.Active():
			fmt.Fprintf(h, "%q|end\n", dataCentre)
		case r.active && r.hold.Active(): // Hosts that were told of the restored store at other revisions agree.
			fmt.Fprintf(h, "%q|0\n", dataCentre)
		case r.active:
			fmt.Fprintf(h, "%q|%d\n", dataCentre, r.revision)
		}
	}
	return max(h.Sum64(), 1)
}

// Summary returns what identifies the set, or nil if no listing was applied yet.
func (s *Set) Summary() *Summary {
	if !s.loaded {
		return nil
	}
	return &Summary{Epoch: s.position.Epoch, Revision: s.position.Revision, Digest: s.Digest(), Ended: s.ended}
}

// State returns the set for another host, or nil if no listing was applied yet.
func (s *Set) State(now time.Duration) *State {
	if !s.loaded {
		return nil
	}
	state := &State{Epoch: s.position.Epoch, Revision: s.position.Revision}
	for dataCentre, r := range s.records {
		state.Entries = append(state.Entries, Entry{DataCentre: dataCentre, Revision: r.revision, Removed: !r.active, Age: max(now-r.changedAt, 0), HoldRemaining: r.hold.Remaining(now)})
	}
	slices.SortFunc(state.Entries, func(a, b Entry) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return state
}

// Same reports whether another host has the same set. A host of the previous version
// has no summary and says nothing about the set.
func (s *Set) Same(other *Summary) bool {
	return other == nil || s.loaded && other.Digest == s.Digest()
}

// Behind reports whether another host has a later set that differs from this one.
func (s *Set) Behind(other *Summary) bool {
	if other == nil {
		return false
	}
	theirs := other.position()
	if !s.loaded || theirs.Epoch > s.position.Epoch {
		return true
	}
	knowsEnd := !theirs.Before(s.position) && other.Ended > s.ended
	return knowsEnd || s.position.Before(theirs) && !s.Same(other)
}

// Confirm notes that the store confirmed to another host, at the time at, a set that is
// the same as this one and not older.
func (s *Set) Confirm(other *Summary, at time.Duration) {
	if other == nil || !s.Same(other) || other.position().Before(s.position) || other.Epoch != s.position.Epoch {
		return
	}
	s.position = other.position()
	s.confirmedAt = max(s.confirmedAt, at)
}
