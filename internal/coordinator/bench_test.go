package coordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/relay"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// fanOut is the number of shards of a wide query.
const fanOut = 120

// newWideView returns a view of the service "wide" with fanOut shards. Each
// shard has the given number of replicas, on endpoints of its own.
func newWideView(t testing.TB, service config.Service, replicas int) *view.View {
	service.Format, service.Name, service.Repeatable = config.FormatVersion, "wide", true
	snapshot := config.Snapshot{ID: 1}
	for i, r := range keyrange.Split(fanOut) {
		shard := config.Shard{Range: r}
		for j := range replicas {
			shard.Replicas = append(shard.Replicas, fmt.Sprintf("e%d-%d", i, j))
		}
		snapshot.Shards = append(snapshot.Shards, shard)
	}
	index := config.Index{Format: config.FormatVersion, Service: "wide", Snapshots: []config.Snapshot{snapshot}}
	v := &view.View{
		Ready: true, Self: view.Host{Incarnation: testSelf}, Relays: map[string][]string{}, ConnectionShares: map[string]int{},
		Bundle: buildBundle(t, 1, []config.Service{service}, []config.Index{index}),
	}
	for id := range v.Bundle.Endpoints() {
		v.Relays[id] = []string{testSelf.Address}
		v.ConnectionShares[id] = 4
	}
	return v
}

// wideService returns the configuration of the service "wide", which
// newWideView completes.
func wideService() config.Service {
	return config.Service{
		Preference: config.PreferLatency, LatencyTargetMS: 50, DeadlineMS: 200, MaxHits: 100, QueueLimit: 10, InFlightLimit: 1000,
		Hedge: config.Hedge{PercentilePerMille: 980, Max: 2, BudgetPerMille: 40}, Retry: config.Retry{Max: 4, BudgetPerMille: 100},
	}
}

// wideReply returns the successful reply to an attempt, and moves the first
// hit into the attempt's range.
func wideReply(r *dispatch.Request, hits []dispatch.Hit) dispatch.Reply {
	hits[0].Key = r.Range.Start
	return dispatch.Reply{
		Key: r.Key, Endpoint: r.Endpoint, Outcome: dispatch.OK, Snapshot: r.Snapshot, Range: r.Range, Hits: hits, ServiceTime: time.Millisecond,
	}
}

// BenchmarkWideQuery measures a query of fanOut shards from arrival to answer,
// with and without the relay state machine.
func BenchmarkWideQuery(b *testing.B) {
	for _, relayed := range []bool{false, true} {
		name := map[bool]string{false: "coordinator", true: "coordinator and relay"}[relayed]
		b.Run(name, func(b *testing.B) { benchmarkWideQuery(b, relayed) })
	}
}

func benchmarkWideQuery(b *testing.B, relayed bool) {
	rng := rand.New(rand.NewPCG(1, 1))
	m := New(Config{Self: testSelf, Fingerprint: fingerprint}, rng)
	r := relay.New(relay.Config{Fingerprint: fingerprint}, rng)
	v := newWideView(b, wideService(), 2)
	now := time.Second
	m.SetView(now, v)
	r.SetView(now, v)
	hits := []dispatch.Hit{{Document: "doc", Score: 1}}
	b.ReportAllocs()
	for b.Loop() {
		a := m.Query(now, 1, api.QueryRequest{Service: "wide", Query: "text"})
		now += time.Millisecond
		for _, d := range a.Dispatch {
			if relayed {
				r.Dispatch(now, "", []dispatch.Request{d.Request})
				for _, reply := range r.Complete(now, wideReply(&d.Request, hits)).Replies {
					a = m.Reply(now, reply.Reply)
				}
				continue
			}
			a = m.Reply(now, wideReply(&d.Request, hits))
		}
		if len(a.Queries) != 1 || a.Queries[0].Answer.Coverage.Covered != fanOut {
			b.Fatalf("the query is not answered with full coverage: %+v", a.Queries)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/fanOut, "ns/sub-request")
}
