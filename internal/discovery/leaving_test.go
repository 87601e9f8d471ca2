package discovery_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// leavingTime is how long a host still runs after it has announced that it leaves,
// forgetTime the time after the announcement from which no host may send it work, and
// spreadTime that in which all hosts hear of one that starts.
const (
	leavingTime = 2500 * time.Millisecond
	forgetTime  = time.Second
	spreadTime  = 10 * time.Second
)

// hostsWithPeer returns the addresses of the live hosts that have the host among their
// peers.
func (s *simulation) hostsWithPeer(peer *host) []string {
	var out []string
	for _, h := range s.hosts {
		if h.dead || h == peer {
			continue
		}
		for _, p := range h.peers {
			if p.Address == peer.address {
				out = append(out, h.address)
			}
		}
	}
	return out
}

// Guards against a host that has announced that it leaves, and is used again: others that
// did not know yet told of it as one that had been heard of just now.
func TestHostThatLeavesIsNoPeerAgain(t *testing.T) {
	for size, seeds := range map[int]uint64{8: 4, 20: 4, 60: 1} {
		for _, latency := range []time.Duration{defaultLatency, 120 * time.Millisecond} {
			for _, loss := range []float64{0, 0.2} {
				t.Run(fmt.Sprintf("%d hosts, latency %v, loss %v", size, latency, loss), func(t *testing.T) {
					g := NewWithT(t)
					for seed := range seeds {
						s := newSimulation(size, seed)
						s.latency, s.heartbeatLoss = latency, loss
						s.advance(15 * time.Second)
						left := s.hosts[size/3]
						g.Expect(s.hostsWithPeer(left)).To(HaveLen(size - 1))
						s.execute(left, left.machine.Leave(s.now))
						s.advance(leavingTime)
						g.Expect(s.hostsWithPeer(left)).To(BeEmpty(), "seed %d", seed)
						left.dead = true
						for range 20 {
							s.advance(500 * time.Millisecond)
							g.Expect(s.hostsWithPeer(left)).To(BeEmpty(), "seed %d", seed)
						}
						s.startHost(left)
						s.advance(spreadTime)
						g.Expect(s.hostsWithPeer(left)).To(HaveLen(size-1), "another incarnation")
					}
				})
			}
		}
	}
}

// No host sends work to one that leaves, once its announcement has had the time to arrive.
func TestHostThatLeavesGetsNoWork(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(10) {
		s := newSimulation(20, seed)
		s.advance(15 * time.Second)
		left := s.hosts[7]
		s.execute(left, left.machine.Leave(s.now))
		for end := s.now + leavingTime; s.now < end; {
			s.advance(100 * time.Millisecond)
			if s.now > end-leavingTime+forgetTime {
				g.Expect(s.hostsWithPeer(left)).To(BeEmpty(), "seed %d", seed)
			}
		}
	}
}

// A late announcement of an earlier incarnation does not remove the host that was started
// at its address meanwhile.
func TestLateAnnouncementOfEarlierIncarnationIsIgnored(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation(8, 1)
	s.advance(15 * time.Second)
	restarted := s.hosts[5]
	announcements := restarted.machine.Leave(s.now).Heartbeats
	s.startHost(restarted)
	s.advance(spreadTime)
	g.Expect(s.hostsWithPeer(restarted)).To(HaveLen(7))
	for _, late := range announcements {
		s.deliverHeartbeat(restarted, late)
	}
	s.advance(100 * time.Millisecond)
	g.Expect(s.hostsWithPeer(restarted)).To(HaveLen(7))
}
