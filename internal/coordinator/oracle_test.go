package coordinator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	// answerSlack is how much later than its deadline an answer may come: a tick.
	answerSlack   = 2 * TickInterval
	hedgePerMille = 50
	retryPerMille = 100
	maxShards     = 4
	retryBurst    = hostRetryBurst
)

// oracle records what the endpoints ran and what callers were told.
type oracle struct {
	t *rapid.T
	// runsByPermit counts the runsByPermit of a permit.
	runsByPermit map[string]int
	// ranBodies holds the ranBodies of queries and submits that ran at all.
	ranBodies map[string]bool
	// answeredNotRun holds the bodies that were told not run.
	answeredNotRun map[string]bool
	// answeredOutcomes holds the outcome that a submit's body was told.
	answeredOutcomes map[string]string
	// servedRanges holds the ranges of a query's body that were served, by snapshot.
	servedRanges map[servedKey][]keyrange.Range
}

type servedKey struct {
	body     string
	snapshot uint64
}

// pending is a caller that waits.
type pending struct {
	query    api.QueryRequest
	submit   api.SubmitRequest
	deadline time.Duration
	onAnswer func(api.SubmitAnswer)
}

// searchLoad counts the search attempts of one incarnation.
type searchLoad struct {
	queries, restarts, dispatched int
	distinct                      map[string]bool
	// snapshotGoneRefusals counts the refusals of endpoints that lost the snapshot, and exemptRetries the
	// retries after them, which the budgets do not bound.
	snapshotGoneRefusals, exemptRetries int
}

func newSearchLoad() searchLoad { return searchLoad{distinct: make(map[string]bool)} }

func (l *searchLoad) countEvents(events []query.Event) {
	for _, e := range events {
		switch {
		case e.Kind == query.EventRestart:
			l.restarts++
		case e.Kind == query.EventRetry && e.Code == result.SnapshotGone:
			l.exemptRetries++
		}
	}
}

// documentsInRange is what a snapshot holds in a range: each document has two keys.
func documentsInRange(snapshot uint64, r keyrange.Range) []dispatch.Hit {
	var out []dispatch.Hit
	for i := range keyrange.Key(16) {
		if k := keyrange.End / 16 * i; r.Contains(k) {
			out = append(out, dispatch.Hit{Document: fmt.Sprint("doc-", i/2), Key: k, Score: float64((uint64(i)*7 + snapshot) % 5)})
		}
	}
	return out
}

// expectedHits is the merged answer over ranges: the best entry of each document.
func expectedHits(snapshot uint64, ranges []keyrange.Range) []dispatch.Hit {
	best := make(map[string]dispatch.Hit)
	for _, r := range ranges {
		for _, h := range documentsInRange(snapshot, r) {
			if old, ok := best[h.Document]; !ok || h.Score > old.Score {
				best[h.Document] = h
			}
		}
	}
	out := make([]dispatch.Hit, 0, len(best))
	for _, h := range best {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b dispatch.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Document, b.Document))
	})
	return out
}

// recordRun records that an endpoint recordRun a request.
func (o *oracle) recordRun(r dispatch.Request) {
	o.ranBodies[r.Body] = true
	if o.answeredNotRun[r.Body] {
		o.t.Fatalf("%q ran after it was told not run", r.Body)
	}
	if r.Operation != dispatch.Submit {
		return
	}
	o.runsByPermit[r.Request]++
	if o.runsByPermit[r.Request] > 1 {
		o.t.Fatalf("permit %s ran %d times", r.Request, o.runsByPermit[r.Request])
	}
}

func (o *oracle) recordServed(r dispatch.Request) {
	k := servedKey{body: r.Body, snapshot: r.Snapshot}
	o.servedRanges[k] = append(o.servedRanges[k], r.Range)
}

// completeRequest ends the wait of a caller, which was answered in time and once.
func (w *simulation) completeRequest(h *simulatedHost, t Ticket) *pending {
	p := h.pending[t]
	if p == nil {
		w.t.Fatalf("ticket %d was answered twice or never taken", t)
	}
	if limit := p.answerDueBy(h); w.now > limit {
		w.t.Fatalf("ticket %d was answered at %v, due %v", t, w.now, limit)
	}
	delete(h.pending, t)
	return p
}

func (p *pending) answerDueBy(h *simulatedHost) time.Duration {
	return max(p.deadline, h.pausedUntil+answerSlack)
}

func (w *simulation) checkOverdue(h *simulatedHost) {
	for t, p := range h.pending {
		if w.now > p.answerDueBy(h) {
			w.t.Fatalf("ticket %d has no answer at %v, due %v: %+v", t, w.now, p.answerDueBy(h), p)
		}
	}
}

// checkBounds checks that state does not outgrow the requests in progress.
func (w *simulation) checkBounds(h *simulatedHost) {
	m := h.coordinator
	if len(m.timers) > m.RunningRequests() || len(m.queryIDs) > m.RunningRequests() || len(m.submissionsByAdmission) > len(m.submissions) {
		w.t.Fatalf("%d timers, %d tickets and %d admissions for %d requests", len(m.timers), len(m.queryIDs), len(m.submissionsByAdmission), m.RunningRequests())
	}
}

func (o *oracle) recordNotRunAnswer(body string, code result.Code) {
	if o.ranBodies[body] {
		o.t.Fatalf("%q was told %d, but it ran", body, code)
	}
	o.answeredNotRun[body] = true
}

func (w *simulation) checkQueryAnswer(h *simulatedHost, q QueryAnswer) {
	p := w.completeRequest(h, q.Ticket)
	a := q.Answer
	if a.RequestID != p.query.RequestID {
		w.t.Fatalf("request %q got the answer of %q", p.query.RequestID, a.RequestID)
	}
	if a.Code.Class() == result.ClassNotRun {
		w.recordNotRunAnswer(p.query.Query, a.Code)
		return
	}
	var missing []keyrange.Range
	var size uint64
	for _, m := range a.Coverage.Missing {
		missing = append(missing, m.Range)
		size += uint64(m.Range.End - m.Range.Start)
	}
	if size != keyrange.Size(missing) {
		w.t.Fatalf("ranges are missing twice: %v", missing)
	}
	covered := keyrange.Subtract([]keyrange.Range{keyrange.All()}, missing)
	unserved := keyrange.Subtract(covered, w.servedRanges[servedKey{body: p.query.Query, snapshot: a.Snapshot}])
	if len(unserved) > 0 {
		w.t.Fatalf("%q claims %v, of which %v was never served", p.query.Query, covered, unserved)
	}
	if want := expectedHits(a.Snapshot, covered); !slices.Equal(a.Hits, want) {
		w.t.Fatalf("hits %v, want %v", a.Hits, want)
	}
	if (a.Code == result.Complete) != (len(missing) == 0) {
		w.t.Fatalf("code %d with %d missing", a.Code, len(missing))
	}
}

func (w *simulation) checkSubmitAnswer(h *simulatedHost, t Ticket, a api.SubmitAnswer) {
	p := w.completeRequest(h, t)
	if a.Permit != p.submit.Permit {
		w.t.Fatalf("permit %q got the answer of %q", p.submit.Permit, a.Permit)
	}
	body := p.submit.Body
	switch a.Code.Class() {
	case result.ClassNotRun:
		w.recordNotRunAnswer(body, a.Code)
	case result.ClassComplete:
		if w.runsByPermit[a.Permit] != 1 || !w.ranBodies[body] || a.Outcome != "outcome of "+body {
			w.t.Fatalf("%q was told done with %q after %d runs", body, a.Outcome, w.runsByPermit[a.Permit])
		}
		w.answeredOutcomes[body] = a.Outcome
	case result.ClassFailed:
		if w.runsByPermit[a.Permit] != 1 || w.answeredOutcomes[body] != "" {
			w.t.Fatalf("%q was told failed after %d runs and outcome %q", body, w.runsByPermit[a.Permit], w.answeredOutcomes[body])
		}
	}
	if w.answeredOutcomes[body] != "" && a.Code.Class() != result.ClassComplete && w.hasIssued(h, a.Permit) {
		w.t.Fatalf("%q was done, and its issuer then said %d", body, a.Code)
	}
	if p.onAnswer != nil {
		p.onAnswer(a)
	}
}

// checkDispatch checks an attempt that leaves a coordinator.
func (w *simulation) checkDispatch(h *simulatedHost, r RoutedRequest) {
	if h.view.LeavingEndpoints[r.Request.Endpoint] {
		w.t.Fatalf("%v goes to %s, which is leaving", r.Request.Key, r.Request.Endpoint)
	}
	if r.Request.Budget <= 0 {
		w.t.Fatalf("%v is dispatched with budget %v", r.Request.Key, r.Request.Budget)
	}
	if r.Request.Operation != dispatch.Search {
		return
	}
	l := &h.searchLoad
	l.dispatched++
	l.distinct[fmt.Sprint(r.Request.Request, r.Request.Snapshot, r.Request.Range)] = true
	if l.exemptRetries > l.snapshotGoneRefusals {
		w.t.Fatalf("%d retries after %d refusals for a lost snapshot", l.exemptRetries, l.snapshotGoneRefusals)
	}
	extra := l.dispatched - len(l.distinct) - l.exemptRetries
	primaries := maxShards * (l.queries + l.restarts)
	if allowed := hostHedgeBurst + hostRetryBurst + primaries*(hedgePerMille+retryPerMille)/1000; extra > allowed {
		w.t.Fatalf("%d extra attempts, the budgets allow %d", extra, allowed)
	}
}

// checkSend checks an attempt that leaves a relay.
func (w *simulation) checkSend(h *simulatedHost, r dispatch.Request) {
	if h.view.LeavingEndpoints[r.Endpoint] {
		w.t.Fatalf("%v is sent to %s, which is leaving", r.Key, r.Endpoint)
	}
}

// checkIdle checks that nothing is left over on a host without requests.
func (w *simulation) checkIdle(h *simulatedHost) {
	m := h.coordinator
	queued, admitted := m.admission.Counts()
	left := []int{queued, admitted, m.RunningRequests(), m.OutstandingAttempts(), len(h.pending), len(m.timers), len(m.queryIDs), len(m.submissionsByAdmission), len(m.relayFailures), len(m.pendingReleases)}
	if slices.Max(left) > 0 || !h.relay.Idle() {
		w.t.Fatalf("left over when idle (queued, admitted, running, outstanding, callers, timers, tickets, submits, relays, released): %v, relay idle %v", left, h.relay.Idle())
	}
}
