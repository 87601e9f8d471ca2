package gateway

import (
	"cmp"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// finish turns the answer of the query state machine into the caller's answer
// and records the end of the request.
func (x *execution) finish(a *query.Answer) Answer {
	out := x.callerAnswer(a)
	x.recordCompletion(a)
	x.recordRequest(out.Code, a)
	return out
}

// recordCompletion records that the request completed, if all shards answered and no
// replica ended under it.
func (x *execution) recordCompletion(a *query.Answer) {
	if a.Covered == a.Shards && !x.crashed.Load() {
		x.g.shared.requestCompleted(x.g.cfg.Now(), x.request.description)
	}
}

func (x *execution) callerAnswer(a *query.Answer) Answer {
	leastShards := max(x.route.LeastShards, 1)
	switch {
	case a.Covered >= leastShards && len(x.route.Shards) > 0:
		return Answer{
			Code:           a.Code,
			ShardResponses: a.Responses,
			MissingShards:  a.Shards - a.Covered,
			Records:        x.mergeRecords(a.Responses),
		}
	case a.Covered >= leastShards:
		return Answer{Code: result.Complete, Response: a.Responses[0]}
	case !a.MayHaveRun:
		return Answer{Code: notRunCode(a), RetryAfter: x.g.retryAfter(x.request.CallerTimeout)}
	case len(x.route.Shards) == 0 && a.Failure != nil:
		return Answer{Code: result.EndpointFailed, Response: a.Failure}
	default:
		return Answer{Code: result.OutcomeUnknown}
	}
}

// mergeRecords returns the top records of the responses.
func (x *execution) mergeRecords(responses []*dispatch.Response) []byte {
	startedAt := x.g.cfg.Now()
	records := query.MergeRecords(responses, x.topRecords())
	x.stages.Merge = x.g.cfg.Now() - startedAt
	return records
}

// topRecords returns the number of records to keep. The host that sent a part may have
// another version of the route.
func (x *execution) topRecords() int { return cmp.Or(x.request.topRecords, x.route.TopRecords) }

// notRunCode returns the code that says why no endpoint ran the request.
func notRunCode(a *query.Answer) result.Code {
	if a.Code.Class() == result.ClassNotRun {
		return a.Code
	}
	return result.AllRefused
}

func (x *execution) recordRequest(code result.Code, a *query.Answer) {
	x.g.cfg.Recorder.RequestEnded(x.summarize(code, a))
}

func (x *execution) summarize(code result.Code, a *query.Answer) RequestSummary {
	e := x.g.summarize(x.request, x.view, x.route, code, x.started)
	e.TimeLimit, e.Target = x.timeLimit, x.target
	e.Shards, e.Covered, e.Attempts = a.Shards, a.Covered, a.Dispatched
	e.Missing = a.Missing
	e.Steps, e.Stages = x.trace.steps, x.stages
	return e
}
