package gateway

import (
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// mergedReplies combines the replies of all groups of a divided query.
type mergedReplies struct {
	// shardResponses holds a response with only its stamp set for each covered
	// shard. records holds a response with only its records set for each group.
	shardResponses []*dispatch.Response
	records        []*dispatch.Response
	covered        int
	attempts       int
	// mayHaveRun means that an endpoint may have run the request.
	mayHaveRun bool
}

// mergeReplies combines the replies of the groups. A group without a reply may
// still be running.
func (d *dividedQuery) mergeReplies() mergedReplies {
	var m mergedReplies
	for i := range d.groups {
		s := &d.groups[i]
		m.mayHaveRun = m.mayHaveRun || s.mayHaveRun()
		for _, reply := range s.replies {
			m.addReply(reply)
		}
	}
	return m
}

func (m *mergedReplies) addReply(r *split.Reply) {
	m.covered += len(r.Stamps)
	m.attempts += r.Attempts
	m.records = append(m.records, &dispatch.Response{Body: r.Records})
	for _, stamp := range r.Stamps {
		m.shardResponses = append(m.shardResponses, &dispatch.Response{Stamp: stamp})
	}
}

// finish builds the answer from the replies received and records the end of the
// request. callerPresent is false if the caller disconnected.
func (d *dividedQuery) finish(callerPresent bool) Answer {
	m := d.mergeReplies()
	out := Answer{Code: callerLeftCode(true)}
	if callerPresent {
		out = d.callerAnswer(&m)
	}
	d.recordRequest(out.Code, &m)
	return out
}

func (d *dividedQuery) callerAnswer(m *mergedReplies) Answer {
	missing := len(d.plan.Services) - m.covered
	switch {
	case m.covered >= max(d.route.LeastShards, 1) && missing > 0:
		return Answer{Code: result.Partial, ShardResponses: m.shardResponses, MissingShards: missing, Records: query.MergeRecords(m.records, d.route.TopRecords)}
	case missing == 0:
		return Answer{Code: result.Complete, ShardResponses: m.shardResponses, Records: query.MergeRecords(m.records, d.route.TopRecords)}
	case m.mayHaveRun:
		return Answer{Code: result.OutcomeUnknown}
	default:
		return Answer{Code: result.AllRefused, RetryAfter: d.g.retryAfter(d.request.CallerTimeout)}
	}
}

func (d *dividedQuery) recordRequest(code result.Code, m *mergedReplies) {
	e := d.g.summarize(d.request, d.view, d.route, code, d.started)
	e.TimeLimit, e.Target = d.timeLimit, d.target
	e.Shards, e.Covered, e.Attempts = len(d.plan.Services), m.covered, m.attempts
	e.Steps, e.Stages = d.trace.steps, d.stages
	d.g.cfg.Recorder.RequestEnded(e)
}
