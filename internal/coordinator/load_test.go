package coordinator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// loadSimulation sends wide queries through one coordinator machine in virtual time.
// attempt decides how an endpoint without a queue serves an attempt.
type loadSimulation struct {
	m            *Machine
	rng          *rand.Rand
	now          time.Duration
	sequence     uint64
	events       eventHeap
	serveAttempt func(*rand.Rand) (refused bool, took time.Duration)
	startedAt    map[Ticket]time.Duration
	openAttempts map[dispatch.Key]bool

	latency       *hdrhistogram.Histogram
	dispatched    int
	answered      int
	coveredShards int
	wrongCoverage int
}

func newLoadSimulation(t testing.TB, service config.Service, replicas int) *loadSimulation {
	l := &loadSimulation{
		rng: rand.New(rand.NewPCG(1, 1)), now: time.Second, startedAt: map[Ticket]time.Duration{},
		openAttempts: map[dispatch.Key]bool{},
		latency:      hdrhistogram.New(1, 60_000_000, 3),
	}
	l.m = New(Config{Self: testSelf, Fingerprint: fingerprint}, l.rng)
	l.m.SetView(l.now, newWideView(t, service, replicas))
	return l
}

func (l *loadSimulation) schedule(delay time.Duration, f func()) {
	l.sequence++
	heap.Push(&l.events, event{at: l.now + delay, sequence: l.sequence, run: f})
}

func (l *loadSimulation) apply(a Actions) {
	for _, r := range a.Dispatch {
		l.sendAttempt(r.Request)
	}
	for _, c := range a.Cancel {
		l.scheduleReply(time.Millisecond, dispatch.Reply{Key: c.Cancel.Key, Outcome: dispatch.Unknown, Code: result.Cancelled})
	}
	for _, q := range a.Queries {
		l.checkAnswer(q)
	}
}

func (l *loadSimulation) sendAttempt(r dispatch.Request) {
	l.dispatched++
	l.openAttempts[r.Key] = true
	refused, took := l.serveAttempt(l.rng)
	if refused {
		l.scheduleReply(took, r.RefusedReply(result.EndpointShed))
		return
	}
	l.scheduleReply(took, wideReply(&r, []dispatch.Hit{{Document: r.Range.String()}}))
}

// scheduleReply replies to an attempt, unless it has ended before.
func (l *loadSimulation) scheduleReply(delay time.Duration, reply dispatch.Reply) {
	l.schedule(delay, func() {
		if !l.openAttempts[reply.Key] {
			return
		}
		delete(l.openAttempts, reply.Key)
		l.apply(l.m.Reply(l.now, reply))
	})
}

// checkAnswer checks the coverage of an checkAnswer against what its hits name: each
// shard has one document, named after its range.
func (l *loadSimulation) checkAnswer(q QueryAnswer) {
	l.answered++
	l.coveredShards += q.Answer.Coverage.Covered
	_ = l.latency.RecordValue((l.now - l.startedAt[q.Ticket]).Microseconds())
	delete(l.startedAt, q.Ticket)
	named := map[string]bool{}
	for _, h := range q.Answer.Hits {
		named[h.Document] = true
	}
	for _, missing := range q.Answer.Coverage.Missing {
		if named[missing.Range.String()] {
			l.wrongCoverage++
		}
		named[missing.Range.String()] = true
	}
	if len(named) != fanOut || len(q.Answer.Hits) != q.Answer.Coverage.Covered {
		l.wrongCoverage++
	}
}

// run sends queries at an interval and waits for all answers.
func (l *loadSimulation) run(queries int, every time.Duration) {
	for i := range queries {
		l.schedule(time.Duration(i)*every, func() {
			t := Ticket(i + 1)
			l.startedAt[t] = l.now
			l.apply(l.m.Query(l.now, t, api.QueryRequest{Service: "wide", Query: "text"}))
		})
	}
	next := l.now
	for len(l.events) > 0 || l.m.RunningRequests() > 0 {
		if len(l.events) > 0 && l.events[0].at <= next {
			l.now = l.events[0].at
			heap.Pop(&l.events).(event).run()
		} else {
			l.now = next
			l.apply(l.m.Tick(l.now))
		}
		next = l.m.Next(l.now)
	}
}

// dispatchesPerShard returns the dispatches for each shard asked for.
func (l *loadSimulation) dispatchesPerShard() float64 {
	return float64(l.dispatched) / float64(l.answered*fanOut)
}

func (l *loadSimulation) quantile(q float64) time.Duration {
	return time.Duration(l.latency.ValueAtQuantile(q)) * time.Microsecond
}

// refuseHalf refuses half of the attempts.
func refuseHalf(rng *rand.Rand) (bool, time.Duration) {
	return rng.IntN(2) == 0, 2 * time.Millisecond
}

// delayOneInHundred takes 4 to 6 ms, and twenty times as long in one of a hundred.
func delayOneInHundred(rng *rand.Rand) (bool, time.Duration) {
	took := 4*time.Millisecond + time.Duration(rng.IntN(2000))*time.Microsecond
	if rng.IntN(100) == 0 {
		took *= 20
	}
	return false, took
}

func runWithShedding(t testing.TB, preference config.Preference, queries int) *loadSimulation {
	service := wideService()
	service.MaxHits = fanOut
	service.Preference = preference
	l := newLoadSimulation(t, service, 2)
	l.serveAttempt = refuseHalf
	l.run(queries, 5*time.Millisecond)
	return l
}

func runWithStragglers(t testing.TB, hedges, queries int) *loadSimulation {
	service := wideService()
	service.MaxHits = fanOut
	service.LatencyTargetMS = service.DeadlineMS
	service.Hedge = config.Hedge{PercentilePerMille: 950, Max: hedges, BudgetPerMille: 50}
	l := newLoadSimulation(t, service, 2)
	l.serveAttempt = delayOneInHundred
	l.run(queries, 5*time.Millisecond)
	return l
}

func TestEveryReplicaShedsHalf(t *testing.T) {
	g := NewWithT(t)
	for _, preference := range []config.Preference{config.PreferLatency, config.PreferCoverage} {
		l := runWithShedding(t, preference, 300)
		g.Expect(l.answered).To(Equal(300))
		g.Expect(l.dispatchesPerShard()).To(BeNumerically("<=", 1.2), "dispatches a shard")
		g.Expect(l.dispatchesPerShard()).To(BeNumerically(">", 1.05), "the budget is left unused")
		g.Expect(l.wrongCoverage).To(BeZero(), "answers with untrue coverage")
		g.Expect(l.coveredShards).To(BeNumerically(">", l.answered*fanOut/2), "covered shards")
	}
}

func TestHedgesReduceTailLatency(t *testing.T) {
	g := NewWithT(t)
	none, two := runWithStragglers(t, 0, 1000), runWithStragglers(t, 2, 1000)
	g.Expect(two.quantile(99)).To(BeNumerically("<=", none.quantile(99)/3), "p99")
	g.Expect(two.dispatchesPerShard()).To(BeNumerically("<=", 1.05), "dispatches a shard")
	for _, l := range []*loadSimulation{none, two} {
		g.Expect(l.coveredShards).To(Equal(l.answered*fanOut), "covered shards")
		g.Expect(l.wrongCoverage).To(BeZero())
	}
}

// BenchmarkStragglers answers wide queries of which one attempt in a hundred
// takes twenty times as long.
func BenchmarkStragglers(b *testing.B) {
	for hedges := range 3 {
		b.Run(fmt.Sprintf("hedges=%d", hedges), func(b *testing.B) {
			for b.Loop() {
				reportMetrics(b, runWithStragglers(b, hedges, 5000))
			}
		})
	}
}

// BenchmarkShedding answers wide queries while each replica sheds half its
// calls.
func BenchmarkShedding(b *testing.B) {
	for _, preference := range []config.Preference{config.PreferLatency, config.PreferCoverage} {
		b.Run(string(preference), func(b *testing.B) {
			for b.Loop() {
				reportMetrics(b, runWithShedding(b, preference, 2000))
			}
		})
	}
}

func reportMetrics(b *testing.B, l *loadSimulation) {
	b.ReportMetric(float64(l.quantile(50).Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(l.quantile(99).Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(l.quantile(99.9).Microseconds())/1000, "p99.9-ms")
	b.ReportMetric(l.dispatchesPerShard(), "dispatches/shard")
	b.ReportMetric(float64(l.coveredShards)/float64(l.answered*fanOut), "coverage")
	b.ReportMetric(0, "ns/op")
}
