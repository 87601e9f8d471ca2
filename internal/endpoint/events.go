package endpoint

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// RecordDispatch counts an attempt that was sent to an endpoint. Each call must
// be followed by one call of RecordReply.
func (t *Table) RecordDispatch(_ time.Duration, endpoint string) {
	if r := t.replicas[endpoint]; r != nil {
		r.inFlight++
	}
}

// RecordReply applies the reply that ended an attempt. latency is the time since
// RecordDispatch. Of an attempt that was dispatched before the last pause, or
// before the endpoint was added to the table, only a leaving signal is used: the
// attempt is not in the count of attempts in flight, and its latency may include
// the pause.
func (t *Table) RecordReply(now time.Duration, reply dispatch.Reply, latency time.Duration) {
	r := t.replicas[reply.Endpoint]
	if r == nil {
		return
	}
	t.recordLeavingSignal(now, r, &reply)
	if now-latency < r.countFrom {
		return
	}
	r.inFlight = max(r.inFlight-1, 0)
	if reply.Load != nil {
		r.report, r.reportAt, r.reported = *reply.Load, now, true
	}
	r.applyReply(now, &reply, latency)
}

func (t *Table) recordLeavingSignal(now time.Duration, r *replica, reply *dispatch.Reply) {
	if reply.Code == result.EndpointLeaving || (reply.Load != nil && reply.Load.Leaving) {
		r.leavingUntil = now + leavingTTL
	}
}

// applyReply updates the latency, the ejection and the overload of the replica.
// The latency of a cancelled attempt is a lower bound, so it is recorded only if
// it is above the expected latency.
func (r *replica) applyReply(now time.Duration, reply *dispatch.Reply, latency time.Duration) {
	switch {
	case reply.Outcome == dispatch.OK:
		r.recordSuccess()
		r.recordLatency(now, latency)
		r.service.recordLatency(now, latency)
	case isEndpointFault(reply):
		r.recordFailure(now)
	case reply.Code == result.Cancelled:
		if float64(latency) > r.expectedLatency(now) {
			r.recordLatency(now, latency)
			r.service.latencies.record(now, latency)
		}
	case indicatesOverload(reply.Code):
		r.overloadedUntil = now + overloadedAfterRefusal
	}
}

// indicatesOverload reports whether a refusal was caused by too much load at the
// endpoint or at its relay.
func indicatesOverload(code result.Code) bool {
	switch code {
	case result.EndpointShed, result.EndpointCold, result.RelayQueueFull, result.RelayDeadline:
		return true
	default:
		return false
	}
}

// MarkLeaving records that an endpoint is draining, as learned from a source
// other than a reply.
func (t *Table) MarkLeaving(now time.Duration, endpoint string) {
	if r := t.replicas[endpoint]; r != nil {
		r.leavingUntil = now + leavingTTL
	}
}

// ResetAfterPause discards the state that went stale while this process was not
// running. Attempts in flight are no longer counted, and of their replies only
// leaving signals are used. The latencies and load reports of the replicas and
// the latency percentiles of the services are discarded; ejections, leaving
// signals and the mean latencies of the services are kept.
func (t *Table) ResetAfterPause(now time.Duration) {
	for _, r := range t.replicas {
		r.countFrom = now
		r.inFlight = 0
		r.latency = 0
		r.reported = false
		r.overloadedUntil = 0
	}
	for _, s := range t.services {
		s.latencies.reset(now)
	}
}
