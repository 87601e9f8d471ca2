package gateway

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// StepKind tells what was decided or learnt about a request.
type StepKind uint8

// The kinds of steps.
const (
	// StepSent is an attempt that was sent to a replica.
	StepSent StepKind = iota
	// StepReply is the end of an attempt without success, or of a slow one.
	StepReply
	// StepDenied is a hedge or retry that the budget did not allow.
	StepDenied
	// StepPart is the end of a part that lacks shards; Replica is the host that
	// served it, and Shard the number of shards that it lacks.
	StepPart
)

// String returns the name of the kind.
func (k StepKind) String() string { return [...]string{"sent", "reply", "denied", "part"}[k] }

// Step is one step of a request, for the log.
type Step struct {
	Kind StepKind
	// At is the time since the request began.
	At      time.Duration
	Shard   int
	Replica string // or, of a part, the host
	Attempt uint32
	Code    result.Code
	Took    time.Duration
	// Hedge and Retry tell what kind of extra attempt it is.
	Hedge bool
	Retry bool
}

// maxSteps bounds the steps that are kept of one request.
const maxSteps = 24

// trace collects the steps of a request that explain how it ended. The first
// attempts at shards and their good replies are left out: they are the rule.
type trace struct {
	steps []Step
	// hedgeDenied and retryDenied tell that a denial was noted; others follow at
	// each backoff.
	hedgeDenied bool
	retryDenied bool
}

func (t *trace) add(s Step) {
	if len(t.steps) < maxSteps {
		t.steps = append(t.steps, s)
	}
}

// addDenied notes the first denial of a kind.
func (t *trace) addDenied(s Step) {
	if s.Hedge && t.hedgeDenied || s.Retry && t.retryDenied {
		return
	}
	t.hedgeDenied = t.hedgeDenied || s.Hedge
	t.retryDenied = t.retryDenied || s.Retry
	t.add(s)
}

// addActions notes the attempts that a step of the query machine sent, and what it
// was denied.
func (t *trace) addActions(at time.Duration, a *query.Actions) {
	var hedge, retry bool
	for _, e := range a.Events {
		switch e.Kind {
		case query.EventHedge:
			hedge = true
		case query.EventRetry:
			retry = true
		case query.EventHedgeDenied:
			t.addDenied(Step{Kind: StepDenied, At: at, Hedge: true})
		case query.EventRetryDenied:
			t.addDenied(Step{Kind: StepDenied, At: at, Retry: true, Code: e.Code})
		}
	}
	if !hedge && !retry {
		return
	}
	for i := range a.Dispatch {
		d := &a.Dispatch[i]
		t.add(Step{Kind: StepSent, At: at, Shard: int(d.Range.Start), Replica: d.Endpoint, Attempt: d.Attempt, Hedge: hedge, Retry: retry})
	}
}

// addReply notes the end of an attempt that did not succeed.
func (t *trace) addReply(at time.Duration, r *dispatch.Reply, took time.Duration) {
	if r.Outcome != dispatch.OK {
		t.add(Step{Kind: StepReply, At: at, Shard: int(r.Range.Start), Replica: r.Endpoint, Attempt: r.Attempt, Code: r.Code, Took: took})
	}
}
