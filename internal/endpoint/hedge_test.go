package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpoint"
)

// BenchmarkHedges simulates queries over 120 shards with zero, one and two
// hedges per shard. An attempt takes 4 to 6 ms, or twenty times as long in one
// of a hundred cases. Replicas are simulated without queues.
func BenchmarkHedges(b *testing.B) {
	for _, hedges := range []int{0, 1, 2} {
		for _, perMille := range []int{950, 980} {
			b.Run(fmt.Sprintf("hedges=%d/percentile=%d", hedges, perMille), func(b *testing.B) {
				for b.Loop() {
					benchmarkHedges(b, hedges, perMille)
				}
			})
		}
	}
}

func benchmarkHedges(b *testing.B, hedges, perMille int) {
	const fanOut, queries, budgetPerMille = 120, 20_000, 50
	table := endpoint.NewTable()
	table.SetView(0, newView(b, 2))
	rng := rand.New(rand.NewPCG(1, 1))
	budget := endpoint.NewBudget(budgetPerMille, 16)
	queryLatencies := hdrhistogram.New(1, 60_000_000, 3)
	hedgesSent := 0
	attemptLatency := func() time.Duration {
		d := 4*time.Millisecond + time.Duration(rng.IntN(2000))*time.Microsecond
		if rng.IntN(100) == 0 {
			d *= 20
		}
		return d
	}
	shardLatency := func(now time.Duration) time.Duration {
		budget.RecordPrimary()
		primary := attemptLatency()
		completed := primary
		delay, ok := table.LatencyPercentile("desk", perMille)
		for i := 1; i <= hedges && ok && completed > time.Duration(i)*delay && budget.TryTake(); i++ {
			hedgesSent++
			completed = min(completed, time.Duration(i)*delay+attemptLatency())
		}
		table.RecordDispatch(now, "e0")
		table.RecordReply(now, replyFrom("e0", dispatch.OK, 0), min(primary, completed))
		return completed
	}
	for i := range queries {
		now := time.Duration(i) * time.Millisecond
		slowest := time.Duration(0)
		for range fanOut {
			slowest = max(slowest, shardLatency(now))
		}
		if err := queryLatencies.RecordValue(slowest.Microseconds()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(queryLatencies.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(queryLatencies.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(queryLatencies.ValueAtQuantile(99.9))/1000, "p99.9-ms")
	b.ReportMetric(1000*float64(hedgesSent)/(queries*fanOut), "hedges/1000")
	b.ReportMetric(0, "ns/op")
}
