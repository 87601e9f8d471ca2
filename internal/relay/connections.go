package relay

import "time"

// warmPeriod is the time after which unused warm connections are given up: they
// follow the peak of this period and the last.
const warmPeriod = 10 * time.Second

// spareConnections are kept open beyond the peak, since a new connection costs
// milliseconds.
const spareConnections = 1

func (m *Machine) rotatePeaks() {
	for _, r := range m.ordered {
		r.peaks[1] = r.peaks[0]
		r.peaks[0] = len(r.running)
	}
}

// updateTarget tells the adapter if the connections to an endpoint should
// change. A host that relays for an endpoint by another host's view alone has a
// share of zero and uses one connection while it has work.
func (m *Machine) updateTarget(r *replica, out *Actions) {
	target := ConnectionTarget{Endpoint: r.id, Address: r.address}
	if r.known {
		target.Max = r.share
	}
	if r.busy() {
		target.Max = max(target.Max, 1)
	}
	peak := max(r.peaks[0], r.peaks[1])
	if r.known && !r.leaving(m.lastEvent) && (r.assigned || peak > 0) {
		target.Warm = min(peak+spareConnections, target.Max)
	}
	if target == r.target || (r.target == ConnectionTarget{} && target.Max == 0) {
		return
	}
	r.target = target
	out.Connections = append(out.Connections, target)
}
