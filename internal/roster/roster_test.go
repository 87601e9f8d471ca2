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

var _ = DescribeTable("beliefs about one host",
	func(events func(r *roster.Roster), at time.Duration, start uint64, state view.HostState) {
		r := newRoster()
		events(r)
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
	Entry("a seed that was never heard", func(r *roster.Roster) {
		r.AddSeeds(0, []string{address(1)})
	}, time.Second, uint64(0), view.HostReady),
	Entry("a seed that is heard", func(r *roster.Roster) {
		r.AddSeeds(0, []string{address(1)})
		r.RecordHeartbeat(0, heartbeat(1, 5, view.HostReady))
	}, time.Second, uint64(5), view.HostReady),
	Entry("silent for too long", func(r *roster.Roster) {
		r.RecordHeartbeat(0, heartbeat(1, 5, view.HostReady))
	}, roster.SuspectAfter, uint64(0), view.HostReady),
	Entry("old word of others", func(r *roster.Roster) {
		r.RecordHints(time.Minute, hint(1, 5, view.HostReady, roster.SuspectAfter))
	}, time.Minute, uint64(0), view.HostReady),
	Entry("replaced in place", func(r *roster.Roster) {
		r.RecordHeartbeat(0, heartbeat(1, 5, view.HostLeaving))
		r.RecordHeartbeat(time.Second, heartbeat(1, 6, view.HostReady))
		r.RecordHints(2*time.Second, hint(1, 5, view.HostLeaving, 0))
	}, 3*time.Second, uint64(6), view.HostReady),
	Entry("leaving is final for an incarnation", func(r *roster.Roster) {
		r.RecordHeartbeat(0, heartbeat(1, 5, view.HostLeaving))
		r.RecordHints(time.Second, hint(1, 5, view.HostReady, 0))
	}, 2*time.Second, uint64(5), view.HostLeaving),
	Entry("wrongly taken for replaced, then heard itself", func(r *roster.Roster) {
		r.RecordHints(time.Second, hint(1, 6, view.HostReady, time.Second))
		r.RecordHints(time.Second, hint(1, 5, view.HostReady, 0))
		r.RecordHeartbeat(2*time.Second, heartbeat(1, 6, view.HostReady))
	}, 3*time.Second, uint64(6), view.HostReady),
	Entry("unreachable, and only older word of it", func(r *roster.Roster) {
		r.RecordHeartbeat(0, heartbeat(1, 5, view.HostReady))
		r.Tick(time.Second)
		r.MarkUnreachable(5*time.Second, address(1))
		r.RecordHints(6*time.Second, hint(1, 5, view.HostReady, 2*time.Second))
	}, 7*time.Second, uint64(0), view.HostReady),
	Entry("unreachable, and heard since", func(r *roster.Roster) {
		r.RecordHeartbeat(0, heartbeat(1, 5, view.HostReady))
		r.Tick(time.Second)
		r.MarkUnreachable(5*time.Second, address(1))
		r.RecordHints(7*time.Second, hint(1, 5, view.HostReady, time.Second))
	}, 7*time.Second, uint64(5), view.HostReady),
	Entry("believed again after a pause", func(r *roster.Roster) {
		r.RecordHeartbeat(0, heartbeat(1, 5, view.HostReady))
		r.Tick(time.Second)
		r.ExtendAfterPause(time.Hour)
	}, time.Hour+roster.SuspectAfter-1, uint64(5), view.HostReady),
	Entry("but not for longer", func(r *roster.Roster) {
		r.RecordHeartbeat(0, heartbeat(1, 5, view.HostReady))
		r.Tick(time.Second)
		r.ExtendAfterPause(time.Hour)
	}, time.Hour+roster.SuspectAfter, uint64(0), view.HostReady),
)

// TestNewestWordWins compares the live set with the newest word of each host.
func TestNewestWordWins(t *testing.T) {
	testsuite.Check(t, func(t *rapid.T) {
		r := newRoster()
		now := time.Duration(0)
		newest := make(map[string]time.Duration)
		word := func(i int, age time.Duration) {
			if old, ok := newest[address(i)]; age < roster.SuspectAfter && (!ok || now-age > old) {
				newest[address(i)] = now - age
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"heard": func(t *rapid.T) {
				i := rapid.IntRange(0, 40).Draw(t, "host")
				r.RecordHeartbeat(now, heartbeat(i, 5, view.HostReady))
				word(i, 0)
			},
			"hint": func(t *rapid.T) {
				i := rapid.IntRange(0, 40).Draw(t, "host")
				age := time.Duration(rapid.IntRange(0, 60).Draw(t, "age")) * time.Second
				r.RecordHints(now, hint(i, 5, view.HostReady, age))
				word(i, age)
			},
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second },
			"": func(t *rapid.T) {
				r.Tick(now)
				checkLive(t, r, newest, now)
				checkSample(t, r)
			},
		})
	})
}

func checkLive(t *rapid.T, r *roster.Roster, newest map[string]time.Duration, now time.Duration) {
	live := make(map[string]bool)
	for _, h := range r.LiveHosts() {
		live[h.Incarnation.Address] = true
	}
	for a, at := range newest {
		if live[a] != (now-at < roster.SuspectAfter) {
			t.Fatalf("%s: live %v, heard %v ago", a, live[a], now-at)
		}
	}
	hints := r.Hints(now)
	if len(hints) > roster.HintsPerHeartbeat {
		t.Fatalf("%d hints", len(hints))
	}
	for _, h := range hints {
		if h.Age != now-newest[h.Incarnation.Address] {
			t.Fatalf("%s: age %v, want %v", h.Incarnation.Address, h.Age, now-newest[h.Incarnation.Address])
		}
	}
}

func checkSample(t *rapid.T, r *roster.Roster) {
	sample := r.SampleTargets(roster.LocalPeers, roster.RemotePeers)
	seen := make(map[string]bool)
	for _, a := range sample {
		if seen[a] || a == selfAddress {
			t.Fatalf("bad sample %v", sample)
		}
		seen[a] = true
	}
	if len(sample) < min(r.KnownCount(), roster.LocalPeers) {
		t.Fatalf("%d peers of %d known", len(sample), r.KnownCount())
	}
}

func fleetOf(n, centres int) []view.Host {
	out := make([]view.Host, 0, n)
	for i := range n {
		out = append(out, view.Host{
			Incarnation: view.Incarnation{Address: address(i), Start: uint64(i) + 1},
			DataCentre:  string(rune('a' + i%centres)),
			State:       view.HostReady,
		})
	}
	return out
}

var _ = It("chooses the same few watchers on every host of a data centre", func() {
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
