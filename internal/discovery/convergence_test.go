package discovery_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/catalog"
	"github.com/gypsumlug/gypsumlug/internal/discovery"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

const (
	// drainBound is the time after its removal from which a host in touch may not use a
	// replica, and touchTime the time without a fault after which a host is in touch.
	drainBound = 3 * time.Second
	touchTime  = 4 * time.Second
	// settleTime is the time after the last fault within which all hosts have the state
	// of the store.
	settleTime = 6 * time.Second
	// faultOrders is the number of random orders of faults.
	faultOrders = 400
)

// registerReplicas registers n replicas.
func (s *simulation) registerReplicas(n int) {
	for i := range n {
		s.registerReplica(fmt.Sprintf("r%02d", i), false)
	}
}

// reader returns the host that read the store last.
func (s *simulation) reader() *host {
	var last *host
	storeDown := s.storeDown
	s.storeDown = func(h *host) bool {
		last = h
		return storeDown(h)
	}
	s.advance(time.Second)
	s.storeDown = storeDown
	return last
}

// Guards against hosts that keep replicas for good whose entries disappeared together:
// the reader's heartbeats had the new revision and the digest of before (review, case 4).
func TestReplicasThatLeaveTogetherAreDroppedByAllHosts(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(10) {
		s := newSimulation(8, seed)
		s.registerReplicas(12)
		s.advance(8 * time.Second)
		g.Expect(s.staleHosts(s.hosts)).To(BeEmpty())
		s.publishConfig()
		s.advance(40 * time.Millisecond)
		s.removeReplica("r03", "r04", "r05")
		s.advance(drainBound)
		g.Expect(s.staleHosts(s.hosts)).To(BeEmpty(), "seed %d", seed)
	}
}

// Guards against the grace period of a mass removal that begins anew at each host that
// takes over reading.
func TestReplicasThatLeaveTogetherAreDroppedThoughTheReaderIsKilled(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(20) {
		s := newSimulation(8, seed)
		s.registerReplicas(12)
		s.advance(8 * time.Second)
		reader := s.reader()
		s.removeReplica("r03", "r04", "r05")
		s.advance(time.Duration(s.rng.IntN(1900)) * time.Millisecond)
		reader.dead = true
		s.advance(drainBound)
		g.Expect(s.staleHosts(s.hosts)).To(BeEmpty(), "seed %d", seed)
	}
}

// Guards against hosts that keep a replica for good which left before the host was
// started that reads the store next (review, case 1).
func TestReplicaThatNewReaderNeverKnewIsDropped(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(10) {
		s := newSimulation(7, seed)
		s.registerReplicas(12)
		s.advance(8 * time.Second)
		killed := append([]*host{s.reader()}, s.hosts[0], s.hosts[3])
		for _, h := range killed {
			h.dead = true
		}
		s.advance(200 * time.Millisecond)
		s.removeReplica("r03")
		s.advance(300 * time.Millisecond)
		for _, h := range killed {
			s.startHost(h)
		}
		s.advance(drainBound - 300*time.Millisecond)
		g.Expect(s.staleHosts(s.hosts)).To(BeEmpty(), "seed %d", seed)
	}
}

// listingResult is the store's answer to a read of everything: replicas with the given
// IDs, at a revision.
func listingResult(revision uint64, ids ...string) discovery.ReadResult {
	r := discovery.ReadResult{Revision: revision, Config: &routing.Config{Version: 1}}
	for _, id := range ids {
		r.Entries = append(r.Entries, catalog.Entry{ID: id, Revision: 1, Replica: &routing.Replica{ID: id, Address: id, Service: "s", Slots: 1}})
	}
	return r
}

// Guards against hosts that agree on the revision and differ in the replicas: the host
// that does not read the store takes the reader's.
func TestDifferenceAtEqualRevisionIsHealed(t *testing.T) {
	g := NewWithT(t)
	newMachine := func(address string) *discovery.Machine {
		return discovery.NewMachine(discovery.Member{Address: address, DataCentre: "z", Start: 1}, nil, 0, rand.New(rand.NewPCG(1, 1)))
	}
	reader, other := newMachine("10.0.0.1:1"), newMachine("10.0.0.2:1")
	reader.HandleReadResult(0, listingResult(10, "a", "b"))
	reader.Leave(0)
	other.HandleState(0, "10.0.0.3:1", &discovery.State{Format: discovery.FormatVersion, Revision: 10, Entries: listingResult(10, "a", "b", "c").Entries, Config: &routing.Config{Version: 1}}, nil)
	var fetch *discovery.StateRequest
	for now := time.Duration(0); now < time.Second && fetch == nil; now += 100 * time.Millisecond {
		for _, outgoing := range reader.HandleHeartbeat(now, discovery.Heartbeat{Format: discovery.FormatVersion, From: "10.0.0.2:1", DataCentre: "z", ReplyRequested: true}).Heartbeats {
			outgoing.Heartbeat.Leaving = false
			if actions := other.HandleHeartbeat(now, outgoing.Heartbeat); actions.FetchFrom != "" {
				fetch = &actions.FetchRequest
			}
		}
	}
	g.Expect(fetch).NotTo(BeNil())
	g.Expect(fetch.Revision).To(BeZero())
	view := other.HandleState(time.Second, "10.0.0.1:1", reader.StateFor(time.Second, *fetch), nil).View
	g.Expect(view.Replicas).To(HaveLen(2))
}

// Guards against a removal that never reaches the fleet: the reader reads a full listing
// from time to time.
func TestMissedRemovalIsFoundByTheReader(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(8, 3)
	s.registerReplicas(12)
	s.advance(8 * time.Second)
	s.removeReplica("r03")
	s.replicaChanges = slices.DeleteFunc(s.replicaChanges, func(e catalog.Entry) bool { return e.ID == "r03" })
	s.advance(bound)
	g.Expect(s.staleHosts(s.hosts)).To(HaveLen(8))
	s.advance(30*time.Second + drainBound)
	g.Expect(s.staleHosts(s.hosts)).To(BeEmpty())
}

// faultModel injects random faults into a simulation and knows which hosts are in touch
// and how long ago each replica was removed.
type faultModel struct {
	*simulation
	// removedAt is when each replica that is not registered was removed. calmlyRemoved
	// has those that were removed while the store had been without a fault for touchTime.
	removedAt     map[string]time.Duration
	calmlyRemoved map[string]bool
	// troubledAt is when a fault last affected a host.
	troubledAt map[*host]time.Duration
	// cutFromStore and cutFromPeers are the hosts that can't reach the store, or their
	// peers. refused is set while the store refuses all hosts.
	cutFromStore, cutFromPeers map[*host]bool
	refused                    bool
	refusedAt                  time.Duration
	nextID                     int
}

func newFaultModel(t *rapid.T) *faultModel {
	m := &faultModel{
		simulation: newSimulation(rapid.IntRange(3, 9).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed")),
		removedAt:  map[string]time.Duration{}, calmlyRemoved: map[string]bool{}, troubledAt: map[*host]time.Duration{},
		cutFromStore: map[*host]bool{}, cutFromPeers: map[*host]bool{},
		refusedAt: -touchTime,
	}
	m.storeDown = func(h *host) bool { return m.refused || m.cutFromStore[h] }
	m.partitioned = func(a, b *host) bool { return m.cutFromPeers[a] != m.cutFromPeers[b] }
	for range 12 {
		m.addReplica()
	}
	m.advance(8 * time.Second)
	return m
}

func (m *faultModel) addReplica() {
	m.nextID++
	m.registerReplica(fmt.Sprintf("r%03d", m.nextID), false)
}

// registered returns the IDs of the replicas in the store.
func (m *faultModel) registered() []string {
	var out []string
	for n := range m.nextID {
		id := fmt.Sprintf("r%03d", n+1)
		if _, removed := m.removedAt[id]; !removed {
			out = append(out, id)
		}
	}
	return out
}

func (m *faultModel) removeReplicas(n int) {
	ids := m.registered()
	for _, id := range ids[:min(n, len(ids))] {
		m.removeReplica(id)
		m.removedAt[id] = m.now
		m.calmlyRemoved[id] = m.storeIsCalm()
	}
}

// inject injects one random event.
func (m *faultModel) inject(t *rapid.T) {
	h := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")]
	switch rapid.IntRange(0, 11).Draw(t, "event") {
	case 0:
		m.publishConfig()
	case 1:
		m.addReplica()
	case 2:
		m.removeReplicas(1)
	case 3:
		m.removeReplicas(len(m.registered())/3 + 1)
	case 4:
		m.addReplica()
		m.addReplica()
		m.addReplica()
	case 5: // many hosts are killed at one moment
		for _, killed := range m.hosts {
			if rapid.Bool().Draw(t, "killed") {
				killed.dead = true
			}
		}
	case 6:
		m.startHost(h)
		m.troubledAt[h] = m.now
	case 7:
		h.frozen = !h.frozen && !h.dead
		m.troubledAt[h] = m.now
	case 8:
		m.cutFromStore[h] = !m.cutFromStore[h]
		m.troubledAt[h] = m.now
	case 9:
		m.cutFromPeers[h] = !m.cutFromPeers[h]
	case 10:
		m.refused = !m.refused
	case 11:
		m.oldestRevision = m.revision
	}
	if m.refused {
		m.refusedAt = m.now
	}
}

// run advances the simulation and fails if a host in touch uses a replica that was removed
// before drainBound.
func (m *faultModel) run(t *rapid.T, d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.advance(50 * time.Millisecond)
		if m.refused {
			m.refusedAt = m.now
		}
		for _, h := range m.hosts {
			if h.dead || h.frozen || m.cutFromStore[h] {
				m.troubledAt[h] = m.now
			}
			if m.inTouch(h) {
				m.checkRemoved(t, h)
			}
		}
	}
}

func (m *faultModel) inTouch(h *host) bool {
	return m.now-m.troubledAt[h] >= touchTime && m.storeIsCalm()
}

func (m *faultModel) storeIsCalm() bool { return m.now-m.refusedAt >= touchTime }

func (m *faultModel) checkRemoved(t *rapid.T, h *host) {
	for id, at := range m.removedAt {
		if m.calmlyRemoved[id] && m.now-at > drainBound && h.view != nil && h.view.Replicas[id+"@0"] != nil {
			t.Fatalf("%s uses %s %v after its removal", h.address, id, m.now-at)
		}
	}
}

// endFaults ends all faults and starts the hosts that are dead.
func (m *faultModel) endFaults() {
	m.refused, m.heartbeatLoss = false, 0
	clear(m.cutFromStore)
	clear(m.cutFromPeers)
	for _, h := range m.hosts {
		h.frozen = false
		if h.dead {
			m.startHost(h)
		}
	}
}

// Hosts in touch do not use a replica that was removed, whichever hosts are killed,
// restarted, frozen or cut off around it, and however many replicas leave together. Once
// the faults end, all hosts have exactly the store's replicas.
func TestHostsInTouchUseTheReplicasOfTheStore(t *testing.T) {
	testsuite.CheckN(t, faultOrders, func(t *rapid.T) {
		m := newFaultModel(t)
		m.heartbeatLoss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "heartbeat loss")
		for range rapid.IntRange(3, 20).Draw(t, "steps") {
			m.inject(t)
			m.run(t, time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms"))*time.Millisecond)
		}
		m.endFaults()
		m.advance(settleTime)
		if stale := m.staleHosts(m.hosts); len(stale) > 0 {
			t.Fatalf("stale hosts: %v", stale)
		}
	})
}

// Guards against a restarted host that is never told what the fleet has learned, since it
// has read the store before it heard of a peer.
func TestHostThatStartsAsksForNewsOnce(t *testing.T) {
	g := NewWithT(t)
	m := discovery.NewMachine(discovery.Member{Address: "10.0.0.1:1", DataCentre: "z", Start: 1}, nil, 0, rand.New(rand.NewPCG(1, 1)))
	m.HandleReadResult(0, listingResult(10, "a"))
	heartbeat := discovery.Heartbeat{Format: discovery.FormatVersion, From: "10.0.0.2:1", DataCentre: "z", Version: 1, Revision: 10}
	asked := m.HandleHeartbeat(0, heartbeat)
	g.Expect(asked.FetchFrom).To(Equal("10.0.0.2:1"))
	g.Expect(asked.FetchRequest.News).To(BeTrue())
	m.HandleState(0, "10.0.0.2:1", nil, errRefused)
	asked = m.HandleHeartbeat(time.Second, heartbeat)
	g.Expect(asked.FetchRequest.News).To(BeTrue(), "asked again after a failure")
	m.HandleState(time.Second, "10.0.0.2:1", &discovery.State{Format: discovery.FormatVersion, Revision: 10, Since: 10}, nil)
	g.Expect(m.HandleHeartbeat(2*time.Second, heartbeat).FetchRequest.News).To(BeFalse())
}
