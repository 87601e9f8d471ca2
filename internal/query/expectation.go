package query

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Forecaster estimates whether open attempts will be answered.
type Forecaster interface {
	// Chance returns how likely an attempt that was sent to an endpoint at a time gets a
	// good reply until another time.
	Chance(now time.Duration, endpoint string, sentAt, until time.Duration) float64
	// OutOfReach reports whether an endpoint's data centre can't be reached.
	OutOfReach(now time.Duration, endpoint string) bool
	// ReviewInterval is the time after which a query with open shards is to be decided
	// about again.
	ReviewInterval() time.Duration
}

const (
	// extraChance is how likely a further attempt covers its shard by the target, and
	// deniedChance the same if the budget did not allow it so far.
	extraChance  = 0.5
	deniedChance = 0.04
	// rareReviews is by how much longer the time between two looks at a query is if it has
	// too few shards for an answer.
	rareReviews = 5
	// unlikelyShards is the expected number of shards still to be covered below which a
	// part reports that its open shards are unlikely to be.
	unlikelyShards = 0.2
)

// Unlikely reports whether the open shards of a part are unlikely to be covered by the
// time until which the answer is on time.
func (q *Query) Unlikely(now time.Duration) bool {
	return !q.done && q.pending > 0 && q.reviews(now) && !q.expects(now, unlikelyShards)
}

// reviews reports whether the query is decided about before its target.
func (q *Query) reviews(now time.Duration) bool {
	f := q.params.Forward
	if f == nil || f.Forecast == nil || q.suspect || now >= q.onTimeUntil() {
		return false
	}
	if f.MinCovered == 0 { // a part of a query
		return 2*q.covered >= len(q.shards)
	}
	return q.covered >= q.minCovered()
}

// nextReview returns when the query is to be looked at again while shards are open.
func (q *Query) nextReview() (at time.Duration, ok bool) {
	f := q.params.Forward
	if q.pending == 0 || f == nil || f.Forecast == nil || !f.UnlimitedRetries {
		return 0, false
	}
	interval := f.Forecast.ReviewInterval()
	if !q.reviews(q.lastEvent) {
		interval *= rareReviews
	}
	return q.lastEvent + interval, true
}

// giveUpOutOfReach gives up the shards of which no replica that an attempt may go to can be
// reached. Their open attempts will not be answered.
func (q *Query) giveUpOutOfReach(now time.Duration) {
	f := q.params.Forward
	if f == nil || f.Forecast == nil || !f.UnlimitedRetries {
		return
	}
	reachable := func(id string) bool { return !f.Forecast.OutOfReach(now, id) }
	for i := range q.shards {
		s := &q.shards[i]
		if s.state == shardPending && !slices.ContainsFunc(q.allowedReplicas(s), reachable) {
			q.giveUp(s, result.MissingLost)
		}
	}
}

// expects reports whether at least n of the open shards are expected to be covered in time. A
// part asks this at each reply; mostly the first open shard suffices to tell.
func (q *Query) expects(now time.Duration, n float64) bool {
	sum := 0.0
	for i := range q.shards {
		if s := &q.shards[i]; s.state == shardPending {
			if sum += q.shardChance(now, s); sum >= n {
				return true
			}
		}
	}
	return sum >= n
}

// expected returns how many of the open shards are expected to be covered in time.
func (q *Query) expected(now time.Duration) float64 {
	n := 0.0
	for i := range q.shards {
		if s := &q.shards[i]; s.state == shardPending {
			n += q.shardChance(now, s)
		}
	}
	return n
}

// shardChance returns how likely a shard is covered in time.
func (q *Query) shardChance(now time.Duration, s *shard) float64 {
	until := q.onTimeUntil() - replyTransitTime
	missed := 1 - q.extraAttemptChance(now, until, s)
	for _, a := range s.openAttempts {
		missed *= 1 - q.params.Forward.Forecast.Chance(now, a.endpoint, a.sentAt, until)
	}
	return 1 - missed
}

// extraAttemptChance returns how likely an attempt that is not sent yet covers a shard.
func (q *Query) extraAttemptChance(now, until time.Duration, s *shard) float64 {
	at, planned := s.nextTick(q.suspect)
	switch {
	case !planned || at+2*q.params.Replicas.HedgeDelay(q.params.Service) > until:
		return 0
	case s.denied:
		return deniedChance
	default:
		return extraChance
	}
}
