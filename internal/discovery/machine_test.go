package discovery_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/catalog"
	"github.com/gypsumlug/gypsumlug/internal/discovery"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

const (
	step    = 10 * time.Millisecond
	latency = 10 * time.Millisecond
	// bound is the time within which a change must be in force on all hosts in these
	// tests: half of the time that the requirements allow.
	bound = 1500 * time.Millisecond
)

var errRefused = errors.New("refused")

// simulation runs the machines of a fleet against a simulated store and network, by
// one clock.
type simulation struct {
	now   time.Duration
	rng   *rand.Rand
	hosts []*host
	// The state of the store: its revision, the version of the configuration, the
	// oldest revision whose later changes are available, all changes of replicas, and
	// the revisions that changed the configuration.
	revision        uint64
	version         uint64
	oldestRevision  uint64
	replicaChanges  []catalog.Entry
	configRevisions map[uint64]bool
	// storeDown reports whether the store refuses a host.
	storeDown func(h *host) bool
	// partitioned reports whether two hosts can't reach each other.
	partitioned func(a, b *host) bool
	// storeCalls counts the reads of the store.
	storeCalls    int
	pendingEvents []event
}

// event is a function to run at a simulated time.
type event struct {
	at  time.Duration
	run func()
}

// host is one simulated host. A frozen host isn't ticked, gets no heartbeats and
// answers no requests, but still gets the results of its own. A dead host gets
// nothing, and the heartbeats that it sent but that didn't arrive yet are lost.
type host struct {
	address string
	machine *discovery.Machine
	view    *routing.View
	peers   []split.Peer
	// cpuPercent is the CPU capacity that the host announces.
	cpuPercent int
	frozen     bool
	dead       bool
}

func newSimulation(n int, seed uint64) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), revision: 1, version: 1, configRevisions: map[uint64]bool{1: true},
		storeDown: func(*host) bool { return false }, partitioned: func(_, _ *host) bool { return false },
	}
	for i := range n {
		s.hosts = append(s.hosts, &host{address: fmt.Sprintf("10.0.0.%d:1", i+1)})
		s.startHost(s.hosts[i])
	}
	return s
}

// startHost starts or restarts a host with a new machine.
func (s *simulation) startHost(h *host) {
	seeds := []string{s.hosts[0].address, "10.9.9.9:1", s.hosts[len(s.hosts)/2].address}
	h.machine = discovery.NewMachine(discovery.Member{Address: h.address, DataCentre: "dc", Start: s.rng.Uint64(), CPUPercent: h.cpuPercent}, seeds, s.now, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	h.view, h.dead, h.frozen = nil, false, false
}

// schedule schedules run for execution after the delay d.
func (s *simulation) schedule(d time.Duration, run func()) {
	s.pendingEvents = append(s.pendingEvents, event{at: s.now + d, run: run})
}

// advance runs the simulation for the time d. Each host ticks at every tenth step,
// with an offset that depends on its address.
func (s *simulation) advance(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += step {
		due := s.pendingEvents
		s.pendingEvents = nil
		for _, e := range due {
			if e.at <= s.now {
				e.run()
			} else {
				s.pendingEvents = append(s.pendingEvents, e)
			}
		}
		for _, h := range s.hosts {
			if !h.dead && !h.frozen && int(s.now/step)%10 == int(h.address[7])%10 {
				s.execute(h, h.machine.Tick(s.now))
			}
		}
	}
}

// execute applies the actions of a host's machine.
func (s *simulation) execute(h *host, actions discovery.Actions) {
	if actions.View != nil {
		h.view = actions.View
	}
	if actions.Peers != nil {
		h.peers = actions.Peers
	}
	for _, outgoing := range actions.Heartbeats {
		s.schedule(latency, func() { s.deliverHeartbeat(h, outgoing) })
	}
	if actions.Read != nil {
		s.readStore(h, *actions.Read)
	}
	if actions.FetchFrom != "" {
		s.fetchState(h, actions.FetchFrom, actions.FetchRequest)
	}
}

// runningHost returns the running host at an address, or nil.
func (s *simulation) runningHost(address string) *host {
	for _, h := range s.hosts {
		if h.address == address && !h.dead && !h.frozen {
			return h
		}
	}
	return nil
}

// deliverHeartbeat passes a heartbeat to its receiver, if it arrives.
func (s *simulation) deliverHeartbeat(from *host, outgoing discovery.OutgoingHeartbeat) {
	to := s.runningHost(outgoing.To)
	if to == nil || from.dead || s.partitioned(from, to) {
		return
	}
	s.execute(to, to.machine.HandleHeartbeat(s.now, outgoing.Heartbeat))
}

// fetchState requests a peer's state, which arrives after a round trip.
func (s *simulation) fetchState(h *host, address string, r discovery.StateRequest) {
	machine := h.machine
	s.schedule(2*latency, func() {
		if h.dead || h.machine != machine {
			return
		}
		peer := s.runningHost(address)
		if peer == nil || s.partitioned(h, peer) {
			s.execute(h, machine.HandleState(s.now, address, nil, errRefused))
			return
		}
		s.execute(h, machine.HandleState(s.now, address, peer.machine.StateFor(s.now, r), nil))
	})
}

// readStore calls the store, which answers immediately if there is a change, else
// when there is one or the wait is over.
func (s *simulation) readStore(h *host, r discovery.ReadRequest) {
	s.storeCalls++
	machine, started := h.machine, s.now
	var poll func()
	poll = func() {
		if h.dead || h.machine != machine {
			return
		}
		waited := s.now - started
		if !s.storeDown(h) && r.After > 0 && r.After >= s.revision && waited < r.Wait {
			s.schedule(step, poll)
			return
		}
		s.execute(h, machine.HandleReadResult(s.now, s.storeAnswer(h, r, started)))
	}
	s.schedule(latency, poll)
}

// storeAnswer returns the store's current answer to a read.
func (s *simulation) storeAnswer(h *host, r discovery.ReadRequest, started time.Duration) discovery.ReadResult {
	out := discovery.ReadResult{Request: r, Started: started, Revision: s.revision}
	switch {
	case s.storeDown(h):
		out.Err = errRefused
	case r.After > 0 && r.After < s.oldestRevision:
		out.Err = discovery.ErrHistoryCompacted
	}
	if out.Err != nil {
		return out
	}
	latestChanges := map[string]catalog.Entry{}
	for _, e := range s.replicaChanges {
		latestChanges[e.ID] = e
	}
	for _, e := range latestChanges {
		if e.Revision > r.After && (r.After > 0 || e.Replica != nil) {
			out.Entries = append(out.Entries, e)
		}
	}
	for revision := range s.configRevisions {
		if revision > r.After {
			out.Config = s.config()
		}
	}
	return out
}

func (s *simulation) config() *routing.Config {
	c := &routing.Config{Version: s.version}
	c.IndexRoutes()
	return c
}

// publishConfig publishes a new version of the configuration.
func (s *simulation) publishConfig() {
	s.revision++
	s.version++
	s.configRevisions[s.revision] = true
}

// registerReplica publishes a new state of a replica, which may be leaving.
func (s *simulation) registerReplica(id string, leaving bool) {
	s.revision++
	s.replicaChanges = append(s.replicaChanges, catalog.Entry{ID: id, Revision: s.revision, Replica: &routing.Replica{ID: id, Address: id, Service: "s", Slots: 1, Leaving: leaving}})
}

// isCurrent reports whether a host's view has the store's configuration version and
// replicas.
func (s *simulation) isCurrent(h *host) bool {
	if h.view == nil || h.view.Config.Version != s.version {
		return false
	}
	want := map[string]bool{}
	for _, e := range s.replicaChanges {
		want[e.ID] = !e.Replica.Leaving
	}
	n := 0
	for id, live := range want {
		if !live {
			continue
		}
		n++
		if h.view.Replicas[id+"@0"] == nil {
			return false
		}
	}
	return n == len(h.view.Replicas)
}

// staleHosts returns the addresses of the live hosts whose view doesn't match the
// store.
func (s *simulation) staleHosts(hosts []*host) []string {
	var out []string
	for _, h := range hosts {
		if !h.dead && !s.isCurrent(h) {
			out = append(out, h.address)
		}
	}
	return out
}

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
	rapid.Check(t, func(t *rapid.T) {
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
