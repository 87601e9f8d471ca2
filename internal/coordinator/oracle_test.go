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
	// slack is how much later than its deadline an answer may come: a tick.
	slack         = 2 * TickInterval
	hedgePerMille = 50
	retryPerMille = 100
	maxShards     = 4
	burst         = hostRetryBurst
)

// oracle records what the endpoints ran and what callers were told.
type oracle struct {
	t *rapid.T
	// runs counts the runs of a permit.
	runs map[string]int
	// bodies holds the bodies of queries and submits that ran at all.
	bodies map[string]bool
	// notRun holds the bodies that were told not run.
	notRun map[string]bool
	// done holds the outcome that a submit's body was told.
	done map[string]string
	// good holds the ranges of a query's body that were served, by snapshot.
	good map[servedKey][]keyrange.Range
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
	then     func(api.SubmitAnswer)
}

// load counts the search attempts of one incarnation.
type load struct {
	queries, restarts, dispatched int
	distinct                      map[string]bool
	// gone counts the refusals of endpoints that lost the snapshot, and free the
	// retries after them, which the budgets do not bound.
	gone, free int
}

func newLoad() load { return load{distinct: make(map[string]bool)} }

func (l *load) count(events []query.Event) {
	for _, e := range events {
		switch {
		case e.Kind == query.EventRestart:
			l.restarts++
		case e.Kind == query.EventRetry && e.Code == result.SnapshotGone:
			l.free++
		}
	}
}

// documents is what a snapshot holds in a range: each document has two keys.
func documents(snapshot uint64, r keyrange.Range) []dispatch.Hit {
	var out []dispatch.Hit
	for i := range keyrange.Key(16) {
		if k := keyrange.End / 16 * i; r.Contains(k) {
			out = append(out, dispatch.Hit{Document: fmt.Sprint("doc-", i/2), Key: k, Score: float64((uint64(i)*7 + snapshot) % 5)})
		}
	}
	return out
}

// expected is the merged answer over ranges: the best entry of each document.
func expected(snapshot uint64, ranges []keyrange.Range) []dispatch.Hit {
	best := make(map[string]dispatch.Hit)
	for _, r := range ranges {
		for _, h := range documents(snapshot, r) {
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

// ran records that an endpoint ran a request.
func (o *oracle) ran(r dispatch.Request) {
	o.bodies[r.Body] = true
	if o.notRun[r.Body] {
		o.t.Fatalf("%q ran after it was told not run", r.Body)
	}
	if r.Operation != dispatch.Submit {
		return
	}
	o.runs[r.Request]++
	if o.runs[r.Request] > 1 {
		o.t.Fatalf("permit %s ran %d times", r.Request, o.runs[r.Request])
	}
}

func (o *oracle) served(r dispatch.Request) {
	k := servedKey{body: r.Body, snapshot: r.Snapshot}
	o.good[k] = append(o.good[k], r.Range)
}

// close ends the wait of a caller, which was answered in time and once.
func (w *fleet) close(h *fleetHost, t Ticket) *pending {
	p := h.pending[t]
	if p == nil {
		w.t.Fatalf("ticket %d was answered twice or never taken", t)
	}
	if limit := p.due(h); w.now > limit {
		w.t.Fatalf("ticket %d was answered at %v, due %v", t, w.now, limit)
	}
	delete(h.pending, t)
	return p
}

func (p *pending) due(h *fleetHost) time.Duration { return max(p.deadline, h.paused+slack) }

func (w *fleet) checkOverdue(h *fleetHost) {
	for t, p := range h.pending {
		if w.now > p.due(h) {
			w.t.Fatalf("ticket %d has no answer at %v, due %v: %+v", t, w.now, p.due(h), p)
		}
	}
}

// checkBounds checks that state does not outgrow the requests in progress.
func (w *fleet) checkBounds(h *fleetHost) {
	m := h.coordinator
	if len(m.timers) > m.RunningRequests() || len(m.queryIDs) > m.RunningRequests() || len(m.submissionsByAdmission) > len(m.submissions) {
		w.t.Fatalf("%d timers, %d tickets and %d admissions for %d requests", len(m.timers), len(m.queryIDs), len(m.submissionsByAdmission), m.RunningRequests())
	}
}

func (o *oracle) tellNotRun(body string, code result.Code) {
	if o.bodies[body] {
		o.t.Fatalf("%q was told %d, but it ran", body, code)
	}
	o.notRun[body] = true
}

func (w *fleet) answerQuery(h *fleetHost, q QueryAnswer) {
	p := w.close(h, q.Ticket)
	a := q.Answer
	if a.RequestID != p.query.RequestID {
		w.t.Fatalf("request %q got the answer of %q", p.query.RequestID, a.RequestID)
	}
	if a.Code.Class() == result.ClassNotRun {
		w.tellNotRun(p.query.Query, a.Code)
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
	unserved := keyrange.Subtract(covered, w.good[servedKey{body: p.query.Query, snapshot: a.Snapshot}])
	if len(unserved) > 0 {
		w.t.Fatalf("%q claims %v, of which %v was never served", p.query.Query, covered, unserved)
	}
	if want := expected(a.Snapshot, covered); !slices.Equal(a.Hits, want) {
		w.t.Fatalf("hits %v, want %v", a.Hits, want)
	}
	if (a.Code == result.Complete) != (len(missing) == 0) {
		w.t.Fatalf("code %d with %d missing", a.Code, len(missing))
	}
}

func (w *fleet) answerSubmit(h *fleetHost, t Ticket, a api.SubmitAnswer) {
	p := w.close(h, t)
	if a.Permit != p.submit.Permit {
		w.t.Fatalf("permit %q got the answer of %q", p.submit.Permit, a.Permit)
	}
	body := p.submit.Body
	switch a.Code.Class() {
	case result.ClassNotRun:
		w.tellNotRun(body, a.Code)
	case result.ClassComplete:
		if w.runs[a.Permit] != 1 || !w.bodies[body] || a.Outcome != "outcome of "+body {
			w.t.Fatalf("%q was told done with %q after %d runs", body, a.Outcome, w.runs[a.Permit])
		}
		w.done[body] = a.Outcome
	case result.ClassFailed:
		if w.runs[a.Permit] != 1 || w.done[body] != "" {
			w.t.Fatalf("%q was told failed after %d runs and outcome %q", body, w.runs[a.Permit], w.done[body])
		}
	}
	if w.done[body] != "" && a.Code.Class() != result.ClassComplete && w.issued(h, a.Permit) {
		w.t.Fatalf("%q was done, and its issuer then said %d", body, a.Code)
	}
	if p.then != nil {
		p.then(a)
	}
}

// checkDispatch checks an attempt that leaves a coordinator.
func (w *fleet) checkDispatch(h *fleetHost, r RoutedRequest) {
	if h.view.LeavingEndpoints[r.Request.Endpoint] {
		w.t.Fatalf("%v goes to %s, which is leaving", r.Request.Key, r.Request.Endpoint)
	}
	if r.Request.Budget <= 0 {
		w.t.Fatalf("%v is dispatched with budget %v", r.Request.Key, r.Request.Budget)
	}
	if r.Request.Operation != dispatch.Search {
		return
	}
	l := &h.load
	l.dispatched++
	l.distinct[fmt.Sprint(r.Request.Request, r.Request.Snapshot, r.Request.Range)] = true
	if l.free > l.gone {
		w.t.Fatalf("%d retries after %d refusals for a lost snapshot", l.free, l.gone)
	}
	extra := l.dispatched - len(l.distinct) - l.free
	primaries := maxShards * (l.queries + l.restarts)
	if allowed := hostHedgeBurst + hostRetryBurst + primaries*(hedgePerMille+retryPerMille)/1000; extra > allowed {
		w.t.Fatalf("%d extra attempts, the budgets allow %d", extra, allowed)
	}
}

// checkSend checks an attempt that leaves a relay.
func (w *fleet) checkSend(h *fleetHost, r dispatch.Request) {
	if h.view.LeavingEndpoints[r.Endpoint] {
		w.t.Fatalf("%v is sent to %s, which is leaving", r.Key, r.Endpoint)
	}
}

// checkQuiet checks that nothing is left over on a host without requests.
func (w *fleet) checkQuiet(h *fleetHost) {
	m := h.coordinator
	queued, admitted := m.admission.Counts()
	left := []int{queued, admitted, m.RunningRequests(), m.OutstandingAttempts(), len(h.pending), len(m.timers), len(m.queryIDs), len(m.submissionsByAdmission), len(m.relayFailures), len(m.pendingReleases)}
	if slices.Max(left) > 0 || !h.relay.Idle() {
		w.t.Fatalf("left over when idle (queued, admitted, running, outstanding, callers, timers, tickets, submits, relays, released): %v, relay idle %v", left, h.relay.Idle())
	}
}
