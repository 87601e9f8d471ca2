package controlfleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/controlfleet"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	// outageTime is how long the platform is down, or a data centre is partitioned.
	outageTime = 2 * time.Minute
	// recoveryTime is how long the fleet runs on after a fault has ended.
	recoveryTime = 20 * time.Second
)

// BenchmarkFaults measures a fleet during a platform outage, after a data centre was
// partitioned, with lost heartbeats and after a host crash. It also measures how fast
// a leaving endpoint becomes known.
func BenchmarkFaults(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", s.hosts), func(b *testing.B) {
			for b.Loop() {
				measureFaults(b, s)
			}
		})
	}
}

func measureFaults(b *testing.B, s fleetSize) {
	f := controlfleet.New(s.hosts, s.dataCentres, 1)
	f.Platform.Publish(s.shape.Build(1, 1))
	f.StartAll(time.Second)
	f.Run(settleTime, nil)
	measureLeaving(b, f, s)
	measureOutage(b, f)
	measureRejoin(b, f, s)
	measureLoss(b, f, s)
	measureCrash(b, f, s)
}

// measureLeaving measures the time from the first observation of a leaving endpoint
// until every host knows about it.
func measureLeaving(b *testing.B, f *controlfleet.Fleet, s fleetSize) {
	var worst time.Duration
	for i := range repetitions {
		endpoint, start := fmt.Sprintf("service-0-%d", i), f.Now
		f.Observe(f.Hosts[i], view.Observation{LeavingEndpoint: endpoint})
		if !f.Run(time.Minute, func() bool { return countHostsAwareOfLeaving(f, endpoint) == s.hosts }) {
			b.Fatalf("%s is known to be leaving on %d hosts", endpoint, countHostsAwareOfLeaving(f, endpoint))
		}
		worst = max(worst, f.Now-start)
	}
	b.ReportMetric(worst.Seconds(), "leaving-max-s")
}

func countHostsAwareOfLeaving(f *controlfleet.Fleet, endpoint string) int {
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
	f.Run(outageTime, nil)
	b.ReportMetric(float64(f.Platform.Calls-calls)/outageTime.Seconds(), "outage-calls/s")
	f.Platform.Down = false
	f.Run(recoveryTime, nil)
}

// measureRejoin partitions one data centre from all others and the platform, publishes
// a revision, and measures how the fleet recovers when the partition ends.
func measureRejoin(b *testing.B, f *controlfleet.Fleet, s fleetSize) {
	isolated := controlfleet.DataCentreName(0)
	f.Partitioned = func(from, to string) bool { return (from == isolated) != (to == isolated) }
	f.Platform.Publish(s.shape.Build(2, 2))
	f.Run(outageTime, nil)
	if f.CountReady() != s.hosts {
		b.Fatalf("%d hosts are ready", f.CountReady())
	}
	f.Partitioned = nil
	f.Meter = &controlfleet.Meter{}
	start, calls := f.Now, f.Platform.Calls
	if !f.Run(time.Minute, func() bool { return f.CountWithRevision(2) == s.hosts }) {
		b.Fatalf("%d hosts have the revision", f.CountWithRevision(2))
	}
	b.ReportMetric((f.Now - start).Seconds(), "rejoin-s")
	f.Run(recoveryTime, nil)
	seconds := (f.Now - start).Seconds()
	b.ReportMetric(float64(f.Platform.Calls-calls)/seconds, "rejoin-calls/s")
	b.ReportMetric(float64(f.Meter.Heartbeats)/seconds/float64(s.hosts), "rejoin-heartbeats/host/s")
	f.Meter = nil
}

// measureLoss measures the time until all hosts use a new revision while half of all
// heartbeats are lost.
func measureLoss(b *testing.B, f *controlfleet.Fleet, s fleetSize) {
	f.HeartbeatLoss = 0.5
	start := f.Now
	f.Platform.Publish(s.shape.Build(3, 3))
	if !f.Run(time.Minute, func() bool { return f.CountWithRevision(3) == s.hosts }) {
		b.Fatalf("%d hosts have the revision", f.CountWithRevision(3))
	}
	b.ReportMetric((f.Now - start).Seconds(), "half-lost-spread-s")
	f.HeartbeatLoss = 0
}

// measureCrash crashes a host and measures the time until no host of its data centre
// has it in its view.
func measureCrash(b *testing.B, f *controlfleet.Fleet, s fleetSize) {
	crashed := f.Hosts[s.hosts-1]
	f.Crash(crashed)
	start := f.Now
	f.Run(3*time.Minute, func() bool { return countViewsWith(f, crashed) == 0 })
	b.ReportMetric((f.Now - start).Seconds(), "crash-believed-max-s")
}

func countViewsWith(f *controlfleet.Fleet, crashed *controlfleet.Host) int {
	n := 0
	for _, h := range f.Hosts {
		if !h.Alive || h.DataCentre != crashed.DataCentre {
			continue
		}
		for i := range h.View.Hosts {
			if h.View.Hosts[i].Incarnation.Address == crashed.Address {
				n++
			}
		}
	}
	return n
}
