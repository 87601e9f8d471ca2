// Package endpoint tracks the state of the replicas that one host dispatches to,
// as that host observes it, and the limits derived from that state.
//
// [Table] chooses a replica for an attempt, [Limit] bounds the attempts in
// flight at one replica, and [Budget] bounds hedges and retries to a share of
// the primary dispatches. Times are monotonic, measured from process start. None
// of the three types is safe for concurrent use.
//
// Invariants of [Table]:
//   - A leaving endpoint is never picked. The leaving signal may come from the
//     view, from a refusal, or from the load report of any reply.
//   - Pick fails only if every candidate is unknown, leaving or excluded:
//     ejection, overload and data centre determine the order of preference and
//     rule out no candidate.
//   - Load reports only affect the choice between two replicas of the same tier;
//     they never eject an endpoint.
//   - At most maxEjectedPerMille of a service's endpoints are ejected at once.
package endpoint

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Condition is the state of an endpoint as this host observes it.
type Condition uint8

// The conditions of an endpoint.
const (
	// Unknown endpoints are not in the configuration in force.
	Unknown Condition = iota
	// Healthy endpoints accept attempts.
	Healthy
	// Overloaded endpoints recently refused an attempt, or have many of this
	// host's attempts in flight.
	Overloaded
	// Probation follows an ejection; the endpoint gets one attempt at a time.
	Probation
	// Ejected endpoints failed repeatedly and get attempts only if there is no
	// other candidate.
	Ejected
	// Leaving endpoints are draining and get no new attempts.
	Leaving
)

// String returns the name of the condition.
func (c Condition) String() string {
	return [...]string{"unknown", "healthy", "overloaded", "probation", "ejected", "leaving"}[c]
}

const (
	// failuresToEject is the number of consecutive failures after which an
	// endpoint is ejected.
	failuresToEject = 5
	// minEjection and maxEjection bound the duration of an ejection, which
	// doubles with each further ejection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// ejectionResetAfter is the time without a failure after which the next
	// ejection lasts minEjection again.
	ejectionResetAfter = time.Minute
	// maxEjectedPerMille is the share of a service's endpoints that may be
	// ejected at once, in thousandths.
	maxEjectedPerMille = 500
	// overloadedAfterRefusal is how long an endpoint counts as overloaded after
	// it shed an attempt or replied that it is in a cold start, or after its
	// relay refused an attempt for lack of capacity.
	overloadedAfterRefusal = 100 * time.Millisecond
	// overloadFactor times its slots is the number of this host's attempts in
	// flight from which an endpoint counts as overloaded.
	overloadFactor = 2
	// leavingTTL is how long a leaving signal from a reply is valid. The view
	// receives the same signal and keeps it for longer.
	leavingTTL = 30 * time.Second
	// latencyHalfLife is the half-life of the difference between a replica's
	// latency and the mean of its service while the replica has no new samples.
	latencyHalfLife = 5 * time.Second
	// latencyWeight is the weight of a new sample in an exponential moving
	// average.
	latencyWeight = 0.2
	// reportTTL is the age from which a load report is ignored.
	reportTTL = time.Second
	// reportWeight is the largest fraction that a load report adds to a
	// replica's cost.
	reportWeight = 0.25
	// defaultLatency is assumed for a service without samples.
	defaultLatency = time.Millisecond
)

// replica is the state of one endpoint.
type replica struct {
	id         string
	address    string
	dataCentre string
	slots      int
	service    *service
	// countFrom is when the endpoint was added or this process last resumed from
	// a pause, whichever is later. Attempts dispatched before it are not counted.
	countFrom time.Duration
	inFlight  int

	latency   float64 // moving average in nanoseconds; 0 without samples
	latencyAt time.Duration

	failures     int
	failedAt     time.Duration
	ejections    int
	ejected      bool
	ejectedUntil time.Duration

	overloadedUntil time.Duration
	leavingUntil    time.Duration

	// report is the last load report and reportAt when it was received; both are
	// valid if reported is set.
	report   dispatch.Load
	reportAt time.Duration
	reported bool
}

// condition returns the condition of the replica, except for Leaving, which
// depends on the view.
func (r *replica) condition(now time.Duration) Condition {
	switch {
	case r.ejected && (now < r.ejectedUntil || r.inFlight > 0):
		return Ejected
	case r.ejected:
		return Probation
	case now < r.overloadedUntil || r.inFlight >= overloadFactor*r.slots:
		return Overloaded
	default:
		return Healthy
	}
}

// isEndpointFault reports whether the endpoint itself is at fault for the
// outcome. A lost relay, a cancellation and an expired time budget are not its
// fault.
func isEndpointFault(reply *dispatch.Reply) bool {
	switch reply.Outcome {
	case dispatch.Failed:
		return reply.Code != result.Internal
	case dispatch.Unknown:
		return reply.Code != result.Cancelled && reply.Code != result.RelayLost && reply.Code != result.ForwardUnknown && reply.Code != result.PeerUnreachable
	case dispatch.Refused:
		return reply.Code == result.ConnectFailed
	default:
		return false
	}
}

func (r *replica) recordLatency(now, latency time.Duration) {
	sample := float64(latency)
	if r.latency == 0 {
		r.latency = sample
	} else {
		r.latency += latencyWeight * (sample - r.latency)
	}
	r.latencyAt = now
}

// recordFailure counts a fault of the endpoint. Faults at the same instant have
// one cause, such as the loss of the relay that carried the attempts, and count
// once.
func (r *replica) recordFailure(now time.Duration) {
	if r.failures > 0 && r.failedAt == now {
		return
	}
	if now-r.failedAt > ejectionResetAfter {
		r.ejections = 0
	}
	r.failures++
	r.failedAt = now
	switch {
	case r.ejected && now < r.ejectedUntil:
		return // the attempt was dispatched before the ejection
	case r.ejected, r.failures >= failuresToEject && r.service.mayEjectOneMore():
		r.eject(now)
	}
}

func (r *replica) eject(now time.Duration) {
	duration := min(minEjection<<min(r.ejections, 10), maxEjection)
	r.ejections++
	r.ejected = true
	r.ejectedUntil = now + duration
}

func (r *replica) recordSuccess() {
	r.failures = 0
	r.ejected = false
}
