package gateway

import (
	"time"

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
	// onTimeTolerance is how much later than planned an answer may be and still
	// count as on time.
	onTimeTolerance = 10 * time.Millisecond
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
	reserve := time.Duration(trips)*tuning.CallerLatency + answerTime
	return max(route.Target-reserve, route.Target/minTargetDivisor)
}

// answerTimeLimit returns the time available for an answer: the lesser of the
// caller's and the route's timeout, minus the reserve for returning the answer.
// A caller timeout of zero means that there is none.
func answerTimeLimit(caller, timeout time.Duration) time.Duration {
	timeLimit := timeout
	if caller > 0 {
		timeLimit = min(timeLimit, caller)
	}
	return timeLimit - min(timeLimit/answerReserveDivisor, maxAnswerReserve)
}
