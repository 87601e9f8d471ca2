package controlfleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/controlfleet"
)

// peakCallsASecond is what the platform serves all readers, of the design size.
const peakCallsASecond = 2000

// TestFleetThatStartsSparesThePlatform starts hosts that know nothing of each
// other but a few seeds, with a configuration of many documents.
func TestFleetThatStartsSparesThePlatform(t *testing.T) {
	const hosts = 95
	g := NewWithT(t)
	shape := controlfleet.Shape{Services: 52, Endpoints: 583, DataCentres: 6}
	f := controlfleet.New(hosts, 6, 1)
	f.Platform.Publish(shape.Build(1, 1))
	f.StartAll(time.Second)
	g.Expect(f.Run(time.Minute, func() bool { return f.CountReady() == hosts })).To(BeTrue())
	g.Expect(f.Platform.PeakCalls).To(BeNumerically("<", peakCallsASecond))
}

// TestFleetStaysWithinTargets holds the counts, which virtual time makes exact,
// against the targets of the design size. Processor time is left to benchmarks.
func TestFleetStaysWithinTargets(t *testing.T) {
	const (
		hosts             = 95
		window            = 30 * time.Second
		spreadTarget      = 15 * time.Second
		callsPerSecond    = 100
		controlBytesLimit = 30_000
	)
	g := NewWithT(t)
	shape := controlfleet.Shape{Services: 10, Endpoints: 583, DataCentres: 6}
	f := controlfleet.New(hosts, 6, 1)
	f.Meter = &controlfleet.Meter{}
	f.Platform.Publish(shape.Build(1, 1))
	f.StartAll(time.Second)
	g.Expect(f.Run(time.Minute, func() bool { return f.CountReady() == hosts })).To(BeTrue())
	g.Expect(f.Platform.PeakCalls).To(BeNumerically("<", peakCallsASecond))
	f.Run(time.Minute, nil)

	calls, sent, fetched := f.Platform.Calls, f.Meter.HeartbeatBytes, f.Meter.FetchBytes
	f.Platform.Publish(shape.Build(2, 2))
	g.Expect(f.Run(spreadTarget, func() bool { return f.CountWithRevision(2) == hosts })).To(BeTrue())
	begin := f.Now
	f.Run(window, nil)
	seconds := (f.Now - begin).Seconds()
	g.Expect(float64(f.Platform.Calls-calls) / seconds).To(BeNumerically("<", callsPerSecond))
	bytes := 2*(f.Meter.HeartbeatBytes-sent) + f.Meter.FetchBytes - fetched
	g.Expect(float64(bytes) / seconds / hosts).To(BeNumerically("<", controlBytesLimit))
}
