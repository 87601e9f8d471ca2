package daemon

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumlug/gypsumlug/internal/control"
	"github.com/gypsumlug/gypsumlug/internal/permit"
	"github.com/gypsumlug/gypsumlug/internal/relay"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
)

// WriteMetrics implements adminapi.Source.
func (s adminSource) WriteMetrics(w io.Writer) {
	s.d.counters.Write(w)
	s.d.peerMetrics.WritePrometheus(w)
	writeControl(w, s.Status())
	s.d.writeRelay(w)
	s.d.writeCoordinator(w)
}

// writeControl writes the counters and gauges of the control machine.
func writeControl(w io.Writer, s control.Status) {
	for _, r := range s.Configuration.Refusals {
		metrics.WriteCounterUint64(w, telemetry.CodeMetricName(telemetry.FamilyConfiguration, r.Code), r.Count)
	}
	metrics.WriteCounterUint64(w, "gypsumlug_heartbeats_sent_total", s.Counts.HeartbeatsSent)
	metrics.WriteCounterUint64(w, "gypsumlug_heartbeats_received_total", s.Counts.HeartbeatsReceived)
	metrics.WriteCounterUint64(w, "gypsumlug_heartbeats_refused_total", s.Counts.HeartbeatsRefused)
	metrics.WriteCounterUint64(w, "gypsumlug_platform_failures_total", s.Counts.PlatformFailures)
	metrics.WriteCounterUint64(w, "gypsumlug_peer_fetches_total", s.Counts.PeerFetches)
	metrics.WriteCounterUint64(w, "gypsumlug_peer_fetch_failures_total", s.Counts.PeerFailures)
	metrics.WriteCounterUint64(w, "gypsumlug_control_pauses_total", s.Counts.Pauses)
	metrics.WriteCounterUint64(w, "gypsumlug_revisions_installed_total", s.Counts.Installed)
	metrics.WriteGaugeUint64(w, "gypsumlug_configuration_revision", uint64(s.Configuration.Revision))
	metrics.WriteGaugeUint64(w, "gypsumlug_hosts_known", uint64(len(s.Hosts)))
	metrics.WriteGaugeUint64(w, "gypsumlug_suspects", uint64(len(s.Suspects)))
	metrics.WriteGaugeUint64(w, "gypsumlug_endpoints_leaving", uint64(len(s.Leaving)))
}

// writeRelay writes the counters of the relay machine.
func (d *Daemon) writeRelay(w io.Writer) {
	var c relay.Counters
	d.relay.withLock(func(time.Duration) { c = d.relay.machine.Counters() })
	metrics.WriteCounterUint64(w, "gypsumlug_relay_late_replies_total", c.LateReplies)
	metrics.WriteCounterUint64(w, "gypsumlug_relay_duplicate_attempts_total", c.DuplicateAttempts)
	metrics.WriteCounterUint64(w, "gypsumlug_relay_orphaned_attempts_total", c.OrphanedAttempts)
	metrics.WriteCounterUint64(w, "gypsumlug_relay_pauses_total", c.Pauses)
}

// permitStates holds the values of the state label of the permit gauge.
var permitStates = [permit.StateCount]string{
	permit.Issued:     "issued",
	permit.Submitted:  "submitted",
	permit.Dispatched: "dispatched",
	permit.Done:       "done",
	permit.Failed:     "failed",
	permit.NotRun:     "not-run",
	permit.Unknown:    "unknown",
}

// writeCoordinator writes the gauges of the coordinator machine.
func (d *Daemon) writeCoordinator(w io.Writer) {
	var running, outstanding int
	var permits permit.Stats
	d.coordinator.withLock(func(time.Duration) {
		running = d.coordinator.machine.RunningRequests()
		outstanding = d.coordinator.machine.OutstandingAttempts()
		permits = d.coordinator.machine.PermitStats()
	})
	metrics.WriteGaugeUint64(w, "gypsumlug_requests_running", uint64(running))
	metrics.WriteGaugeUint64(w, "gypsumlug_attempts_outstanding", uint64(outstanding))
	metrics.WriteGaugeUint64(w, "gypsumlug_permits_archived", uint64(permits.Archived))
	for state, n := range permits.ByState {
		metrics.WriteGaugeUint64(w, `gypsumlug_permits{state="`+permitStates[state]+`"}`, uint64(n))
	}
}
