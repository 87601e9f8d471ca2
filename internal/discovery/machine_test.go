package discovery_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/discovery"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

// A change in the store is in force on all hosts within bound, under each kind of
// fault. Hosts that a fault stops are exempt; they are the first ones of the fleet.
func TestChangeIsInForceWithinBound(t *testing.T) {
	for name, injectFault := range map[string]func(s *simulation) (stopped int){
		"no fault": func(*simulation) int { return 0 },
		"readers killed": func(s *simulation) int {
			for _, h := range s.hosts[:4] {
				h.dead = true
			}
			return 4
		},
		"readers frozen": func(s *simulation) int {
			for _, h := range s.hosts[:7] {
				h.frozen = true
			}
			return 7
		},
		"half of the hosts refused by the store": func(s *simulation) int {
			s.storeDown = func(h *host) bool { return h.address[len(h.address)-3] < '4' }
			return 0
		},
		"all hosts but one refused by the store": func(s *simulation) int {
			s.storeDown = func(h *host) bool { return h != s.hosts[13] }
			return 0
		},
		"history compacted": func(s *simulation) int {
			s.oldestRevision = s.revision + 2
			return 0
		},
		"partitioned in halves": func(s *simulation) int {
			s.partitioned = func(a, b *host) bool { return (a.address < "10.0.0.3") != (b.address < "10.0.0.3") }
			return 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(10) {
				s := newSimulation(14, seed)
				s.registerReplica("a", false)
				s.registerReplica("b", false)
				s.advance(8 * time.Second)
				g.Expect(s.staleHosts(s.hosts)).To(BeEmpty())
				stopped := injectFault(s)
				s.advance(time.Duration(s.rng.IntN(1000)) * time.Millisecond)
				s.publishConfig()
				s.registerReplica("b", true)
				s.advance(bound)
				g.Expect(s.staleHosts(s.hosts[stopped:])).To(BeEmpty(), "seed %d", seed)
			}
		})
	}
}

// In steady state the fleet makes less than 0.1 calls to the store per second and
// host.
func TestFewHostsReadTheStore(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(14, 5)
	s.advance(10 * time.Second)
	s.storeCalls = 0
	s.advance(60 * time.Second)
	g.Expect(s.storeCalls).To(BeNumerically("<", 14*60/10))
}

// While the store is down, hosts back off to less than one call per second and
// host. Within two seconds after it recovers, all hosts have the changes that were
// made meanwhile.
// Guards against a small host that falls behind because all others fetch each change
// from it: the store is read by a large host while there is one.
func TestLargeHostReadsTheStore(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(20, 1)
	large := map[string]bool{s.hosts[4].address: true, s.hosts[11].address: true}
	for _, h := range s.hosts {
		h.cpuPercent = 13
		if large[h.address] {
			h.cpuPercent = 80
		}
		s.startHost(h)
	}
	s.advance(20 * time.Second)
	readers := map[string]int{}
	s.storeDown = func(h *host) bool {
		readers[h.address]++
		return false
	}
	s.advance(20 * time.Second)
	g.Expect(readers).To(HaveLen(1))
	first := slices.Collect(maps.Keys(readers))[0]
	g.Expect(large).To(HaveKey(first))
	for _, h := range s.hosts {
		h.dead = h.address == first
	}
	s.advance(5 * time.Second)
	clear(readers)
	s.advance(20 * time.Second)
	g.Expect(readers).To(HaveLen(1))
	second := slices.Collect(maps.Keys(readers))[0]
	g.Expect(large).To(HaveKey(second))
	g.Expect(second).NotTo(Equal(first))
}

func TestStoreOutage(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(14, 6)
	s.registerReplica("a", false)
	s.advance(8 * time.Second)
	s.storeDown = func(*host) bool { return true }
	s.storeCalls = 0
	s.advance(20 * time.Second)
	g.Expect(s.storeCalls).To(BeNumerically("<", 14*20))
	s.publishConfig()
	s.registerReplica("a", true)
	s.storeDown = func(*host) bool { return false }
	s.advance(2 * time.Second)
	g.Expect(s.staleHosts(s.hosts)).To(BeEmpty())
}

// A host that starts while the store is down gets the full state from its peers.
func TestNewHostGetsStateFromPeers(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(14, 7)
	s.registerReplica("a", false)
	s.advance(8 * time.Second)
	s.storeDown = func(*host) bool { return true }
	s.advance(3 * time.Second)
	s.startHost(s.hosts[9])
	s.advance(bound)
	g.Expect(s.staleHosts(s.hosts[9:10])).To(BeEmpty())
}

// The configuration version in force on a host never decreases, whichever hosts are
// frozen, restarted, partitioned or refused by the store, and even if the store
// compacts its history. Once the faults end, all hosts reach the state of the store.
func TestVersionNeverDecreasesAndHostsConverge(t *testing.T) {
	testsuite.Check(t, func(t *rapid.T) {
		s := newSimulation(6, rapid.Uint64().Draw(t, "seed"))
		lastVersions := map[*host]uint64{}
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			h := s.hosts[rapid.IntRange(0, 5).Draw(t, "host")]
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				s.publishConfig()
			case 1:
				s.registerReplica(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id")), rapid.Bool().Draw(t, "leaving"))
			case 2:
				h.frozen = !h.frozen
			case 3:
				s.startHost(h)
				delete(lastVersions, h)
			case 4:
				s.storeDown = func(other *host) bool { return other == h }
			case 5:
				s.partitioned = func(a, b *host) bool { return (a == h) != (b == h) }
			case 6:
				s.oldestRevision = s.revision
			}
			s.advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			for _, h := range s.hosts {
				if h.view == nil {
					continue
				}
				if h.view.Config.Version < lastVersions[h] {
					t.Fatalf("version on %s decreased from %d to %d", h.address, lastVersions[h], h.view.Config.Version)
				}
				lastVersions[h] = h.view.Config.Version
			}
		}
		s.storeDown = func(*host) bool { return false }
		s.partitioned = func(_, _ *host) bool { return false }
		for _, h := range s.hosts {
			h.frozen = false
		}
		s.advance(6 * time.Second)
		if stale := s.staleHosts(s.hosts); len(stale) > 0 {
			t.Fatalf("stale hosts: %v", stale)
		}
	})
}

// After the seeds change, heartbeats go to the new ones, except to the host
// itself.
func TestHeartbeatsGoToChangedSeeds(t *testing.T) {
	g := NewWithT(t)
	m := discovery.NewMachine(discovery.Member{Address: "127.0.0.1:1", DataCentre: "z", Start: 1}, []string{"127.0.0.1:2"}, 0, rand.New(rand.NewPCG(1, 1)))
	m.Tick(0)
	m.SetSeeds([]string{"127.0.0.1:1", "127.0.0.1:3"})
	var to []string
	for _, outgoing := range m.Tick(time.Minute).Heartbeats {
		to = append(to, outgoing.To)
	}
	g.Expect(to).To(Equal([]string{"127.0.0.1:3"}))
}

// In a large fleet, all hosts know all others at all times, so that they agree on
// the assignment of work, and forget a host that stopped.
func TestLargeFleetKnowsAllHosts(t *testing.T) {
	for _, n := range []int{20, 60, 141} {
		t.Run(fmt.Sprint(n, " hosts"), func(t *testing.T) {
			g := NewWithT(t)
			s := newSimulation(n, 3)
			s.advance(15 * time.Second)
			missing := 0
			for range 40 {
				s.advance(500 * time.Millisecond)
				for _, h := range s.hosts {
					missing += n - 1 - len(h.peers)
				}
			}
			g.Expect(missing).To(BeZero())

			stopped := s.hosts[n/3]
			stopped.dead = true
			s.advance(forgetWithin)
			for _, h := range s.hosts {
				if h != stopped {
					g.Expect(h.peers).NotTo(ContainElement(HaveField("Address", stopped.address)))
				}
			}
		})
	}
}

// forgetWithin is the time within which all hosts forget one that stopped without
// announcing it.
const forgetWithin = 12 * time.Second
