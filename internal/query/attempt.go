package query

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/quarantine"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// sendPrimary dispatches the first attempt of a shard. If the query is a suspect
// that may not be sent now, the attempt is held back.
func (q *Query) sendPrimary(now time.Duration, i int) {
	s := &q.shards[i]
	if q.suspect && !q.maySendSuspect(now, s) {
		q.primaryHeld = true
		return
	}
	endpoint, ok := q.params.Replicas.Pick(now, s.replicas, s.withoutData)
	q.params.Budgets.CountPrimary(i)
	if !ok {
		q.handleNoReplica(now, s)
		return
	}
	q.sendAttempt(now, i, endpoint)
}

// handleNoReplica handles a shard for which no replica can be picked. If replicas
// of the shard no longer hold the snapshot, it tries to restart the query.
// Otherwise it gives the shard up or, if the service prefers coverage, schedules a
// retry.
func (q *Query) handleNoReplica(now time.Duration, s *shard) {
	if len(s.withoutData) > 0 && q.restart(now) {
		return
	}
	if !q.prefersCoverage() {
		q.giveUp(s, result.MissingNoReplica)
		return
	}
	s.reason = result.NoReplica
	s.retryScheduled = true
	s.retryAt = now + q.nextBackoff(s)
}

// prefersCoverage reports whether the query waits for missing shards until its
// deadline.
func (q *Query) prefersCoverage() bool { return q.params.Service.Preference == config.PreferCoverage }

// maySendSuspect reports whether a suspect may be sent to a shard now: it has no
// other attempt in flight and could not crash the shard's last eligible replica.
func (q *Query) maySendSuspect(now time.Duration, s *shard) bool {
	if len(q.shardByAttempt) > 0 {
		return false
	}
	eligible := 0
	for _, id := range s.replicas {
		if q.params.Replicas.Eligible(now, id) {
			eligible++
		}
	}
	return quarantine.MayRun(view.Suspected, eligible)
}

// sendAttempt dispatches an attempt at the shard with index i.
func (q *Query) sendAttempt(now time.Duration, i int, endpoint string) {
	s := &q.shards[i]
	q.lastAttempt++
	q.dispatched++
	s.retryScheduled = false
	s.openAttempts = append(s.openAttempts, attempt{number: q.lastAttempt, endpoint: endpoint, isolated: q.suspect})
	s.sentTo = appendUnique(s.sentTo, endpoint)
	s.hedgeAt = q.nextHedgeTime(now, s)
	q.shardByAttempt[q.lastAttempt] = i
	q.actions.Dispatch = append(q.actions.Dispatch, dispatch.Request{
		Key:       dispatch.Key{Request: q.params.ID, Attempt: q.lastAttempt},
		Operation: dispatch.Search,
		Service:   q.params.Service.Name,
		Endpoint:  endpoint,
		Snapshot:  q.snapshot.ID,
		Range:     s.keys,
		Body:      q.params.Body,
		Limit:     q.params.Limit,
		Urgency:   q.params.Service.Urgency,
		Budget:    q.attemptBudget(now),
		Suspect:   q.suspect,
		Message:   q.message(),
	})
}

// nextHedgeTime returns when the shard's next hedge is due, or zero if it gets no
// more hedges.
func (q *Query) nextHedgeTime(now time.Duration, s *shard) time.Duration {
	if s.hedges >= q.params.Service.Hedge.Max {
		return 0
	}
	return now + q.params.Replicas.HedgeDelay(q.params.Service)
}

// handleFailure handles an attempt that ended without a good reply: it retries,
// moves to other replicas or another snapshot, or gives up.
func (q *Query) handleFailure(now time.Duration, i int, a attempt, r *dispatch.Reply) {
	s := &q.shards[i]
	s.reason = r.Code
	if r.Code == result.ConnectFailed || r.Code == result.ConnectionLimit {
		s.removeFromSentTo(a.endpoint)
	}
	if q.atMostOnce() && r.Outcome != dispatch.Refused {
		q.giveUp(s, missingCode(r.Code))
		return
	}
	switch {
	case r.Code == result.SnapshotGone || r.Code == result.RangeNotHeld:
		s.withoutData = appendUnique(s.withoutData, r.Endpoint)
	case !RelayFault(r.Code):
		s.tried = appendUnique(s.tried, r.Endpoint)
	}
	if r.Code == result.EndpointCrashed {
		if a.isolated {
			q.giveUpAll(result.MissingQuarantined)
			return
		}
		q.suspect = true
	}
	if len(s.openAttempts) > 0 {
		return
	}
	if s.noReplicaHasData() {
		q.handleMissingData(now, i)
		return
	}
	q.scheduleRetry(now, i)
}

// RelayFault reports whether the code is a fault of the relay and not of the
// endpoint, which may then be tried again through another relay.
func RelayFault(code result.Code) bool {
	switch code {
	case result.PeerUnreachable, result.PeerQueueFull, result.Stopping, result.RelayLost:
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
	case result.ConnectFailed, result.ConnectionSilent, result.SnapshotGone, result.RangeNotHeld, result.UnknownEndpoint:
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

// giveUpAll gives up every pending shard with the given reason.
func (q *Query) giveUpAll(code result.Code) {
	for i := range q.shards {
		if q.shards[i].state == shardPending {
			q.giveUp(&q.shards[i], code)
		}
	}
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
	if len(s.tried) >= len(s.replicas) {
		s.retryAt = now + q.nextBackoff(s)
	}
	q.sendDueRetry(now, i)
}

// nextBackoff doubles the backoff of a shard within its bounds and returns it with
// jitter.
func (q *Query) nextBackoff(s *shard) time.Duration {
	s.backoff = min(max(2*s.backoff, retryBackoffMin), retryBackoffMax)
	jitter := time.Duration(q.params.Rand.Int64N(int64(s.backoff)))
	return s.backoff/2 + jitter/2
}

// sendDueRetry sends the scheduled retry of a shard if it is due. If it cannot be
// sent now, it is postponed or the shard is given up.
func (q *Query) sendDueRetry(now time.Duration, i int) {
	s := &q.shards[i]
	if !s.retryScheduled || now < s.retryAt {
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
	if !free && !q.params.Budgets.TakeRetry(i) {
		q.addEvent(EventRetryDenied, s.reason)
		if q.params.Forward != nil && !q.unlimitedRetries() {
			q.giveUp(s, missingCode(s.reason))
			return
		}
		s.retryAt = now + q.nextBackoff(s)
		return
	}
	s.retries++
	q.addEvent(EventRetry, s.reason)
	q.sendAttempt(now, i, endpoint)
}

// attemptBudget returns the time that an endpoint has for an attempt. A forwarded
// message with unlimited retries, which goes to several shards, is useful until its
// target: attempts still queued at an endpoint by then would be wasted work. The
// budget ends replyTransitTime before the target, so that an endpoint's refusal
// still arrives in time and an overloaded endpoint is not mistaken for a silent one.
func (q *Query) attemptBudget(now time.Duration) time.Duration {
	if f := q.params.Forward; f != nil && f.UnlimitedRetries && now < f.Target-replyTransitTime {
		return f.Target - replyTransitTime - now
	}
	return q.params.Deadline - now
}

// tooLateForAttempt reports whether the query is about to be answered with the
// replies it has, so that the reply to a further attempt would come too late.
func (q *Query) tooLateForAttempt(now time.Duration) bool {
	return q.params.Forward != nil && q.params.Forward.UnlimitedRetries && now >= q.targetTime()-replyTransitTime
}

// message returns the forwarded message, or nil for a search.
func (q *Query) message() *dispatch.Message {
	if q.params.Forward == nil {
		return nil
	}
	return q.params.Forward.Message
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

// allowedReplicas returns the replicas that a further attempt at a shard may go to:
// all of them or, once MaxReplicas is reached, only those already used.
func (q *Query) allowedReplicas(s *shard) []string {
	if f := q.params.Forward; f != nil && f.MaxReplicas > 0 && len(s.sentTo) >= f.MaxReplicas {
		return s.sentTo
	}
	return s.replicas
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
	if !q.params.Budgets.TakeHedge(i) {
		q.addEvent(EventHedgeDenied, 0)
		s.hedgeAt = now + q.params.Replicas.HedgeDelay(q.params.Service)
		return
	}
	s.hedges++
	q.addEvent(EventHedge, 0)
	q.sendAttempt(now, i, endpoint)
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

// cancelShardAttempts cancels the open attempts at a shard. Any of them may have run.
func (q *Query) cancelShardAttempts(s *shard) {
	for _, a := range s.openAttempts {
		delete(q.shardByAttempt, a.number)
		q.actions.Cancel = append(q.actions.Cancel, dispatch.Cancel{
			Key:      dispatch.Key{Request: q.params.ID, Attempt: a.number},
			Endpoint: a.endpoint,
		})
		q.mayHaveRun = true
	}
	s.openAttempts = nil
}

// cancelAllAttempts cancels the open attempts at all shards.
func (q *Query) cancelAllAttempts() {
	for i := range q.shards {
		q.cancelShardAttempts(&q.shards[i])
	}
}
