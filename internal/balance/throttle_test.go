package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/balance"
)

// crowd offers requests at a rate to an index with a capacity, both a second,
// through many hosts' throttles for ten seconds. A query succeeds if each of the
// shards serves it, which drop what is over their capacity at random. It returns
// the successes a second of the last five.
func crowd(hosts int, offered, capacity float64, shards, least int, admit bool) float64 {
	rng := rand.New(rand.NewPCG(7, 7))
	throttles := make([]balance.Throttle, hosts)
	const slice = 100 * time.Millisecond
	successes := 0
	for now := time.Duration(0); now < 10*time.Second; now += slice {
		var admitted []int
		for range int(offered * slice.Seconds()) {
			h := rng.IntN(hosts)
			if !admit || throttles[h].Admit(now, rng.Float64()) {
				admitted = append(admitted, h)
			}
		}
		served := min(1, capacity*slice.Seconds()/float64(max(len(admitted), 1)))
		for _, h := range admitted {
			whole := 0
			for range shards {
				if rng.Float64() < served {
					whole++
				}
			}
			throttles[h].RecordOutcome(now+slice, whole >= least)
			if whole >= least && now >= 5*time.Second {
				successes++
			}
		}
	}
	return float64(successes) / 5
}

// At twice the load that an index of twenty shards can bear, and at four times,
// at least half of its capacity is of use; without admission almost nothing is.
func TestCrowdIsServedUpToCapacity(t *testing.T) {
	g := NewWithT(t)
	const capacity = 150
	g.Expect(crowd(20, 2*capacity, capacity, 20, 18, false)).To(BeNumerically("<", capacity/10))
	g.Expect(crowd(20, 2*capacity, capacity, 20, 18, true)).To(BeNumerically(">", capacity/2))
	g.Expect(crowd(14, 4*capacity, capacity, 20, 18, true)).To(BeNumerically(">", capacity/2))
}

// Below capacity nothing is refused.
func TestCalmLoadIsAdmitted(t *testing.T) {
	NewWithT(t).Expect(crowd(20, 100, 150, 20, 18, true)).To(BeNumerically("~", 100, 1))
}

// Once requests succeed again, all are admitted within a few seconds.
func TestThrottleEnds(t *testing.T) {
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

// A few failures of a host that is asked rarely refuse nothing.
func TestFewFailuresAreTolerated(t *testing.T) {
	g := NewWithT(t)
	var throttle balance.Throttle
	for i := range 20 {
		now := time.Duration(i) * 3 * time.Second
		g.Expect(throttle.Admit(now, 0)).To(BeTrue())
		throttle.RecordOutcome(now, false)
	}
}
