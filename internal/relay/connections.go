package relay

import "time"

// warmPeriod is the period over which the peak number of attempts in flight is
// measured. The number of warm connections follows the peak of the current and the
// last period, so that connections that stay unused longer are not kept open.
const warmPeriod = 10 * time.Second

// spareConnections is the number of connections kept open beyond the peak, since
// opening a connection takes milliseconds.
const spareConnections = 1

// rotatePeaks starts a new warm period.
func (m *Machine) rotatePeaks() {
	for _, r := range m.sortedReplicas {
		r.inFlightPeaks[1] = r.inFlightPeaks[0]
		r.inFlightPeaks[0] = len(r.running)
	}
}

// updateConnections adds the connection target of an endpoint to the actions if it
// has changed. A host that is a relay of the endpoint only in another host's view has
// a share of zero; it uses one connection while it has attempts.
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
