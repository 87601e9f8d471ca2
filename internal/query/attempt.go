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

// sendPrimary dispatches the first attempt of a shard, unless the query is a
// suspect with an attempt in flight.
func (q *Query) sendPrimary(now time.Duration, i int) {
	s := &q.shards[i]
	if q.suspect && !q.mayRunAlone(now, s) {
		q.held = true
		return
	}
	endpoint, ok := q.p.Replicas.Pick(now, s.replicas, s.gone)
	q.p.Budgets.CountPrimary(i)
	if !ok {
		q.noReplica(now, s)
		return
	}
	q.send(now, i, endpoint)
}

// noReplica restarts the query if replicas of the shard lost the snapshot. Else
// it gives the shard up, or looks for a replica again later if the service
// prefers coverage.
func (q *Query) noReplica(now time.Duration, s *shard) {
	if len(s.gone) > 0 && q.restart(now) {
		return
	}
	if !q.patient() {
		q.giveUp(s, result.MissingNoReplica)
		return
	}
	s.reason = result.NoReplica
	s.waiting = true
	s.retryAt = now + q.nextBackoff(s)
}

// patient reports whether missing shards are waited for until the deadline.
func (q *Query) patient() bool { return q.p.Service.Preference == config.PreferCoverage }

// mayRunAlone reports whether a suspect may be sent to a shard now: it has no
// other attempt in flight and cannot take the shard's last replica down.
func (q *Query) mayRunAlone(now time.Duration, s *shard) bool {
	if len(q.byAttempt) > 0 {
		return false
	}
	eligible := 0
	for _, id := range s.replicas {
		if q.p.Replicas.Eligible(now, id) {
			eligible++
		}
	}
	return quarantine.MayRun(view.Suspected, eligible)
}

func (q *Query) send(now time.Duration, i int, endpoint string) {
	s := &q.shards[i]
	q.nextAttempt++
	q.dispatched++
	s.waiting = false
	s.open = append(s.open, attempt{number: q.nextAttempt, endpoint: endpoint, alone: q.suspect})
	s.sent = addOnce(s.sent, endpoint)
	s.hedgeAt = q.nextHedge(now, s)
	q.byAttempt[q.nextAttempt] = i
	q.out.Dispatch = append(q.out.Dispatch, dispatch.Request{
		Key:       dispatch.Key{Request: q.p.ID, Attempt: q.nextAttempt},
		Operation: dispatch.Search,
		Service:   q.p.Service.Name,
		Endpoint:  endpoint,
		Snapshot:  q.snapshot.ID,
		Range:     s.keys,
		Body:      q.p.Body,
		Limit:     q.p.Limit,
		Urgency:   q.p.Service.Urgency,
		Budget:    q.attemptBudget(now),
		Suspect:   q.suspect,
		Message:   q.message(),
	})
}

// nextHedge returns when the shard's next hedge is due, or zero.
func (q *Query) nextHedge(now time.Duration, s *shard) time.Duration {
	if s.hedges >= q.p.Service.Hedge.Max {
		return 0
	}
	return now + q.p.Replicas.HedgeDelay(q.p.Service)
}

// attemptFailed decides what follows an attempt without a good reply.
func (q *Query) attemptFailed(now time.Duration, i int, a attempt, r *dispatch.Reply) {
	s := &q.shards[i]
	s.reason = r.Code
	if r.Code == result.ConnectFailed || r.Code == result.ConnectionLimit {
		s.unsend(a.endpoint)
	}
	if q.once() && r.Outcome != dispatch.Refused {
		q.giveUp(s, missingCode(r.Code))
		return
	}
	switch {
	case r.Code == result.SnapshotGone || r.Code == result.RangeNotHeld:
		s.gone = addOnce(s.gone, r.Endpoint)
	case !RelayFault(r.Code):
		s.tried = addOnce(s.tried, r.Endpoint)
	}
	if r.Code == result.EndpointCrashed {
		if a.alone {
			q.abandon(result.MissingQuarantined)
			return
		}
		q.suspect = true
	}
	if len(s.open) > 0 {
		return
	}
	if s.exhausted() {
		q.snapshotLost(now, i)
		return
	}
	q.scheduleRetry(now, i)
}

// RelayFault reports whether a code tells of the relay and not of the endpoint,
// which may then be tried again through another relay.
func RelayFault(code result.Code) bool {
	switch code {
	case result.PeerUnreachable, result.PeerQueueFull, result.Stopping, result.RelayLost:
		return true
	default:
		return false
	}
}

// freeRetry reports whether the retry after an attempt that ended with the code
// takes nothing from the budget, since the attempt was no sign of load: it cost
// the endpoint no work, or its connection is at fault. The replica counts as tried
// or gone, so that such retries are bounded by the replicas, and by the backoff
// once every one was tried.
func freeRetry(code result.Code) bool {
	switch code {
	case result.ConnectFailed, result.ConnectionSilent, result.SnapshotGone, result.RangeNotHeld, result.UnknownEndpoint:
		return true
	default:
		return false
	}
}

// unavailable reports whether an endpoint refused with the code because it comes
// or goes, and not because of its load. The first retry on each other replica is
// free then.
func unavailable(code result.Code) bool {
	return code == result.EndpointCold || code == result.EndpointLeaving
}

// abandon gives up every pending shard.
func (q *Query) abandon(code result.Code) {
	for i := range q.shards {
		if q.shards[i].state == shardPending {
			q.giveUp(&q.shards[i], code)
		}
	}
}

// snapshotLost handles a shard whose replicas all lack the snapshot or range. The
// query goes on with the shard's new replicas or restarts on another snapshot,
// and if it knows of neither it looks again after a backoff: hosts learn of a
// new index later than its endpoints.
func (q *Query) snapshotLost(now time.Duration, i int) {
	s := &q.shards[i]
	if q.followMove(s) {
		q.scheduleRetry(now, i)
		return
	}
	if q.restart(now) {
		return
	}
	s.waiting = true
	s.retryAt = now + q.nextBackoff(s)
}

// followMove takes the replicas that the latest index gives to the shard, and
// reports whether one of them is not known to lack it.
func (q *Query) followMove(s *shard) bool {
	replicas := shardReplicas(q.latestIndex(), q.snapshot.ID, s.keys)
	for _, id := range replicas {
		if !slices.Contains(s.gone, id) {
			s.replicas = replicas
			return true
		}
	}
	return false
}

// scheduleRetry retries at once if a replica is left that was not tried and the
// budget allows it, else after a backoff.
func (q *Query) scheduleRetry(now time.Duration, i int) {
	s := &q.shards[i]
	if s.reason == result.Quarantined {
		q.giveUp(s, result.MissingQuarantined)
		return
	}
	if s.retries >= q.p.Service.Retry.Max && !q.patient() && !q.paced() {
		q.giveUp(s, missingCode(s.reason))
		return
	}
	s.waiting = true
	s.retryAt = now
	if len(s.tried) >= len(s.replicas) {
		s.retryAt = now + q.nextBackoff(s)
	}
	q.retryDue(now, i)
}

func (q *Query) nextBackoff(s *shard) time.Duration {
	s.backoff = min(max(2*s.backoff, retryBackoffMin), retryBackoffMax)
	jitter := time.Duration(q.p.Rand.Int64N(int64(s.backoff)))
	return s.backoff/2 + jitter/2
}

// retryDue sends the retry of a shard whose time has come.
func (q *Query) retryDue(now time.Duration, i int) {
	s := &q.shards[i]
	if !s.waiting || now < s.retryAt {
		return
	}
	if q.suspect && !q.mayRunAlone(now, s) {
		s.retryAt = now + retryBackoffMin
		return
	}
	if q.ending(now) {
		s.retryAt = q.target()
		return
	}
	if s.exhausted() {
		q.snapshotLost(now, i)
		return
	}
	endpoint, untried, ok := q.pickRetry(now, s)
	if !ok {
		q.noReplica(now, s)
		return
	}
	free := freeRetry(s.reason) || untried && unavailable(s.reason)
	if !free && !q.p.Budgets.TakeRetry(i) {
		q.event(EventRetryDenied, s.reason)
		if q.p.Forward != nil && !q.paced() {
			q.giveUp(s, missingCode(s.reason))
			return
		}
		s.retryAt = now + q.nextBackoff(s)
		return
	}
	s.retries++
	q.event(EventRetry, s.reason)
	q.send(now, i, endpoint)
}

// attemptBudget returns the time that an endpoint is given. A forwarded message
// for several shards is of use until the target; what is left of its queue then
// is work for nothing.
// The endpoint's refusal arrives before the target, so that it tells overload from
// silence.
func (q *Query) attemptBudget(now time.Duration) time.Duration {
	if f := q.p.Forward; f != nil && f.UnlimitedRetries && now < f.Target-replyTime {
		return f.Target - replyTime - now
	}
	return q.p.Deadline - now
}

// ending reports whether the query is about to be answered with what it has: the
// reply to a further attempt would come too late to be of use.
func (q *Query) ending(now time.Duration) bool {
	return q.p.Forward != nil && q.p.Forward.UnlimitedRetries && now >= q.target()-replyTime
}

// message returns the message that is forwarded, or nil for a search.
func (q *Query) message() *dispatch.Message {
	if q.p.Forward == nil {
		return nil
	}
	return q.p.Forward.Message
}

// paced reports whether retries are paced by backoff and not by number.
func (q *Query) paced() bool { return q.p.Forward != nil && q.p.Forward.UnlimitedRetries }

// pickRetry prefers a replica that was not tried yet, and tells whether it is one.
func (q *Query) pickRetry(now time.Duration, s *shard) (endpoint string, untried, ok bool) {
	candidates := q.candidates(s)
	if endpoint, ok := q.p.Replicas.Pick(now, candidates, slices.Concat(s.gone, s.tried)); ok {
		return endpoint, true, true
	}
	s.tried = s.tried[:0]
	endpoint, ok = q.p.Replicas.Pick(now, candidates, s.gone)
	return endpoint, false, ok
}

// candidates returns the replicas that a further attempt at a shard may go to:
// those that the message was sent to, once there are as many as it allows.
func (q *Query) candidates(s *shard) []string {
	if f := q.p.Forward; f != nil && f.MaxReplicas > 0 && len(s.sent) >= f.MaxReplicas {
		return s.sent
	}
	return s.replicas
}

// tickShard sends what is due of one shard. A shard that waits for its retry has
// no attempt to hedge.
func (q *Query) tickShard(now time.Duration, i int) {
	s := &q.shards[i]
	if s.state != shardPending {
		return
	}
	if s.waiting {
		q.retryDue(now, i)
		return
	}
	q.hedgeDue(now, i)
}

func (q *Query) hedgeDue(now time.Duration, i int) {
	s := &q.shards[i]
	due := s.hedgeAt > 0 && now >= s.hedgeAt && len(s.open) > 0
	if s.state != shardPending || !due || q.suspect {
		return
	}
	s.hedgeAt = 0
	if q.ending(now) {
		return
	}
	endpoint, ok := q.pickHedge(now, s)
	if !ok {
		return
	}
	if !q.p.Budgets.TakeHedge(i) {
		q.event(EventHedgeDenied, 0)
		s.hedgeAt = now + q.p.Replicas.HedgeDelay(q.p.Service)
		return
	}
	s.hedges++
	q.event(EventHedge, 0)
	q.send(now, i, endpoint)
}

// pickHedge prefers a replica that was not tried, then one without an open
// attempt. When each has one, the hedge goes to any of them on another
// connection: a single slow attempt says little about the endpoint.
func (q *Query) pickHedge(now time.Duration, s *shard) (string, bool) {
	busy := slices.Concat(s.gone, s.busy())
	candidates := q.candidates(s)
	if endpoint, ok := q.p.Replicas.Pick(now, candidates, slices.Concat(busy, s.tried)); ok {
		return endpoint, true
	}
	if endpoint, ok := q.p.Replicas.Pick(now, candidates, busy); ok {
		return endpoint, true
	}
	if len(s.open) < 2 {
		return "", false
	}
	return q.p.Replicas.Pick(now, candidates, s.gone)
}

func (q *Query) cancelAttempts(s *shard) {
	for _, a := range s.open {
		delete(q.byAttempt, a.number)
		q.out.Cancel = append(q.out.Cancel, dispatch.Cancel{
			Key:      dispatch.Key{Request: q.p.ID, Attempt: a.number},
			Endpoint: a.endpoint,
		})
		q.mayHaveRun = true
	}
	s.open = nil
}

func (q *Query) cancelOpen() {
	for i := range q.shards {
		q.cancelAttempts(&q.shards[i])
	}
}
