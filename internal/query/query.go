package query

import (
	"math/rand/v2"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// ReplicaSelector chooses endpoints and knows their latency.
type ReplicaSelector interface {
	// Eligible reports whether the endpoint may get new work.
	Eligible(now time.Duration, endpoint string) bool
	// Pick chooses one of candidates that is eligible and not in exclude.
	Pick(now time.Duration, candidates, exclude []string) (string, bool)
	// HedgeDelay returns how long an attempt may take before it is hedged.
	HedgeDelay(service *config.Service) time.Duration
}

// Budgets bounds extra dispatches of a service over all its queries.
type Budgets interface {
	// CountPrimary counts a primary dispatch of the shard at a position.
	CountPrimary(shard int)
	// TakeHedge reports whether a hedge of the shard may be sent, and counts it.
	TakeHedge(shard int) bool
	// TakeRetry reports whether a retry of the shard may be sent, and counts it.
	TakeRetry(shard int) bool
}

// Params are the inputs of a query.
type Params struct {
	// ID is the request part of the key of every attempt.
	ID      string
	Service *config.Service
	Index   *config.Index
	// LatestIndex returns the newest index that the host knows, to go on with
	// when endpoints no longer hold what Index says; it may be nil.
	LatestIndex func() *config.Index
	Body        string
	// Limit bounds the hits of the answer; zero means the service's bound.
	Limit int
	// Deadline is the monotonic time of the hard deadline.
	Deadline time.Duration
	// Suspicion is what is known of the request when it starts.
	Suspicion view.Suspicion
	// Forward is how the query treats a forwarded message; nil for a search.
	Forward  *Forward
	Replicas ReplicaSelector
	Budgets  Budgets
	Rand     *rand.Rand
}

// Forward are the rules of a message that is forwarded to the endpoints.
type Forward struct {
	Message *dispatch.Message
	// MaxReplicas bounds the replicas of one shard that the message is sent to;
	// zero means no bound.
	MaxReplicas int
	// MinCovered is the fewest shards of a useful answer. The query ends as
	// soon as it cannot be reached.
	MinCovered int
	// Target is the monotonic time at which an answer with the fewest shards is
	// given.
	Target time.Duration
	// UnlimitedRetries tells that retries without an untried replica wait out a backoff
	// and are not limited in number.
	UnlimitedRetries bool
}

// Actions are the outputs of one step.
type Actions struct {
	Dispatch []dispatch.Request
	Cancel   []dispatch.Cancel
	// Events are counted by the driver.
	Events []Event
	// SuspicionCleared tells that a suspect survived an attempt in isolation.
	SuspicionCleared bool
	// Answer is set once, by the step that ends the query.
	Answer *Answer
}

// EventKind tells what is counted.
type EventKind uint8

// The kinds of events.
const (
	EventHedge EventKind = iota
	EventRetry
	// EventStrayReply is a reply that matches no open attempt.
	EventStrayReply
	// EventWrongSnapshot is a reply from another snapshot or range.
	EventWrongSnapshot
	// EventRestart is a restart on another snapshot.
	EventRestart
	// EventHedgeDenied and EventRetryDenied are spent budgets.
	EventHedgeDenied
	EventRetryDenied
)

// Event is something to count, with the code that caused it.
type Event struct {
	Kind EventKind
	Code result.Code
}

// Answer is the result of a query.
type Answer struct {
	Code     result.Code
	Snapshot uint64
	Shards   int
	Covered  int
	// Missing lists the shards that are not covered, in key order.
	Missing []Missing
	// Hits are sorted by descending score, then by document.
	Hits []dispatch.Hit
	// Truncated tells that a bound cut the hits.
	Truncated bool
	// Dispatched counts the attempts of the query.
	Dispatched int
	// MayHaveRun tells that an endpoint may have run the request.
	MayHaveRun bool
	// Responses are the endpoints' responses to a forwarded message, by shard.
	Responses []*dispatch.Response
	// Failure is the last response of an endpoint that ran the forwarded message
	// and failed.
	Failure *dispatch.Response
}

// Missing is a range that the answer does not cover, and why.
type Missing struct {
	Range keyrange.Range
	Code  result.Code
}

// Timing of retries.
const (
	retryBackoffMin = 2 * time.Millisecond
	retryBackoffMax = 100 * time.Millisecond
	// replyTime is the time that a reply takes back from its endpoint.
	replyTime = 3 * time.Millisecond
	// maxRestarts bounds the restarts of a query on another snapshot.
	maxRestarts = 3
	// restartReserve is the least budget that a restart on another snapshot
	// needs.
	restartReserve = 5 * time.Millisecond
)

// Query is the state machine of one query.
//
// Invariants: a shard is covered at most once; an attempt number is used once;
// a suspect has at most one open attempt; after the answer no attempt is
// dispatched.
type Query struct {
	p        Params
	started  time.Duration
	snapshot *config.Snapshot
	shards   []shard
	// byAttempt maps an open attempt to the index of its shard.
	byAttempt   map[uint32]int
	nextAttempt uint32
	pending     int
	covered     int
	dispatched  int
	// mayHaveRun tells that an attempt was not provably refused.
	mayHaveRun bool
	restarts   int
	// lost are the snapshots that the endpoints no longer hold.
	lost    []*config.Snapshot
	suspect bool
	// held tells that a primary attempt was held back.
	held      bool
	truncated bool
	done      bool
	failure   *dispatch.Response
	out       Actions
}

// New returns a query; Start begins it.
func New(p Params) *Query {
	if p.Limit <= 0 || p.Limit > p.Service.MaxHits {
		p.Limit = p.Service.MaxHits
	}
	return &Query{
		p:         p,
		byAttempt: make(map[uint32]int),
		suspect:   p.Suspicion == view.Suspected,
	}
}

// Start plans the query and dispatches its primary attempts.
func (q *Query) Start(now time.Duration) Actions {
	q.started = now
	q.snapshot = chooseSnapshot(now, q.p.Index, q.p.Service.FreshSnapshots, q.p.Replicas, q.isLost)
	if q.snapshot == nil {
		q.finishNotRun(result.NoReplica)
		return q.take()
	}
	if q.p.Suspicion == view.Quarantined {
		q.finishNotRun(result.Quarantined)
		return q.take()
	}
	q.plan(now)
	return q.take()
}

// Done reports whether the query has been answered.
func (q *Query) Done() bool { return q.done }

// Reply handles the reply to an attempt.
func (q *Query) Reply(now time.Duration, r dispatch.Reply) Actions {
	i, open := q.byAttempt[r.Attempt]
	if q.done || !open {
		q.event(EventStrayReply, r.Code)
		return q.take()
	}
	s := &q.shards[i]
	a := s.close(r.Attempt)
	delete(q.byAttempt, r.Attempt)
	if r.Outcome != dispatch.Refused {
		q.mayHaveRun = true
	}
	if r.Outcome == dispatch.Failed && r.Response != nil {
		q.failure = r.Response
	}
	if r.Outcome == dispatch.Unknown && now >= q.p.Deadline {
		// The attempt ended with the query's time, not by a fault of its own.
		s.reason = 0
		q.expire()
		return q.take()
	}
	if r.Outcome == dispatch.OK && !q.valid(s, &r) {
		q.event(EventWrongSnapshot, r.Code)
		r.Outcome, r.Code = dispatch.Failed, result.BadReply
	}
	if r.Outcome == dispatch.OK {
		q.cover(now, s, a, &r)
	} else {
		q.attemptFailed(now, i, a, &r)
	}
	q.resume(now)
	q.finishIfComplete()
	return q.take()
}

// Tick handles the passing of time: hedges, retries, target and deadline.
func (q *Query) Tick(now time.Duration) Actions {
	if q.done {
		return q.take()
	}
	if now >= q.p.Deadline || now >= q.target() {
		q.expire()
		return q.take()
	}
	for i := 0; i < len(q.shards); i++ { // a restart changes the shards
		q.tickShard(now, i)
	}
	q.resume(now)
	q.finishIfComplete()
	return q.take()
}

// Expire ends the query now with what has arrived, as its deadline would.
func (q *Query) Expire() Actions {
	if !q.done {
		q.expire()
	}
	return q.take()
}

// Abort ends the query without an answer because its caller went away.
func (q *Query) Abort() Actions {
	if !q.done {
		q.cancelOpen()
		q.done = true
	}
	return q.take()
}

// NextTick returns the time of the next Tick.
func (q *Query) NextTick() time.Duration {
	next := min(q.p.Deadline, q.target())
	for i := range q.shards {
		if at, ok := q.shards[i].timer(q.suspect); ok {
			next = min(next, at)
		}
	}
	return next
}

// target returns when the query is answered with what has arrived.
func (q *Query) target() time.Duration {
	if q.p.Service.Preference != config.PreferLatency || q.covered < q.leastCovered() {
		return q.p.Deadline
	}
	if q.p.Forward != nil {
		return q.p.Forward.Target
	}
	return q.started + q.p.Service.LatencyTarget()
}

// leastCovered returns the fewest shards of a useful answer.
func (q *Query) leastCovered() int {
	if q.p.Forward == nil {
		return 1
	}
	return max(q.p.Forward.MinCovered, 1)
}

// once reports whether the request runs at most once.
func (q *Query) once() bool { return q.p.Forward != nil && q.p.Forward.Message.Once }

// valid reports whether a good reply is from the pinned snapshot and from
// inside the shard's range.
func (q *Query) valid(s *shard, r *dispatch.Reply) bool {
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

func (q *Query) cover(now time.Duration, s *shard, a attempt, r *dispatch.Reply) {
	s.state = shardCovered
	s.hits = r.Hits
	s.response = r.Response
	q.truncated = q.truncated || r.Truncated
	q.pending--
	q.covered++
	q.cancelAttempts(s)
	if q.suspect && a.alone {
		q.suspect = false
		q.out.SuspicionCleared = true
	}
}

// resume dispatches shards that were held back while the query was a suspect.
func (q *Query) resume(now time.Duration) {
	if !q.held || q.done {
		return
	}
	q.held = false
	for i := range q.shards {
		s := &q.shards[i]
		if s.state == shardPending && len(s.open) == 0 && !s.waiting {
			q.sendPrimary(now, i)
		}
	}
}

func (q *Query) event(kind EventKind, code result.Code) {
	q.out.Events = append(q.out.Events, Event{Kind: kind, Code: code})
}

func (q *Query) take() Actions {
	out := q.out
	q.out = Actions{}
	return out
}
