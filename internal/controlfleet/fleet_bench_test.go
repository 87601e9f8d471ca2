package controlfleet_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/controlfleet"
)

// fleetSize is the size of a fleet and of its configuration.
type fleetSize struct {
	hosts, dataCentres int
	shape              controlfleet.Shape
}

// sizes contains two small fleets, a fleet of the size of one data centre, and one of
// the size for which the system is designed.
var sizes = []fleetSize{
	{6, 2, controlfleet.Shape{Services: 4, Endpoints: 40, DataCentres: 2}},
	{20, 4, controlfleet.Shape{Services: 52, Endpoints: 156, DataCentres: 4}},
	{95, 6, controlfleet.Shape{Services: 52, Endpoints: 583, DataCentres: 6}},
	{570, 6, controlfleet.Shape{Services: 100, Endpoints: 3500, DataCentres: 6}},
}

const (
	// settleTime is how long a started fleet runs before the steady state is measured.
	settleTime = time.Minute
	// steadyTime is how long the steady state is measured.
	steadyTime = 90 * time.Second
	// changeInterval is the interval between changes at the design rate of 2,000
	// changes a day.
	changeInterval = 43 * time.Second
	// repetitions is how often the spread of a revision or of a leaving endpoint is
	// measured; the longest time is reported.
	repetitions = 5
)

func BenchmarkFleet(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", s.hosts), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, s)
			}
		})
	}
}

func measureFleet(b *testing.B, s fleetSize) {
	before := heapBytes()
	f := controlfleet.New(s.hosts, s.dataCentres, 1)
	f.Meter = &controlfleet.Meter{}
	f.Platform.Publish(s.shape.Build(1, 1))
	measureStart(b, f, s)
	f.Run(settleTime, nil)
	b.ReportMetric(float64(heapBytes()-before)/float64(s.hosts)/(1<<20), "MiB/host")
	revision := measureSteady(b, f, s)
	measureSpread(b, f, s, revision)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measureStart starts all hosts within a second and measures the time until all are
// ready and the calls to the platform.
func measureStart(b *testing.B, f *controlfleet.Fleet, s fleetSize) {
	f.StartAll(time.Second)
	if !f.Run(5*time.Minute, func() bool { return f.CountReady() == s.hosts }) {
		b.Fatalf("%d of %d hosts are ready", f.CountReady(), s.hosts)
	}
	b.ReportMetric(f.Now.Seconds(), "start-s")
	b.ReportMetric(float64(f.Platform.PeakCalls), "start-peak-calls/s")
	b.ReportMetric(float64(f.Platform.Calls), "start-calls")
}

// measureSteady measures the cost per host at the design rate of changes.
func measureSteady(b *testing.B, f *controlfleet.Fleet, s fleetSize) config.Revision {
	*f.Meter = controlfleet.Meter{}
	calls := f.Platform.Calls
	revision := config.Revision(1)
	for range steadyTime / changeInterval {
		revision++
		f.Platform.Publish(s.shape.Build(revision, int(revision)))
		f.Run(changeInterval, nil)
	}
	seconds := (steadyTime / changeInterval * changeInterval).Seconds()
	perHost := seconds * float64(s.hosts)
	m := f.Meter
	b.ReportMetric(float64(f.Platform.Calls-calls)/seconds, "platform-calls/s")
	b.ReportMetric(float64(m.Heartbeats)/perHost, "heartbeats/host/s")
	b.ReportMetric(float64(m.HeartbeatBytes)/perHost/1000, "heartbeat-kB/host/s")
	b.ReportMetric(float64(m.FetchBytes)/perHost/1000, "fetch-kB/host/s")
	b.ReportMetric(m.CPUTime.Seconds()/perHost*100, "%core/host")
	return revision
}

// measureSpread measures the longest time until all hosts use a new revision.
func measureSpread(b *testing.B, f *controlfleet.Fleet, s fleetSize, revision config.Revision) {
	var worst time.Duration
	for range repetitions {
		revision++
		start := f.Now
		f.Platform.Publish(s.shape.Build(revision, int(revision)))
		if !f.Run(time.Minute, func() bool { return f.CountWithRevision(revision) == s.hosts }) {
			b.Fatalf("revision %d is installed on %d of %d hosts", revision, f.CountWithRevision(revision), s.hosts)
		}
		worst = max(worst, f.Now-start)
	}
	b.ReportMetric(worst.Seconds(), "spread-max-s")
}
