package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/balance"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

const (
	route = "r"
	work  = 10 * time.Millisecond
)

var all = []string{"a@0", "b@0"}

func none(string) bool { return false }

func table() (*balance.ReplicaTable, *rand.Rand) {
	t := balance.NewReplicaTable("here")
	replicas := map[string]*routing.Replica{}
	for _, id := range []string{"a", "b"} {
		r := &routing.Replica{ID: id, Slots: 2, DataCentre: "here"}
		replicas[r.Key()] = r
	}
	t.SetReplicas(replicas)
	return t, rand.New(rand.NewPCG(1, 2))
}

// play sends n requests, one each 150 ms as one host of many does, and returns
// how many went to the first replica. reply says what becomes of one there.
func play(n int, reply func(now time.Duration) (dispatch.Reply, time.Duration)) (first, refused int) {
	t, rng := table()
	now := time.Duration(0)
	for range n {
		key, _ := t.Pick(now, route, all, none, rng)
		a := t.AttemptSent(now, route, key)
		r, took := dispatch.Reply{Outcome: dispatch.OK}, work
		if key == "a@0" {
			first++
			r, took = reply(now)
		}
		if r.Outcome == dispatch.Refused {
			refused++
		}
		t.AttemptEnded(now+took, a, &r)
		now += 150 * time.Millisecond
	}
	return first, refused
}

// The load of a replica that became slow goes to the other one.
func TestSlowReplicaIsAvoided(t *testing.T) {
	first, _ := play(100, func(time.Duration) (dispatch.Reply, time.Duration) {
		return dispatch.Reply{Outcome: dispatch.OK}, 10 * work
	})
	NewWithT(t).Expect(first).To(BeNumerically("<", 20))
}

// A replica that refuses three in five is avoided also by a host that asks it
// rarely.
func TestRefusingReplicaIsAvoided(t *testing.T) {
	n := 0
	first, refused := play(100, func(time.Duration) (dispatch.Reply, time.Duration) {
		n++
		if n%5 < 3 {
			return dispatch.Reply{Outcome: dispatch.Refused, Code: result.EndpointShed}, time.Millisecond
		}
		return dispatch.Reply{Outcome: dispatch.OK}, work
	})
	NewWithT(t).Expect(first).To(BeNumerically("<", 25))
	NewWithT(t).Expect(refused).To(BeNumerically("<", 15))
}

// A replica that recovers takes its share again within seconds.
func TestRecoveredReplicaIsUsedAgain(t *testing.T) {
	later := 0
	play(300, func(now time.Duration) (dispatch.Reply, time.Duration) {
		if now < 10*time.Second {
			return dispatch.Reply{Outcome: dispatch.OK}, 10 * work
		}
		if now > 30*time.Second {
			later++
		}
		return dispatch.Reply{Outcome: dispatch.OK}, work
	})
	NewWithT(t).Expect(later).To(BeNumerically(">", 30))
}

// A replica that stands still is known by its open attempt, before it replies.
func TestOpenAttemptTellsOfAPause(t *testing.T) {
	g := NewWithT(t)
	b, rng := table()
	b.AttemptSent(0, route, "a@0")
	counts := map[string]int{}
	for range 100 {
		key, _ := b.Pick(8*work, route, all, none, rng)
		counts[key]++
	}
	g.Expect(counts["b@0"]).To(Equal(100))
}

func TestFailedReplicaIsAvoidedButNeverRemoved(t *testing.T) {
	g := NewWithT(t)
	b, rng := table()
	for range 10 {
		b.AttemptEnded(0, b.AttemptSent(0, route, "a@0"), &dispatch.Reply{Outcome: dispatch.Refused, Code: result.ConnectFailed})
	}
	key, ok := b.Pick(time.Millisecond, route, all, none, rng)
	g.Expect(ok).To(BeTrue())
	g.Expect(key).To(Equal("b@0"))
	key, ok = b.Pick(time.Millisecond, route, all, func(k string) bool { return k == "b@0" }, rng)
	g.Expect(ok).To(BeTrue())
	g.Expect(key).To(Equal("a@0"))
}

// A replica whose address answers as another one is gone: it is not asked again,
// even if there is no other.
func TestMisaddressedReplicaIsNotAskedAgain(t *testing.T) {
	g := NewWithT(t)
	b, rng := table()
	b.AttemptEnded(0, b.AttemptSent(0, route, "a@0"), &dispatch.Reply{Outcome: dispatch.Refused, Code: result.UnknownEndpoint})
	g.Expect(b.Available("a@0")).To(BeFalse())
	for i := range 50 {
		_, ok := b.Pick(time.Duration(i)*time.Second, route, []string{"a@0"}, none, rng)
		g.Expect(ok).To(BeFalse())
	}
	b.SetReplicas(map[string]*routing.Replica{"a@0": {ID: "a", Slots: 1}})
	g.Expect(b.Available("a@0")).To(BeFalse())
}

// Over any window the extra attempts of all hosts keep within the allowance,
// however the requests and takes are dealt among hosts.
func TestBudgetsKeepWithinTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		allowance := balance.Allowance{Ratio: 0.2, Slack: rapid.Float64Range(0, 200).Draw(t, "slack"), Window: window}
		hosts := rapid.IntRange(1, 40).Draw(t, "hosts")
		budgets := make([]*balance.Budget, hosts)
		for i := range budgets {
			budgets[i] = balance.NewBudget(0, allowance, hosts)
		}
		var primaries, takes int
		// used is takes less the ratio's share, in thousandths, after each step.
		type moment struct {
			at   time.Duration
			used int
		}
		var before []moment
		worst := 0
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			b := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				b.CountRequest()
				primaries++
			} else if b.Take(now) {
				takes++
			}
			used := 1000*takes - 200*primaries
			for _, m := range before {
				if now-m.at <= window {
					worst = max(worst, used-m.used)
				}
			}
			before = append(before, moment{at: now, used: used})
		}
		// Each host may spend at least one attempt, however small its share.
		if limit := 1000 * max(allowance.Slack, float64(hosts)); float64(worst) > limit {
			t.Fatal(fmt.Sprintf("%d thousandths over the requests' share, at most %v", worst, limit))
		}
	})
}

func TestQuantileFollows(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 4))
	q := balance.NewQuantileEstimator(0.9, 100*time.Millisecond)
	for range 5000 {
		q.Observe(time.Duration(rng.Float64() * float64(100*time.Millisecond)))
	}
	g.Expect(q.Value()).To(BeNumerically("~", 90*time.Millisecond, 15*time.Millisecond))
}
