package query

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Limits and timing of retries and restarts.
const (
	retryBackoffMin = 2 * time.Millisecond
	retryBackoffMax = 100 * time.Millisecond
	// replyTransitTime is the time allowed for a reply to come back from its
	// endpoint.
	replyTransitTime = 3 * time.Millisecond
	// onceReserve is the least time left for a further attempt of a request that must run at
	// most once.
	onceReserve = 15 * time.Millisecond
	// maxRestarts bounds the restarts of a query on another snapshot.
	maxRestarts = 3
	// restartReserve is the least time left until the deadline that a restart on
	// another snapshot needs.
	restartReserve = 5 * time.Millisecond
)

// Query is the state machine of one query.
//
// Invariants: a shard is covered at most once; an attempt number is used once;
// a suspect has at most one open attempt; after the answer no attempt is
// dispatched.
type Query struct {
	params    Params
	startedAt time.Duration
	snapshot  *config.Snapshot
	shards    []shard
	// shardByAttempt maps the number of an open attempt to the index of its shard.
	shardByAttempt map[uint32]int
	lastAttempt    uint32
	pending        int
	covered        int
	// enoughAt is when minCovered shards were covered.
	enoughAt time.Duration
	// responses are the responses of the covered shards to a forwarded message, in the
	// order of their arrival.
	responses  []*dispatch.Response
	dispatched int
	// mayHaveRun is set by an attempt that was not provably refused.
	mayHaveRun bool
	restarts   int
	// lostSnapshots are the snapshots that endpoints no longer hold.
	lostSnapshots []*config.Snapshot
	suspect       bool
	// lastEvent is the time of the last call of the state machine.
	lastEvent time.Duration
	// primaryHeld means that a primary attempt was held back because the query is
	// a suspect.
	primaryHeld bool
	truncated   bool
	done        bool
	failure     *dispatch.Response
	actions     Actions
}

// New returns a query that is started by Start.
func New(params Params) *Query {
	if params.Limit <= 0 || params.Limit > params.Service.MaxHits {
		params.Limit = params.Service.MaxHits
	}
	return &Query{
		params:         params,
		shardByAttempt: make(map[uint32]int),
		suspect:        params.Suspicion == view.Suspected,
	}
}

// Start plans the query and dispatches its primary attempts.
func (q *Query) Start(now time.Duration) Actions {
	q.startedAt = now
	q.lastEvent = now
	q.snapshot = chooseSnapshot(now, q.params.Index, q.params.Service.FreshSnapshots, q.params.Replicas, q.isLostSnapshot)
	if q.snapshot == nil {
		q.finishNotRun(result.NoReplica)
		return q.takeActions()
	}
	if q.params.Suspicion == view.Quarantined {
		q.finishNotRun(result.Quarantined)
		return q.takeActions()
	}
	q.planShards(now)
	return q.takeActions()
}

// Done reports whether the query has been answered or aborted.
func (q *Query) Done() bool { return q.done }

// Reply handles the reply to an attempt.
func (q *Query) Reply(now time.Duration, r dispatch.Reply) Actions {
	q.lastEvent = now
	i, open := q.shardByAttempt[r.Attempt]
	if q.done || !open {
		q.addEvent(EventStrayReply, r.Code)
		return q.takeActions()
	}
	s := &q.shards[i]
	a := s.close(r.Attempt)
	delete(q.shardByAttempt, r.Attempt)
	if r.Outcome != dispatch.Refused {
		q.mayHaveRun = true
	}
	if r.Outcome == dispatch.Failed && r.Response != nil {
		q.failure = r.Response
	}
	if r.Outcome == dispatch.Unknown && now >= q.params.Deadline {
		// The attempt ended because the query's deadline passed, not because of a
		// fault of its own.
		s.reason = 0
		q.expire()
		return q.takeActions()
	}
	if r.Outcome == dispatch.OK && !q.validReply(s, &r) {
		q.addEvent(EventWrongSnapshotReply, r.Code)
		r.Outcome, r.Code = dispatch.Failed, result.BadReply
	}
	if r.Outcome == dispatch.OK {
		q.coverShard(now, s, a, &r)
	} else {
		q.handleFailure(now, i, a, &r)
	}
	q.sendHeldPrimaries(now)
	q.finishIfDecided(now)
	return q.takeActions()
}

// Tick does the work that is due: hedges, retries, and the answer at the target
// or the deadline.
func (q *Query) Tick(now time.Duration) Actions {
	q.lastEvent = now
	if q.done {
		return q.takeActions()
	}
	q.giveUpOutOfReach(now)
	if v := q.verdict(now); v != GoOn {
		if v == AnswerNow && q.pending > 0 && now < q.targetTime() {
			q.addEvent(EventEarlyAnswer, 0)
		}
		q.expire()
		return q.takeActions()
	}
	for i := 0; i < len(q.shards); i++ { // a restart replaces the shards
		q.tickShard(now, i)
	}
	q.sendHeldPrimaries(now)
	q.finishIfDecided(now)
	return q.takeActions()
}

// Expire ends the query now with the replies received so far, as at the deadline.
func (q *Query) Expire() Actions {
	if !q.done {
		q.expire()
	}
	return q.takeActions()
}

// Abort cancels all attempts and ends the query without an answer.
func (q *Query) Abort() Actions {
	if !q.done {
		q.cancelAllAttempts()
		q.done = true
	}
	return q.takeActions()
}

// Responses returns the responses to a forwarded message that arrived after the first
// n of them.
func (q *Query) Responses(n int) []*dispatch.Response { return q.responses[min(n, len(q.responses)):] }

// NextTick returns the time at which Tick is due next.
func (q *Query) NextTick() time.Duration {
	next := min(q.params.Deadline, q.targetTime())
	if at, ok := q.nextReview(); ok {
		next = min(next, at)
	}
	for i := range q.shards {
		if at, ok := q.shards[i].nextTick(q.suspect); ok {
			next = min(next, at)
		}
	}
	return next
}

// verdict decides about the query at the time now.
func (q *Query) verdict(now time.Duration) Verdict {
	p := q.progress()
	p.Now = now
	if p.Forecast = q.params.Forward != nil && q.params.Forward.MinCovered > 0 && q.reviews(now); p.Forecast {
		p.Expected = q.expected(now)
	}
	return Decide(p)
}

// progress describes the query, without the time.
func (q *Query) progress() Progress {
	return Progress{
		Covered: q.covered, Open: q.pending, Least: q.minCovered(), EnoughAt: q.enoughAt,
		Target: q.latencyTarget(), Deadline: q.params.Deadline,
	}
}

// latencyTarget returns the time at which an answer with enough shards is given.
func (q *Query) latencyTarget() time.Duration {
	switch {
	case q.params.Service.Preference != config.PreferLatency:
		return q.params.Deadline
	case q.params.Forward != nil:
		return q.params.Forward.Target
	default:
		return q.startedAt + q.params.Service.LatencyTarget()
	}
}

// targetTime returns the time at which the query is answered with the replies
// received so far.
func (q *Query) targetTime() time.Duration {
	p := q.progress()
	return p.AnswerAt()
}

// minCovered returns the least number of covered shards of a useful answer.
func (q *Query) minCovered() int {
	if q.params.Forward == nil {
		return 1
	}
	return max(q.params.Forward.MinCovered, 1)
}

// atMostOnce reports whether the request must run at most once.
func (q *Query) atMostOnce() bool { return q.params.Forward != nil && q.params.Forward.Message.Once }

// validReply reports whether a successful reply is for the pinned snapshot and
// the shard's range, and holds only hits from that range.
func (q *Query) validReply(s *shard, r *dispatch.Reply) bool {
	if r.Snapshot != q.snapshot.ID || r.Range != s.keys {
		return false
	}
	for i := range r.Hits {
		if !s.keys.Contains(r.Hits[i].Key) {
			return false
		}
	}
	return true
}

// coverShard records the good reply to a shard and cancels its other attempts.
func (q *Query) coverShard(now time.Duration, s *shard, a attempt, r *dispatch.Reply) {
	s.state = shardCovered
	s.hits = r.Hits
	s.response = r.Response
	q.truncated = q.truncated || r.Truncated
	q.pending--
	q.covered++
	if q.covered == q.minCovered() {
		q.enoughAt = now
	}
	if r.Response != nil {
		q.responses = append(q.responses, r.Response)
	}
	q.cancelShardAttempts(s)
	if q.suspect && a.isolated {
		q.suspect = false
		q.actions.SuspicionCleared = true
	}
}

// sendHeldPrimaries sends the primary attempts that were held back while the
// query was a suspect with an attempt in flight.
func (q *Query) sendHeldPrimaries(now time.Duration) {
	if !q.primaryHeld || q.done {
		return
	}
	q.primaryHeld = false
	for i := range q.shards {
		s := &q.shards[i]
		if s.state == shardPending && len(s.openAttempts) == 0 && !s.retryScheduled {
			q.sendPrimary(now, i)
		}
	}
}

func (q *Query) addEvent(kind EventKind, code result.Code) {
	q.actions.Events = append(q.actions.Events, Event{Kind: kind, Code: code})
}

// takeActions returns the actions collected since the last call.
func (q *Query) takeActions() Actions {
	out := q.actions
	q.actions = Actions{}
	return out
}
