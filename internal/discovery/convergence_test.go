package discovery_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// drainBound is the time after its removal from which a host in touch may not use a
// replica.
const drainBound = 3 * time.Second

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
