package control_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/controlfleet"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// storm drives a small fleet through faults.
type storm struct {
	*controlfleet.Fleet
	newest config.Revision
	// origin is when an endpoint was last seen leaving.
	origin map[string]time.Duration
}

func newStorm(seed uint64) *storm {
	s := &storm{Fleet: controlfleet.New(7, 2, seed), newest: 1, origin: make(map[string]time.Duration)}
	s.Platform.Publish(shape.Build(1, 0))
	s.StartAll(time.Second)
	s.Run(time.Second, nil)
	return s
}

// check compares with the oracle: revisions never fall, nothing is in force that
// was not published, and no leaving hint outlives its origin.
func (s *storm) check(t *rapid.T) {
	for _, h := range s.Hosts {
		if h.Fell {
			t.Fatalf("%s: the revision in force fell", h.Address)
		}
		if h.Highest > s.newest {
			t.Fatalf("%s: revision %d was never published", h.Address, h.Highest)
		}
		if !h.Alive || h.Paused {
			continue
		}
		for _, l := range s.Status(h).Leaving {
			if end := s.origin[l.Endpoint] + leavingLife; s.Now+l.TTL > end {
				t.Fatalf("%s: hint about %s outlives its origin by %v", h.Address, l.Endpoint, s.Now+l.TTL-end)
			}
		}
	}
}

// leavingLife is the life of a hint, and what frames to paused hosts add to it.
const leavingLife = time.Minute

func (s *storm) host(t *rapid.T) *controlfleet.Host {
	return rapid.SampledFrom(s.Hosts).Draw(t, "host")
}

func (s *storm) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": s.check,
		"run": func(t *rapid.T) {
			s.Run(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds"))*time.Second, nil)
		},
		"publish": func(t *rapid.T) {
			s.newest++
			s.Platform.Publish(shape.Build(s.newest, rapid.IntRange(0, 3).Draw(t, "variant")))
		},
		"publish older or conflicting": func(t *rapid.T) {
			n := config.Revision(rapid.IntRange(1, int(s.newest)).Draw(t, "revision"))
			s.Platform.Publish(shape.Build(n, rapid.IntRange(0, 3).Draw(t, "variant")))
		},
		"publish without documents": func(t *rapid.T) {
			s.newest++
			s.Platform.Put(shape.Build(s.newest, 100+int(s.newest)).Manifest)
		},
		"platform down": func(t *rapid.T) { s.Platform.Down = rapid.Bool().Draw(t, "down") },
		"corrupt": func(t *rapid.T) {
			n := rapid.IntRange(0, 2).Draw(t, "bytes")
			s.Platform.Corrupt = func(data []byte) []byte { return data[:max(0, len(data)-n)] }
		},
		"cut": func(t *rapid.T) {
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				s.Cut = nil
			case 1:
				s.Cut = isolate(controlfleet.Centre(0))
			case 2:
				s.Cut = func(from, to string) bool { return from == controlfleet.Centre(1) && to == "" }
			}
		},
		"crash":   func(t *rapid.T) { s.Stop(s.host(t)) },
		"restart": func(t *rapid.T) { s.Start(s.host(t)) },
		"leaving": func(t *rapid.T) {
			if h := s.host(t); h.Alive && !h.Paused {
				endpoint := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "endpoint")
				s.origin[endpoint] = s.Now
				s.Observe(h, view.Observation{LeavingEndpoint: endpoint})
			}
		},
	}
}

// heal ends all faults, and lets every host hear of the others.
func (s *storm) heal() {
	s.Cut = nil
	s.Platform.Down = false
	s.Platform.Corrupt = nil
	for _, h := range s.Hosts {
		if !h.Alive {
			s.Start(h)
		}
	}
	s.Run(20*time.Second, nil)
}

// TestFleetConverges drives the machines through faults in any order. Afterwards
// a revision that a single host has reaches all within the stated rounds without
// the platform, and a revision that is published comes into force everywhere.
func TestFleetConverges(t *testing.T) {
	testsuite.Check(t, func(t *rapid.T) {
		s := newStorm(rapid.Uint64().Draw(t, "seed"))
		t.Repeat(s.actions())
		s.heal()
		s.newest++
		s.Platform.Publish(shape.Build(s.newest, 1))
		if !s.Run(3*time.Minute, func() bool { return s.InForce(s.newest) > 0 }) {
			t.Fatalf("no host has revision %d", s.newest)
		}
		s.Platform.Down = true
		if !s.Run(spreadTime, func() bool { return s.InForce(s.newest) == len(s.Hosts) }) {
			t.Fatalf("revision %d is on %d hosts after %d rounds", s.newest, s.InForce(s.newest), spreadRounds)
		}
		if !s.Run(time.Minute, func() bool { return s.Ready() == len(s.Hosts) }) {
			t.Fatalf("%d hosts are ready", s.Ready())
		}
		s.check(t)
	})
}

// TestPausesConverge drives pauses; hints in frames to a paused host wait, so that
// only revisions are compared.
func TestPausesConverge(t *testing.T) {
	testsuite.Check(t, func(t *rapid.T) {
		s := newStorm(rapid.Uint64().Draw(t, "seed"))
		s.Run(20*time.Second, nil)
		for range rapid.IntRange(1, 6).Draw(t, "pauses") {
			if h := s.host(t); !h.Paused {
				s.Pause(h, time.Duration(rapid.IntRange(1, 120).Draw(t, "seconds"))*time.Second)
			}
			s.newest++
			s.Platform.Publish(shape.Build(s.newest, int(s.newest)%4))
			s.Run(time.Duration(rapid.IntRange(1, 30).Draw(t, "run"))*time.Second, nil)
		}
		s.Run(2*time.Minute, nil)
		s.check(t)
		if s.InForce(s.newest) != len(s.Hosts) || s.Ready() != len(s.Hosts) {
			t.Fatalf("revision %d on %d hosts, %d ready", s.newest, s.InForce(s.newest), s.Ready())
		}
	})
}
