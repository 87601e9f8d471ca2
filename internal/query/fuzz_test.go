package query_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// world is the oracle of one query: it knows what each snapshot holds, which
// attempts ran and what each good reply carried.
type world struct {
	t     *rapid.T
	index *config.Index
	// all holds every snapshot that was ever published.
	all     []*config.Snapshot
	service *config.Service
	q       *query.Query
	now     time.Duration
	leaving map[string]bool
	rng     *rand.Rand

	hedges, retries int
	open            map[uint32]dispatch.Request
	closed          []dispatch.Request
	attempts        map[uint32]bool
	ran             bool
	covered         map[uint64][]keyrange.Range
	answers         []*query.Answer
	primaries       int
	// unsent counts attempts that were no sign of an endpoint's load.
	unsent   int
	restarts int
	// gone holds what endpoints said that they do not hold.
	gone map[held]bool
}

// held is a range of a snapshot at an endpoint.
type held struct {
	endpoint string
	snapshot uint64
	keys     keyrange.Range
}

func holding(r dispatch.Request) held {
	return held{endpoint: r.Endpoint, snapshot: r.Snapshot, keys: r.Range}
}

// documents is what a snapshot holds in a range: a document every 2^27 keys,
// where each document appears under two keys.
func documents(snapshot uint64, r keyrange.Range) []dispatch.Hit {
	var out []dispatch.Hit
	for i := range keyrange.Key(32) {
		if k := i << 27; r.Contains(k) {
			name := fmt.Sprintf("doc-%d", i/2)
			out = append(out, dispatch.Hit{Document: name, Key: k, Score: float64((uint64(i)*7+snapshot)%11) / 11})
		}
	}
	return out
}

// expected is the merged answer over ranges, written independently of the
// machine: the best entry of each document, best first.
func expected(snapshot uint64, ranges []keyrange.Range, limit int) []dispatch.Hit {
	best := make(map[string]dispatch.Hit)
	for _, r := range ranges {
		for _, h := range documents(snapshot, r) {
			old, ok := best[h.Document]
			if !ok || h.Score > old.Score || (h.Score == old.Score && h.Key < old.Key) {
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
	return out[:min(limit, len(out))]
}

func (w *world) Eligible(_ time.Duration, id string) bool { return !w.leaving[id] }

func (w *world) Pick(_ time.Duration, candidates, exclude []string) (string, bool) {
	var left []string
	for _, c := range candidates {
		if !w.leaving[c] && !slices.Contains(exclude, c) {
			left = append(left, c)
		}
	}
	if len(left) == 0 {
		return "", false
	}
	return left[w.rng.IntN(len(left))], true
}

func (w *world) HedgeDelay(*config.Service) time.Duration { return 10 * time.Millisecond }
func (w *world) CountPrimary(int)                         { w.primaries++ }
func (w *world) TakeHedge(int) bool                       { return take(&w.hedges) }
func (w *world) TakeRetry(int) bool                       { return take(&w.retries) }

func take(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// publish replaces the latest index: with another snapshot, or with the newest
// one on other shards and replicas.
func (w *world) publish(t *rapid.T) {
	newest := w.index.Snapshots[len(w.index.Snapshots)-1].ID
	x := newIndex(t)
	for i := range x.Snapshots {
		x.Snapshots[i].ID += newest - 1
	}
	w.know(x)
	clear(w.gone)
}

func (w *world) know(x *config.Index) {
	w.index = x
	for i := range x.Snapshots {
		w.all = append(w.all, &x.Snapshots[i])
	}
}

func newIndex(t *rapid.T) *config.Index {
	x := &config.Index{Service: "s"}
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		x.Endpoints = append(x.Endpoints, config.Endpoint{ID: id})
	}
	for s := range rapid.IntRange(1, 2).Draw(t, "snapshots") {
		snapshot := config.Snapshot{ID: uint64(s + 1)}
		for _, r := range keyrange.Split(rapid.IntRange(1, 5).Draw(t, "shards")) {
			replicas := rapid.Permutation([]string{"e1", "e2", "e3", "e4"}).Draw(t, "replicas")
			snapshot.Shards = append(snapshot.Shards, config.Shard{Range: r, Replicas: replicas[:2]})
		}
		x.Snapshots = append(x.Snapshots, snapshot)
	}
	return x
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t:        t,
		now:      time.Second,
		leaving:  make(map[string]bool),
		open:     make(map[uint32]dispatch.Request),
		attempts: make(map[uint32]bool),
		gone:     make(map[held]bool),
		covered:  make(map[uint64][]keyrange.Range),
		hedges:   rapid.IntRange(0, 3).Draw(t, "hedges"),
		retries:  rapid.IntRange(0, 4).Draw(t, "retries"),
		rng:      rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
	}
	w.know(newIndex(t))
	preference := rapid.SampledFrom([]config.Preference{config.PreferLatency, config.PreferCoverage}).Draw(t, "preference")
	w.service = &config.Service{
		Name: "s", Preference: preference, LatencyTargetMS: 50, DeadlineMS: 100, MaxHits: 12,
		Hedge: config.Hedge{Max: 2}, Retry: config.Retry{Max: 3},
	}
	suspicion := rapid.SampledFrom([]view.Suspicion{view.NotSuspected, view.NotSuspected, view.Suspected, view.Quarantined}).Draw(t, "suspicion")
	if rapid.Bool().Draw(t, "leaving") {
		w.leaving["e1"] = true
	}
	w.q = query.New(query.Params{
		ID: "q", Service: w.service, Index: w.index, LatestIndex: func() *config.Index { return w.index }, Deadline: w.now + w.service.Deadline(),
		Suspicion: suspicion, Replicas: w, Budgets: w, Rand: w.rng,
	})
	extra := w.hedges + w.retries
	w.apply(w.q.Start(w.now))
	t.Cleanup(func() { w.checkDispatches(extra) })
	return w
}

// apply checks and records the actions of a step.
func (w *world) apply(a query.Actions) {
	for _, c := range a.Cancel {
		w.close(c.Attempt)
	}
	for _, e := range a.Events {
		if e.Kind == query.EventRestart {
			// A restart drops what has arrived and plans anew; their number is
			// bounded.
			clear(w.covered)
			clear(w.gone)
			w.restarts++
		}
	}
	for _, r := range a.Dispatch {
		w.dispatch(r)
	}
	if a.Answer != nil {
		w.answers = append(w.answers, a.Answer)
		w.checkAnswer(a.Answer)
	}
}

func (w *world) dispatch(r dispatch.Request) {
	switch {
	case w.attempts[r.Attempt]:
		w.t.Fatalf("attempt %d is used twice", r.Attempt)
	case w.leaving[r.Endpoint]:
		w.t.Fatalf("attempt %d goes to a leaving endpoint", r.Attempt)
	case r.Suspect && len(w.open) > 0:
		w.t.Fatalf("a suspect has %d attempts beside attempt %d", len(w.open), r.Attempt)
	case len(w.answers) > 0:
		w.t.Fatalf("attempt %d follows the answer", r.Attempt)
	case w.gone[holding(r)]:
		w.t.Fatalf("attempt %d asks %s again for what it does not hold", r.Attempt, r.Endpoint)
	}
	w.attempts[r.Attempt] = true
	w.open[r.Attempt] = r
}

func (w *world) close(attempt uint32) {
	w.closed = append(w.closed, w.open[attempt])
	delete(w.open, attempt)
}

// good is the true reply of an endpoint.
func good(r dispatch.Request) dispatch.Reply {
	return dispatch.Reply{
		Key: r.Key, Endpoint: r.Endpoint, Outcome: dispatch.OK,
		Snapshot: r.Snapshot, Range: r.Range, Hits: documents(r.Snapshot, r.Range),
	}
}

func (w *world) pick() (dispatch.Request, bool) {
	if len(w.open) == 0 {
		return dispatch.Request{}, false
	}
	numbers := make([]uint32, 0, len(w.open))
	for n := range w.open {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return w.open[rapid.SampledFrom(numbers).Draw(w.t, "attempt")], true
}

// end delivers a reply to an open attempt.
func (w *world) end(reply func(dispatch.Request) dispatch.Reply, ran bool) {
	r, ok := w.pick()
	if !ok {
		return
	}
	w.close(r.Attempt)
	w.ran = w.ran || ran
	w.apply(w.q.Reply(w.now, reply(r)))
}

func (w *world) answerGood(*rapid.T) {
	w.end(func(r dispatch.Request) dispatch.Reply {
		w.covered[r.Snapshot] = append(w.covered[r.Snapshot], r.Range)
		return good(r)
	}, true)
}

func (w *world) answerWrongSnapshot(*rapid.T) {
	w.end(func(r dispatch.Request) dispatch.Reply {
		r.Snapshot++
		return good(r)
	}, true)
}

func (w *world) refuse(t *rapid.T) {
	code := rapid.SampledFrom([]result.Code{
		result.EndpointShed, result.EndpointLeaving, result.SnapshotGone, result.RangeNotHeld, result.ConnectFailed, result.PeerUnreachable,
	}).Draw(t, "code")
	w.end(func(r dispatch.Request) dispatch.Reply {
		switch code {
		case result.ConnectFailed, result.EndpointLeaving:
			w.unsent++
		case result.SnapshotGone, result.RangeNotHeld:
			w.unsent++
			w.gone[holding(r)] = true
		}
		return r.RefusedReply(code)
	}, false)
}

func (w *world) lose(t *rapid.T) {
	code := rapid.SampledFrom([]result.Code{result.EndpointCrashed, result.ConnectionSilent, result.OutcomeUnknown}).Draw(t, "code")
	w.end(func(r dispatch.Request) dispatch.Reply {
		if code == result.ConnectionSilent {
			w.unsent++
		}
		return r.UnknownReply(code)
	}, true)
}

// repeat delivers a late or duplicate reply to a closed attempt.
func (w *world) repeat(t *rapid.T) {
	if len(w.closed) > 0 {
		r := rapid.SampledFrom(w.closed).Draw(t, "closed")
		w.apply(w.q.Reply(w.now, good(r)))
	}
}

func (w *world) advance(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(1, 20).Draw(t, "ms")) * time.Millisecond
	w.apply(w.q.Tick(w.now))
	if !w.q.Done() && w.q.NextTick() <= w.now {
		w.t.Fatalf("a timer at %v is still due after the tick at %v", w.q.NextTick(), w.now)
	}
}

func (w *world) checkAnswer(a *query.Answer) {
	if len(w.answers) > 1 {
		w.t.Fatalf("answered %d times", len(w.answers))
	}
	if a.Code.Class() == result.ClassNotRun {
		w.checkNotRun()
		return
	}
	missing := make([]keyrange.Range, 0, len(a.Missing))
	for _, m := range a.Missing {
		missing = append(missing, m.Range)
	}
	covered := keyrange.Subtract([]keyrange.Range{keyrange.All()}, missing)
	if want := keyrange.Normalize(w.covered[a.Snapshot]); !slices.Equal(covered, want) {
		w.t.Fatalf("answer covers %v, good replies cover %v", covered, want)
	}
	if !w.published(a) {
		w.t.Fatalf("%d covered and %d missing shards are no version of snapshot %d", a.Covered, len(a.Missing), a.Snapshot)
	}
	if want := expected(a.Snapshot, covered, w.service.MaxHits); !slices.Equal(a.Hits, want) {
		w.t.Fatalf("hits %v, want %v", a.Hits, want)
	}
	if whole := len(a.Missing) == 0 && !a.Truncated; whole != (a.Code == result.Complete) {
		w.t.Fatalf("code %v with %d missing", a.Code, len(a.Missing))
	}
}

func (w *world) checkNotRun() {
	if w.ran || len(w.open) > 0 {
		w.t.Fatalf("told not run, but an attempt ran or is open")
	}
}

// published reports whether a version of the answer's snapshot has as many shards
// as the answer accounts for.
func (w *world) published(a *query.Answer) bool {
	return slices.ContainsFunc(w.all, func(s *config.Snapshot) bool {
		return s.ID == a.Snapshot && len(s.Shards) == a.Covered+len(a.Missing)
	})
}

// checkDispatches bounds the attempts, but those that were no sign of load, by
// primaries and budgets.
func (w *world) checkDispatches(extra int) {
	if w.restarts > 3 {
		w.t.Fatalf("%d restarts", w.restarts)
	}
	if n := len(w.attempts) - w.unsent; n > w.primaries+extra {
		w.t.Fatalf("%d attempts sent for %d primaries and %d extra", n, w.primaries, extra)
	}
}

func TestQueryAgainstOracle(t *testing.T) {
	testsuite.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"good":           w.answerGood,
			"good again":     w.answerGood,
			"wrong snapshot": w.answerWrongSnapshot,
			"refuse":         w.refuse,
			"lose":           w.lose,
			"late":           w.repeat,
			"publish":        w.publish,
			"advance":        w.advance,
		})
		w.now += w.service.Deadline()
		w.apply(w.q.Tick(w.now))
		if len(w.answers) != 1 {
			t.Fatalf("%d answers after the deadline", len(w.answers))
		}
		if len(w.open) != 0 {
			t.Fatalf("%d attempts are open after the answer", len(w.open))
		}
	})
}
