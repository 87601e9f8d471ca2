package query

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
)

// nextHedgeTime returns when the shard's next hedge is due, or zero if it gets no
// more hedges.
func (q *Query) nextHedgeTime(now time.Duration, s *shard) time.Duration {
	if s.hedges >= q.params.Service.Hedge.Max {
		return 0
	}
	return now + q.params.Replicas.HedgeDelay(q.params.Service)
}

// sendDueHedge sends a hedge for a shard if it is due and the budget allows it.
func (q *Query) sendDueHedge(now time.Duration, i int) {
	s := &q.shards[i]
	due := s.hedgeAt > 0 && now >= s.hedgeAt && len(s.openAttempts) > 0
	if s.state != shardPending || !due || q.suspect {
		return
	}
	s.hedgeAt = 0
	if q.tooLateForAttempt(now) {
		return
	}
	endpoint, ok := q.pickHedge(now, s)
	if !ok {
		return
	}
	if !q.takeExtra(now, i, true) {
		q.addEvent(EventHedgeDenied, 0)
		s.hedgeAt = now + q.params.Replicas.HedgeDelay(q.params.Service)
		return
	}
	s.hedges++
	q.addEvent(EventHedge, 0)
	q.sendAttempt(now, i, endpoint, dispatch.PurposeHedge)
}

// pickHedge returns the replica for a hedge. It prefers an untried replica without
// an open attempt, then any without an open attempt. If the shard has at least two
// open attempts and no such replica, the hedge goes to any replica on another
// connection, since one slow attempt is little evidence that its endpoint is slow.
func (q *Query) pickHedge(now time.Duration, s *shard) (string, bool) {
	unsuitable := slices.Concat(s.withoutData, s.openEndpoints())
	candidates := q.allowedReplicas(s)
	if endpoint, ok := q.params.Replicas.Pick(now, candidates, slices.Concat(unsuitable, s.tried)); ok {
		return endpoint, true
	}
	if endpoint, ok := q.params.Replicas.Pick(now, candidates, unsuitable); ok {
		return endpoint, true
	}
	if len(s.openAttempts) < 2 {
		return "", false
	}
	return q.params.Replicas.Pick(now, candidates, s.withoutData)
}
