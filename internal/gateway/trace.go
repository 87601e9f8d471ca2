package gateway

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// StepKind is the kind of a step.
type StepKind uint8

const (
	// StepSent is an extra attempt, a hedge or a retry, that was sent to a
	// replica.
	StepSent StepKind = iota
	// StepReply is an attempt that ended without success.
	StepReply
	// StepDenied is a hedge or retry that the budget did not allow.
	StepDenied
	// StepPart is the end of a part of a divided query with missing shards.
	// Replica is the host that served the part, and Shard the number of missing
	// shards.
	StepPart
)

func (k StepKind) String() string { return [...]string{"sent", "reply", "denied", "part"}[k] }

// Step is one step of a request, for the log.
type Step struct {
	Kind StepKind
	// At is the time since the start of the request.
	At      time.Duration
	Shard   int
	Replica string // for StepPart, the host
	Attempt uint32
	Code    result.Code
	Took    time.Duration
	// Hedge and Retry say what kind of extra attempt it is.
	Hedge bool
	Retry bool
}

// maxSteps bounds the number of steps kept for one request.
const maxSteps = 24

// trace collects the steps that explain how a request ended. The first attempt
// at each shard and successful replies are left out, because they are the normal
// case.
type trace struct {
	steps []Step
	// hedgeDenied and retryDenied mean that a denial is already in the trace.
	// Denials repeat at each backoff; only the first is kept.
	hedgeDenied bool
	retryDenied bool
}

func (t *trace) addStep(s Step) {
	if len(t.steps) < maxSteps {
		t.steps = append(t.steps, s)
	}
}

// addDenied adds the first denial of each kind.
func (t *trace) addDenied(s Step) {
	if s.Hedge && t.hedgeDenied || s.Retry && t.retryDenied {
		return
	}
	t.hedgeDenied = t.hedgeDenied || s.Hedge
	t.retryDenied = t.retryDenied || s.Retry
	t.addStep(s)
}

// addActions adds the extra attempts that the query state machine sent, and the
// ones that were denied.
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
		t.addStep(Step{Kind: StepSent, At: at, Shard: int(d.Range.Start), Replica: d.Endpoint, Attempt: d.Attempt, Hedge: hedge, Retry: retry})
	}
}

// addFailedReply adds an attempt that did not succeed.
func (t *trace) addFailedReply(at time.Duration, r *dispatch.Reply, took time.Duration) {
	if r.Outcome != dispatch.OK {
		t.addStep(Step{Kind: StepReply, At: at, Shard: int(r.Range.Start), Replica: r.Endpoint, Attempt: r.Attempt, Code: r.Code, Took: took})
	}
}
