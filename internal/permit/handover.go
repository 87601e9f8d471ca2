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

// Stop ends the issuing of permits and burns the permits that were not
// submitted. Requests in progress continue until they end.
func (l *Ledger) Stop(now time.Duration) {
	l.advanceTo(now)
	l.stopped = true
	for _, e := range l.entriesBySequence() {
		if e.state == Issued {
			l.endEntry(e, result.Stopping, "")
		}
	}
}

// entriesBySequence returns all entries, sorted by sequence.
func (l *Ledger) entriesBySequence() []*entry {
	entries := slices.Clone([]*entry(l.timers))
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	return entries
}

// ClosedPermits returns the ended permits in the form of a handover, sorted by
// sequence.
func (l *Ledger) ClosedPermits() []peerwire.ClosedPermit {
	var closed []peerwire.ClosedPermit
	for _, e := range l.entriesBySequence() {
		if e.state.ended() {
			closed = append(closed, e.closedPermit(l.now))
		}
	}
	return closed
}

// Handovers returns one handover for each issuer of which the ledger or its
// archive holds ended permits: this host and hosts that stopped before it.
func (l *Ledger) Handovers() []peerwire.Handover {
	handovers := l.archive.handovers(l.now)
	if closed := l.ClosedPermits(); len(closed) > 0 {
		handovers = append(handovers, peerwire.Handover{Issuer: l.self, Entries: closed})
	}
	return handovers
}

// Stats holds permit counts.
type Stats struct {
	// ByState counts the permits of this host by state.
	ByState [StateCount]int
	// ByService breaks ByState down by service.
	ByService map[string][StateCount]int
	// Archived counts the permits in the archive, which other hosts issued.
	Archived int
}

// Stats returns the counts of the permits that the ledger holds.
func (l *Ledger) Stats() Stats {
	stats := Stats{Archived: l.archive.Len(), ByService: make(map[string][StateCount]int)}
	for _, e := range l.timers {
		stats.ByState[e.state]++
		counts := stats.ByService[e.service]
		counts[e.state]++
		stats.ByService[e.service] = counts
	}
	return stats
}

// ReceiveHandover adds the permits of a stopped host to the archive and returns
// how many it added. A handover of the ledger's own permits is ignored.
func (l *Ledger) ReceiveHandover(now time.Duration, h peerwire.Handover) int {
	l.advanceTo(now)
	if h.Issuer == l.self {
		return 0
	}
	return l.archive.Store(now, h)
}

// closedPermit returns an ended entry in the form of a handover.
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

// closedPermitOverheadBytes is an upper bound of the encoded size of a closed
// permit without its service and outcome.
const closedPermitOverheadBytes = 128

// BatchHandovers splits closed permits into handovers of at most maxBytes each. A
// permit that exceeds maxBytes by itself gets a handover of its own.
func BatchHandovers(issuer view.Incarnation, closed []peerwire.ClosedPermit, maxBytes int) []peerwire.Handover {
	var batches []peerwire.Handover
	batchBytes := maxBytes
	for _, c := range closed {
		permitBytes := closedPermitOverheadBytes + len(c.Service) + len(c.Outcome)
		if batchBytes+permitBytes > maxBytes {
			batches = append(batches, peerwire.Handover{Issuer: issuer})
			batchBytes = 0
		}
		last := &batches[len(batches)-1]
		last.Entries = append(last.Entries, c)
		batchBytes += permitBytes
	}
	return batches
}

const (
	// SuccessorCount is the number of hosts to which a stopping host hands over its
	// ended permits. With two, either host can be replaced, and hand over what it
	// holds, while the other still has the permits.
	SuccessorCount = 2
	// SuccessorsQueried is the number of hosts that are asked about the permits of
	// an issuer that has stopped. It exceeds SuccessorCount, because hosts that
	// joined after the handover may rank before those that hold the permits.
	SuccessorsQueried = 4
)

// Successors ranks hosts by rendezvous hashing on the issuer and returns the
// addresses of the first n, without the issuer's own. A stopping issuer hands its
// ended permits to the first SuccessorCount; once it has stopped, other hosts ask
// the first SuccessorsQueried. Hosts with different lists of hosts may compute
// different successors. A submit that finds no holder of its permit is answered
// as unknown.
func Successors(issuer view.Incarnation, hosts []string, n int) []string {
	candidates := slices.DeleteFunc(slices.Clone(hosts), func(address string) bool { return address == issuer.Address })
	slices.Sort(candidates)
	key := ID{Issuer: issuer}.String()
	var successors []string
	for len(candidates) > 0 && len(successors) < n {
		next := rendezvous.New(candidates, xxhash.Sum64String).Lookup(key)
		successors = append(successors, next)
		candidates = slices.DeleteFunc(candidates, func(address string) bool { return address == next })
	}
	return successors
}
