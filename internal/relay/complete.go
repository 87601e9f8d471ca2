package relay

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Complete handles the reply to an attempt that was sent. Any other reply is counted
// and dropped.
func (m *Machine) Complete(now time.Duration, reply dispatch.Reply) Actions {
	var out Actions
	m.startEvent(now, &out)
	a := m.attempts[reply.Key]
	if a == nil || !a.sent {
		m.counters.LateReplies++
		reply.ReleaseCharge()
		return out
	}
	r := a.replica
	if reply.Outcome == dispatch.Unknown && reply.Code == result.EndpointCrashed {
		m.reportCrash(now, a, &out)
	}
	r.running = slices.DeleteFunc(r.running, func(other *attempt) bool { return other == a })
	r.requestBytes -= len(a.request.Body)
	m.updateEstimates(now, r, a, &reply)
	m.removeAttempt(a)
	if a.orphaned {
		reply.ReleaseCharge()
	} else {
		out.addReply(a.origin, reply)
	}
	if reply.Code == result.EndpointLeaving || (reply.Load != nil && reply.Load.Leaving) {
		m.handleLeaving(now, r, &out)
	}
	if a.isSuspect() {
		m.handleSuspectEnd(now, a, &reply, &out)
	}
	m.sendQueued(now, r, &out)
	m.removeIfUnused(now, r, &out)
	return out
}

// updateEstimates adapts the limit, the average service time and the backoff to a
// reply. It ignores attempts sent before a pause, since their durations include it.
func (m *Machine) updateEstimates(now time.Duration, r *replica, a *attempt, reply *dispatch.Reply) {
	if a.sentAt < m.staleSince {
		return
	}
	switch reply.Outcome {
	case dispatch.OK, dispatch.Failed:
		r.limit.RecordCompletion(now, now-a.sentAt, reply.ServiceTime, a.atLimit)
		r.recordServiceTime(now - a.sentAt)
	case dispatch.Refused:
		r.limit.RecordRefusal(now, reply.Code)
		if reply.Code == result.EndpointShed || reply.Code == result.EndpointCold {
			r.recordRefusal(now)
		}
	}
}
