package relay

import "time"

// warmPeriod is the time after which unused warm connections are given up: they
// follow the peak of this period and the last.
const warmPeriod = 10 * time.Second

// spareConnections are kept open beyond the peak, since a new connection costs
// milliseconds.
const spareConnections = 1

func (m *Machine) rotatePeaks() {
	for _, r := range m.sortedReplicas {
		r.inFlightPeaks[1] = r.inFlightPeaks[0]
		r.inFlightPeaks[0] = len(r.running)
	}
}

// updateConnections tells the adapter if the connections to an endpoint should
// change. A host that relays for an endpoint by another host's view alone has a
// share of zero and uses one connection while it has work.
func (m *Machine) updateConnections(r *replica, out *Actions) {
	target := ConnectionTarget{Endpoint: r.id, Address: r.address}
	if r.configured {
		target.Max = r.share
	}
	if r.hasAttempts() {
		target.Max = max(target.Max, 1)
	}
	peak := max(r.inFlightPeaks[0], r.inFlightPeaks[1])
	if r.configured && !r.leaving(m.lastEvent) && (r.assigned || peak > 0) {
		target.Warm = min(peak+spareConnections, target.Max)
	}
	if target == r.connectionTarget || (r.connectionTarget == ConnectionTarget{} && target.Max == 0) {
		return
	}
	r.connectionTarget = target
	out.Connections = append(out.Connections, target)
}
