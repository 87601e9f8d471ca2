package query

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// RelayFault reports whether the code is a fault of the relay and not of the
// endpoint, which may then be tried again through another relay.
func RelayFault(code result.Code) bool {
	switch code {
	case result.PeerUnreachable, result.PeerQueueFull, result.Stopping, result.NotReady, result.RelayLost:
		return true
	default:
		return false
	}
}

// isFreeRetry reports whether the retry after an attempt that ended with the code
// takes nothing from the retry budget. Such an attempt is no sign of load: it cost
// the endpoint no work, or the connection failed. The replica is recorded in tried
// or withoutData, so these retries are bounded by the number of replicas, and by
// the backoff once every replica was tried.
func isFreeRetry(code result.Code) bool {
	switch code {
	case result.ConnectFailed, result.ConnectionSilent, result.SnapshotGone, result.RangeNotHeld, result.UnknownEndpoint,
		result.EndpointRateLimit, result.EndpointPaused, result.EndpointEvacuated:
		return true
	default:
		return false
	}
}

// neverSent reports whether an attempt that ended with the code did not reach its
// endpoint. MaxReplicas then does not count the endpoint.
func neverSent(code result.Code) bool {
	switch code {
	case result.ConnectFailed, result.ConnectionLimit, result.EndpointRateLimit, result.EndpointPaused, result.EndpointEvacuated,
		result.EndpointCold:
		return true
	default:
		return false
	}
}

// isColdOrLeaving reports whether an endpoint refused with the code because it is
// starting or draining, and not because of its load. The retry then takes nothing
// from the budget if it goes to an untried replica.
func isColdOrLeaving(code result.Code) bool {
	return code == result.EndpointCold || code == result.EndpointLeaving
}

// handleMissingData handles a shard of which no replica holds the snapshot or the
// range. The query continues with the shard's new replicas or restarts on another
// snapshot. If it can do neither it checks again after a backoff, since hosts learn
// of a new index later than the endpoints.
func (q *Query) handleMissingData(now time.Duration, i int) {
	s := &q.shards[i]
	if q.adoptLatestReplicas(s) {
		q.scheduleRetry(now, i)
		return
	}
	if q.restart(now) {
		return
	}
	s.retryScheduled = true
	s.retryAt = now + q.nextBackoff(s)
}

// adoptLatestReplicas takes over the replicas that the latest index assigns to the
// shard if one of them is not known to lack the data, and reports whether it did.
func (q *Query) adoptLatestReplicas(s *shard) bool {
	replicas := shardReplicas(q.latestIndex(), q.snapshot.ID, s.keys)
	for _, id := range replicas {
		if !slices.Contains(s.withoutData, id) {
			s.replicas = replicas
			return true
		}
	}
	return false
}

// scheduleRetry retries at once if there is an untried replica and the budget
// allows it, else after a backoff. It gives the shard up if no retries are left.
func (q *Query) scheduleRetry(now time.Duration, i int) {
	s := &q.shards[i]
	if s.reason == result.Quarantined {
		q.giveUp(s, result.MissingQuarantined)
		return
	}
	if s.retries >= q.params.Service.Retry.Max && !q.prefersCoverage() && !q.unlimitedRetries() {
		q.giveUp(s, missingCode(s.reason))
		return
	}
	s.retryScheduled = true
	s.retryAt = now
	if !q.hasUntriedReplica(now, s) {
		s.retryAt = now + q.nextBackoff(s)
	}
	q.sendDueRetry(now, i)
}

// hasUntriedReplica reports whether there is an eligible replica that the shard's next
// attempt may go to and that has not ended an attempt without a good reply.
func (q *Query) hasUntriedReplica(now time.Duration, s *shard) bool {
	return slices.ContainsFunc(q.allowedReplicas(s), func(id string) bool {
		return !slices.Contains(s.tried, id) && !slices.Contains(s.withoutData, id) && q.params.Replicas.Eligible(now, id)
	})
}

// nextBackoff doubles the backoff of a shard within its bounds and returns it with
// jitter.
func (q *Query) nextBackoff(s *shard) time.Duration {
	s.backoff = min(max(2*s.backoff, retryBackoffMin), retryBackoffMax)
	jitter := time.Duration(q.params.Rand.Int64N(int64(s.backoff)))
	return s.backoff/2 + jitter/2
}

// sendDueRetry sends the scheduled retry of a shard if it is due. If it cannot be
// sent now, it is postponed or the shard is given up. A request that must run at most once
// is not sent again so late that its outcome could not be known by the deadline.
func (q *Query) sendDueRetry(now time.Duration, i int) {
	s := &q.shards[i]
	if !s.retryScheduled || now < s.retryAt {
		return
	}
	if q.atMostOnce() && now >= q.params.Deadline-onceReserve {
		q.giveUp(s, missingCode(s.reason))
		return
	}
	if q.suspect && !q.maySendSuspect(now, s) {
		s.retryAt = now + retryBackoffMin
		return
	}
	if q.tooLateForAttempt(now) {
		s.retryAt = q.targetTime()
		return
	}
	if s.noReplicaHasData() {
		q.handleMissingData(now, i)
		return
	}
	endpoint, untried, ok := q.pickRetry(now, s)
	if !ok {
		q.handleNoReplica(now, s)
		return
	}
	free := isFreeRetry(s.reason) || untried && isColdOrLeaving(s.reason)
	if !free && !q.takeExtra(now, i, false) {
		q.addEvent(EventRetryDenied, s.reason)
		if q.params.Forward != nil && !q.unlimitedRetries() {
			q.giveUp(s, missingCode(s.reason))
			return
		}
		s.retryAt = now + q.denialDelay(s)
		return
	}
	s.retries++
	q.addEvent(EventRetry, s.reason)
	q.sendAttempt(now, i, endpoint, dispatch.PurposeRetry)
}

// denialDelay returns when a retry that the budget did not allow is tried again.
func (q *Query) denialDelay(s *shard) time.Duration {
	if q.ordersByValue() {
		return deferralInterval
	}
	return q.nextBackoff(s)
}

// unlimitedRetries reports whether retries are limited by backoff and not by number.
func (q *Query) unlimitedRetries() bool {
	return q.params.Forward != nil && q.params.Forward.UnlimitedRetries
}

// pickRetry returns the replica for a retry and whether it is untried. Untried
// replicas are preferred; if none is eligible, all count as untried again for the
// next retry.
func (q *Query) pickRetry(now time.Duration, s *shard) (endpoint string, untried, ok bool) {
	candidates := q.allowedReplicas(s)
	if endpoint, ok := q.params.Replicas.Pick(now, candidates, slices.Concat(s.withoutData, s.tried)); ok {
		return endpoint, true, true
	}
	s.tried = s.tried[:0]
	endpoint, ok = q.params.Replicas.Pick(now, candidates, s.withoutData)
	return endpoint, false, ok
}

// tickShard sends the retry or hedge of one shard if it is due. A shard with a
// scheduled retry has no open attempt to hedge.
func (q *Query) tickShard(now time.Duration, i int) {
	s := &q.shards[i]
	if s.state != shardPending {
		return
	}
	if s.retryScheduled {
		q.sendDueRetry(now, i)
		return
	}
	q.sendDueHedge(now, i)
}
