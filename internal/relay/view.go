package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/endpoint"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// ticksPerPauseLimit is the least number of calls of Tick within PauseLimit.
const ticksPerPauseLimit = 4

// SetView applies a new view: it refuses the attempts that wait for endpoints that
// were removed or are leaving, and adapts the limits and connections to the view.
func (m *Machine) SetView(now time.Duration, v *view.View) Actions {
	var out Actions
	m.startEvent(now, &out)
	m.view = v
	if m.stale && v.PublishedAt >= m.staleSince {
		m.stale = false
	}
	for _, id := range slices.Sorted(maps.Keys(v.Relays)) {
		if slices.Contains(v.Relays[id], v.Self.Incarnation.Address) {
			m.replicaFor(id)
		}
	}
	for _, r := range slices.Clone(m.sortedReplicas) {
		m.configure(r, v.Bundle.Endpoint(r.id))
		switch {
		case !r.configured:
			m.refuseAll(r, result.UnknownEndpoint, &out)
		case r.leaving(now):
			m.refuseAll(r, result.EndpointLeaving, &out)
		}
		m.sendQueued(now, r, &out)
		m.updateConnections(r, &out)
		m.removeIfUnused(now, r, &out)
	}
	return out
}

// configure applies the current view to an endpoint; e is nil if it was removed from
// the configuration. An endpoint at a new address is a new process. If the view
// assigns the endpoint to no host, each host may use a connection for each slot, up
// to the endpoint's MaxConnections.
func (m *Machine) configure(r *replica, e *config.Endpoint) {
	r.configured = e != nil
	r.viewLeaving = m.view.LeavingEndpoints[r.id]
	if e == nil {
		return
	}
	relays := m.view.Relays[r.id]
	r.assigned = slices.Contains(relays, m.view.Self.Incarnation.Address)
	r.share = m.view.ConnectionShares[r.id]
	if len(relays) == 0 {
		r.share = min(e.Slots, e.MaxConnections)
	}
	relayCount := len(relays)
	if !r.assigned {
		relayCount++
	}
	if r.limit == nil || r.address != e.Address {
		r.limit = endpoint.NewLimit(e.Slots, relayCount)
		r.address = e.Address
		r.leavingUntil = 0
		r.averageServiceTime = 0
	}
	r.limit.Resize(e.Slots, relayCount)
}

// removeIfUnused removes the state of an endpoint that was removed from the
// configuration and has no attempts. The state is kept until leavingUntil, in case
// the endpoint is added to the configuration again before that.
func (m *Machine) removeIfUnused(now time.Duration, r *replica, out *Actions) {
	if r.configured || r.hasAttempts() {
		return
	}
	m.updateConnections(r, out)
	if now < r.leavingUntil {
		return
	}
	delete(m.replicas, r.id)
	m.sortedReplicas = slices.DeleteFunc(m.sortedReplicas, func(other *replica) bool { return other == r })
}

// startEvent records the time of an event and detects a pause of the process and the
// end of the refresh window.
func (m *Machine) startEvent(now time.Duration, out *Actions) {
	if m.started && now-m.lastEvent > m.config.PauseLimit {
		m.handlePause(now, out)
	}
	m.started = true
	m.lastEvent = now
	if m.stale && now >= m.staleUntil() {
		m.stale = false
		m.sendAllQueued(now, out)
	}
}

func (m *Machine) staleUntil() time.Duration { return m.staleSince + m.config.RefreshWindow }

// handlePause marks the view as stale: nothing is sent until a view arrives that was
// published since, or the refresh window ends. Attempts whose deadline is not after
// the end of the window are refused. The average service times are reset.
func (m *Machine) handlePause(now time.Duration, out *Actions) {
	m.counters.Pauses++
	m.stale = true
	m.staleSince = now
	for _, r := range m.sortedReplicas {
		r.averageServiceTime = 0
		m.refuseExpired(now, r, out)
		for _, a := range r.waiting() {
			if a.Deadline <= m.staleUntil() {
				m.dequeue(a)
				m.refuse(a, result.StaleBelief, out)
			}
		}
	}
}

func (m *Machine) sendAllQueued(now time.Duration, out *Actions) {
	for _, r := range m.sortedReplicas {
		m.sendQueued(now, r, out)
	}
}

// Tick does the work that is due: it refuses expired attempts, sends attempts after a
// backoff or pause, and adapts the connections to the load.
func (m *Machine) Tick(now time.Duration) Actions {
	var out Actions
	m.startEvent(now, &out)
	if now >= m.nextPeakRotation {
		m.nextPeakRotation = now + warmPeriod
		m.rotatePeaks()
	}
	for _, r := range m.sortedReplicas {
		m.sendQueued(now, r, &out)
		m.updateConnections(r, &out)
	}
	return out
}

// NextTick returns the time at which Tick is due next. The second result is always
// true, since regular ticks are needed to detect a pause.
func (m *Machine) NextTick(now time.Duration) (time.Duration, bool) {
	next := now + m.config.PauseLimit/ticksPerPauseLimit
	if m.stale {
		next = min(next, m.staleUntil())
	}
	for _, r := range m.sortedReplicas {
		if r.queued() == 0 {
			continue
		}
		if now < r.backoffUntil {
			next = min(next, r.backoffUntil)
		}
		for class := range r.queues {
			if r.queues[class].Len() > 0 {
				next = min(next, r.queues[class].First().Deadline)
			}
		}
		for a := range r.suspects.All {
			next = min(next, a.refuseAt)
		}
	}
	return max(next, now), true
}
