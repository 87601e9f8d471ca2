package query

import (
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Actions are the outputs of one call of the state machine.
type Actions struct {
	Dispatch []dispatch.Request
	Cancel   []dispatch.Cancel
	// Events are counted by the caller in metrics.
	Events []Event
	// SuspicionCleared means that an isolated attempt of a suspect succeeded.
	SuspicionCleared bool
	// Answer is set once, by the call that ends the query.
	Answer *Answer
}

// EventKind identifies the metric that an event increments.
type EventKind uint8

// The kinds of events.
const (
	EventHedge EventKind = iota
	EventRetry
	// EventStrayReply is a reply that matches no open attempt.
	EventStrayReply
	// EventWrongSnapshotReply is a reply from another snapshot or range.
	EventWrongSnapshotReply
	// EventRestart is a restart on another snapshot.
	EventRestart
	// EventHedgeDenied and EventRetryDenied are attempts that an exhausted budget
	// did not allow.
	EventHedgeDenied
	EventRetryDenied
	// EventEarlyAnswer is an answer before the target without all shards.
	EventEarlyAnswer
)

// Event is one increment of a metric, with the result code that caused it.
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
	// Truncated means that a limit cut off hits.
	Truncated bool
	// Dispatched is the number of attempts of the query.
	Dispatched int
	// MayHaveRun means that an endpoint may have run the request.
	MayHaveRun bool
	// Responses are the endpoints' responses to a forwarded message, in key order
	// of the covered shards.
	Responses []*dispatch.Response
	// Failure is the response to the last attempt at a forwarded message that ran
	// and failed.
	Failure *dispatch.Response
}

// Missing is a range that the answer does not cover, and why.
type Missing struct {
	Range keyrange.Range
	Code  result.Code
}
