package control_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/configuration"
	"github.com/gypsumlug/gypsumlug/internal/control"
	"github.com/gypsumlug/gypsumlug/internal/controlfleet"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

func TestControl(t *testing.T) { testsuite.RunSpecs(t, "control") }

const (
	// spreadRounds is the specified number of heartbeat rounds within which a
	// revision that one host has reaches every reachable host.
	spreadRounds = 15
	spreadTime   = spreadRounds * control.HeartbeatInterval
	// leavingTime is the specified time within which every reachable host knows
	// of a leaving endpoint.
	leavingTime = 3 * time.Second
)

var shape = controlfleet.Shape{Services: 2, Endpoints: 12, DataCentres: 3}

// readyFleet returns a fleet of 24 hosts in three data centres that is ready
// with revision 10.
func readyFleet() *controlfleet.Fleet {
	f := controlfleet.New(24, 3, 1)
	f.Platform.Publish(shape.Build(10, 0))
	f.StartAll(time.Second)
	ExpectWithOffset(1, f.Run(15*time.Second, func() bool { return f.CountReady() == 24 })).To(BeTrue())
	f.Run(time.Minute, nil)
	return f
}

// expectInForce expects revision to be in force on want hosts within spreadTime.
func expectInForce(f *controlfleet.Fleet, revision config.Revision, want int) {
	ok := f.Run(spreadTime, func() bool { return f.CountWithRevision(revision) == want })
	ExpectWithOffset(1, ok).To(BeTrue(), "revision %d is in force on %d hosts, want %d", revision, f.CountWithRevision(revision), want)
}

// isolate returns a Cut that separates one data centre from the others and from
// the platform.
func isolate(centre string) func(from, to string) bool {
	return func(from, to string) bool { return (from == centre) != (to == centre) }
}

// refusals returns the number of configuration refusals with a code, over all
// hosts.
func refusals(f *controlfleet.Fleet, code result.Code) uint64 {
	var n uint64
	for _, h := range f.Hosts {
		for _, r := range f.Status(h).Configuration.Refusals {
			if r.Code == code {
				n += r.Count
			}
		}
	}
	return n
}

// hostsIn returns the hosts of a data centre.
func hostsIn(f *controlfleet.Fleet, centre string) []*controlfleet.Host {
	var out []*controlfleet.Host
	for _, h := range f.Hosts {
		if h.DataCentre == centre {
			out = append(out, h)
		}
	}
	return out
}

// countLeaving counts the running hosts whose view lists the endpoint as
// leaving.
func countLeaving(f *controlfleet.Fleet, endpoint string) int {
	n := 0
	for _, h := range f.Hosts {
		if h.Alive && h.View.LeavingEndpoints[endpoint] {
			n++
		}
	}
	return n
}

var _ = DescribeTable("a bad value from the platform changes nothing on any host",
	func(publishBad func(p *controlfleet.Platform), code result.Code) {
		f := readyFleet()
		publishBad(f.Platform)
		f.Run(2*time.Minute, nil)
		Expect(f.CountReady()).To(Equal(24))
		for _, h := range f.Hosts {
			Expect(h.View.Bundle.Revision).To(Equal(config.Revision(10)))
		}
		Expect(refusals(f, code)).To(BeNumerically(">", 0))
		f.Platform.Corrupt = nil
		f.Platform.Publish(shape.Build(12, 1))
		f.Run(30*time.Second, nil)
		Expect(f.CountWithRevision(12)).To(Equal(24), "a higher revision must still come into force")
	},
	Entry("an older revision", func(p *controlfleet.Platform) { p.Publish(shape.Build(9, 0)) }, result.ManifestOlder),
	Entry("the revision in force with different content", func(p *controlfleet.Platform) { p.Publish(shape.Build(10, 1)) }, result.ManifestConflict),
	Entry("a newer format", func(p *controlfleet.Platform) { p.PutManifest([]byte(`{"format":2,"revision":11}`)) }, result.ManifestFormat),
	Entry("a truncated manifest", func(p *controlfleet.Platform) { p.PutManifest(shape.Build(11, 1).Manifest[:50]) }, result.ManifestInvalid),
	Entry("a manifest without its documents", func(p *controlfleet.Platform) { p.PutManifest(shape.Build(11, 1).Manifest) }, result.DocumentUnavailable),
	Entry("truncated documents", func(p *controlfleet.Platform) {
		r := shape.Build(11, 1)
		p.Publish(r)
		p.Corrupt = func(data []byte) []byte {
			if string(data) == string(r.Manifest) || len(data) < 2 {
				return data
			}
			return data[:len(data)-1]
		}
	}, result.DocumentHash),
)

var _ = DescribeTable("fleet under faults", func(run func(f *controlfleet.Fleet)) { run(readyFleet()) },
	Entry("a data centre cut off from the platform gets the configuration from peers", func(f *controlfleet.Fleet) {
		f.Partitioned = func(from, to string) bool { return to == "" && from == controlfleet.DataCentreName(1) }
		f.Platform.Publish(shape.Build(11, 1))
		expectInForce(f, 11, 24)
	}),
	Entry("a data centre cut off from everything keeps running, and catches up afterwards", func(f *controlfleet.Fleet) {
		f.Partitioned = isolate(controlfleet.DataCentreName(1))
		f.Platform.Publish(shape.Build(11, 1))
		f.Run(5*time.Minute, nil)
		Expect(f.CountWithRevision(11)).To(Equal(16))
		Expect(f.CountReady()).To(Equal(24))
		for _, h := range hostsIn(f, controlfleet.DataCentreName(1)) {
			Expect(h.View.Hosts).To(HaveLen(7), "only the hosts of its own data centre")
		}
		f.Partitioned = nil
		calls := f.Platform.Calls
		expectInForce(f, 11, 24)
		Expect(f.Platform.Calls-calls).To(BeNumerically("<", 60), "no burst of calls to the platform")
	}),
	Entry("a long outage of the platform", func(f *controlfleet.Fleet) {
		f.Platform.Down = true
		f.Run(time.Minute, nil)
		calls := f.Platform.Calls
		f.Run(10*time.Minute, nil)
		Expect(f.CountReady()).To(Equal(24))
		Expect(f.Platform.Calls-calls).To(BeNumerically("<", 2*600), "fewer than two calls a second")
	}),
	Entry("a host that is replaced at the same address while the platform is down", func(f *controlfleet.Fleet) {
		f.Platform.Down = true
		h := f.Hosts[3]
		f.Crash(h)
		f.Run(10*time.Second, nil)
		f.Start(h)
		f.Run(control.StartJitter+2*time.Second, nil)
		Expect(h.View.Ready).To(BeTrue(), "peers have answered and a call to the platform has ended")
		Expect(h.View.Bundle.Revision).To(Equal(config.Revision(10)))
		f.Run(spreadTime, nil)
		for _, other := range f.Hosts {
			for _, seen := range other.View.Hosts {
				if seen.Incarnation.Address == h.Address {
					Expect(seen.Incarnation).To(Equal(h.View.Self.Incarnation))
				}
			}
		}
	}),
	Entry("a new host with a stale platform is not ready before it has the revision of its peers", func(f *controlfleet.Fleet) {
		f.Platform.Publish(shape.Build(9, 0))
		h := f.Hosts[3]
		f.Start(h)
		f.Run(control.MaxSyncWaitFactor*control.DefaultStartWait, func() bool { return h.View != nil && h.View.Ready })
		Expect(h.View.Ready).To(BeTrue())
		Expect(h.View.Bundle.Revision).To(Equal(config.Revision(10)))
	}),
	Entry("a host that is paused while a revision is published", func(f *controlfleet.Fleet) {
		h := f.Hosts[3]
		f.Pause(h, 10*time.Minute)
		f.Platform.Publish(shape.Build(11, 1))
		f.Run(10*time.Minute, nil)
		Expect(h.View.Bundle.Revision).To(Equal(config.Revision(10)))
		f.Run(time.Millisecond, nil)
		Expect(h.View.Ready).To(BeFalse())
		Expect(h.View.Reason).To(Equal(result.StaleBelief))
		ready := func() bool { return h.View.Ready }
		Expect(f.Run(control.DefaultStartWait, ready)).To(BeTrue())
		Expect(h.View.Bundle.Revision).To(Equal(config.Revision(11)))
		Expect(len(h.View.Hosts)).To(BeNumerically(">", 20), "other hosts must still count as alive")
	}),
	Entry("a crashed host is removed from the views", func(f *controlfleet.Fleet) {
		h := f.Hosts[3]
		f.Crash(h)
		f.Run(2*time.Minute, nil)
		for _, other := range f.Hosts {
			if other != h {
				Expect(other.View.Hosts).To(HaveLen(22))
			}
		}
	}),
	Entry("a planned stop is announced to peers", func(f *controlfleet.Fleet) {
		h := f.Hosts[3]
		f.Leave(h)
		Expect(h.View.Reason).To(Equal(result.Stopping))
		f.Run(5*time.Second, nil)
		for _, other := range f.Hosts {
			for endpoint, relays := range other.View.Relays {
				Expect(relays).NotTo(ContainElement(h.Address), endpoint)
			}
		}
	}),
	Entry("a leaving endpoint is known on all hosts within leavingTime, and no longer than LeavingTTL", func(f *controlfleet.Fleet) {
		f.Observe(f.Hosts[3], view.Observation{LeavingEndpoint: "service-0-1"})
		Expect(f.Run(leavingTime, func() bool { return countLeaving(f, "service-0-1") == 24 })).To(BeTrue())
		f.Run(control.LeavingTTL+control.HeartbeatInterval, nil)
		Expect(countLeaving(f, "service-0-1")).To(BeZero())
	}),
	Entry("a request that crashes two endpoints is quarantined on all hosts", func(f *controlfleet.Fleet) {
		f.Observe(f.Hosts[3], view.Observation{Crash: &view.Crash{Endpoint: "service-0-1", InFlight: []view.Fingerprint{7, 8}}})
		f.Run(leavingTime, nil)
		f.Observe(f.Hosts[5], view.Observation{Crash: &view.Crash{Endpoint: "service-0-2", InFlight: []view.Fingerprint{7}, Isolated: true}})
		f.Observe(f.Hosts[6], view.Observation{Recovered: []view.Fingerprint{8}})
		f.Run(leavingTime, nil)
		for _, h := range f.Hosts {
			Expect(h.View.Suspects).To(Equal(map[view.Fingerprint]view.Suspicion{7: view.Quarantined}))
		}
	}),
	Entry("many leaving endpoints at once", func(f *controlfleet.Fleet) {
		for i := range 300 {
			f.Observe(f.Hosts[i%24], view.Observation{LeavingEndpoint: endpointName(i)})
		}
		f.Run(leavingTime, nil)
		for i := range 300 {
			Expect(countLeaving(f, endpointName(i))).To(Equal(24))
		}
	}),
)

func endpointName(i int) string { return string(rune('a'+i%26)) + string(rune('a'+i/26)) }

var _ = It("waits for a platform that is down when it has no peers, and reports that it is alone", func() {
	f := controlfleet.New(1, 1, 1)
	f.Platform.Down = true
	f.Start(f.Hosts[0])
	f.Run(10*time.Minute, nil)
	Expect(f.Hosts[0].View.Reason).To(Equal(result.NotReady))
	f.Platform.Publish(shape.Build(1, 0))
	f.Platform.Down = false
	Expect(f.Run(time.Minute, func() bool { return f.CountReady() == 1 })).To(BeTrue())
	f.Pause(f.Hosts[0], time.Minute)
	f.Platform.Down = true
	f.Run(2*time.Minute, nil)
	Expect(f.CountReady()).To(Equal(1), "the wait must be bounded")
	Expect(f.Status(f.Hosts[0]).Alone).To(BeTrue())
})

var _ = DescribeTable("a host that starts while the platform is down",
	func(seeded bool) {
		f := controlfleet.New(4, 1, 1)
		f.Platform.Publish(shape.Build(1, 0))
		for _, h := range f.Hosts[:3] {
			f.Start(h)
		}
		f.Run(time.Minute, nil)
		f.Platform.Down = true
		f.Seeds = nil
		if seeded {
			f.Seeds = []string{f.Hosts[0].Address}
		}
		f.Start(f.Hosts[3])
		f.Run(time.Minute, nil)
		Expect(f.Hosts[3].View.Ready).To(Equal(seeded))
	},
	Entry("finds its peers through the seeds in its settings", true),
	Entry("waits if it has no seeds", false),
)

var _ = It("counts a conflict with a peer that has the revision in force with different content", func() {
	f := readyFleet()
	f.Partitioned = isolate(controlfleet.DataCentreName(1))
	f.Platform.Publish(shape.Build(11, 1))
	f.Run(time.Minute, nil)
	// Now only the hosts of the isolated data centre reach the platform.
	f.Partitioned = func(from, to string) bool {
		return from != controlfleet.DataCentreName(1) && to == "" || isolate(controlfleet.DataCentreName(1))(from, to) && to != ""
	}
	f.Platform.Publish(shape.Build(11, 2))
	f.Run(time.Hour, func() bool { return f.CountWithRevision(11) == 24 })
	f.Partitioned = nil
	f.Run(time.Minute, nil)
	Expect(refusals(f, result.ManifestConflict)).To(BeNumerically(">", 0))
	f.Platform.Publish(shape.Build(12, 3))
	f.Run(configuration.RefusalTTL, nil)
	Expect(f.CountWithRevision(12)).To(Equal(24))
})
