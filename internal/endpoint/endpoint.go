// Package endpoint holds one host's beliefs about the replicas that it
// dispatches to, and the limits that follow from them.
//
// [Table] chooses a replica for an attempt, [Limit] bounds the attempts in
// flight at one replica, and [Budget] bounds hedges and retries to a share of
// the primary dispatches. All are fed with events and the monotonic time since
// process start; none is safe for concurrent use.
//
// Invariants of [Table]:
//   - A leaving endpoint is never picked. The sign may come from the view, from
//     a refusal, or from the load report of any reply.
//   - Pick fails only if every candidate is unknown, leaving or excluded:
//     ejection, overload and data centre order the candidates and remove none.
//   - Load reports only weigh in the choice between two replicas that are
//     otherwise equal; they never eject.
//   - At most maxEjectedPerMille of a service's endpoints are ejected at once.
package endpoint

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Condition is what the table believes of an endpoint.
type Condition uint8

// The conditions of an endpoint.
const (
	// Unknown endpoints are not in the configuration in force.
	Unknown Condition = iota
	// Healthy endpoints take work.
	Healthy
	// Overloaded endpoints refused lately or have much of this host's work.
	Overloaded
	// Probation follows an ejection: one attempt at a time.
	Probation
	// Ejected endpoints failed repeatedly.
	Ejected
	// Leaving endpoints are draining and take no new work.
	Leaving
)

// String returns the name of the condition.
func (c Condition) String() string {
	return [...]string{"unknown", "healthy", "overloaded", "probation", "ejected", "leaving"}[c]
}

const (
	// failuresToEject is the number of consecutive failures that eject.
	failuresToEject = 5
	// minEjection and maxEjection bound the time of an ejection, which doubles
	// with each one that follows.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// forgiveAfter is the time without failure after which the next ejection
	// is short again.
	forgiveAfter = time.Minute
	// maxEjectedPerMille is the share of a service's endpoints that may be
	// ejected at once, in thousandths.
	maxEjectedPerMille = 500
	// refusalHold is the time that an endpoint counts as overloaded after it
	// shed an attempt or said that it is cold.
	refusalHold = 100 * time.Millisecond
	// overloadFactor times the slots is this host's work in flight from which
	// an endpoint counts as overloaded.
	overloadFactor = 2
	// leavingTTL is the time that a sign of leaving from a reply counts; the
	// view, which outlasts it, is fed from the same sign.
	leavingTTL = 30 * time.Second
	// latencyHalfLife is the time in which an unused latency loses half of its
	// distance from the mean of the service.
	latencyHalfLife = 5 * time.Second
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
	// reportTTL is the age from which a load report is ignored.
	reportTTL = time.Second
	// reportWeight is the most that a load report adds to a replica's cost.
	reportWeight = 0.25
	// defaultLatency stands for a service without samples.
	defaultLatency = time.Millisecond
)

// replica is the state of one endpoint.
type replica struct {
	id         string
	address    string
	dataCentre string
	slots      int
	service    *service
	// since is when counting began; attempts dispatched before do not count.
	since    time.Duration
	inFlight int

	latency   float64 // moving average in nanoseconds; 0 without samples
	latencyAt time.Duration

	failures     int
	failedAt     time.Duration
	ejections    int
	ejected      bool
	ejectedUntil time.Duration

	refusedUntil time.Duration
	leavingUntil time.Duration

	report   dispatch.Load
	reportAt time.Duration
	reported bool
}

// condition judges all but leaving, which needs the view.
func (r *replica) condition(now time.Duration) Condition {
	switch {
	case r.ejected && (now < r.ejectedUntil || r.inFlight > 0):
		return Ejected
	case r.ejected:
		return Probation
	case now < r.refusedUntil || r.inFlight >= overloadFactor*r.slots:
		return Overloaded
	default:
		return Healthy
	}
}

// fault tells whether a reply speaks against the endpoint itself. A lost relay,
// a cancellation and an expired budget do not.
func fault(reply *dispatch.Reply) bool {
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

func (r *replica) observe(now, latency time.Duration) {
	sample := float64(latency)
	if r.latency == 0 {
		r.latency = sample
	} else {
		r.latency += latencyWeight * (sample - r.latency)
	}
	r.latencyAt = now
}

// fail counts a fault. Faults at the same instant have one cause, such as the
// loss of the relay that carried the attempts, and count once.
func (r *replica) fail(now time.Duration) {
	if r.failures > 0 && r.failedAt == now {
		return
	}
	if now-r.failedAt > forgiveAfter {
		r.ejections = 0
	}
	r.failures++
	r.failedAt = now
	switch {
	case r.ejected && now < r.ejectedUntil:
		return // an attempt from before the ejection
	case r.ejected, r.failures >= failuresToEject && r.service.mayEject():
		r.eject(now)
	}
}

func (r *replica) eject(now time.Duration) {
	hold := min(minEjection<<min(r.ejections, 10), maxEjection)
	r.ejections++
	r.ejected = true
	r.ejectedUntil = now + hold
}

func (r *replica) succeed() {
	r.failures = 0
	r.ejected = false
}
