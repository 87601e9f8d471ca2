package query

import (
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
	q.sendAttempt(now, i, endpoint, dispatch.PurposePrimary)
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
func (q *Query) sendAttempt(now time.Duration, i int, endpoint string, purpose dispatch.Purpose) {
	s := &q.shards[i]
	q.lastAttempt++
	q.dispatched++
	s.retryScheduled = false
	s.denied = false
	s.openAttempts = append(s.openAttempts, attempt{number: q.lastAttempt, endpoint: endpoint, sentAt: now, isolated: q.suspect})
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
		Purpose:   purpose,
	})
}

// handleFailure handles an attempt that ended without a good reply: it retries,
// moves to other replicas or another snapshot, or gives up.
func (q *Query) handleFailure(now time.Duration, i int, a attempt, r *dispatch.Reply) {
	s := &q.shards[i]
	s.reason = r.Code
	if neverSent(r.Code) {
		s.notReached(a.endpoint)
	} else {
		s.reached = appendUnique(s.reached, a.endpoint)
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
	if a.isolated && r.Outcome == dispatch.Unknown {
		// The endpoint may have ended without a sign. Another attempt might end
		// the next one.
		q.giveUpAll(missingCode(r.Code))
		return
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

// giveUpAll gives up every pending shard with the given reason.
func (q *Query) giveUpAll(code result.Code) {
	for i := range q.shards {
		if q.shards[i].state == shardPending {
			q.giveUp(&q.shards[i], code)
		}
	}
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

// allowedReplicas returns the replicas that a further attempt at a shard may go to:
// all of them or, once MaxReplicas is reached, only those already used.
func (q *Query) allowedReplicas(s *shard) []string {
	if f := q.params.Forward; f != nil && f.MaxReplicas > 0 && len(s.sentTo) >= f.MaxReplicas {
		return s.sentTo
	}
	return s.replicas
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
