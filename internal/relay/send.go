package relay

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// sendQueued refuses the expired attempts that wait for an endpoint and sends as many
// of the others as possible.
func (m *Machine) sendQueued(now time.Duration, r *replica, out *Actions) {
	m.refuseExpired(now, r, out)
	if m.stale || now < r.backoffUntil {
		return
	}
	for !r.suspectRunning && r.hasRoom() {
		if a := m.nextSuspect(r); a != nil {
			if m.sendSuspect(now, r, a, out) {
				continue
			}
			break
		}
		a := r.popNext()
		if a == nil {
			break
		}
		m.sendNormal(now, r, a, out)
	}
	m.updateConnections(r, out)
}

// refuseExpired refuses the waiting attempts whose deadline has passed and the
// suspects that have waited for SuspectWait.
func (m *Machine) refuseExpired(now time.Duration, r *replica, out *Actions) {
	for class := range r.queues {
		q := &r.queues[class]
		for q.Len() > 0 && q.First().Deadline <= now {
			a := q.First()
			q.Remove(a)
			m.refuse(a, result.ExpiredBeforeSend, out)
		}
	}
	if r.suspects.Len() == 0 {
		return
	}
	for _, a := range slices.Collect(r.suspects.All) {
		switch {
		case a.Deadline <= now:
			r.suspects.Remove(a)
			m.refuse(a, result.ExpiredBeforeSend, out)
		case a.refuseAt <= now:
			r.suspects.Remove(a)
			m.refuse(a, result.SuspectBusy, out)
		}
	}
}

// sendNormal sends an attempt unless it became suspected or quarantined while it
// waited.
func (m *Machine) sendNormal(now time.Duration, r *replica, a *attempt, out *Actions) {
	if code := m.checkSuspicion(now, a); code != 0 {
		m.refuse(a, code, out)
		return
	}
	if a.isSuspect() {
		m.enqueue(a)
		return
	}
	r.sentSinceSuspect++
	m.send(now, r, a, out)
}

// send records an attempt as in flight and adds it to the actions.
func (m *Machine) send(now time.Duration, r *replica, a *attempt, out *Actions) {
	a.sent = true
	a.sentAt = now
	r.running = append(r.running, a)
	r.requestBytes += len(a.request.Body)
	r.inFlightPeaks[0] = max(r.inFlightPeaks[0], len(r.running))
	if len(r.running) >= r.capacity() {
		for _, other := range r.running {
			other.atLimit = true
		}
	}
	request := a.request
	request.Budget = a.remaining(now)
	out.Send = append(out.Send, request)
}

// handleLeaving handles a reply that shows that the endpoint is leaving: it reports
// this and refuses the attempts that wait for the endpoint.
func (m *Machine) handleLeaving(now time.Duration, r *replica, out *Actions) {
	r.leavingUntil = now + leavingTTL
	out.Observations = append(out.Observations, view.Observation{LeavingEndpoint: r.id})
	m.refuseAll(r, result.EndpointLeaving, out)
}

// refuseAll refuses all attempts that wait for an endpoint.
func (m *Machine) refuseAll(r *replica, code result.Code, out *Actions) {
	for _, a := range r.waiting() {
		m.dequeue(a)
		m.refuse(a, code, out)
	}
}
