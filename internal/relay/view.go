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

// ticksPerPauseLimit is the least number of calls of Tick in a pause limit.
const ticksPerPauseLimit = 4

// SetView takes a new view into force: it refuses what waits for endpoints that
// are gone or leaving, and adapts limits and connections.
func (m *Machine) SetView(now time.Duration, v *view.View) Actions {
	var out Actions
	m.begin(now, &out)
	m.view = v
	if m.stale && v.PublishedAt >= m.staleSince {
		m.stale = false
	}
	for _, id := range slices.Sorted(maps.Keys(v.Relays)) {
		if slices.Contains(v.Relays[id], v.Self.Incarnation.Address) {
			m.replica(id)
		}
	}
	for _, r := range slices.Clone(m.ordered) {
		m.configure(r, v.Bundle.Endpoint(r.id))
		switch {
		case !r.known:
			m.refuseAll(r, result.UnknownEndpoint, &out)
		case r.leaving(now):
			m.refuseAll(r, result.EndpointLeaving, &out)
		}
		m.pump(now, r, &out)
		m.updateTarget(r, &out)
		m.forget(now, r, &out)
	}
	return out
}

// configure takes over what the view says of an endpoint; e is nil if it left
// the configuration. An endpoint at a new address is a new process. If the view
// assigns an endpoint to no host, each uses connections for its slots alone.
func (m *Machine) configure(r *replica, e *config.Endpoint) {
	r.known = e != nil
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
	count := len(relays)
	if !r.assigned {
		count++
	}
	if r.limit == nil || r.address != e.Address {
		r.limit = endpoint.NewLimit(e.Slots, count)
		r.address = e.Address
		r.leavingUntil = 0
		r.service = 0
	}
	r.limit.Resize(e.Slots, count)
}

// forget drops the state of an endpoint that is gone and has no attempts. A sign
// of leaving is kept for its time, lest the endpoint comes back meanwhile.
func (m *Machine) forget(now time.Duration, r *replica, out *Actions) {
	if r.known || r.busy() {
		return
	}
	m.updateTarget(r, out)
	if now < r.leavingUntil {
		return
	}
	delete(m.replicas, r.id)
	m.ordered = slices.DeleteFunc(m.ordered, func(other *replica) bool { return other == r })
}

// begin notes the time of an event and detects a pause of the process.
func (m *Machine) begin(now time.Duration, out *Actions) {
	if m.started && now-m.lastEvent > m.config.PauseLimit {
		m.pause(now, out)
	}
	m.started = true
	m.lastEvent = now
	if m.stale && now >= m.staleUntil() {
		m.stale = false
		m.pumpAll(now, out)
	}
}

func (m *Machine) staleUntil() time.Duration { return m.staleSince + m.config.RefreshWindow }

// pause makes all beliefs stale: nothing is sent until a view that was published
// since, or the end of the refresh window. What cannot wait that long is refused.
func (m *Machine) pause(now time.Duration, out *Actions) {
	m.counters.Pauses++
	m.stale = true
	m.staleSince = now
	for _, r := range m.ordered {
		r.service = 0
		m.expire(now, r, out)
		for _, a := range r.all() {
			if a.Deadline <= m.staleUntil() {
				m.dequeue(a)
				m.refuse(a, result.StaleBelief, out)
			}
		}
	}
}

func (m *Machine) pumpAll(now time.Duration, out *Actions) {
	for _, r := range m.ordered {
		m.pump(now, r, out)
	}
}

// Tick does what is due: it drops expired attempts, ends holds and pauses, and
// adapts the connections to the load.
func (m *Machine) Tick(now time.Duration) Actions {
	var out Actions
	m.begin(now, &out)
	if now >= m.warmAt {
		m.warmAt = now + warmPeriod
		m.rotatePeaks()
	}
	for _, r := range m.ordered {
		m.pump(now, r, &out)
		m.updateTarget(r, &out)
	}
	return out
}

// NextTick returns the time at which Tick is due. It is always known, since a gap
// between ticks is how a pause is detected.
func (m *Machine) NextTick(now time.Duration) (time.Duration, bool) {
	next := now + m.config.PauseLimit/ticksPerPauseLimit
	if m.stale {
		next = min(next, m.staleUntil())
	}
	for _, r := range m.ordered {
		if r.queued() == 0 {
			continue
		}
		if now < r.holdUntil {
			next = min(next, r.holdUntil)
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
