package coordinator

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/permit"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Reply handles the reply to an attempt, from this host's relay or from a
// peer.
func (m *Machine) Reply(now time.Duration, r dispatch.Reply) Actions {
	m.beginStep(now)
	m.handleReply(now, r)
	return m.endStep(now)
}

// handleReply ends an attempt and delivers its reply to the query or submission
// that the attempt belongs to.
func (m *Machine) handleReply(now time.Duration, r dispatch.Reply) {
	attempt := m.outstanding[r.Key]
	known := attempt != nil
	if known {
		delete(m.outstanding, r.Key)
		r.Endpoint = attempt.endpoint
		r.Code = attempt.replyCode(r.Code)
		m.endpoints.RecordReply(now, r, now-attempt.sentAt)
		if r.Code == result.Stopping || r.Code == result.NotReady {
			m.avoidRelay(now, attempt.relayAddress)
		}
	}
	m.reportLeavingEndpoint(&r)
	switch {
	case known && attempt.request.Operation == dispatch.Submit:
		r.ReleaseCharge()
		m.handleSubmitReply(now, r)
	case known:
		m.handleQueryReply(now, r)
	default:
		r.ReleaseCharge()
		m.handleStrayReply(now, r)
	}
}

// replyCode returns the code of a reply to the attempt. A relay on another host that does
// not know the endpoint has another configuration, or none yet since it has just started:
// that says nothing about the endpoint, which this host's configuration has.
func (o *outstanding) replyCode(code result.Code) result.Code {
	if o.relayAddress != "" && code == result.UnknownEndpoint {
		return result.NotReady
	}
	return code
}

// handleStrayReply counts a reply to an attempt that is not outstanding, or
// whose submission has ended. If the attempt belonged to a submit, its
// outcome still goes to the ledger.
func (m *Machine) handleStrayReply(now time.Duration, r dispatch.Reply) {
	m.actions.Events = append(m.actions.Events, query.Event{Kind: query.EventStrayReply, Code: r.Code})
	if id, err := permit.Parse(r.Request); err == nil {
		m.recordAttemptOutcome(now, id, r)
	}
}

// reportLeavingEndpoint reports an endpoint that is leaving according to a
// reply, if the view does not show it yet. Other hosts learn of it through the
// report.
func (m *Machine) reportLeavingEndpoint(r *dispatch.Reply) {
	leaving := r.Code == result.EndpointLeaving || (r.Load != nil && r.Load.Leaving)
	if leaving && !m.view.LeavingEndpoints[r.Endpoint] {
		m.actions.Observations = append(m.actions.Observations, view.Observation{LeavingEndpoint: r.Endpoint})
	}
}

// AttemptsWritten records that attempts were written to a peer's socket. If a
// connection to the peer broke after an attempt was dispatched, the attempt
// may have been written to that connection, and counts as lost.
func (m *Machine) AttemptsWritten(now time.Duration, peer string, keys []dispatch.Key) Actions {
	m.beginStep(now)
	failure, known := m.relayFailures[peer]
	for _, k := range keys {
		attempt := m.outstanding[k]
		switch {
		case attempt == nil:
		case known && failure.disconnected && attempt.sentAt <= failure.disconnectedAt:
			m.handleReply(now, attempt.request.UnknownReply(result.RelayLost))
		default:
			attempt.written = true
		}
	}
	return m.endStep(now)
}

// AttemptsNotWritten handles attempts of which provably nothing was written to
// a peer.
func (m *Machine) AttemptsNotWritten(now time.Duration, peer string, keys []dispatch.Key) Actions {
	m.beginStep(now)
	m.avoidRelay(now, peer)
	for _, k := range keys {
		if attempt := m.outstanding[k]; attempt != nil {
			m.handleReply(now, attempt.request.RefusedReply(result.PeerUnreachable))
		}
	}
	return m.endStep(now)
}

// AttemptsLost handles attempts whose write to a peer failed when a part of it
// may have been written. Their outcome is unknown.
func (m *Machine) AttemptsLost(now time.Duration, peer string, keys []dispatch.Key) Actions {
	m.beginStep(now)
	m.avoidRelay(now, peer)
	for _, k := range keys {
		if attempt := m.outstanding[k]; attempt != nil {
			m.handleReply(now, attempt.request.UnknownReply(result.RelayLost))
		}
	}
	return m.endStep(now)
}

// PeerConnectionLost handles a broken connection to a peer. The outcome of
// every attempt that was written to the peer and has no reply is unknown.
func (m *Machine) PeerConnectionLost(now time.Duration, peer string) Actions {
	m.beginStep(now)
	m.recordRelayDisconnect(now, peer)
	for _, k := range m.attemptsWrittenTo(peer) {
		attempt := m.outstanding[k]
		m.handleReply(now, attempt.request.UnknownReply(result.RelayLost))
	}
	return m.endStep(now)
}

// endOverdueAttempts ends attempts that are still outstanding outstandingGrace
// after their deadline. Their outcome is unknown. It runs at most once every
// outstandingGrace.
func (m *Machine) endOverdueAttempts(now time.Duration) {
	if now-m.lastSweep < outstandingGrace {
		return
	}
	m.lastSweep = now
	for _, k := range m.overdueAttempts(now) {
		attempt := m.outstanding[k]
		m.handleReply(now, attempt.request.UnknownReply(result.OutcomeUnknown))
	}
	m.removeOldRelayFailures(now)
}
