package capacity_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/coordinator"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpoint"
	"github.com/gypsumlug/gypsumlug/internal/endpointhttp"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/permit"
	"github.com/gypsumlug/gypsumlug/internal/quarantine"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/standin"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// BenchmarkSlopeMemory measures the memory that each entry of a kind keeps.
func BenchmarkSlopeMemory(b *testing.B) {
	b.Run("belief", func(b *testing.B) { perEntry(b, 3500, beliefs(b, 3500)) })
	b.Run("subrequest", func(b *testing.B) { perEntry(b, 50*memoryEndpoints, subRequests(b)) })
	b.Run("permit", func(b *testing.B) { perEntry(b, 10_000, permits(b)) })
	b.Run("suspect", func(b *testing.B) { perEntry(b, 4096, suspects()) })
	b.Run("connection", func(b *testing.B) { perEntry(b, 400, connections(b)) })
}

// filler makes n entries and returns what keeps them alive.
type filler func(n int) any

// perEntry reports the growth of heap and stacks for each of n entries.
func perEntry(b *testing.B, n int, fill filler) {
	for b.Loop() {
		before := memoryInUse()
		kept := fill(n)
		grown := memoryInUse() - before
		if c, ok := kept.(interface{ Close() }); ok {
			c.Close()
		}
		runtime.KeepAlive(kept)
		b.ReportMetric(float64(grown)/float64(n), "B/entry")
	}
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// beliefs fills the table of endpoints.
func beliefs(b *testing.B, endpoints int) filler {
	v := &view.View{Bundle: memoryBundle(b, endpoints)}
	return func(int) any {
		t := endpoint.NewTable()
		t.SetView(0, v)
		return t
	}
}

const (
	memoryEndpoints = 120
	memoryService   = "memory"
)

// memoryBundle is a service with n endpoints.
func memoryBundle(b *testing.B, n int) *config.Bundle {
	b.Helper()
	endpoints := make([]config.Endpoint, n)
	for i := range endpoints {
		endpoints[i] = config.Endpoint{ID: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Slots: 8, MaxConnections: 100}
	}
	service := testsuite.NewService(memoryService)
	service.InFlightLimit = 1 << 20
	service.Callers = []config.Caller{{Name: standin.DefaultCaller}}
	return testsuite.NewBundle(b, []config.Service{service}, map[string][]config.Endpoint{memoryService: endpoints})
}

// BenchmarkSlopeFrames measures the bytes of a sub-request and of its reply with
// one hit between hosts.
func BenchmarkSlopeFrames(b *testing.B) {
	const batch = 120
	var requests []dispatch.Request
	var replies []dispatch.Reply
	for i, r := range keyrange.Split(batch) {
		hits, _ := standin.ExpectedHits(memoryService, 3, r, "query text", 0)
		key := dispatch.Key{Request: "0123456789abcdef-12345", Attempt: uint32(i)}
		requests = append(requests, dispatch.Request{
			Key: key, Service: memoryService, Endpoint: "dispatch-desk-01-1", Snapshot: 3, Range: r,
			Body: "dispatch desk query", Limit: 100, Budget: time.Second,
		})
		replies = append(replies, dispatch.Reply{Key: key, Endpoint: "dispatch-desk-01-1", Outcome: dispatch.OK, Snapshot: 3, Range: r, Hits: hits, Load: &dispatch.Load{Slots: 2}})
	}
	for b.Loop() {
		b.ReportMetric(encodedSize(b, &peerwire.Dispatch{Requests: requests})/batch, "B/dispatch")
		b.ReportMetric(encodedSize(b, &peerwire.Replies{Replies: replies})/batch, "B/reply")
	}
}

func encodedSize(b *testing.B, message any) float64 {
	b.Helper()
	data, err := msgpack.Marshal(message)
	check(b, err)
	return float64(len(data))
}

// subRequests starts queries whose endpoints never reply.
func subRequests(b *testing.B) filler {
	v := &view.View{Bundle: shardedBundle(b), Ready: true}
	return func(n int) any {
		m := coordinator.New(coordinator.Config{
			Self:        view.Incarnation{Address: "127.0.0.1:1", Start: 1},
			Fingerprint: func(string, string) view.Fingerprint { return 0 },
		}, rand.New(rand.NewPCG(1, 1)))
		m.SetView(0, v)
		for ticket := coordinator.Ticket(1); m.OutstandingAttempts() < n; ticket++ {
			m.Query(0, ticket, api.QueryRequest{Service: memoryService, Caller: standin.DefaultCaller, Query: fmt.Sprintf("query %d", ticket)})
			if m.OutstandingAttempts() == 0 {
				b.Fatal("the machine dispatched nothing")
			}
		}
		return m
	}
}

// shardedBundle is a service of as many shards as endpoints.
func shardedBundle(b *testing.B) *config.Bundle {
	b.Helper()
	d, err := standin.NewDeployment(standin.DeploymentOptions{Services: []standin.ServiceShape{{
		Name: memoryService, Shards: memoryEndpoints, Replicas: 1, Slots: 1 << 20, DeadlineMS: 60_000,
		Adjust: func(s *config.Service) { s.InFlightLimit, s.QueueLimit = 1<<20, 1<<20 },
	}}})
	check(b, err)
	defer d.Close()
	return d.PublishedBundle()
}

// connections opens connections to a server in another process and keeps them.
func connections(b *testing.B) filler {
	ends := startStandIns(b, "direct")
	return func(n int) any {
		c := endpointhttp.New(endpointhttp.Options{ProbeInterval: time.Hour})
		c.SetTarget(endpointhttp.Target{Endpoint: "e", Address: ends.platform, Warm: n, Max: n})
		for c.Connections("e") < n {
			time.Sleep(time.Millisecond)
		}
		return c
	}
}

// permits issues permits and ends each with an outcome.
func permits(b *testing.B) filler {
	service := testsuite.NewService(memoryService)
	service.Repeatable = false
	service.Permit = config.Permit{LifetimeMS: 30_000, RetentionMS: 60_000, Limit: 1 << 20}
	return func(n int) any {
		ledger := permit.New(view.Incarnation{Address: "127.0.0.1:1", Start: 1}, permit.Config{MaxPermits: 1 << 20})
		rng := rand.New(rand.NewPCG(1, 1))
		for range n {
			ids, err := ledger.Issue(0, &service, 1, rng)
			check(b, err)
			ledger.Submit(0, ids[0], rng.Uint64())
			attempt, refusal := ledger.BeginAttempt(0, ids[0])
			if refusal != nil {
				b.Fatal(refusal)
			}
			ledger.EndAttempt(0, ids[0], attempt, result.Done, "accepted pharmacy-ordering 0123456789abcdef")
		}
		return ledger
	}
}

// suspects records crashes of one endpoint with one request each.
func suspects() filler {
	return func(n int) any {
		set := quarantine.New(quarantine.Config{})
		for i := range n {
			set.RecordCrash(0, view.Crash{Endpoint: "dispatch-desk-01-1", InFlight: []view.Fingerprint{view.Fingerprint(i + 1)}})
		}
		return set
	}
}
