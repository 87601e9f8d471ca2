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

// loadSimulation sends wide queries to one coordinator state machine in
// virtual time. Its endpoints have no queues: serveAttempt decides whether an
// attempt is refused and how long it takes.
type loadSimulation struct {
	m            *Machine
	rng          *rand.Rand
	now          time.Duration
	sequence     uint64
	events       eventHeap
	serveAttempt func(*rand.Rand) (refused bool, serviceTime time.Duration)
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

// schedule runs f after a delay.
func (l *loadSimulation) schedule(delay time.Duration, f func()) {
	l.sequence++
	heap.Push(&l.events, event{at: l.now + delay, sequence: l.sequence, run: f})
}

// apply carries out the actions of the machine.
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
	refused, serviceTime := l.serveAttempt(l.rng)
	if refused {
		l.scheduleReply(serviceTime, r.RefusedReply(result.EndpointShed))
		return
	}
	l.scheduleReply(serviceTime, wideReply(&r, []dispatch.Hit{{Document: r.Range.String()}}))
}

// scheduleReply delivers the reply to an attempt after a delay, unless the
// attempt has ended before.
func (l *loadSimulation) scheduleReply(delay time.Duration, reply dispatch.Reply) {
	l.schedule(delay, func() {
		if !l.openAttempts[reply.Key] {
			return
		}
		delete(l.openAttempts, reply.Key)
		l.apply(l.m.Reply(l.now, reply))
	})
}

// checkAnswer compares the coverage that an answer states with its hits. Each
// shard has one document, whose name is the range of the shard.
func (l *loadSimulation) checkAnswer(q QueryAnswer) {
	l.answered++
	l.coveredShards += q.Answer.Coverage.Covered
	_ = l.latency.RecordValue((l.now - l.startedAt[q.Ticket]).Microseconds())
	delete(l.startedAt, q.Ticket)
	reportedShards := map[string]bool{}
	for _, h := range q.Answer.Hits {
		reportedShards[h.Document] = true
	}
	for _, missing := range q.Answer.Coverage.Missing {
		if reportedShards[missing.Range.String()] {
			l.wrongCoverage++
		}
		reportedShards[missing.Range.String()] = true
	}
	if len(reportedShards) != fanOut || len(q.Answer.Hits) != q.Answer.Coverage.Covered {
		l.wrongCoverage++
	}
}

// run sends queries at a fixed interval and waits for all answers.
func (l *loadSimulation) run(queries int, interval time.Duration) {
	for i := range queries {
		l.schedule(time.Duration(i)*interval, func() {
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
		next = l.m.NextTick(l.now)
	}
}

// dispatchesPerShard returns the number of attempts for each shard that a
// query asked for.
func (l *loadSimulation) dispatchesPerShard() float64 {
	return float64(l.dispatched) / float64(l.answered*fanOut)
}

func (l *loadSimulation) quantile(q float64) time.Duration {
	return time.Duration(l.latency.ValueAtQuantile(q)) * time.Microsecond
}

// refuseHalf refuses half of the attempts. Each takes 2 ms.
func refuseHalf(rng *rand.Rand) (bool, time.Duration) {
	return rng.IntN(2) == 0, 2 * time.Millisecond
}

// delayOneInHundred takes 4 to 6 ms for an attempt, and twenty times as long
// for one attempt in a hundred.
func delayOneInHundred(rng *rand.Rand) (bool, time.Duration) {
	serviceTime := 4*time.Millisecond + time.Duration(rng.IntN(2000))*time.Microsecond
	if rng.IntN(100) == 0 {
		serviceTime *= 20
	}
	return false, serviceTime
}

// runWithShedding runs queries while every replica refuses half of its
// attempts.
func runWithShedding(t testing.TB, preference config.Preference, queries int) *loadSimulation {
	service := wideService()
	service.MaxHits = fanOut
	service.Preference = preference
	l := newLoadSimulation(t, service, 2)
	l.serveAttempt = refuseHalf
	l.run(queries, 5*time.Millisecond)
	return l
}

// runWithStragglers runs queries while one attempt in a hundred takes twenty
// times as long. A query may hedge each shard as often as hedges allows.
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

// TestEveryReplicaShedsHalf checks that retries use their budget but stay
// within it, and that coverage is stated correctly, when every replica refuses
// half of its attempts.
func TestEveryReplicaShedsHalf(t *testing.T) {
	g := NewWithT(t)
	for _, preference := range []config.Preference{config.PreferLatency, config.PreferCoverage} {
		l := runWithShedding(t, preference, 300)
		g.Expect(l.answered).To(Equal(300))
		g.Expect(l.dispatchesPerShard()).To(BeNumerically("<=", 1.2), "dispatches per shard")
		g.Expect(l.dispatchesPerShard()).To(BeNumerically(">", 1.05), "the retry budget is not used")
		g.Expect(l.wrongCoverage).To(BeZero(), "answers with wrong coverage")
		g.Expect(l.coveredShards).To(BeNumerically(">", l.answered*fanOut/2), "covered shards")
	}
}

// TestHedgesReduceTailLatency checks that hedging cuts the 99th percentile of
// the latency to at most a third, with at most 5 percent more dispatches, when
// one attempt in a hundred is slow.
func TestHedgesReduceTailLatency(t *testing.T) {
	g := NewWithT(t)
	unhedged, hedged := runWithStragglers(t, 0, 1000), runWithStragglers(t, 2, 1000)
	g.Expect(hedged.quantile(99)).To(BeNumerically("<=", unhedged.quantile(99)/3), "p99")
	g.Expect(hedged.dispatchesPerShard()).To(BeNumerically("<=", 1.05), "dispatches per shard")
	for _, l := range []*loadSimulation{unhedged, hedged} {
		g.Expect(l.coveredShards).To(Equal(l.answered*fanOut), "covered shards")
		g.Expect(l.wrongCoverage).To(BeZero())
	}
}

// BenchmarkStragglers measures wide queries when one attempt in a hundred
// takes twenty times as long, for several limits of hedges.
func BenchmarkStragglers(b *testing.B) {
	for hedges := range 3 {
		b.Run(fmt.Sprintf("hedges=%d", hedges), func(b *testing.B) {
			for b.Loop() {
				reportMetrics(b, runWithStragglers(b, hedges, 5000))
			}
		})
	}
}

// BenchmarkShedding measures wide queries when every replica refuses half of
// its attempts.
func BenchmarkShedding(b *testing.B) {
	for _, preference := range []config.Preference{config.PreferLatency, config.PreferCoverage} {
		b.Run(string(preference), func(b *testing.B) {
			for b.Loop() {
				reportMetrics(b, runWithShedding(b, preference, 2000))
			}
		})
	}
}

// reportMetrics reports the latency, dispatches and coverage of a load
// simulation.
func reportMetrics(b *testing.B, l *loadSimulation) {
	b.ReportMetric(float64(l.quantile(50).Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(l.quantile(99).Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(l.quantile(99.9).Microseconds())/1000, "p99.9-ms")
	b.ReportMetric(l.dispatchesPerShard(), "dispatches/shard")
	b.ReportMetric(float64(l.coveredShards)/float64(l.answered*fanOut), "coverage")
	b.ReportMetric(0, "ns/op")
}
