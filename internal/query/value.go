package query

import "time"

// Extra attempts of a query over several shards are ordered by their value. A retry of a
// lost attempt may use up the budget, and so may a hedge that is needed for the least number
// of shards. If these come too late for an answer on time, they leave a reserve to those
// that do not, and one that only adds coverage leaves a larger reserve.

// deferralInterval is the time after which a retry that was put off, because it only adds
// coverage, is considered again.
const deferralInterval = 10 * time.Millisecond

// failureReserve is the number of shards for which extra attempts are sent beyond those
// that are needed, since some of these fail too.
const failureReserve = 1

// ordersByValue reports whether extra attempts are ordered by their value. Those of a
// suspect are not: it is sent to one shard at a time, and all must answer to clear it.
func (q *Query) ordersByValue() bool {
	return q.unlimitedRetries() && len(q.shards) > 1 && !q.suspect
}

// takeExtra takes a retry or hedge of the shard with index i from the budget.
func (q *Query) takeExtra(now time.Duration, i int, hedge bool) bool {
	taken := false
	switch {
	case !q.hasPrecedence(now, hedge):
		taken = q.params.Budgets.TakeHedge(i)
	case q.ordersByValue() && now >= q.onTimeUntil():
		taken = q.params.Budgets.TakeLate(i)
	default:
		taken = q.params.Budgets.TakeRetry(i)
	}
	q.shards[i].denied = !taken
	return taken
}

// hasPrecedence reports whether an extra attempt is worth more than one that only adds
// coverage.
func (q *Query) hasPrecedence(now time.Duration, hedge bool) bool {
	switch {
	case !q.ordersByValue():
		return !hedge
	case now >= q.onTimeUntil():
		return q.covered < q.wantedShards() && (!hedge || q.isDecisive(now))
	default:
		return !hedge || q.isDecisive(now)
	}
}

// onTimeUntil returns until when an answer is on time.
func (q *Query) onTimeUntil() time.Duration {
	if at := q.params.Forward.OnTimeUntil; at > 0 {
		return at
	}
	return q.params.Forward.Target
}

// isDecisive reports whether another extra attempt is needed for a useful answer: more
// shards are at risk than may be missing.
func (q *Query) isDecisive(now time.Duration) bool {
	spare := len(q.shards) - q.wantedShards() - failureReserve
	for i := range q.shards {
		if !q.atRisk(now, &q.shards[i]) {
			continue
		}
		if spare--; spare < 0 {
			return true
		}
	}
	return false
}

// wantedShards returns the number of covered shards that a useful answer needs. Of a part,
// it is the part's share of those of the whole query.
func (q *Query) wantedShards() int {
	if f := q.params.Forward; f != nil && f.Wanted > 0 {
		return f.Wanted
	}
	return q.minCovered()
}

// atRisk reports whether a shard will be missing unless it gets another attempt: it has no
// open attempt, or only ones that take longer than the hedge delay.
func (q *Query) atRisk(now time.Duration, s *shard) bool {
	switch s.state {
	case shardCovered:
		return false
	case shardMissing:
		return true
	}
	delay := q.params.Replicas.HedgeDelay(q.params.Service)
	for _, a := range s.openAttempts {
		if now-a.sentAt < delay {
			return false
		}
	}
	return true
}
