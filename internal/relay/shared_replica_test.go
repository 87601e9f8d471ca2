package relay_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/relay"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// event is a simulated event. events is a heap of them, ordered by time.
type event struct {
	at  time.Duration
	run func()
}

type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at < h[j].at }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)        { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// sharedReplica simulates one replica to which several relays send attempts. It sheds
// those that exceed its slots.
type sharedReplica struct {
	now       time.Duration
	queue     events
	rng       *rand.Rand
	machines  []*relay.Machine
	hopDelay  time.Duration
	running   int
	offeredAt map[string]time.Duration
	latencies *hdrhistogram.Histogram
	sends     int
	sheds     int
	refused   int
}

// schedule adds an event that runs after a delay in virtual time.
func (s *sharedReplica) schedule(delay time.Duration, run func()) {
	heap.Push(&s.queue, event{s.now + delay, run})
}

// offer dispatches an attempt to a random relay.
func (s *sharedReplica) offer(key dispatch.Key) {
	i := s.rng.IntN(len(s.machines))
	r := dispatch.Request{Key: key, Service: "desk", Endpoint: "e0", Body: "a", Budget: time.Second}
	s.schedule(s.hopDelay, func() { s.execute(i, s.machines[i].Dispatch(s.now, "", []dispatch.Request{r})) })
}

// execute carries out the actions of relay i: it serves or sheds the attempts sent and
// delivers the replies.
func (s *sharedReplica) execute(i int, actions relay.Actions) {
	for _, r := range actions.Send {
		s.sends++
		reply := dispatch.Reply{Key: r.Key, Endpoint: "e0", Outcome: dispatch.OK, ServiceTime: time.Duration(2+s.rng.IntN(7)) * time.Millisecond}
		if s.running == slots {
			s.sheds++
			reply.Outcome, reply.Code = dispatch.Refused, result.EndpointShed
			s.schedule(0, func() { s.execute(i, s.machines[i].Complete(s.now, reply)) })
			continue
		}
		s.running++
		s.schedule(reply.ServiceTime, func() {
			s.running--
			s.execute(i, s.machines[i].Complete(s.now, reply))
		})
	}
	for _, routed := range actions.Replies {
		s.schedule(s.hopDelay, func() { s.handleReply(routed.Reply) })
	}
}

// handleReply retries a shed attempt and records the outcome of any other.
func (s *sharedReplica) handleReply(r dispatch.Reply) {
	switch {
	case r.Code == result.EndpointShed:
		r.Attempt++
		s.offer(r.Key)
	case r.Outcome == dispatch.OK:
		if err := s.latencies.RecordValue((s.now - s.offeredAt[r.Request]).Microseconds()); err != nil {
			panic(err)
		}
	default:
		s.refused++
	}
}

// BenchmarkRelaysOfOneReplica simulates 30 s of load on a replica with two slots and
// a mean service time of 5 ms, sent through different numbers of relays. Four and
// more relays model a fleet in which each host sends directly to the replica, without
// the extra hop to a relay.
func BenchmarkRelaysOfOneReplica(b *testing.B) {
	for _, load := range []int{50, 80} {
		for _, relays := range []int{1, 2, 3, 4, 20} {
			b.Run(fmt.Sprintf("load=%d%%/relays=%d", load, relays), func(b *testing.B) {
				for b.Loop() {
					simulateRelays(b, relays, load)
				}
			})
		}
	}
}

// simulateRelays runs the simulation for a number of relays and a load in percent of
// the capacity of the replica.
func simulateRelays(b *testing.B, relays, load int) {
	const duration = 30 * time.Second
	s := &sharedReplica{
		rng: rand.New(rand.NewPCG(1, uint64(load))), hopDelay: 500 * time.Microsecond,
		offeredAt: map[string]time.Duration{}, latencies: hdrhistogram.New(1, 60_000_000, 3),
	}
	if relays >= 4 {
		s.hopDelay = 0
	}
	var names []string
	for i := range relays {
		names = append(names, fmt.Sprint("h", i))
	}
	bundle := newBundle(b, 1)
	for i := range relays {
		m := relay.New(relay.Config{Fingerprint: fingerprint}, s.rng)
		m.SetView(0, &view.View{
			Bundle: bundle, Self: view.Host{Incarnation: view.Incarnation{Address: names[i]}},
			Relays: map[string][]string{"e0": names}, ConnectionShares: map[string]int{"e0": max(50/relays, 1)},
		})
		s.machines = append(s.machines, m)
	}
	var tick func()
	tick = func() {
		for i, m := range s.machines {
			s.execute(i, m.Tick(s.now))
		}
		s.schedule(time.Millisecond, tick)
	}
	tick()
	offered := 0
	var arrive func()
	arrive = func() {
		offered++
		key := dispatch.Key{Request: fmt.Sprint(offered), Attempt: 1}
		s.offeredAt[key.Request] = s.now
		s.offer(key)
		mean := 5 * float64(time.Millisecond) / slots * 100 / float64(load)
		s.schedule(time.Duration(s.rng.ExpFloat64()*mean), arrive)
	}
	arrive()
	for s.now < duration {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	b.ReportMetric(float64(s.sheds)/float64(offered), "sheds/request")
	b.ReportMetric(float64(s.latencies.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(s.latencies.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(s.refused), "refused")
	b.ReportMetric(0, "ns/op")
}
