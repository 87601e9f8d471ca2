package controlfleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/controlfleet"
)

// maxCallsPerSecond is the number of calls per second that the platform serves for all
// readers at the design size.
const maxCallsPerSecond = 2000

// A fleet that starts at once must not overload the platform, although its hosts know
// only a few seeds and the configuration has many documents.
func TestFleetStartLimitsPlatformCalls(t *testing.T) {
	const hosts = 95
	g := NewWithT(t)
	shape := controlfleet.Shape{Services: 52, Endpoints: 583, DataCentres: 6}
	f := controlfleet.New(hosts, 6, 1)
	f.Platform.Publish(shape.Build(1, 1))
	f.StartAll(time.Second)
	g.Expect(f.Run(time.Minute, func() bool { return f.CountReady() == hosts })).To(BeTrue())
	g.Expect(f.Platform.PeakCalls).To(BeNumerically("<", maxCallsPerSecond))
}

// TestFleetStaysWithinTargets checks the counts of calls and bytes against the targets
// of the design size; in virtual time they are exact. CPU time is measured by
// benchmarks.
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
	g.Expect(f.Platform.PeakCalls).To(BeNumerically("<", maxCallsPerSecond))
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
