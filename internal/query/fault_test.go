package query_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

func TestQuery(t *testing.T) { testsuite.RunSpecs(t, "query") }

const replyTime = 2 * time.Millisecond

// behaviour is how an endpoint answers an attempt; false means never.
type behaviour func(dispatch.Request) (dispatch.Reply, time.Duration, bool)

func healthy(r dispatch.Request) (dispatch.Reply, time.Duration, bool) {
	return good(r), replyTime, true
}

func refusing(code result.Code) behaviour {
	return func(r dispatch.Request) (dispatch.Reply, time.Duration, bool) {
		return r.RefusedReply(code), replyTime, true
	}
}

func losing(code result.Code) behaviour {
	return func(r dispatch.Request) (dispatch.Reply, time.Duration, bool) {
		return r.UnknownReply(code), replyTime, true
	}
}

func silent(dispatch.Request) (dispatch.Reply, time.Duration, bool) {
	return dispatch.Reply{}, 0, false
}

func straggling(r dispatch.Request) (dispatch.Reply, time.Duration, bool) {
	return good(r), 20 * replyTime, true
}

func otherSnapshot(r dispatch.Request) (dispatch.Reply, time.Duration, bool) {
	r.Snapshot--
	return good(r), replyTime, true
}

func crashOnSight(r dispatch.Request) (dispatch.Reply, time.Duration, bool) {
	return r.UnknownReply(result.EndpointCrashed), replyTime, true
}

// bench runs one query against endpoints with given behaviours.
type bench struct {
	behaviours map[string]behaviour
	leaving    map[string]bool
	service    config.Service
	suspicion  view.Suspicion
	shards     int
	// budgets are those of the query; nil gives it as much as it asks for.
	budgets query.Budgets

	// published is the index that the host knows; publish replaces it after half
	// of the deadline.
	published *config.Index
	publish   func() *config.Index

	now      time.Duration
	rng      *rand.Rand
	due      []delivery
	sent     []dispatch.Request
	canceled int
	answer   *query.Answer
	answered time.Duration
}

type delivery struct {
	at    time.Duration
	reply dispatch.Reply
}

func newBench() *bench {
	return &bench{
		behaviours: map[string]behaviour{},
		shards:     6,
		rng:        rand.New(rand.NewPCG(1, 1)),
		service: config.Service{
			Name: "s", Preference: config.PreferCoverage, LatencyTargetMS: 100, DeadlineMS: 400, MaxHits: 100,
			Hedge: config.Hedge{Max: 2}, Retry: config.Retry{Max: 6},
		},
	}
}

func (b *bench) Eligible(_ time.Duration, id string) bool { return !b.leaving[id] }

func (b *bench) Pick(_ time.Duration, candidates, exclude []string) (string, bool) {
	for _, c := range candidates {
		if !slices.Contains(exclude, c) && !b.leaving[c] {
			return c, true
		}
	}
	return "", false
}

func (b *bench) HedgeDelay(*config.Service) time.Duration { return 5 * time.Millisecond }
func (b *bench) CountPrimary(int)                         {}
func (b *bench) TakeHedge(int) bool                       { return true }
func (b *bench) TakeRetry(int) bool                       { return true }

// index gives each shard three replicas, each endpoint first for some shards,
// and an older snapshot with other shards.
func (b *bench) index() *config.Index {
	ids := []string{"e1", "e2", "e3"}
	x := &config.Index{Snapshots: []config.Snapshot{{ID: 1}, {ID: 2}}}
	for s := range x.Snapshots {
		for i, r := range keyrange.Split(b.shards - 1 + s) {
			replicas := slices.Concat(ids[i%3:], ids[:i%3])
			x.Snapshots[s].Shards = append(x.Snapshots[s].Shards, config.Shard{Range: r, Replicas: replicas})
		}
	}
	return x
}

// latest is the index that the host knows at the time.
func (b *bench) latest() *config.Index {
	if b.publish != nil && b.now >= b.service.Deadline()/2 {
		b.published = b.publish()
	}
	return b.published
}

// run steps the query through its deliveries and timers until its answer.
func (b *bench) run() *query.Answer {
	if b.budgets == nil {
		b.budgets = b
	}
	q := query.New(query.Params{
		ID: "q", Service: &b.service, Index: b.index(), LatestIndex: b.latest, Deadline: b.service.Deadline(),
		Suspicion: b.suspicion, Replicas: b, Budgets: b.budgets, Rand: b.rng,
	})
	b.apply(q.Start(0))
	for b.answer == nil {
		slices.SortStableFunc(b.due, func(a, c delivery) int { return int(a.at - c.at) })
		if len(b.due) > 0 && b.due[0].at <= q.NextTick() {
			d := b.due[0]
			b.due = b.due[1:]
			b.now = d.at
			b.apply(q.Reply(b.now, d.reply))
			continue
		}
		b.now = max(b.now, q.NextTick())
		b.apply(q.Tick(b.now))
	}
	return b.answer
}

func (b *bench) apply(a query.Actions) {
	b.canceled += len(a.Cancel)
	for _, r := range a.Dispatch {
		b.sent = append(b.sent, r)
		behave := b.behaviours[r.Endpoint]
		if behave == nil {
			behave = healthy
		}
		if reply, after, ok := behave(r); ok {
			b.due = append(b.due, delivery{at: b.now + after, reply: reply})
		}
	}
	if a.Answer != nil {
		b.answer, b.answered = a.Answer, b.now
	}
}

// faults of one endpoint that leave the index whole on the others.
var faults = []struct {
	name  string
	fault behaviour
}{
	{"straggler", straggling},
	{"silent", silent},
	{"shedding", refusing(result.EndpointShed)},
	{"leaving", refusing(result.EndpointLeaving)},
	{"cold", refusing(result.EndpointCold)},
	{"lost", refusing(result.ConnectFailed)},
	{"snapshot gone", refusing(result.SnapshotGone)},
	{"moved", refusing(result.RangeNotHeld)},
	{"connection silent", losing(result.ConnectionSilent)},
	{"failing", losing(result.EndpointFailed)},
	{"other snapshot", otherSnapshot},
}

func faultEntries() []TableEntry {
	var out []TableEntry
	for _, a := range faults {
		out = append(out, Entry(a.name, a.fault, behaviour(healthy)))
		for _, b := range faults {
			out = append(out, Entry(fmt.Sprintf("%s and %s", a.name, b.name), a.fault, b.fault))
		}
	}
	return out
}

var _ = Describe("query", func() {
	DescribeTable("covers every range while one replica of each shard is healthy",
		func(first, second behaviour) {
			b := newBench()
			b.behaviours["e1"], b.behaviours["e2"] = first, second
			a := b.run()
			Expect(a.Code).To(Equal(result.Complete))
			Expect(a.Hits).To(Equal(expected(a.Snapshot, []keyrange.Range{keyrange.All()}, 100)))
		}, faultEntries())

	It("answers at the latency target with what has arrived", func() {
		b := newBench()
		b.service.Preference = config.PreferLatency
		b.service.Hedge.Max = 0
		b.behaviours["e1"] = silent
		a := b.run()
		Expect(b.answered).To(Equal(b.service.LatencyTarget()))
		Expect(a.Code).To(Equal(result.Partial))
		Expect(a.Missing).To(HaveLen(2))
		Expect(a.Missing[0].Code).To(Equal(result.MissingDeadline))
	})

	It("waits for coverage until the deadline", func() {
		b := newBench()
		b.service.Hedge.Max = 0
		b.behaviours["e1"] = silent
		a := b.run()
		Expect(b.answered).To(Equal(b.service.Deadline()))
		Expect(a.Covered).To(Equal(4))
	})

	It("retries until the deadline if coverage goes first", func() {
		b := newBench()
		b.service.Retry.Max = 1
		shed := func(r dispatch.Request) (dispatch.Reply, time.Duration, bool) {
			if b.now < b.service.Deadline()/2 {
				return r.RefusedReply(result.EndpointShed), replyTime, true
			}
			return healthy(r)
		}
		b.behaviours["e1"], b.behaviours["e2"], b.behaviours["e3"] = shed, shed, shed
		Expect(b.run().Code).To(Equal(result.Complete))
	})

	It("hedges a second time when the first hedge is slow", func() {
		b := newBench()
		b.behaviours["e1"], b.behaviours["e2"] = straggling, straggling
		a := b.run()
		Expect(a.Code).To(Equal(result.Complete))
		Expect(b.answered).To(BeNumerically("<", 20*replyTime))
	})

	It("restarts once on another snapshot when no replica holds the newest", func() {
		b := newBench()
		gone := func(r dispatch.Request) (dispatch.Reply, time.Duration, bool) {
			if r.Snapshot == 2 {
				return r.RefusedReply(result.SnapshotGone), replyTime, true
			}
			return healthy(r)
		}
		b.behaviours["e1"], b.behaviours["e2"], b.behaviours["e3"] = gone, gone, gone
		a := b.run()
		Expect(a.Code).To(Equal(result.Complete))
		Expect(a.Snapshot).To(BeEquivalentTo(1))
		Expect(a.Hits).To(Equal(expected(1, []keyrange.Range{keyrange.All()}, 100)))
	})

	It("restarts when the replicas that may still hold the newest are leaving", func() {
		b := newBench()
		gone := func(r dispatch.Request) (dispatch.Reply, time.Duration, bool) {
			if r.Snapshot == 2 {
				return r.RefusedReply(result.SnapshotGone), replyTime, true
			}
			return healthy(r)
		}
		b.behaviours["e1"], b.behaviours["e2"] = gone, gone
		b.leaving = map[string]bool{"e3": true}
		a := b.run()
		Expect(a.Code).To(Equal(result.Complete))
		Expect(a.Snapshot).To(BeEquivalentTo(1))
	})

	It("does not retry what a relay knows to be quarantined", func() {
		b := newBench()
		quarantined := refusing(result.Quarantined)
		b.behaviours["e1"], b.behaviours["e2"], b.behaviours["e3"] = quarantined, quarantined, quarantined
		Expect(b.run().Code).To(Equal(result.Quarantined))
		Expect(b.sent).To(HaveLen(6))
	})

	It("restarts when the host learns of the snapshot that the endpoints went to", func() {
		b := newBench()
		known := b.index()
		b.published = known
		b.publish = func() *config.Index {
			next := b.index()
			next.Snapshots[1].ID = 3
			return next
		}
		later := func(r dispatch.Request) (dispatch.Reply, time.Duration, bool) {
			if r.Snapshot < 3 {
				return r.RefusedReply(result.SnapshotGone), replyTime, true
			}
			return healthy(r)
		}
		b.behaviours["e1"], b.behaviours["e2"], b.behaviours["e3"] = later, later, later
		a := b.run()
		Expect(a.Code).To(Equal(result.Complete))
		Expect(a.Snapshot).To(BeEquivalentTo(3))
	})

	It("follows a shard to the replicas that it moved to", func() {
		b := newBench()
		b.published = b.index()
		b.publish = func() *config.Index {
			next := b.index()
			for i := range next.Snapshots[1].Shards {
				next.Snapshots[1].Shards[i].Replicas = []string{"e4"}
			}
			return next
		}
		moved := refusing(result.RangeNotHeld)
		b.behaviours["e1"], b.behaviours["e2"], b.behaviours["e3"] = moved, moved, moved
		a := b.run()
		Expect(a.Code).To(Equal(result.Complete))
		Expect(a.Snapshot).To(BeEquivalentTo(2))
	})

	It("is not run when every attempt is refused", func() {
		b := newBench()
		shed := refusing(result.EndpointShed)
		b.behaviours["e1"], b.behaviours["e2"], b.behaviours["e3"] = shed, shed, shed
		Expect(b.run().Code).To(Equal(result.AllRefused))
	})

	It("sends a known suspect to one endpoint and stops at its crash", func() {
		b := newBench()
		b.suspicion = view.Suspected
		b.behaviours["e1"], b.behaviours["e2"], b.behaviours["e3"] = crashOnSight, crashOnSight, crashOnSight
		a := b.run()
		Expect(b.sent).To(HaveLen(1))
		Expect(b.sent[0].Suspect).To(BeTrue())
		Expect(a.Missing).To(HaveLen(6))
		Expect(a.Missing[0].Code).To(Equal(result.MissingQuarantined))
	})

	It("recovers an innocent query that was in flight at a crash", func() {
		b := newBench()
		down := true
		b.behaviours["e1"] = func(r dispatch.Request) (dispatch.Reply, time.Duration, bool) {
			if down {
				down = false
				return crashOnSight(r)
			}
			return healthy(r)
		}
		Expect(b.run().Code).To(Equal(result.Complete))
	})

	It("refuses a quarantined request without an attempt", func() {
		b := newBench()
		b.suspicion = view.Quarantined
		Expect(b.run().Code).To(Equal(result.Quarantined))
		Expect(b.sent).To(BeEmpty())
	})
})
