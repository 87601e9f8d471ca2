package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/roster"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

func TestRoster(t *testing.T) { testsuite.RunSpecs(t, "roster") }

const selfAddress = "10.0.0.1:7000"

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+2) }

func newRoster() *roster.Roster {
	return roster.New(view.Incarnation{Address: selfAddress, Start: 1}, "a", rand.New(rand.NewPCG(1, 1)))
}

func heartbeat(i int, start uint64, state view.HostState) *peerwire.Heartbeat {
	return &peerwire.Heartbeat{From: view.Incarnation{Address: address(i), Start: start}, DataCentre: "a", State: state}
}

func hint(i int, start uint64, state view.HostState, age time.Duration) []peerwire.HostHint {
	return []peerwire.HostHint{{Incarnation: view.Incarnation{Address: address(i), Start: start}, DataCentre: "a", State: state, Age: age}}
}

var _ = DescribeTable("liveness and incarnation of one host",
	func(apply func(r *roster.Roster), at time.Duration, start uint64, state view.HostState) {
		r := newRoster()
		apply(r)
		r.Tick(at)
		live := r.LiveHosts()
		if start == 0 {
			Expect(live).To(BeEmpty())
			return
		}
		Expect(live).To(HaveLen(1))
		Expect(live[0].Incarnation.Start).To(Equal(start))
		Expect(live[0].State).To(Equal(state))
	},
	Entry("a seed without a heartbeat", func(r *roster.Roster) {
		r.AddSeeds(0, []string{address(1)})
	}, time.Second, uint64(0), view.HostReady),
	Entry("a seed that sent a heartbeat", func(r *roster.Roster) {
		r.AddSeeds(0, []string{address(1)})
		r.RecordHeartbeat(0, heartbeat(1, 5, view.HostReady))
	}, time.Second, uint64(5), view.HostReady),
	Entry("no heartbeat within the timeout", func(r *roster.Roster) {
		r.RecordHeartbeat(0, heartbeat(1, 5, view.HostReady))
	}, roster.LivenessTimeout, uint64(0), view.HostReady),
	Entry("a hint as old as the timeout", func(r *roster.Roster) {
		r.RecordHints(time.Minute, hint(1, 5, view.HostReady, roster.LivenessTimeout))
	}, time.Minute, uint64(0), view.HostReady),
	Entry("replaced by a new incarnation", func(r *roster.Roster) {
		r.RecordHeartbeat(0, heartbeat(1, 5, view.HostLeaving))
		r.RecordHeartbeat(time.Second, heartbeat(1, 6, view.HostReady))
		r.RecordHints(2*time.Second, hint(1, 5, view.HostLeaving, 0))
	}, 3*time.Second, uint64(6), view.HostReady),
	Entry("leaving is final for an incarnation", func(r *roster.Roster) {
		r.RecordHeartbeat(0, heartbeat(1, 5, view.HostLeaving))
		r.RecordHints(time.Second, hint(1, 5, view.HostReady, 0))
	}, 2*time.Second, uint64(5), view.HostLeaving),
	Entry("wrongly considered replaced, then sends a heartbeat", func(r *roster.Roster) {
		r.RecordHints(time.Second, hint(1, 6, view.HostReady, time.Second))
		r.RecordHints(time.Second, hint(1, 5, view.HostReady, 0))
		r.RecordHeartbeat(2*time.Second, heartbeat(1, 6, view.HostReady))
	}, 3*time.Second, uint64(6), view.HostReady),
	Entry("unreachable, with a hint from before the failure", func(r *roster.Roster) {
		r.RecordHeartbeat(0, heartbeat(1, 5, view.HostReady))
		r.Tick(time.Second)
		r.MarkUnreachable(5*time.Second, address(1))
		r.RecordHints(6*time.Second, hint(1, 5, view.HostReady, 2*time.Second))
	}, 7*time.Second, uint64(0), view.HostReady),
	Entry("unreachable, with a hint from after the failure", func(r *roster.Roster) {
		r.RecordHeartbeat(0, heartbeat(1, 5, view.HostReady))
		r.Tick(time.Second)
		r.MarkUnreachable(5*time.Second, address(1))
		r.RecordHints(7*time.Second, hint(1, 5, view.HostReady, time.Second))
	}, 7*time.Second, uint64(5), view.HostReady),
	Entry("alive after a pause, just before the timeout", func(r *roster.Roster) {
		r.RecordHeartbeat(0, heartbeat(1, 5, view.HostReady))
		r.Tick(time.Second)
		r.ExtendAfterPause(time.Hour)
	}, time.Hour+roster.LivenessTimeout-1, uint64(5), view.HostReady),
	Entry("not alive after a pause, at the timeout", func(r *roster.Roster) {
		r.RecordHeartbeat(0, heartbeat(1, 5, view.HostReady))
		r.Tick(time.Second)
		r.ExtendAfterPause(time.Hour)
	}, time.Hour+roster.LivenessTimeout, uint64(0), view.HostReady),
)

// TestLatestHeartbeatDecidesLiveness compares the live hosts with a model that
// keeps the latest heartbeat of each host.
func TestLatestHeartbeatDecidesLiveness(t *testing.T) {
	testsuite.Check(t, func(t *rapid.T) {
		r := newRoster()
		now := time.Duration(0)
		latest := make(map[string]time.Duration)
		recordModel := func(i int, age time.Duration) {
			if previous, ok := latest[address(i)]; age < roster.LivenessTimeout && (!ok || now-age > previous) {
				latest[address(i)] = now - age
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"heartbeat": func(t *rapid.T) {
				i := rapid.IntRange(0, 40).Draw(t, "host")
				r.RecordHeartbeat(now, heartbeat(i, 5, view.HostReady))
				recordModel(i, 0)
			},
			"hint": func(t *rapid.T) {
				i := rapid.IntRange(0, 40).Draw(t, "host")
				age := time.Duration(rapid.IntRange(0, 60).Draw(t, "age")) * time.Second
				r.RecordHints(now, hint(i, 5, view.HostReady, age))
				recordModel(i, age)
			},
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second },
			"": func(t *rapid.T) {
				r.Tick(now)
				checkLiveAndHints(t, r, latest, now)
				checkSample(t, r)
			},
		})
	})
}

// checkLiveAndHints compares the live hosts and the ages of hints with the latest
// heartbeat of each host.
func checkLiveAndHints(t *rapid.T, r *roster.Roster, latest map[string]time.Duration, now time.Duration) {
	live := make(map[string]bool)
	for _, h := range r.LiveHosts() {
		live[h.Incarnation.Address] = true
	}
	for a, at := range latest {
		if live[a] != (now-at < roster.LivenessTimeout) {
			t.Fatalf("%s: live is %v, %v after its latest heartbeat", a, live[a], now-at)
		}
	}
	hints := r.Hints(now)
	if len(hints) > roster.HintsPerHeartbeat {
		t.Fatalf("%d hints exceed the limit", len(hints))
	}
	for _, h := range hints {
		if h.Age != now-latest[h.Incarnation.Address] {
			t.Fatalf("%s: age %v, want %v", h.Incarnation.Address, h.Age, now-latest[h.Incarnation.Address])
		}
	}
}

// checkSample checks that a sample of peers has no duplicates and that it has
// LocalPeers hosts, if as many are known.
func checkSample(t *rapid.T, r *roster.Roster) {
	targets := r.SampleTargets(roster.LocalPeers, roster.RemotePeers)
	seen := make(map[string]bool)
	for _, a := range targets {
		if seen[a] || a == selfAddress {
			t.Fatalf("sample %v repeats a host or contains the sender", targets)
		}
		seen[a] = true
	}
	if len(targets) < min(r.KnownCount(), roster.LocalPeers) {
		t.Fatalf("sample has %d of %d known hosts", len(targets), r.KnownCount())
	}
}

// newFleet returns n ready hosts that are assigned to the data centres in turn.
func newFleet(n, dataCentres int) []view.Host {
	out := make([]view.Host, 0, n)
	for i := range n {
		out = append(out, view.Host{
			Incarnation: view.Incarnation{Address: address(i), Start: uint64(i) + 1},
			DataCentre:  string(rune('a' + i%dataCentres)),
			State:       view.HostReady,
		})
	}
	return out
}

var _ = It("selects the same watchers on every host of a data centre", func() {
	for revision := range config.Revision(20) {
		watchers := 0
		for i := range 30 {
			r := roster.New(view.Incarnation{Address: address(i), Start: 1}, "a", rand.New(rand.NewPCG(1, 1)))
			for j := range 30 {
				if j != i {
					r.RecordHeartbeat(0, heartbeat(j, 5, view.HostReady))
				}
			}
			r.Tick(0)
			if r.IsWatcher(revision) {
				watchers++
			}
		}
		Expect(watchers).To(Equal(roster.WatchersPerDataCentre))
	}
})
