package gateway

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

const (
	// The part of a request's time limit that is reserved for returning the
	// answer: 1/answerReserveDivisor of it, at most maxAnswerReserve.
	answerReserveDivisor = 20
	maxAnswerReserve     = 50 * time.Millisecond
	// The numbers of one-way trips between caller and host that count towards
	// the caller's latency. The latency is measured from before the request
	// arrives and includes opening a new connection, which takes two more trips.
	tripsReusedConnection = 2
	tripsNewConnection    = 4
	// answerCPUTime is the CPU time to merge, write and deliver an answer, and
	// minAnswerTime a lower bound of the time that this takes.
	answerCPUTime = 1400 * time.Microsecond
	minAnswerTime = 3 * time.Millisecond
	// The time available for an answer is at least 1/minTargetDivisor of the
	// latency target.
	minTargetDivisor = 2
)

// answerTarget returns the time within which the answer must be ready to reach
// the caller within the route's latency target.
func (g *Gateway) answerTarget(r *Request, route *routing.Route) time.Duration {
	trips := tripsReusedConnection
	if r.NewConnection {
		trips = tripsNewConnection
	}
	tuning := g.tuning.Load()
	answerTime := max(time.Duration(float64(answerCPUTime)/tuning.CPUs), minAnswerTime)
	reserve := time.Duration(trips)*tuning.CallerLatency + answerTime + r.waited
	return max(route.Target-reserve, route.Target/minTargetDivisor)
}

// answerTimeLimit returns the time available for an answer: the lesser of the
// caller's and the route's timeout, minus the reserve for returning the answer and the
// time that the request waited. A caller timeout of zero means that there is none.
func answerTimeLimit(r *Request, timeout time.Duration) time.Duration {
	timeLimit := timeout
	if r.CallerTimeout > 0 {
		timeLimit = min(timeLimit, r.CallerTimeout)
	}
	timeLimit -= r.waited
	return timeLimit - min(timeLimit/answerReserveDivisor, maxAnswerReserve)
}

// lateTargets is the number of targets after which work on a query is stopped while
// replicas are overloaded. Queries that were admitted before the overload was noticed mostly
// end by then; what is later takes capacity from queries that can be on time.
const lateTargets = 6

// usefulUntil returns the time limit of a query: its time limit for an answer or, unless
// late answers are allowed, a small number of targets.
func usefulUntil(r *Request, route *routing.Route, target time.Duration, allowLate bool) time.Duration {
	return query.UsefulUntil(lateTargets*target, answerTimeLimit(r, route.Timeout), !allowLate)
}
