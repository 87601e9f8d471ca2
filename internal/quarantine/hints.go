package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// MaxHints bounds the hints that are taken from one message.
const MaxHints = 64

// MergeHints takes the hints of another host, at most MaxHints of them.
func (s *Tracker) MergeHints(now time.Duration, hints []peerwire.SuspectHint) {
	s.Tick(now)
	for _, h := range hints[:min(len(hints), MaxHints)] {
		s.merge(h)
	}
}

func (s *Tracker) merge(h peerwire.SuspectHint) {
	in := s.fromHint(h)
	if in.expires <= s.now || len(in.endpoints) == 0 {
		return
	}
	r, ok := s.records[in.fingerprint]
	switch {
	case !ok:
		s.insert(in)
	case in.rank == cleared:
		s.clearBy(r, in)
	case r.rank == cleared && s.degree(in) == view.Suspected && covers(r, in):
		// The request ran to its end here after the same crashes.
	case in.rank >= r.rank:
		r.addEndpoints(in.endpoints)
		r.rank = in.rank
		r.expires = max(r.expires, in.expires)
	}
}

// clearBy clears a suspect if the other host, which saw it run to its end, knew
// of the same crashes.
func (s *Tracker) clearBy(r, in *record) {
	if s.degree(r) == view.Suspected && covers(in, r) {
		r.rank = cleared
	}
}

// fromHint returns the record of a hint at this host. Its life is never longer
// than what is left of the sender's, nor than that of a crash seen here.
func (s *Tracker) fromHint(h peerwire.SuspectHint) *record {
	in := &record{fingerprint: h.Fingerprint, rank: suspect}
	in.addEndpoints(h.Endpoints)
	switch {
	case h.Proven && len(in.endpoints) == maxEndpoints:
		in.rank = proven
	case h.Cleared:
		in.rank = cleared
	}
	in.expires = s.now + min(h.TTL, s.lifetime(in.rank)) - HopCost
	return in
}

func (r *record) addEndpoints(endpoints []string) {
	for _, e := range endpoints {
		r.addEndpoint(e)
	}
}

// covers reports whether every crash that b knows is known to a.
func covers(a, b *record) bool {
	return !slices.ContainsFunc(b.endpoints, func(e string) bool { return !a.implicates(e) })
}

// Hints returns at most n hints for other hosts, the gravest and freshest
// first, each with what is left of its life.
func (s *Tracker) Hints(now time.Duration, n int) []peerwire.SuspectHint {
	s.Tick(now)
	records := s.gravest(n)
	hints := make([]peerwire.SuspectHint, len(records))
	for i, r := range records {
		hints[i] = peerwire.SuspectHint{
			Fingerprint: r.fingerprint,
			Endpoints:   slices.Clone(r.endpoints),
			Proven:      r.rank == proven,
			Cleared:     r.rank == cleared,
			TTL:         r.expires - s.now,
		}
	}
	return hints
}

// insert adds a record. If the set is full it evicts the one that matters
// least, which may be the new one.
func (s *Tracker) insert(r *record) {
	s.records[r.fingerprint] = r
	if len(s.records) <= s.cfg.MaxRequests {
		return
	}
	least := r
	for _, other := range s.records {
		if compareRecords(other, least) < 0 {
			least = other
		}
	}
	delete(s.records, least.fingerprint)
}

// gravest returns at most n records in the reverse order of their eviction.
func (s *Tracker) gravest(n int) []*record {
	var top []*record
	for _, r := range s.records {
		at, _ := slices.BinarySearchFunc(top, r, func(a, b *record) int { return compareRecords(b, a) })
		if at >= n {
			continue
		}
		top = slices.Insert(top, at, r)
		top = top[:min(len(top), n)]
	}
	return top
}

func compareRecords(a, b *record) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.expires, b.expires),
		cmp.Compare(a.fingerprint, b.fingerprint),
	)
}
