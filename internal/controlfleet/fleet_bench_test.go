package controlfleet_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/controlfleet"
)

// size is a fleet and its configuration.
type size struct {
	hosts, centres int
	shape          controlfleet.Shape
}

// sizes are two small fleets, one data centre's worth, and the design size.
var sizes = []size{
	{6, 2, controlfleet.Shape{Services: 4, Endpoints: 40, DataCentres: 2}},
	{20, 4, controlfleet.Shape{Services: 52, Endpoints: 156, DataCentres: 4}},
	{95, 6, controlfleet.Shape{Services: 52, Endpoints: 583, DataCentres: 6}},
	{570, 6, controlfleet.Shape{Services: 100, Endpoints: 3500, DataCentres: 6}},
}

const (
	// settle is how long a started fleet runs before it is measured.
	settle = time.Minute
	// steady is how long the steady state is measured.
	steady = 90 * time.Second
	// changeEvery is the design rate of 2,000 changes a day.
	changeEvery = 43 * time.Second
	// spreads is the number of revisions whose spread is timed.
	spreads = 5
)

func BenchmarkFleet(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", s.hosts), func(b *testing.B) {
			for b.Loop() {
				measure(b, s)
			}
		})
	}
}

func measure(b *testing.B, s size) {
	before := heap()
	f := controlfleet.New(s.hosts, s.centres, 1)
	f.Meter = &controlfleet.Meter{}
	f.Platform.Publish(s.shape.Build(1, 1))
	measureStart(b, f, s)
	f.Run(settle, nil)
	b.ReportMetric(float64(heap()-before)/float64(s.hosts)/(1<<20), "MiB/host")
	revision := measureSteady(b, f, s)
	measureSpread(b, f, s, revision)
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measureStart starts all hosts within a second.
func measureStart(b *testing.B, f *controlfleet.Fleet, s size) {
	f.StartAll(time.Second)
	if !f.Run(5*time.Minute, func() bool { return f.CountReady() == s.hosts }) {
		b.Fatalf("%d of %d hosts are ready", f.CountReady(), s.hosts)
	}
	b.ReportMetric(f.Now.Seconds(), "start-s")
	b.ReportMetric(float64(f.Platform.PeakCalls), "start-peak-calls/s")
	b.ReportMetric(float64(f.Platform.Calls), "start-calls")
}

// measureSteady runs the fleet with the design rate of changes.
func measureSteady(b *testing.B, f *controlfleet.Fleet, s size) config.Revision {
	*f.Meter = controlfleet.Meter{}
	calls := f.Platform.Calls
	revision := config.Revision(1)
	for range steady / changeEvery {
		revision++
		f.Platform.Publish(s.shape.Build(revision, int(revision)))
		f.Run(changeEvery, nil)
	}
	seconds := (steady / changeEvery * changeEvery).Seconds()
	perHost := seconds * float64(s.hosts)
	m := f.Meter
	b.ReportMetric(float64(f.Platform.Calls-calls)/seconds, "platform-calls/s")
	b.ReportMetric(float64(m.Heartbeats)/perHost, "heartbeats/host/s")
	b.ReportMetric(float64(m.HeartbeatBytes)/perHost/1000, "heartbeat-kB/host/s")
	b.ReportMetric(float64(m.FetchBytes)/perHost/1000, "fetch-kB/host/s")
	b.ReportMetric(m.Busy.Seconds()/perHost*100, "%core/host")
	return revision
}

// measureSpread times how long revisions take to be in force everywhere.
func measureSpread(b *testing.B, f *controlfleet.Fleet, s size, revision config.Revision) {
	var worst time.Duration
	for range spreads {
		revision++
		at := f.Now
		f.Platform.Publish(s.shape.Build(revision, int(revision)))
		if !f.Run(time.Minute, func() bool { return f.CountWithRevision(revision) == s.hosts }) {
			b.Fatalf("revision %d is in force on %d of %d hosts", revision, f.CountWithRevision(revision), s.hosts)
		}
		worst = max(worst, f.Now-at)
	}
	b.ReportMetric(worst.Seconds(), "spread-max-s")
}
