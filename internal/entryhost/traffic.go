package entryhost

import (
	"sync/atomic"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/forward"
	"github.com/gypsumlug/gypsumlug/internal/peerlink"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
)

// trafficRecorder counts bytes by cause and by whether they pass between data centres. A
// machine whose data centre is not known counts as remote.
type trafficRecorder struct {
	counters   *telemetry.Traffic
	dataCentre string
	view       func() *routing.View
	// nearHosts holds the peer addresses of the hosts of the own data centre.
	nearHosts atomic.Pointer[map[string]bool]
}

// setPeers replaces the other hosts.
func (t *trafficRecorder) setPeers(peers []split.Peer) {
	near := make(map[string]bool)
	for _, p := range peers {
		if p.DataCentre == t.dataCentre {
			near[p.Address] = true
		}
	}
	t.nearHosts.Store(&near)
}

// attempt counts an attempt at a replica.
func (t *trafficRecorder) attempt(f forward.Transfer) {
	remote := true
	if v := t.view(); v != nil && v.Replicas[f.Endpoint] != nil {
		remote = v.Replicas[f.Endpoint].DataCentre != t.dataCentre
	}
	t.counters.Add(attemptCause(f.Purpose), remote, f.Sent+f.Received)
}

// attemptCause returns the cause of the bytes of an attempt.
func attemptCause(p dispatch.Purpose) telemetry.Cause {
	switch p {
	case dispatch.PurposeRetry:
		return telemetry.CauseRetry
	case dispatch.PurposeHedge:
		return telemetry.CauseHedge
	default:
		return telemetry.CauseAttempt
	}
}

// peerRequest counts a request to another host and its replies.
func (t *trafficRecorder) peerRequest(address string, r *peerlink.Request, reply *peerlink.Reply, sent, received int) {
	near := t.nearHosts.Load()
	remote := near == nil || !(*near)[address]
	if r.Part != nil {
		t.counters.Add(telemetry.CausePart, remote, sent)
		t.counters.Add(telemetry.CausePartReply, remote, received)
		return
	}
	cause := telemetry.CauseListing
	if reply != nil && reply.State != nil && reply.State.Config != nil {
		cause = telemetry.CauseConfiguration
	}
	t.counters.Add(cause, remote, sent+received)
}

// heartbeat counts a heartbeat.
func (t *trafficRecorder) heartbeat(remote bool, size int) {
	t.counters.Add(telemetry.CauseHeartbeat, remote, size)
}

// storeCall counts a response of the platform's store.
func (t *trafficRecorder) storeCall(size int) { t.counters.Add(telemetry.CauseStore, true, size) }
