package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// MaxHints bounds the hints accepted from one message.
const MaxHints = 64

// MergeHints merges the hints of another host; hints after the first MaxHints
// are ignored.
func (t *Tracker) MergeHints(now time.Duration, hints []peerwire.SuspectHint) {
	t.Tick(now)
	for _, h := range hints[:min(len(hints), MaxHints)] {
		t.mergeHint(h)
	}
}

func (t *Tracker) mergeHint(h peerwire.SuspectHint) {
	received := t.newRecordFromHint(h)
	if received.expires <= t.now || len(received.endpoints) == 0 {
		return
	}
	r, ok := t.records[received.fingerprint]
	switch {
	case !ok:
		t.insert(received)
	case received.rank == cleared:
		t.clearIfSameCrashes(r, received)
	case r.rank == cleared && t.degree(received) == view.Suspected && knowsCrashesOf(r, received):
		// The request ran to completion on this host after the same crashes.
	case received.rank >= r.rank:
		if received.rank > r.rank {
			r.toldAt = 0
		}
		r.addEndpoints(received.endpoints)
		r.rank = received.rank
		r.expires = max(r.expires, received.expires)
		if r.rank == suspect && t.provenByCount(r) {
			r.rank = proven
			r.expires = t.now + t.timeToLive(proven)
		}
	}
}

// clearIfSameCrashes clears a suspect if the other host, on which the request
// ran to completion, knew of the same crashes.
func (t *Tracker) clearIfSameCrashes(r, received *record) {
	if t.degree(r) == view.Suspected && knowsCrashesOf(received, r) {
		r.rank, r.toldAt = cleared, 0
	}
}

// newRecordFromHint returns the record that a hint describes. Its time to live
// exceeds neither the remaining time of the sender nor the time to live that this
// host gives a record of the same rank after a crash.
func (t *Tracker) newRecordFromHint(h peerwire.SuspectHint) *record {
	received := &record{fingerprint: h.Fingerprint, rank: suspect, suspectSince: t.now}
	received.addEndpoints(h.Endpoints)
	switch {
	case h.Proven && len(received.endpoints) >= minProofEndpoints:
		received.rank = proven
	case h.Cleared:
		received.rank = cleared
	}
	received.expires = t.now + min(h.TTL, t.timeToLive(received.rank)) - HopCost
	return received
}

func (r *record) addEndpoints(endpoints []string) {
	for _, e := range endpoints {
		r.addEndpoint(e)
	}
}

// knowsCrashesOf reports whether a contains every crash that b contains.
func knowsCrashesOf(a, b *record) bool {
	return !slices.ContainsFunc(b.endpoints, func(e string) bool { return !a.hasEndpoint(e) })
}

// Hints returns at most n hints for other hosts, each with its remaining time to
// live. Records take turns: those that were never told since they changed come first,
// then those that were told longest ago. Proven ones share all hints, but one of several if
// there are others.
func (t *Tracker) Hints(now time.Duration, n int) []peerwire.SuspectHint {
	t.Tick(now)
	others := t.nextInTurn(n, func(r *record) bool { return r.rank != proven })
	forOthers := min(len(others), 1)
	told := t.nextInTurn(n, func(r *record) bool { return r.rank == proven })
	told = told[:min(len(told), max(n-forOthers, 1))]
	told = append(told, others[:min(len(others), n-len(told))]...)
	for _, r := range told {
		t.turn++
		r.toldAt = t.turn
	}
	return t.hintsOf(told)
}

// AllHints returns hints of all records, the highest rank first, for a host that has just
// started.
func (t *Tracker) AllHints(now time.Duration) []peerwire.SuspectHint {
	t.Tick(now)
	records := slices.Collect(maps.Values(t.records))
	slices.SortFunc(records, func(a, b *record) int { return compareRecords(b, a) })
	return t.hintsOf(records)
}

func (t *Tracker) hintsOf(records []*record) []peerwire.SuspectHint {
	hints := make([]peerwire.SuspectHint, len(records))
	for i, r := range records {
		hints[i] = peerwire.SuspectHint{
			Fingerprint: r.fingerprint,
			Endpoints:   slices.Clone(r.endpoints[:min(len(r.endpoints), minProofEndpoints)]),
			Proven:      r.rank == proven,
			Cleared:     r.rank == cleared,
			TTL:         r.expires - t.now,
		}
	}
	return hints
}

// insert adds a record. If there are then too many, it evicts the lowest record
// by compareRecords, which may be the new one.
func (t *Tracker) insert(r *record) {
	t.records[r.fingerprint] = r
	if len(t.records) <= t.cfg.MaxRequests {
		return
	}
	lowest := r
	for _, other := range t.records {
		if compareRecords(other, lowest) < 0 {
			lowest = other
		}
	}
	delete(t.records, lowest.fingerprint)
}

// nextInTurn returns at most n matching records, in the order in which they are told.
func (t *Tracker) nextInTurn(n int, matches func(*record) bool) []*record {
	var next []*record
	for _, r := range t.records {
		if !matches(r) {
			continue
		}
		at, _ := slices.BinarySearchFunc(next, r, compareTurns)
		if at >= n {
			continue
		}
		next = slices.Insert(next, at, r)
		next = next[:min(len(next), n)]
	}
	return next
}

// compareTurns orders records by their turn to be told.
func compareTurns(a, b *record) int {
	return cmp.Or(cmp.Compare(a.toldAt, b.toldAt), compareRecords(b, a))
}

// compareRecords orders records by eviction: the lowest is evicted first.
func compareRecords(a, b *record) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.expires, b.expires),
		cmp.Compare(a.fingerprint, b.fingerprint),
	)
}
