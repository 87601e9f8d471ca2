// Package overload decides which wide queries of callers a host starts while the
// replicas of some shards lack capacity, and which wait shortly or are refused.
//
// A wide query needs nearly all shards of an index. If more queries are started than the
// scarcest shards can serve, each of them misses too many shards, and the work on all
// others is wasted. This package is for that load: bursts, replicas that became slow, and
// callers that repeat refused requests at once.
//
// A [Meter] holds, at the hosts that send to replicas, which share of the queries each
// shard has capacity for. The hosts that admit queries learn these shares from the replies
// to parts, and keep them in a [Gate], one for each index. From the shares of the scarcest
// shards, beyond those that an answer may lack, a Gate computes the share of each route's
// queries that it admits.
//
// Invariants of [Gate]:
//   - Every offered request ends exactly once: refused by Offer, refused later in a
//     [Changes], cancelled, or released by Ended after it was admitted.
//   - While no shard is known to lack capacity, every request is admitted at once.
//     Refusals by replicas show a lack of capacity, and answers that take long while all
//     slots are busy; lost and failed answers do not.
//   - A request waits no longer than it can and still be answered on time.
//   - Each route keeps at least minAdmitted of its queries, whatever the others ask.
//
// Meter and Gate are not safe for concurrent use. Times are monotonic, counted from the
// start of the process.
package overload

import (
	"math"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// CallerKey identifies a caller together with the content of its request.
type CallerKey uint64

// Request is a query that asks for admission.
type Request struct {
	// ID is unique among the requests that wait.
	ID    uint64
	Route string
	// Urgency orders the routes of an index.
	Urgency config.Urgency
	// LeastShards is the number of shards that an answer needs.
	LeastShards int
	// Work is the usual time of one attempt. Only ratios between routes matter.
	Work time.Duration
	// Patience is how long the query can wait and still be answered on time.
	Patience time.Duration
	// Timeout is how long the caller waits for an answer.
	Timeout time.Duration
	Caller  CallerKey
}

// Verdict is the kind of a [Decision].
type Verdict uint8

// The verdicts.
const (
	// Admit means that the query starts now. Ended must be called when it has ended.
	Admit Verdict = iota + 1
	// Wait means that a later Changes admits or refuses the query.
	Wait
	// Refuse means that the query has ended without running.
	Refuse
)

// Decision is the result of [Gate.Offer].
type Decision struct {
	Verdict Verdict
	// Code is the reason of a refusal, and RetryAfter when the caller may come back.
	Code       result.Code
	RetryAfter time.Duration
}

// Changes lists the waiting requests that were admitted, and those that were refused
// because they could no longer be answered on time.
type Changes struct {
	Admitted []uint64
	Refused  []Refusal
}

// Refusal is the refusal of a waiting request.
type Refusal struct {
	ID uint64
	Decision
}

// UrgencyOf returns the urgency class of a route's priority. 0 is the most urgent one.
func UrgencyOf(priority int) config.Urgency {
	return config.Urgency(min(max(priority, 0), int(config.UrgencyCount)-1))
}

// decayFactor returns the factor by which a weight decays in a time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
