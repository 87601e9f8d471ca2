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
	// spreadRounds is the stated number of heartbeat rounds within which every
	// host that can be reached has a revision that a host has.
	spreadRounds = 15
	spreadTime   = spreadRounds * control.HeartbeatInterval
	// leavingTime is the stated time within which a leaving endpoint is known on
	// every host that can be reached.
	leavingTime = 3 * time.Second
)

var shape = controlfleet.Shape{Services: 2, Endpoints: 12, Centres: 3}

// running returns a fleet that is ready with revision 10.
func running() *controlfleet.Fleet {
	f := controlfleet.New(24, 3, 1)
	f.Platform.Publish(shape.Build(10, 0))
	f.StartAll(time.Second)
	ExpectWithOffset(1, f.Run(15*time.Second, func() bool { return f.Ready() == 24 })).To(BeTrue())
	f.Run(time.Minute, nil)
	return f
}

// expectInForce expects revision on want hosts within the stated time.
func expectInForce(f *controlfleet.Fleet, revision config.Revision, want int) {
	ok := f.Run(spreadTime, func() bool { return f.InForce(revision) == want })
	ExpectWithOffset(1, ok).To(BeTrue(), "revision %d on %d of %d hosts", revision, f.InForce(revision), want)
}

func isolate(centre string) func(from, to string) bool {
	return func(from, to string) bool { return (from == centre) != (to == centre) }
}

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

func in(f *controlfleet.Fleet, centre string) []*controlfleet.Host {
	var out []*controlfleet.Host
	for _, h := range f.Hosts {
		if h.DataCentre == centre {
			out = append(out, h)
		}
	}
	return out
}

// knowing counts the running hosts whose view holds the endpoint as leaving.
func knowing(f *controlfleet.Fleet, endpoint string) int {
	n := 0
	for _, h := range f.Hosts {
		if h.Alive && h.View.LeavingEndpoints[endpoint] {
			n++
		}
	}
	return n
}

var _ = DescribeTable("a bad value of the platform leaves every host as it is",
	func(put func(p *controlfleet.Platform), code result.Code) {
		f := running()
		put(f.Platform)
		f.Run(2*time.Minute, nil)
		Expect(f.Ready()).To(Equal(24))
		for _, h := range f.Hosts {
			Expect(h.View.Bundle.Revision).To(Equal(config.Revision(10)))
		}
		Expect(refusals(f, code)).To(BeNumerically(">", 0))
		f.Platform.Corrupt = nil
		f.Platform.Publish(shape.Build(12, 1))
		f.Run(30*time.Second, nil)
		Expect(f.InForce(12)).To(Equal(24), "a higher revision still comes into force")
	},
	Entry("an older revision", func(p *controlfleet.Platform) { p.Publish(shape.Build(9, 0)) }, result.ManifestOlder),
	Entry("the revision in force with other content", func(p *controlfleet.Platform) { p.Publish(shape.Build(10, 1)) }, result.ManifestConflict),
	Entry("a newer format", func(p *controlfleet.Platform) { p.Put([]byte(`{"format":2,"revision":11}`)) }, result.ManifestFormat),
	Entry("a torn manifest", func(p *controlfleet.Platform) { p.Put(shape.Build(11, 1).Manifest[:50]) }, result.ManifestInvalid),
	Entry("a manifest without its documents", func(p *controlfleet.Platform) { p.Put(shape.Build(11, 1).Manifest) }, result.DocumentUnavailable),
	Entry("torn documents", func(p *controlfleet.Platform) {
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

var _ = DescribeTable("faults of the fleet", func(run func(f *controlfleet.Fleet)) { run(running()) },
	Entry("a data centre cut off from the platform learns through peers", func(f *controlfleet.Fleet) {
		f.Cut = func(from, to string) bool { return to == "" && from == controlfleet.Centre(1) }
		f.Platform.Publish(shape.Build(11, 1))
		expectInForce(f, 11, 24)
	}),
	Entry("a data centre cut off from all goes on, and catches up", func(f *controlfleet.Fleet) {
		f.Cut = isolate(controlfleet.Centre(1))
		f.Platform.Publish(shape.Build(11, 1))
		f.Run(5*time.Minute, nil)
		Expect(f.InForce(11)).To(Equal(16))
		Expect(f.Ready()).To(Equal(24))
		for _, h := range in(f, controlfleet.Centre(1)) {
			Expect(h.View.Hosts).To(HaveLen(7), "its own data centre")
		}
		f.Cut = nil
		calls := f.Platform.Calls
		expectInForce(f, 11, 24)
		Expect(f.Platform.Calls-calls).To(BeNumerically("<", 60), "no storm of calls")
	}),
	Entry("the platform is down for long", func(f *controlfleet.Fleet) {
		f.Platform.Down = true
		f.Run(time.Minute, nil)
		calls := f.Platform.Calls
		f.Run(10*time.Minute, nil)
		Expect(f.Ready()).To(Equal(24))
		Expect(f.Platform.Calls-calls).To(BeNumerically("<", 2*600), "fewer than two calls a second")
	}),
	Entry("a host replaced in place while the platform is down", func(f *controlfleet.Fleet) {
		f.Platform.Down = true
		h := f.Hosts[3]
		f.Stop(h)
		f.Run(10*time.Second, nil)
		f.Start(h)
		f.Run(control.StartJitter+2*time.Second, nil)
		Expect(h.View.Ready).To(BeTrue(), "its peers know, and the platform was asked")
		Expect(h.View.Bundle.Revision).To(Equal(config.Revision(10)))
		f.Run(spreadTime, nil)
		for _, o := range f.Hosts {
			for _, seen := range o.View.Hosts {
				if seen.Incarnation.Address == h.Address {
					Expect(seen.Incarnation).To(Equal(h.View.Self.Incarnation))
				}
			}
		}
	}),
	Entry("a new host beside a stale platform is not ready before it has what its peers have", func(f *controlfleet.Fleet) {
		f.Platform.Publish(shape.Build(9, 0))
		h := f.Hosts[3]
		f.Start(h)
		f.Run(control.MaxSyncWaitFactor*control.DefaultStartWait, func() bool { return h.View != nil && h.View.Ready })
		Expect(h.View.Ready).To(BeTrue())
		Expect(h.View.Bundle.Revision).To(Equal(config.Revision(10)))
	}),
	Entry("a pause while a revision changes", func(f *controlfleet.Fleet) {
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
		Expect(len(h.View.Hosts)).To(BeNumerically(">", 20), "the others are not taken for dead")
	}),
	Entry("a crashed host leaves the relays", func(f *controlfleet.Fleet) {
		h := f.Hosts[3]
		f.Stop(h)
		f.Run(2*time.Minute, nil)
		for _, o := range f.Hosts {
			if o != h {
				Expect(o.View.Hosts).To(HaveLen(22))
			}
		}
	}),
	Entry("a planned stop is announced", func(f *controlfleet.Fleet) {
		h := f.Hosts[3]
		f.Leave(h)
		Expect(h.View.Reason).To(Equal(result.Stopping))
		f.Run(5*time.Second, nil)
		for _, o := range f.Hosts {
			for endpoint, relays := range o.View.Relays {
				Expect(relays).NotTo(ContainElement(h.Address), endpoint)
			}
		}
	}),
	Entry("a leaving endpoint is known everywhere in time, and only for its time", func(f *controlfleet.Fleet) {
		f.Observe(f.Hosts[3], view.Observation{LeavingEndpoint: "service-0-1"})
		Expect(f.Run(leavingTime, func() bool { return knowing(f, "service-0-1") == 24 })).To(BeTrue())
		f.Run(control.LeavingTTL+control.HeartbeatInterval, nil)
		Expect(knowing(f, "service-0-1")).To(BeZero())
	}),
	Entry("a request that crashes two endpoints is quarantined everywhere", func(f *controlfleet.Fleet) {
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
			Expect(knowing(f, endpointName(i))).To(Equal(24))
		}
	}),
)

func endpointName(i int) string { return string(rune('a'+i%26)) + string(rune('a'+i/26)) }

var _ = It("waits for a platform that is down when it is alone, and says so", func() {
	f := controlfleet.New(1, 1, 1)
	f.Platform.Down = true
	f.Start(f.Hosts[0])
	f.Run(10*time.Minute, nil)
	Expect(f.Hosts[0].View.Reason).To(Equal(result.NotReady))
	f.Platform.Publish(shape.Build(1, 0))
	f.Platform.Down = false
	Expect(f.Run(time.Minute, func() bool { return f.Ready() == 1 })).To(BeTrue())
	f.Pause(f.Hosts[0], time.Minute)
	f.Platform.Down = true
	f.Run(2*time.Minute, nil)
	Expect(f.Ready()).To(Equal(1), "the wait is bounded")
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
	Entry("finds its peers by its settings", true),
	Entry("waits without them", false),
)

var _ = It("counts a peer that has the revision in force with other content", func() {
	f := running()
	f.Cut = isolate(controlfleet.Centre(1))
	f.Platform.Publish(shape.Build(11, 1))
	f.Run(time.Minute, nil)
	f.Cut = func(from, to string) bool {
		return from != controlfleet.Centre(1) && to == "" || isolate(controlfleet.Centre(1))(from, to) && to != ""
	}
	f.Platform.Publish(shape.Build(11, 2))
	f.Run(time.Hour, func() bool { return f.InForce(11) == 24 })
	f.Cut = nil
	f.Run(time.Minute, nil)
	Expect(refusals(f, result.ManifestConflict)).To(BeNumerically(">", 0))
	f.Platform.Publish(shape.Build(12, 3))
	f.Run(configuration.RefusalTTL, nil)
	Expect(f.InForce(12)).To(Equal(24))
})
