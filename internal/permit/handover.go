package permit

import (
	"cmp"
	"slices"
	"time"

	"github.com/dgryski/go-rendezvous"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Stop ends the issuing of permits and burns those that were not submitted.
// Submitted requests go on to their end.
func (l *Ledger) Stop(now time.Duration) {
	l.advanceTo(now)
	l.stopped = true
	for _, e := range l.entriesBySequence() {
		if e.state == Issued {
			l.endEntry(e, result.Stopping, "")
		}
	}
}

// entriesBySequence returns the entries in the order of their sequence.
func (l *Ledger) entriesBySequence() []*entry {
	entries := slices.Clone([]*entry(l.timers))
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	return entries
}

// ClosedPermits returns the ended permits in the order of their sequence, for a
// handover.
func (l *Ledger) ClosedPermits() []peerwire.ClosedPermit {
	var closed []peerwire.ClosedPermit
	for _, e := range l.entriesBySequence() {
		if e.state.ended() {
			closed = append(closed, e.closedPermit(l.now))
		}
	}
	return closed
}

// Handovers returns the ended permits of this host and those that it keeps for
// stopped hosts, by issuer. It leaves out issuers of which nothing is held.
func (l *Ledger) Handovers() []peerwire.Handover {
	out := l.archive.handovers(l.now)
	if closed := l.ClosedPermits(); len(closed) > 0 {
		out = append(out, peerwire.Handover{Issuer: l.self, Entries: closed})
	}
	return out
}

// Stats counts the permits by state.
type Stats struct {
	ByState [StateCount]int
	// ByService divides ByState by service.
	ByService map[string][StateCount]int
	// Archived counts the permits of other hosts.
	Archived int
}

// Stats returns the number of permits held.
func (l *Ledger) Stats() Stats {
	s := Stats{Archived: l.archive.Len(), ByService: make(map[string][StateCount]int)}
	for _, e := range l.timers {
		s.ByState[e.state]++
		counts := s.ByService[e.service]
		counts[e.state]++
		s.ByService[e.service] = counts
	}
	return s
}

// ReceiveHandover keeps the closed permits of a stopped host and returns how many it
// kept.
func (l *Ledger) ReceiveHandover(now time.Duration, h peerwire.Handover) int {
	l.advanceTo(now)
	if h.Issuer == l.self {
		return 0
	}
	return l.archive.Store(now, h)
}

func (e *entry) closedPermit(now time.Duration) peerwire.ClosedPermit {
	return peerwire.ClosedPermit{
		Sequence:       e.sequence,
		Nonce:          e.nonce,
		Service:        e.service,
		Submitted:      e.submitted,
		BodyHash:       e.bodyHash,
		Code:           e.code,
		Outcome:        e.outcome,
		OutcomeDropped: e.outcomeDropped,
		TTL:            e.dueAt - now,
	}
}

// closedPermitOverheadBytes is more than a closed permit takes in a message without
// its service and outcome.
const closedPermitOverheadBytes = 128

// BatchHandovers divides closed permits into handovers of at most maxBytes each. A
// permit that alone is larger gets a handover of its own.
func BatchHandovers(issuer view.Incarnation, closed []peerwire.ClosedPermit, maxBytes int) []peerwire.Handover {
	var batches []peerwire.Handover
	size := maxBytes
	for _, c := range closed {
		n := closedPermitOverheadBytes + len(c.Service) + len(c.Outcome)
		if size+n > maxBytes {
			batches = append(batches, peerwire.Handover{Issuer: issuer})
			size = 0
		}
		last := &batches[len(batches)-1]
		last.Entries = append(last.Entries, c)
		size += n
	}
	return batches
}

const (
	// SuccessorCount is the number of hosts that get a ledger. With two, one of
	// them may be replaced, and may hand on what it holds, before the other is.
	SuccessorCount = 2
	// SuccessorsQueried is the number of hosts that are asked about a gone issuer.
	// It is larger, since hosts that joined later may rank before those that
	// hold the ledger.
	SuccessorsQueried = 4
)

// Successors returns at most n addresses out of hosts, the best first. A stopping
// issuer hands its ledger to the first SuccessorCount, and when it is gone others
// ask the first SuccessorsAsked. Hosts with different views may disagree about
// them; the submit is then answered as unknown.
func Successors(issuer view.Incarnation, hosts []string, n int) []string {
	candidates := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == issuer.Address })
	slices.Sort(candidates)
	key := ID{Issuer: issuer}.String()
	var chosen []string
	for len(candidates) > 0 && len(chosen) < n {
		next := rendezvous.New(candidates, xxhash.Sum64String).Lookup(key)
		chosen = append(chosen, next)
		candidates = slices.DeleteFunc(candidates, func(h string) bool { return h == next })
	}
	return chosen
}
