package controlfleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/controlfleet"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	// outage is how long the platform is down, or a data centre cut off.
	outage = 2 * time.Minute
	// aftermath is how long the fleet is watched after a fault ended.
	aftermath = 20 * time.Second
)

// BenchmarkFaults measures a fleet while the platform is down, while a data
// centre is cut off, and when it joins again.
func BenchmarkFaults(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", s.hosts), func(b *testing.B) {
			for b.Loop() {
				measureFaults(b, s)
			}
		})
	}
}

func measureFaults(b *testing.B, s size) {
	f := controlfleet.New(s.hosts, s.centres, 1)
	f.Platform.Publish(s.shape.Build(1, 1))
	f.StartAll(time.Second)
	f.Run(settle, nil)
	measureLeaving(b, f, s)
	measureOutage(b, f)
	measureRejoin(b, f, s)
	measureLoss(b, f, s)
	measureCrash(b, f, s)
}

// measureLeaving times how long the first sign of a leaving endpoint takes to
// reach every host.
func measureLeaving(b *testing.B, f *controlfleet.Fleet, s size) {
	var worst time.Duration
	for i := range spreads {
		endpoint, at := fmt.Sprintf("service-0-%d", i), f.Now
		f.Observe(f.Hosts[i], view.Observation{LeavingEndpoint: endpoint})
		if !f.Run(time.Minute, func() bool { return knowing(f, endpoint) == s.hosts }) {
			b.Fatalf("%s is known as leaving on %d hosts", endpoint, knowing(f, endpoint))
		}
		worst = max(worst, f.Now-at)
	}
	b.ReportMetric(worst.Seconds(), "leaving-max-s")
}

func knowing(f *controlfleet.Fleet, endpoint string) int {
	n := 0
	for _, h := range f.Hosts {
		if h.Alive && h.View.LeavingEndpoints[endpoint] {
			n++
		}
	}
	return n
}

func measureOutage(b *testing.B, f *controlfleet.Fleet) {
	f.Platform.Down = true
	calls := f.Platform.Calls
	f.Run(outage, nil)
	b.ReportMetric(float64(f.Platform.Calls-calls)/outage.Seconds(), "outage-calls/s")
	f.Platform.Down = false
	f.Run(aftermath, nil)
}

// measureRejoin cuts one data centre off from all, publishes, and joins it again.
func measureRejoin(b *testing.B, f *controlfleet.Fleet, s size) {
	alone := controlfleet.DataCentreName(0)
	f.Partitioned = func(from, to string) bool { return (from == alone) != (to == alone) }
	f.Platform.Publish(s.shape.Build(2, 2))
	f.Run(outage, nil)
	if f.CountReady() != s.hosts {
		b.Fatalf("%d hosts are ready", f.CountReady())
	}
	f.Partitioned = nil
	f.Meter = &controlfleet.Meter{}
	at, calls := f.Now, f.Platform.Calls
	if !f.Run(time.Minute, func() bool { return f.CountWithRevision(2) == s.hosts }) {
		b.Fatalf("the revision is in force on %d hosts", f.CountWithRevision(2))
	}
	b.ReportMetric((f.Now - at).Seconds(), "rejoin-s")
	f.Run(aftermath, nil)
	seconds := (f.Now - at).Seconds()
	b.ReportMetric(float64(f.Platform.Calls-calls)/seconds, "rejoin-calls/s")
	b.ReportMetric(float64(f.Meter.Heartbeats)/seconds/float64(s.hosts), "rejoin-heartbeats/host/s")
	f.Meter = nil
}

// measureLoss times how long a revision takes while half of all heartbeats are
// lost.
func measureLoss(b *testing.B, f *controlfleet.Fleet, s size) {
	f.HeartbeatLoss = 0.5
	at := f.Now
	f.Platform.Publish(s.shape.Build(3, 3))
	if !f.Run(time.Minute, func() bool { return f.CountWithRevision(3) == s.hosts }) {
		b.Fatalf("the revision is in force on %d hosts", f.CountWithRevision(3))
	}
	b.ReportMetric((f.Now - at).Seconds(), "half-lost-spread-s")
	f.HeartbeatLoss = 0
}

// measureCrash crashes a host and times how long the last of its data centre
// believes in it.
func measureCrash(b *testing.B, f *controlfleet.Fleet, s size) {
	victim := f.Hosts[s.hosts-1]
	f.Crash(victim)
	at := f.Now
	f.Run(3*time.Minute, func() bool { return believing(f, victim) == 0 })
	b.ReportMetric((f.Now - at).Seconds(), "crash-believed-max-s")
}

func believing(f *controlfleet.Fleet, victim *controlfleet.Host) int {
	n := 0
	for _, h := range f.Hosts {
		if !h.Alive || h.DataCentre != victim.DataCentre {
			continue
		}
		for i := range h.View.Hosts {
			if h.View.Hosts[i].Incarnation.Address == victim.Address {
				n++
			}
		}
	}
	return n
}
