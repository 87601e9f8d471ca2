package discovery_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newDataCentreSimulation returns a fleet whose hosts are in the given number of data
// centres, by turns.
func newDataCentreSimulation(hosts, dataCentres int, seed uint64) *simulation {
	s := newSimulation(hosts, seed)
	for i, h := range s.hosts {
		h.dataCentre = fmt.Sprint("dc", i%dataCentres)
		s.startHost(h)
	}
	return s
}

// isolatedIn returns the share of the hosts of a data centre that take it to be cut off.
func (s *simulation) isolatedIn(dataCentre string) float64 {
	isolated, all := 0.0, 0.0
	for _, h := range s.hosts {
		if h.dataCentre == dataCentre {
			all++
			if h.isolated {
				isolated++
			}
		}
	}
	return isolated / all
}

// The hosts of a data centre that is cut off notice, and notice the end of it. No others
// do, and on a calm network never so many that a load balancer would leave the data
// centre out. Guards against half of a small data centre that hears of no other one by
// chance.
func TestHostsNoticeThatTheirDataCentreIsCutOff(t *testing.T) {
	for _, size := range []struct {
		hosts, dataCentres int
		seeds              uint64
	}{{14, 4, 40}, {20, 3, 3}, {60, 6, 3}} {
		t.Run(fmt.Sprint(size.hosts, " hosts in ", size.dataCentres), func(t *testing.T) {
			g := NewWithT(t)
			for seed := range size.seeds {
				s := newDataCentreSimulation(size.hosts, size.dataCentres, seed)
				s.advance(5 * time.Second)
				for range 40 {
					s.advance(500 * time.Millisecond)
					for i := range size.dataCentres {
						g.Expect(s.isolatedIn(fmt.Sprint("dc", i))).To(BeNumerically("<", 0.5), "on a calm network")
					}
				}
				s.partitioned = func(a, b *host) bool { return (a.dataCentre == "dc1") != (b.dataCentre == "dc1") }
				s.advance(2 * time.Second)
				for range 40 {
					s.advance(500 * time.Millisecond)
					g.Expect(s.isolatedIn("dc1")).To(Equal(1.0))
					g.Expect(s.isolatedIn("dc0")).To(BeNumerically("<", 0.5))
				}
				s.partitioned = func(_, _ *host) bool { return false }
				s.advance(2 * time.Second)
				g.Expect(s.isolatedIn("dc1")).To(BeNumerically("<", 0.5))
			}
		})
	}
}

// A fleet of one data centre, and a host that has heard of no other one, is never cut off.
func TestSingleDataCentreIsNeverCutOff(t *testing.T) {
	g := NewWithT(t)
	s := newDataCentreSimulation(8, 1, 1)
	s.advance(10 * time.Second)
	s.partitioned = func(_, _ *host) bool { return true }
	s.advance(20 * time.Second)
	g.Expect(s.isolatedIn("dc0")).To(BeZero())
}
