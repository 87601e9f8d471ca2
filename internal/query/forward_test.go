package query_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// always picks the first replica that is not excluded, and allows every attempt.
type always struct{ denied bool }

func (always) Eligible(time.Duration, string) bool      { return true }
func (always) HedgeDelay(*config.Service) time.Duration { return 10 * time.Millisecond }
func (always) CountPrimary(int)                         {}
func (a always) TakeHedge(int) bool                     { return !a.denied }
func (a always) TakeRetry(int) bool                     { return !a.denied }
func (always) Pick(_ time.Duration, candidates, exclude []string) (string, bool) {
	for _, c := range candidates {
		excluded := false
		for _, e := range exclude {
			excluded = excluded || c == e
		}
		if !excluded {
			return c, true
		}
	}
	return "", false
}

func forwarded(shards int, f query.Forward, a always) *query.Query {
	s := config.Snapshot{ID: 1}
	for i := range shards {
		s.Shards = append(s.Shards, config.Shard{Range: keyrange.Range{Start: keyrange.Key(i), End: keyrange.Key(i + 1)}, Replicas: []string{"a", "b", "c"}})
	}
	service := &config.Service{Name: "r", Preference: config.PreferLatency, Retry: config.Retry{Max: 1}, Hedge: config.Hedge{Max: 1}}
	if f.Message.Once {
		service.Hedge.Max = 0
	}
	return query.New(query.Params{
		ID: "q", Service: service, Index: &config.Index{Snapshots: []config.Snapshot{s}}, Forward: &f, Deadline: time.Second,
		Replicas: a, Budgets: a, Rand: rand.New(rand.NewPCG(1, 1)),
	})
}

func goodReply(d dispatch.Request, body string) dispatch.Reply {
	return dispatch.Reply{
		Key: d.Key, Endpoint: d.Endpoint, Outcome: dispatch.OK, Snapshot: d.Snapshot, Range: d.Range,
		Response: &dispatch.Response{Status: 200, Body: []byte(body)},
	}
}

// A request that runs at most once is sent again only after a proved refusal.
func TestOnceIsSentAgainOnlyAfterARefusal(t *testing.T) {
	for name, tc := range map[string]struct {
		reply func(d *dispatch.Request) dispatch.Reply
		again bool
	}{
		"refused":   {func(d *dispatch.Request) dispatch.Reply { return d.RefusedReply(result.EndpointShed) }, true},
		"no dial":   {func(d *dispatch.Request) dispatch.Reply { return d.RefusedReply(result.ConnectFailed) }, true},
		"lost":      {func(d *dispatch.Request) dispatch.Reply { return d.UnknownReply(result.OutcomeUnknown) }, false},
		"cancelled": {func(d *dispatch.Request) dispatch.Reply { return d.UnknownReply(result.Cancelled) }, false},
	} {
		g := NewWithT(t)
		q := forwarded(1, query.Forward{Message: &dispatch.Message{Once: true}, MaxReplicas: 2}, always{})
		sent := q.Start(0).Dispatch
		g.Expect(sent).To(HaveLen(1), name)
		next := q.Reply(time.Millisecond, tc.reply(&sent[0]))
		g.Expect(len(next.Dispatch) == 1).To(Equal(tc.again), name)
		g.Expect(next.Answer != nil).To(Equal(!tc.again), name)
		if next.Answer != nil {
			g.Expect(next.Answer.MayHaveRun).To(BeTrue(), name)
		}
	}
}

// Without budget a refused request for one replica is handed back at once, as not
// run.
func TestDeniedRetryHandsBack(t *testing.T) {
	g := NewWithT(t)
	q := forwarded(1, query.Forward{Message: &dispatch.Message{}, MaxReplicas: 2}, always{denied: true})
	sent := q.Start(0).Dispatch
	a := q.Reply(time.Millisecond, sent[0].RefusedReply(result.EndpointShed)).Answer
	g.Expect(a).NotTo(BeNil())
	g.Expect(a.MayHaveRun).To(BeFalse())
	g.Expect(a.Code.Class()).To(Equal(result.ClassNotRun))
}

// An attempt that ends with the query's time is missing for the deadline, whichever
// is seen first.
func TestReplyAtTheDeadline(t *testing.T) {
	g := NewWithT(t)
	q := forwarded(1, query.Forward{Message: &dispatch.Message{Once: true}}, always{})
	sent := q.Start(0).Dispatch
	a := q.Reply(time.Second, sent[0].UnknownReply(result.OutcomeUnknown)).Answer
	g.Expect(a).NotTo(BeNil())
	g.Expect(a.Missing[0].Code).To(Equal(result.MissingDeadline))
}

// A query is answered at its target with the least share, and not before.
func TestAnswerAtTheTarget(t *testing.T) {
	g := NewWithT(t)
	q := forwarded(4, query.Forward{Message: &dispatch.Message{}, Target: 100 * time.Millisecond, MinCovered: 3, UnlimitedRetries: true}, always{denied: true})
	sent := q.Start(0).Dispatch
	g.Expect(sent).To(HaveLen(4))
	for _, d := range sent[:2] {
		g.Expect(q.Reply(20*time.Millisecond, goodReply(d, "")).Answer).To(BeNil())
	}
	g.Expect(q.Tick(100 * time.Millisecond).Answer).To(BeNil())
	g.Expect(q.Reply(150*time.Millisecond, goodReply(sent[2], "")).Answer).To(BeNil())
	a := q.Tick(q.NextTick()).Answer
	g.Expect(a).NotTo(BeNil())
	g.Expect(a.Covered).To(Equal(3))
	g.Expect(a.Responses).To(HaveLen(3))
}

// An attempt that ends just before the target is not followed by one that the
// answer would not wait for. A replica that is the last one of its shard would run
// it for nothing.
func TestNoAttemptJustBeforeTheAnswer(t *testing.T) {
	g := NewWithT(t)
	q := forwarded(4, query.Forward{Message: &dispatch.Message{}, Target: 100 * time.Millisecond, MinCovered: 3, UnlimitedRetries: true}, always{})
	sent := q.Start(0).Dispatch
	for _, d := range sent[:3] {
		q.Reply(5*time.Millisecond, goodReply(d, ""))
	}
	late := q.Reply(98*time.Millisecond, sent[3].UnknownReply(result.OutcomeUnknown))
	g.Expect(late.Dispatch).To(BeEmpty())
	g.Expect(q.NextTick()).To(Equal(100 * time.Millisecond))
	a := q.Tick(q.NextTick())
	g.Expect(a.Dispatch).To(BeEmpty())
	g.Expect(a.Answer.Covered).To(Equal(3))
}

// A query that lacks the least share at its target goes on.
func TestAttemptsGoOnWithoutTheLeastShare(t *testing.T) {
	g := NewWithT(t)
	q := forwarded(4, query.Forward{Message: &dispatch.Message{}, Target: 100 * time.Millisecond, MinCovered: 4, UnlimitedRetries: true}, always{})
	sent := q.Start(0).Dispatch
	for _, d := range sent[:3] {
		q.Reply(5*time.Millisecond, goodReply(d, ""))
	}
	g.Expect(q.Reply(98*time.Millisecond, sent[3].UnknownReply(result.OutcomeUnknown)).Dispatch).To(HaveLen(1))
}

// A query ends as soon as the least share is out of reach.
func TestHopelessQueryEndsAtOnce(t *testing.T) {
	g := NewWithT(t)
	q := forwarded(3, query.Forward{Message: &dispatch.Message{}, Target: 100 * time.Millisecond, MinCovered: 3}, always{denied: true})
	sent := q.Start(0).Dispatch
	a := q.Reply(time.Millisecond, sent[1].RefusedReply(result.EndpointShed)).Answer
	g.Expect(a).NotTo(BeNil())
	g.Expect(a.Covered).To(BeZero())
}

// No more replicas of a shard are sent the message than its route allows.
func TestReplicasAreBounded(t *testing.T) {
	g := NewWithT(t)
	q := forwarded(1, query.Forward{Message: &dispatch.Message{}, MaxReplicas: 2, Target: 500 * time.Millisecond, MinCovered: 1, UnlimitedRetries: true}, always{})
	used := map[string]bool{}
	actions := q.Start(0)
	for now := time.Duration(0); now < 500*time.Millisecond && actions.Answer == nil; now = q.NextTick() {
		for _, d := range actions.Dispatch {
			used[d.Endpoint] = true
			actions = q.Reply(now, d.UnknownReply(result.OutcomeUnknown))
		}
		if len(actions.Dispatch) == 0 {
			actions = q.Tick(q.NextTick())
		}
	}
	g.Expect(len(used)).To(Equal(2))
}

func TestMergeRecords(t *testing.T) {
	g := NewWithT(t)
	record := func(c byte) string { return string([]byte{c, c, c, c, c, c, c, c, c, c, c, c, c, c, c, c}) }
	parts := []*dispatch.Response{
		{Body: []byte(record('b') + record('a') + "cut")},
		{Body: []byte(record('c') + record('b'))},
		{},
	}
	g.Expect(string(query.MergeRecords(parts, 3))).To(Equal(record('c') + record('b') + record('b')))
	g.Expect(query.MergeRecords(parts, 9)).To(HaveLen(4 * query.RecordSize))
	g.Expect(query.MergeRecords(nil, 9)).To(BeEmpty())
}
