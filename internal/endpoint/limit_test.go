package endpoint_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpoint"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestLimitStaysWithinBounds(t *testing.T) {
	testsuite.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 16).Draw(rt, "slots")
		limit := endpoint.NewLimit(slots, rapid.IntRange(1, 5).Draw(rt, "relays"))
		now := time.Duration(0)
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 50).Draw(rt, name)) * time.Millisecond
		}
		rt.Repeat(map[string]func(*rapid.T){
			"complete": func(rt *rapid.T) {
				limit.RecordCompletion(now, ms("latency"), ms("service"), rapid.Bool().Draw(rt, "full"))
			},
			"shed": func(*rapid.T) { limit.RecordRefusal(now, result.EndpointShed) },
			"cold": func(*rapid.T) { limit.RecordRefusal(now, result.EndpointCold) },
			"wait": func(*rapid.T) { now += ms("wait") },
			"": func(rt *rapid.T) {
				if v := limit.Value(); v < 1 || v > (3*slots+1)/2 {
					rt.Fatalf("limit is %d with %d slots", v, slots)
				}
			},
		})
	})
}

// simulateRounds simulates rounds of 10 ms at an endpoint that sheds the
// attempts beyond its slots. It returns the average limit in the second half,
// and the share of all attempts that were shed.
func simulateRounds(limit *endpoint.Limit, slots, rounds int) (average, shed float64) {
	limitSum, sent, shedAttempts := 0, 0, 0
	for i := range rounds {
		now := time.Duration(i) * 10 * time.Millisecond
		n := limit.Value()
		sent += n
		for j := range n {
			if j >= slots {
				shedAttempts++
				limit.RecordRefusal(now, result.EndpointShed)
				continue
			}
			limit.RecordCompletion(now, 10*time.Millisecond, 10*time.Millisecond, true)
		}
		if i >= rounds/2 {
			limitSum += n
		}
	}
	return float64(limitSum) / float64(rounds-rounds/2), float64(shedAttempts) / float64(sent)
}

var _ = DescribeTable("limit of a replica under steady load",
	func(start func(*endpoint.Limit), published, actual, relays int, low, high float64) {
		limit := endpoint.NewLimit(published, relays)
		start(limit)
		average, shed := simulateRounds(limit, actual, 1000)
		Expect(average).To(And(BeNumerically(">=", low), BeNumerically("<=", high)))
		Expect(shed).To(BeNumerically("<", 0.02))
	},
	Entry("slots as published", func(*endpoint.Limit) {}, 6, 6, 1, 5.5, 6.1),
	Entry("fewer slots than published", func(*endpoint.Limit) {}, 6, 2, 1, 1.5, 2.1),
	Entry("cold start", (*endpoint.Limit).StartCold, 6, 6, 1, 5.5, 6.1),
	Entry("other relays are idle", func(*endpoint.Limit) {}, 6, 6, 3, 5.5, 6.1),
	Entry("more slots than published", func(*endpoint.Limit) {}, 2, 100, 1, 3.0, 3.0),
)

var _ = Describe("limit", func() {
	It("shrinks when attempts queue at the endpoint, even if none is refused", func() {
		limit := endpoint.NewLimit(8, 1)
		for i := range 100 {
			limit.RecordCompletion(time.Duration(i)*50*time.Millisecond, 50*time.Millisecond, 10*time.Millisecond, true)
		}
		Expect(limit.Value()).To(Equal(1))
	})
})

func TestBudgetBoundsDispatches(t *testing.T) {
	testsuite.Check(t, func(rt *rapid.T) {
		share := rapid.IntRange(0, 300).Draw(rt, "per mille")
		burst := rapid.IntRange(0, 20).Draw(rt, "burst")
		budget := endpoint.NewBudget(share, burst)
		primaries, taken, refused, consecutive := 0, 0, 0, 0
		rt.Repeat(map[string]func(*rapid.T){
			"primary": func(rt *rapid.T) {
				for range rapid.IntRange(1, 100).Draw(rt, "primaries") {
					budget.RecordPrimary()
					primaries++
				}
				consecutive = 0
			},
			"take": func(rt *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(rt, "takes") {
					if budget.TryTake() {
						taken++
						consecutive++
					} else {
						refused++
					}
				}
			},
			"": func(rt *rapid.T) {
				if 1000*taken > share*primaries+1000*burst {
					rt.Fatalf("%d dispatches allowed for %d primary dispatches at %d per mille with a burst of %d", taken, primaries, share, burst)
				}
				if consecutive > burst {
					rt.Fatalf("%d consecutive dispatches allowed with a burst of %d", consecutive, burst)
				}
				if refused > 0 && burst > 0 && taken < burst {
					rt.Fatalf("dispatch denied after %d with a burst of %d", taken, burst)
				}
			},
		})
	})
}

func TestPercentileAgainstSortedSamples(t *testing.T) {
	g := NewWithT(t)
	table := endpoint.NewTable()
	table.SetView(0, newView(t, 2))
	rng := rand.New(rand.NewPCG(1, 2))
	var samples []time.Duration
	now := time.Second
	record := func(latency time.Duration) {
		table.RecordDispatch(now, "e0")
		table.RecordReply(now, replyFrom("e0", dispatch.OK, 0), latency)
		samples = append(samples, latency)
	}
	_, ok := table.LatencyPercentile("desk", 950)
	g.Expect(ok).To(BeFalse())
	for range 2000 {
		record(time.Duration(1+rng.IntN(1_000_000)) * time.Microsecond / 10)
	}
	slices.Sort(samples)
	for _, perMille := range []int{500, 900, 950, 990} {
		got, ok := table.LatencyPercentile("desk", perMille)
		want := float64(samples[len(samples)*perMille/1000])
		g.Expect(ok).To(BeTrue())
		g.Expect(float64(got)).To(BeNumerically("~", want, 0.07*want))
	}
	now += time.Minute
	for range 100 {
		record(time.Millisecond)
	}
	got, ok := table.LatencyPercentile("desk", 990)
	g.Expect(ok).To(BeTrue())
	g.Expect(got).To(BeNumerically("<", 2*time.Millisecond))
}

func BenchmarkPick(b *testing.B) {
	table := endpoint.NewTable()
	table.SetView(0, newView(b, 5))
	rng := rand.New(rand.NewPCG(1, 1))
	candidates := []string{"e0", "e1", "e2", "e3", "e4"}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * time.Microsecond
		id, _ := table.Pick(now, candidates, nil, rng)
		table.RecordDispatch(now, id)
		table.RecordReply(now, replyFrom(id, dispatch.OK, 0), time.Millisecond)
		table.LatencyPercentile("desk", 950)
	}
}
