package gateway

import (
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// mergedReplies is what the groups of a divided query brought.
type mergedReplies struct {
	// parts are the shards' signatures, and records the groups' records.
	parts    []*dispatch.Response
	records  []*dispatch.Response
	covered  int
	attempts int
	// mayHaveRun tells that an endpoint may have run the request, refused that a
	// replica refused a shard that is missing.
	mayHaveRun bool
	refused    bool
}

// merge collects the best results of the groups. A group without one may still be
// running.
func (d *dividedQuery) merge() mergedReplies {
	var m mergedReplies
	for i := range d.groups {
		s := &d.groups[i]
		m.mayHaveRun = m.mayHaveRun || s.mayHaveRun()
		if s.reply != nil {
			m.add(s.reply)
		}
	}
	return m
}

func (m *mergedReplies) add(r *split.Reply) {
	m.covered += len(r.Stamps)
	m.attempts += r.Attempts
	m.records = append(m.records, &dispatch.Response{Body: r.Records})
	for _, stamp := range r.Stamps {
		m.parts = append(m.parts, &dispatch.Response{Stamp: stamp})
	}
	for _, x := range r.Missing {
		m.refused = m.refused || x.Code == result.MissingRefused
	}
}

// finish answers the caller with what the groups brought. present is false if the
// caller left.
func (d *dividedQuery) finish(present bool) Answer {
	m := d.merge()
	out := Answer{Code: result.CallerGone}
	if present {
		out = d.answer(&m)
	}
	if onTime := len(out.ShardResponses) > 0; onTime || m.refused {
		d.g.shared.recordOutcome(d.g.cfg.Now(), d.route, onTime)
	}
	d.record(out.Code, &m)
	return out
}

func (d *dividedQuery) answer(m *mergedReplies) Answer {
	missing := len(d.plan.Services) - m.covered
	switch {
	case m.covered >= max(d.route.LeastShards, 1) && missing > 0:
		return Answer{Code: result.Partial, ShardResponses: m.parts, MissingShards: missing, Records: query.MergeRecords(m.records, d.route.TopRecords)}
	case missing == 0:
		return Answer{Code: result.Complete, ShardResponses: m.parts, Records: query.MergeRecords(m.records, d.route.TopRecords)}
	case m.mayHaveRun:
		return Answer{Code: result.OutcomeUnknown}
	default:
		return Answer{Code: result.AllRefused, RetryAfter: d.g.retryAfter(d.request.CallerTimeout)}
	}
}

func (d *dividedQuery) record(code result.Code, m *mergedReplies) {
	e := d.g.summarize(d.request, d.view, d.route, code, d.started)
	e.TimeLimit, e.Target = d.timeLimit, d.target
	e.Shards, e.Covered, e.Attempts = len(d.plan.Services), m.covered, m.attempts
	e.Steps, e.Stages = d.trace.steps, d.stages
	d.g.cfg.Recorder.RequestEnded(e)
}
