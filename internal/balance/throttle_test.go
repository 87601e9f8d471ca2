package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/balance"
)

// successRate simulates 10 s of requests, spread at random over the hosts'
// throttles, to an index with the given capacity. offered and capacity are in
// requests per second. Each shard drops attempts beyond its capacity at random,
// and a query succeeds if at least minShards shards serve it. It returns the
// successes per second in the last 5 s.
func successRate(hosts int, offered, capacity float64, shards, minShards int, throttled bool) float64 {
	rng := rand.New(rand.NewPCG(7, 7))
	throttles := make([]balance.Throttle, hosts)
	const step = 100 * time.Millisecond
	successes := 0
	for now := time.Duration(0); now < 10*time.Second; now += step {
		var admitted []int
		for range int(offered * step.Seconds()) {
			h := rng.IntN(hosts)
			if !throttled || throttles[h].Admit(now, rng.Float64()) {
				admitted = append(admitted, h)
			}
		}
		servedShare := min(1, capacity*step.Seconds()/float64(max(len(admitted), 1)))
		for _, h := range admitted {
			servedShards := 0
			for range shards {
				if rng.Float64() < servedShare {
					servedShards++
				}
			}
			throttles[h].RecordOutcome(now+step, servedShards >= minShards)
			if servedShards >= minShards && now >= 5*time.Second {
				successes++
			}
		}
	}
	return float64(successes) / 5
}

// At 2 and 4 times the load that an index of 20 shards can serve, at least half
// of its capacity goes to successful queries. Without admission control almost
// no query succeeds, because almost every query misses too many shards.
func TestOverloadIsServedUpToCapacity(t *testing.T) {
	g := NewWithT(t)
	const capacity = 150
	g.Expect(successRate(20, 2*capacity, capacity, 20, 18, false)).To(BeNumerically("<", capacity/10))
	g.Expect(successRate(20, 2*capacity, capacity, 20, 18, true)).To(BeNumerically(">", capacity/2))
	g.Expect(successRate(14, 4*capacity, capacity, 20, 18, true)).To(BeNumerically(">", capacity/2))
}

// Below capacity, nothing is refused.
func TestLoadBelowCapacityIsAdmitted(t *testing.T) {
	NewWithT(t).Expect(successRate(20, 100, 150, 20, 18, true)).To(BeNumerically("~", 100, 1))
}

// Once requests succeed again, all are admitted within a few seconds.
func TestThrottleRecovers(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var throttle balance.Throttle
	now := time.Duration(0)
	for range 200 {
		now += 70 * time.Millisecond
		if throttle.Admit(now, rng.Float64()) {
			throttle.RecordOutcome(now, false)
		}
	}
	g.Expect(throttle.Overloaded(now)).To(BeTrue())
	for range 100 {
		now += 70 * time.Millisecond
		if throttle.Admit(now, rng.Float64()) {
			throttle.RecordOutcome(now, true)
		}
	}
	g.Expect(throttle.Overloaded(now)).To(BeFalse())
}

// A host with a low request rate refuses nothing because of a few failures.
func TestFewFailuresAreTolerated(t *testing.T) {
	g := NewWithT(t)
	var throttle balance.Throttle
	for i := range 20 {
		now := time.Duration(i) * 3 * time.Second
		g.Expect(throttle.Admit(now, 0)).To(BeTrue())
		throttle.RecordOutcome(now, false)
	}
}
