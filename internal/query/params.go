package query

import (
	"math/rand/v2"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// ReplicaSelector chooses endpoints for attempts and sets the hedge delay.
type ReplicaSelector interface {
	// Eligible reports whether the endpoint may receive new attempts.
	Eligible(now time.Duration, endpoint string) bool
	// Pick returns an eligible endpoint of candidates that is not in exclude, or
	// false if there is none.
	Pick(now time.Duration, candidates, exclude []string) (string, bool)
	// HedgeDelay returns how long an attempt may take before it is hedged.
	HedgeDelay(service *config.Service) time.Duration
}

// Budgets limits the hedges and retries of a service across all its queries.
type Budgets interface {
	// CountPrimary counts the primary attempt of a shard, given by its index.
	CountPrimary(shard int)
	// TakeHedge reports whether a hedge of the shard may be sent, or another extra
	// attempt that a useful answer doesn't need, and if so takes it from the budget.
	TakeHedge(shard int) bool
	// TakeRetry reports whether a retry of the shard may be sent, and if so takes
	// it from the budget.
	TakeRetry(shard int) bool
	// TakeLate is TakeRetry for an extra attempt that a useful answer needs, but which comes
	// too late for one on time. Only queries over several shards call it.
	TakeLate(shard int) bool
}

// Params are the inputs of a query.
type Params struct {
	// ID identifies the request in the key of every attempt.
	ID      string
	Service *config.Service
	Index   *config.Index
	// LatestIndex returns the newest index known to the host. It is used when the
	// endpoints no longer hold the data that Index assigns to them. It may be nil.
	LatestIndex func() *config.Index
	// Body is the query text of a search.
	Body string
	// Limit bounds the hits of the answer. Zero, or more than the service's MaxHits,
	// means MaxHits.
	Limit int
	// Deadline is the monotonic time of the hard deadline.
	Deadline time.Duration
	// Suspicion is the quarantine state of the request when it starts.
	Suspicion view.Suspicion
	// Forward holds the rules for a forwarded message; it is nil for a search.
	Forward  *Forward
	Replicas ReplicaSelector
	Budgets  Budgets
	Rand     *rand.Rand
}

// Forward holds the message that is forwarded to the endpoints and its rules.
type Forward struct {
	Message *dispatch.Message
	// MaxReplicas is the largest number of replicas per shard that the message is
	// sent to; zero means no limit.
	MaxReplicas int
	// MinCovered is the least number of covered shards of a useful answer. The
	// query ends as soon as it cannot be reached.
	MinCovered int
	// Wanted is the number of covered shards up to which extra attempts are the most
	// valuable; zero means MinCovered. A part of a query has no MinCovered of its own.
	Wanted int
	// Target is the monotonic time from which the query is answered as soon as
	// MinCovered shards are covered, if the service prefers latency.
	Target time.Duration
	// OnTimeUntil is the monotonic time until which the answer is on time, if it is not
	// Target. A part of a query goes on after it.
	OnTimeUntil time.Duration
	// Forecast estimates whether open shards will be covered in time. If it is nil, a
	// query waits for them until its target.
	Forecast Forecaster
	// UnlimitedRetries means that the number of retries is not limited. Once every
	// replica was tried, retries wait for a backoff.
	UnlimitedRetries bool
}
