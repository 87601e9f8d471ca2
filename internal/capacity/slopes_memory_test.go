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

// BenchmarkSlopeMemory measures the memory retained per entry of several kinds.
func BenchmarkSlopeMemory(b *testing.B) {
	b.Run("belief", func(b *testing.B) { measureMemoryPerEntry(b, 3500, newEndpointTableAllocator(b, 3500)) })
	b.Run("subrequest", func(b *testing.B) { measureMemoryPerEntry(b, 50*subRequestShards, newSubRequestAllocator(b)) })
	b.Run("permit", func(b *testing.B) { measureMemoryPerEntry(b, 10_000, newPermitAllocator(b)) })
	b.Run("suspect", func(b *testing.B) { measureMemoryPerEntry(b, 4096, newSuspectAllocator()) })
	b.Run("connection", func(b *testing.B) { measureMemoryPerEntry(b, 400, newConnectionAllocator(b)) })
}

// allocator allocates n entries and returns the object that retains them.
type allocator func(n int) any

// measureMemoryPerEntry reports the growth of heap and stacks per entry after n
// entries were allocated.
func measureMemoryPerEntry(b *testing.B, n int, allocate allocator) {
	for b.Loop() {
		before := memoryInUse()
		entries := allocate(n)
		growth := memoryInUse() - before
		if c, ok := entries.(interface{ Close() }); ok {
			c.Close()
		}
		runtime.KeepAlive(entries)
		b.ReportMetric(float64(growth)/float64(n), "B/entry")
	}
}

// memoryInUse returns the bytes of the heap and stacks after garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// newEndpointTableAllocator returns an allocator of a table with the state of the
// given number of endpoints.
func newEndpointTableAllocator(b *testing.B, endpoints int) allocator {
	v := &view.View{Bundle: newBundle(b, endpoints)}
	return func(int) any {
		table := endpoint.NewTable()
		table.SetView(0, v)
		return table
	}
}

const (
	subRequestShards = 120
	memoryService    = "memory"
)

// newBundle returns a bundle with one service of n endpoints.
func newBundle(b *testing.B, n int) *config.Bundle {
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

// BenchmarkSlopeFrames measures the encoded size of a sub-request and of a reply
// with one hit in the frames between hosts.
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
	failOnError(b, err)
	return float64(len(data))
}

// newSubRequestAllocator returns an allocator that starts queries until n
// sub-requests are outstanding. None of them receives a reply.
func newSubRequestAllocator(b *testing.B) allocator {
	v := &view.View{Bundle: newShardedBundle(b), Ready: true}
	return func(n int) any {
		m := coordinator.New(coordinator.Config{
			Self:        view.Incarnation{Address: "127.0.0.1:1", Start: 1},
			Fingerprint: func(string, string) view.Fingerprint { return 0 },
		}, rand.New(rand.NewPCG(1, 1)))
		m.SetView(0, v)
		for ticket := coordinator.Ticket(1); m.OutstandingAttempts() < n; ticket++ {
			m.Query(0, ticket, api.QueryRequest{Service: memoryService, Caller: standin.DefaultCaller, Query: fmt.Sprintf("query %d", ticket)})
			if m.OutstandingAttempts() == 0 {
				b.Fatal("the coordinator did not dispatch any sub-request")
			}
		}
		return m
	}
}

// newShardedBundle returns a bundle with one service that has an endpoint for each
// shard.
func newShardedBundle(b *testing.B) *config.Bundle {
	b.Helper()
	d, err := standin.NewDeployment(standin.DeploymentOptions{Services: []standin.ServiceShape{{
		Name: memoryService, Shards: subRequestShards, Replicas: 1, Slots: 1 << 20, DeadlineMS: 60_000,
		Adjust: func(s *config.Service) { s.InFlightLimit, s.QueueLimit = 1<<20, 1<<20 },
	}}})
	failOnError(b, err)
	defer d.Close()
	return d.PublishedBundle()
}

// newConnectionAllocator returns an allocator that opens n connections to a server
// in another process.
func newConnectionAllocator(b *testing.B) allocator {
	standIns := startStandIns(b, "direct")
	return func(n int) any {
		client := endpointhttp.New(endpointhttp.Options{ProbeInterval: time.Hour})
		client.SetTarget(endpointhttp.Target{Endpoint: "e", Address: standIns.platformAddress, Warm: n, Max: n})
		for client.Connections("e") < n {
			time.Sleep(time.Millisecond)
		}
		return client
	}
}

// newPermitAllocator returns an allocator that issues n permits and completes each
// of them with an outcome.
func newPermitAllocator(b *testing.B) allocator {
	service := testsuite.NewService(memoryService)
	service.Repeatable = false
	service.Permit = config.Permit{LifetimeMS: 30_000, RetentionMS: 60_000, Limit: 1 << 20}
	return func(n int) any {
		ledger := permit.New(view.Incarnation{Address: "127.0.0.1:1", Start: 1}, permit.Config{MaxPermits: 1 << 20})
		rng := rand.New(rand.NewPCG(1, 1))
		for range n {
			ids, err := ledger.Issue(0, &service, 1, rng)
			failOnError(b, err)
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

// newSuspectAllocator returns an allocator that records n crashes of one endpoint,
// each with a different request in flight.
func newSuspectAllocator() allocator {
	return func(n int) any {
		tracker := quarantine.New(quarantine.Config{})
		for i := range n {
			tracker.RecordCrash(0, view.Crash{Endpoint: "dispatch-desk-01-1", InFlight: []view.Fingerprint{view.Fingerprint(i + 1)}})
		}
		return tracker
	}
}
