package endpoint

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// RecordDispatch counts an attempt that was sent towards an endpoint. Each is to be
// followed by one call of Replied.
func (t *Table) RecordDispatch(_ time.Duration, endpoint string) {
	if r := t.replicas[endpoint]; r != nil {
		r.inFlight++
	}
}

// RecordReply takes the reply that ended an attempt. latency is the time since
// Dispatched; it also tells whether the attempt is older than the last pause,
// in which case it was uncounted then and its latency means nothing.
func (t *Table) RecordReply(now time.Duration, reply dispatch.Reply, latency time.Duration) {
	r := t.replicas[reply.Endpoint]
	if r == nil {
		return
	}
	t.learnLeaving(now, r, &reply)
	if now-latency < r.since {
		return
	}
	r.inFlight = max(r.inFlight-1, 0)
	if reply.Load != nil {
		r.report, r.reportAt, r.reported = *reply.Load, now, true
	}
	r.learn(now, &reply, latency)
}

func (t *Table) learnLeaving(now time.Duration, r *replica, reply *dispatch.Reply) {
	if reply.Code == result.EndpointLeaving || (reply.Load != nil && reply.Load.Leaving) {
		r.leavingUntil = now + leavingTTL
	}
}

// learn updates latency, ejection and refusals. The latency of a cancelled
// attempt is a lower bound: it counts only if it is above the average.
func (r *replica) learn(now time.Duration, reply *dispatch.Reply, latency time.Duration) {
	switch {
	case reply.Outcome == dispatch.OK:
		r.succeed()
		r.observe(now, latency)
		r.service.observe(now, latency)
	case fault(reply):
		r.fail(now)
	case reply.Code == result.Cancelled:
		if float64(latency) > r.estimate(now) {
			r.observe(now, latency)
			r.service.latencies.record(now, latency)
		}
	case overloaded(reply.Code):
		r.refusedUntil = now + refusalHold
	}
}

// overloaded tells whether a refusal speaks of too much work at the endpoint or
// at its relay.
func overloaded(code result.Code) bool {
	switch code {
	case result.EndpointShed, result.EndpointCold, result.RelayQueueFull, result.RelayDeadline:
		return true
	default:
		return false
	}
}

// MarkLeaving records a sign that an endpoint is draining, from outside a reply.
func (t *Table) MarkLeaving(now time.Duration, endpoint string) {
	if r := t.replicas[endpoint]; r != nil {
		r.leavingUntil = now + leavingTTL
	}
}

// ResetAfterPause makes all beliefs stale after this host did not run for a while. What
// was in flight is no longer counted, and its replies teach nothing but
// leaving; latencies start anew; ejections and signs of leaving stay.
func (t *Table) ResetAfterPause(now time.Duration) {
	for _, r := range t.replicas {
		r.since = now
		r.inFlight = 0
		r.latency = 0
		r.reported = false
		r.refusedUntil = 0
	}
	for _, s := range t.services {
		s.latencies.reset(now)
	}
}
