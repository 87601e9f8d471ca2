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
	// answerSlack is how much later than its deadline an answer may come,
	// because the machine may notice the deadline only at a tick.
	answerSlack   = 2 * TickInterval
	hedgePerMille = 50
	retryPerMille = 100
	maxShards     = 4
	retryBurst    = hostRetryBurst
)

// oracle records what the endpoints ran and how callers were answered, and
// checks each against the other.
type oracle struct {
	t *rapid.T
	// runsByPermit counts the runs of each permit's request.
	runsByPermit map[string]int
	// ranBodies holds the bodies of queries and submits that ran at least
	// once.
	ranBodies map[string]bool
	// answeredNotRun holds the bodies whose callers were answered that the
	// request did not run.
	answeredNotRun map[string]bool
	// answeredOutcomes maps the body of each submit that was answered as done
	// to its outcome.
	answeredOutcomes map[string]string
	// servedRanges maps the body of a query and a snapshot to the ranges that
	// endpoints served.
	servedRanges map[servedKey][]keyrange.Range
}

// servedKey identifies a query in one snapshot.
type servedKey struct {
	body     string
	snapshot uint64
}

// pending is a caller's request that waits for its answer.
type pending struct {
	query    api.QueryRequest
	submit   api.SubmitRequest
	deadline time.Duration
	onAnswer func(api.SubmitAnswer)
}

// searchLoad counts the queries of one incarnation, their restarts on another
// snapshot and their attempts. The counts are compared with the budgets for
// hedges and retries.
type searchLoad struct {
	queries, restarts, dispatched int
	// distinct holds a key for each query, snapshot and shard range that was
	// dispatched. Hedges and retries have the key of their first attempt.
	distinct map[string]bool
	// snapshotGoneRefusals counts the refusals by endpoints that lost the
	// snapshot. exemptRetries counts the retries that follow them, which the
	// budgets do not limit.
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

// documentsInRange returns the hits of a snapshot in a range. Each document
// has two keys.
func documentsInRange(snapshot uint64, r keyrange.Range) []dispatch.Hit {
	var hits []dispatch.Hit
	for i := range keyrange.Key(16) {
		if k := keyrange.End / 16 * i; r.Contains(k) {
			hits = append(hits, dispatch.Hit{Document: fmt.Sprint("doc-", i/2), Key: k, Score: float64((uint64(i)*7 + snapshot) % 5)})
		}
	}
	return hits
}

// expectedHits returns the merged hits of a snapshot over ranges: the best hit
// of each document.
func expectedHits(snapshot uint64, ranges []keyrange.Range) []dispatch.Hit {
	best := make(map[string]dispatch.Hit)
	for _, r := range ranges {
		for _, h := range documentsInRange(snapshot, r) {
			if current, ok := best[h.Document]; !ok || h.Score > current.Score {
				best[h.Document] = h
			}
		}
	}
	hits := make([]dispatch.Hit, 0, len(best))
	for _, h := range best {
		hits = append(hits, h)
	}
	slices.SortFunc(hits, func(a, b dispatch.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Document, b.Document))
	})
	return hits
}

// recordRun records that an endpoint ran a request, and checks that it was
// allowed to.
func (o *oracle) recordRun(r dispatch.Request) {
	o.ranBodies[r.Body] = true
	if o.answeredNotRun[r.Body] {
		o.t.Fatalf("%q ran after its caller was answered that it did not run", r.Body)
	}
	if r.Operation != dispatch.Submit {
		return
	}
	o.runsByPermit[r.Request]++
	if o.runsByPermit[r.Request] > 1 {
		o.t.Fatalf("permit %s ran %d times", r.Request, o.runsByPermit[r.Request])
	}
}

// recordServed records that an endpoint served the range of a query.
func (o *oracle) recordServed(r dispatch.Request) {
	k := servedKey{body: r.Body, snapshot: r.Snapshot}
	o.servedRanges[k] = append(o.servedRanges[k], r.Range)
}

// close removes a pending request, and checks that it is answered once and in
// time.
func (sim *simulation) close(h *simulatedHost, t Ticket) *pending {
	p := h.pending[t]
	if p == nil {
		sim.t.Fatalf("ticket %d was answered twice or has no pending request", t)
	}
	if due := p.answerDueBy(h); sim.now > due {
		sim.t.Fatalf("ticket %d was answered at %v, due %v", t, sim.now, due)
	}
	delete(h.pending, t)
	return p
}

// answerDueBy returns the latest time of the answer. A pause of the host
// delays it.
func (p *pending) answerDueBy(h *simulatedHost) time.Duration {
	return max(p.deadline, h.pausedUntil+answerSlack)
}

// checkOverdue checks that no pending request of a host is overdue.
func (sim *simulation) checkOverdue(h *simulatedHost) {
	for t, p := range h.pending {
		if sim.now > p.answerDueBy(h) {
			sim.t.Fatalf("ticket %d has no answer at %v, due %v: %+v", t, sim.now, p.answerDueBy(h), p)
		}
	}
}

// checkBounds checks that the state of a coordinator does not outgrow its
// requests in progress.
func (sim *simulation) checkBounds(h *simulatedHost) {
	m := h.coordinator
	if len(m.timers) > m.RunningRequests() || len(m.queryIDs) > m.RunningRequests() || len(m.submissionsByAdmission) > len(m.submissions) {
		sim.t.Fatalf("%d timers, %d query IDs and %d admissions for %d requests", len(m.timers), len(m.queryIDs), len(m.submissionsByAdmission), m.RunningRequests())
	}
}

// recordNotRunAnswer records an answer that the request did not run, and
// checks that it is true.
func (o *oracle) recordNotRunAnswer(body string, code result.Code) {
	if o.ranBodies[body] {
		o.t.Fatalf("%q was answered %d, which means not run, but it ran", body, code)
	}
	o.answeredNotRun[body] = true
}

// checkQueryAnswer checks the coverage and the hits of an answer against what
// the endpoints served.
func (sim *simulation) checkQueryAnswer(h *simulatedHost, q QueryAnswer) {
	p := sim.close(h, q.Ticket)
	a := q.Answer
	if a.RequestID != p.query.RequestID {
		sim.t.Fatalf("request %q got the answer of %q", p.query.RequestID, a.RequestID)
	}
	if a.Code.Class() == result.ClassNotRun {
		sim.recordNotRunAnswer(p.query.Query, a.Code)
		return
	}
	var missing []keyrange.Range
	var missingSize uint64
	for _, m := range a.Coverage.Missing {
		missing = append(missing, m.Range)
		missingSize += uint64(m.Range.End - m.Range.Start)
	}
	if missingSize != keyrange.Size(missing) {
		sim.t.Fatalf("missing ranges overlap: %v", missing)
	}
	covered := keyrange.Subtract([]keyrange.Range{keyrange.All()}, missing)
	unserved := keyrange.Subtract(covered, sim.servedRanges[servedKey{body: p.query.Query, snapshot: a.Snapshot}])
	if len(unserved) > 0 {
		sim.t.Fatalf("%q is answered with coverage of %v, of which %v was never served", p.query.Query, covered, unserved)
	}
	if want := expectedHits(a.Snapshot, covered); !slices.Equal(a.Hits, want) {
		sim.t.Fatalf("hits %v, want %v", a.Hits, want)
	}
	if (a.Code == result.Complete) != (len(missing) == 0) {
		sim.t.Fatalf("code %d with %d missing", a.Code, len(missing))
	}
}

// checkSubmitAnswer checks an answer against the runs of the permit and
// against earlier answers.
func (sim *simulation) checkSubmitAnswer(h *simulatedHost, t Ticket, a api.SubmitAnswer) {
	p := sim.close(h, t)
	if a.Permit != p.submit.Permit {
		sim.t.Fatalf("permit %q got the answer of %q", p.submit.Permit, a.Permit)
	}
	body := p.submit.Body
	switch a.Code.Class() {
	case result.ClassNotRun:
		sim.recordNotRunAnswer(body, a.Code)
	case result.ClassComplete:
		if sim.runsByPermit[a.Permit] != 1 || !sim.ranBodies[body] || a.Outcome != "outcome of "+body {
			sim.t.Fatalf("%q was answered done with outcome %q after %d runs", body, a.Outcome, sim.runsByPermit[a.Permit])
		}
		sim.answeredOutcomes[body] = a.Outcome
	case result.ClassFailed:
		if sim.runsByPermit[a.Permit] != 1 || sim.answeredOutcomes[body] != "" {
			sim.t.Fatalf("%q was answered failed after %d runs and earlier outcome %q", body, sim.runsByPermit[a.Permit], sim.answeredOutcomes[body])
		}
	}
	if sim.answeredOutcomes[body] != "" && a.Code.Class() != result.ClassComplete && sim.hasIssued(h, a.Permit) {
		sim.t.Fatalf("%q was answered done, and its issuer later answered %d", body, a.Code)
	}
	if p.onAnswer != nil {
		p.onAnswer(a)
	}
}

// checkDispatch checks an attempt that a coordinator dispatches, and that
// hedges and retries stay within their budgets.
func (sim *simulation) checkDispatch(h *simulatedHost, r RoutedRequest) {
	if h.view.LeavingEndpoints[r.Request.Endpoint] {
		sim.t.Fatalf("%v is dispatched to %s, which is leaving", r.Request.Key, r.Request.Endpoint)
	}
	if r.Request.Budget <= 0 {
		sim.t.Fatalf("%v is dispatched with budget %v", r.Request.Key, r.Request.Budget)
	}
	if r.Request.Operation != dispatch.Search {
		return
	}
	l := &h.searchLoad
	l.dispatched++
	l.distinct[fmt.Sprint(r.Request.Request, r.Request.Snapshot, r.Request.Range)] = true
	if l.exemptRetries > l.snapshotGoneRefusals {
		sim.t.Fatalf("%d retries after %d refusals for a lost snapshot", l.exemptRetries, l.snapshotGoneRefusals)
	}
	extra := l.dispatched - len(l.distinct) - l.exemptRetries
	primaries := maxShards * (l.queries + l.restarts)
	if allowed := hostHedgeBurst + hostRetryBurst + primaries*(hedgePerMille+retryPerMille)/1000; extra > allowed {
		sim.t.Fatalf("%d extra attempts were dispatched, the budgets allow %d", extra, allowed)
	}
}

// checkSend checks an attempt that a relay sends to an endpoint.
func (sim *simulation) checkSend(h *simulatedHost, r dispatch.Request) {
	if h.view.LeavingEndpoints[r.Endpoint] {
		sim.t.Fatalf("%v is sent to %s, which is leaving", r.Key, r.Endpoint)
	}
}

// checkIdle checks that a host without requests in progress has released all
// state.
func (sim *simulation) checkIdle(h *simulatedHost) {
	m := h.coordinator
	queued, admitted := m.admission.Counts()
	remaining := []int{queued, admitted, m.RunningRequests(), m.OutstandingAttempts(), len(h.pending), len(m.timers), len(m.queryIDs), len(m.submissionsByAdmission), len(m.relayFailures), len(m.pendingReleases)}
	if slices.Max(remaining) > 0 || !h.relay.Idle() {
		sim.t.Fatalf("left over when idle (queued, admitted, running, outstanding, pending, timers, query IDs, submissions, relay failures, pending releases): %v, relay idle %v", remaining, h.relay.Idle())
	}
}
