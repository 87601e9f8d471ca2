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

// faultTest drives a small fleet through faults.
type faultTest struct {
	*controlfleet.Fleet
	newest config.Revision
	// leavingSeen is when a host last observed that the endpoint is leaving.
	leavingSeen map[string]time.Duration
}

func newFaultTest(seed uint64) *faultTest {
	ft := &faultTest{Fleet: controlfleet.New(7, 2, seed), newest: 1, leavingSeen: make(map[string]time.Duration)}
	ft.Platform.Publish(shape.Build(1, 0))
	ft.StartAll(time.Second)
	ft.Run(time.Second, nil)
	return ft
}

// check verifies the invariants: revisions never decrease, only
// published revisions are in force, and no leaving hint outlives LeavingTTL
// after its last observation.
func (ft *faultTest) check(t *rapid.T) {
	for _, h := range ft.Hosts {
		if h.RevisionDecreased {
			t.Fatalf("%s: the revision in force decreased", h.Address)
		}
		if h.HighestRevision > ft.newest {
			t.Fatalf("%s: revision %d was never published", h.Address, h.HighestRevision)
		}
		if !h.Alive || h.Paused {
			continue
		}
		for _, l := range ft.Status(h).Leaving {
			if end := ft.leavingSeen[l.Endpoint] + maxLeavingAge; ft.Now+l.TTL > end {
				t.Fatalf("%s: hint about leaving endpoint %s expires %v too late", h.Address, l.Endpoint, ft.Now+l.TTL-end)
			}
		}
	}
}

// maxLeavingAge is the longest time from the last observation of a leaving
// endpoint to the expiry of its hints. Messages that wait at a paused host would
// prolong it, so no test combines pauses with leaving endpoints.
const maxLeavingAge = time.Minute

// host draws a host.
func (ft *faultTest) host(t *rapid.T) *controlfleet.Host {
	return rapid.SampledFrom(ft.Hosts).Draw(t, "host")
}

// actions returns the actions of the state machine test.
func (ft *faultTest) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": ft.check,
		"run": func(t *rapid.T) {
			ft.Run(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds"))*time.Second, nil)
		},
		"publish": func(t *rapid.T) {
			ft.newest++
			ft.Platform.Publish(shape.Build(ft.newest, rapid.IntRange(0, 3).Draw(t, "variant")))
		},
		"publish older or conflicting": func(t *rapid.T) {
			n := config.Revision(rapid.IntRange(1, int(ft.newest)).Draw(t, "revision"))
			ft.Platform.Publish(shape.Build(n, rapid.IntRange(0, 3).Draw(t, "variant")))
		},
		"publish without documents": func(t *rapid.T) {
			ft.newest++
			ft.Platform.PutManifest(shape.Build(ft.newest, 100+int(ft.newest)).Manifest)
		},
		"platform down": func(t *rapid.T) { ft.Platform.Down = rapid.Bool().Draw(t, "down") },
		"corrupt": func(t *rapid.T) {
			n := rapid.IntRange(0, 2).Draw(t, "bytes")
			ft.Platform.Corrupt = func(data []byte) []byte { return data[:max(0, len(data)-n)] }
		},
		"cut": func(t *rapid.T) {
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				ft.Partitioned = nil
			case 1:
				ft.Partitioned = isolate(controlfleet.DataCentreName(0))
			case 2:
				ft.Partitioned = func(from, to string) bool { return from == controlfleet.DataCentreName(1) && to == "" }
			}
		},
		"crash":   func(t *rapid.T) { ft.Crash(ft.host(t)) },
		"restart": func(t *rapid.T) { ft.Start(ft.host(t)) },
		"leaving": func(t *rapid.T) {
			if h := ft.host(t); h.Alive && !h.Paused {
				endpoint := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "endpoint")
				ft.leavingSeen[endpoint] = ft.Now
				ft.Observe(h, view.Observation{LeavingEndpoint: endpoint})
			}
		},
	}
}

// endFaults ends all faults, starts the hosts that are down, and gives them time
// to hear from each other.
func (ft *faultTest) endFaults() {
	ft.Partitioned = nil
	ft.Platform.Down = false
	ft.Platform.Corrupt = nil
	for _, h := range ft.Hosts {
		if !h.Alive {
			ft.Start(h)
		}
	}
	ft.Run(20*time.Second, nil)
}

// TestFleetConverges drives the machines through faults in any order. After the
// faults, a published revision must reach a first host; the platform then goes
// down, and the revision must be in force on all hosts within spreadTime.
func TestFleetConverges(t *testing.T) {
	testsuite.Check(t, func(t *rapid.T) {
		ft := newFaultTest(rapid.Uint64().Draw(t, "seed"))
		t.Repeat(ft.actions())
		ft.endFaults()
		ft.newest++
		ft.Platform.Publish(shape.Build(ft.newest, 1))
		if !ft.Run(3*time.Minute, func() bool { return ft.CountWithRevision(ft.newest) > 0 }) {
			t.Fatalf("revision %d is in force on no host", ft.newest)
		}
		ft.Platform.Down = true
		if !ft.Run(spreadTime, func() bool { return ft.CountWithRevision(ft.newest) == len(ft.Hosts) }) {
			t.Fatalf("revision %d is in force on %d hosts after %d rounds", ft.newest, ft.CountWithRevision(ft.newest), spreadRounds)
		}
		if !ft.Run(time.Minute, func() bool { return ft.CountReady() == len(ft.Hosts) }) {
			t.Fatalf("only %d hosts are ready", ft.CountReady())
		}
		ft.check(t)
	})
}

// TestPausesConverge pauses hosts while revisions are published. Messages to a
// paused host are delivered late, so the test has no leaving endpoints and checks
// only revisions and readiness.
func TestPausesConverge(t *testing.T) {
	testsuite.Check(t, func(t *rapid.T) {
		ft := newFaultTest(rapid.Uint64().Draw(t, "seed"))
		ft.Run(20*time.Second, nil)
		for range rapid.IntRange(1, 6).Draw(t, "pauses") {
			if h := ft.host(t); !h.Paused {
				ft.Pause(h, time.Duration(rapid.IntRange(1, 120).Draw(t, "seconds"))*time.Second)
			}
			ft.newest++
			ft.Platform.Publish(shape.Build(ft.newest, int(ft.newest)%4))
			ft.Run(time.Duration(rapid.IntRange(1, 30).Draw(t, "run"))*time.Second, nil)
		}
		ft.Run(2*time.Minute, nil)
		ft.check(t)
		if ft.CountWithRevision(ft.newest) != len(ft.Hosts) || ft.CountReady() != len(ft.Hosts) {
			t.Fatalf("revision %d is in force on %d hosts, and %d hosts are ready", ft.newest, ft.CountWithRevision(ft.newest), ft.CountReady())
		}
	})
}
