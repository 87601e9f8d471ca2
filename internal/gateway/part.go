package gateway

import (
	"context"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// partialReplyInterval is the least time between the replies to a part after its target.
const partialReplyInterval = 5 * time.Millisecond

// partTimes are the times that a part has from its start on.
type partTimes struct {
	// target is when the host that merges the parts needs what there is by then; limit
	// is when a reply is of no more use.
	target, limit time.Duration
}

// ServePart serves some shards of a query on behalf of another host. The Code
// of the reply is nonzero if the request was not accepted.
func (g *Gateway) ServePart(ctx context.Context, r *split.Request) *split.Reply {
	v := g.view.Load()
	if v == nil || v.Config == nil {
		return &split.Reply{Code: result.NotReady}
	}
	route := v.Config.RouteByName(r.Route)
	if route == nil {
		return &split.Reply{Code: result.NotFound}
	}
	plan := v.Plan(route, "")
	if plan == nil || plan.Digest != r.Index || len(r.Shards) == 0 {
		return &split.Reply{Code: result.NoReplica}
	}
	for _, i := range r.Shards {
		if i < 0 || i >= len(plan.Services) {
			return &split.Reply{Code: result.InvalidValue}
		}
	}
	g.running.Add(1)
	defer g.running.Add(-1)
	g.MergeFailureHints(r.Failures)
	g.MergeOverloadHints(r.Overload)
	request := &Request{Message: r.Message, Departed: r.Departed, description: describe(&r.Message), topRecords: r.TopRecords}
	times := partTimes{target: r.Target, limit: max(r.TimeLimit, r.Target)}
	reply := g.serveShards(ctx, request, v, route, plan, r.Shards, times, r.OnPartial)
	if reply != nil {
		reply.Failures = g.partFailures(plan, r.Shards)
	}
	return reply
}

// serveShards serves some shards of a route from this host. onPartial receives the
// replies before the last one; it may be nil. serveShards returns nil if ctx is
// cancelled.
func (g *Gateway) serveShards(ctx context.Context, r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, shards []int, times partTimes, onPartial func(*split.Reply)) *split.Reply {
	part := subPlan(plan, shards)
	exec := g.newPartExecution(r, v, route, part, times)
	defer exec.memory.Release() // The host that merges the parts charges the reply.
	exec.outcomes = newShardOutcomes(part.Services, exec.started+times.target)
	exec.outcomes.numbers = shards
	if onPartial != nil && times.limit > times.target {
		exec.partial = &partialReplies{send: onPartial, nextAt: exec.started + times.target}
		exec.reportScarce()
	}
	var a *query.Answer
	if !r.callerLeft(ctx) {
		a = exec.awaitAnswer(ctx)
	}
	if a == nil {
		exec.recordPart(callerLeftCode(exec.attempts > 0), &query.Answer{Shards: exec.shards, Dispatched: exec.attempts})
		return nil
	}
	reply := exec.newReply(a.Responses)
	if exec.partial != nil {
		reply = exec.newReply(exec.query.Responses(exec.partial.sent))
	}
	reply.MayHaveRun, reply.Attempts = a.MayHaveRun || a.Covered > 0, a.Dispatched
	exec.recordPart(partCode(a), a)
	exec.recordCompletion(a)
	for _, m := range a.Missing {
		reply.Missing = append(reply.Missing, split.Missing{Shard: shards[int(m.Range.Start)], Code: m.Code})
	}
	return reply
}

// reportScarce tells the host that sent the part at once which of its shards lack capacity,
// so that it does not admit more queries until the part's target.
func (x *execution) reportScarce() {
	if scarce := x.scarceShards(); len(scarce) > 0 {
		x.partial.send(&split.Reply{Scarce: scarce, More: true})
	}
}

// newReply returns a reply that holds some responses.
func (x *execution) newReply(responses []*dispatch.Response) *split.Reply {
	reply := &split.Reply{Records: x.mergeRecords(responses), OutOfReach: x.g.shared.outOfReach(x.g.cfg.Now()), Scarce: x.scarceShards()}
	for _, p := range responses {
		reply.Stamps = append(reply.Stamps, p.Stamp)
	}
	return reply
}

// partialReplies sends what a part has got so far, from its target on.
type partialReplies struct {
	send func(*split.Reply)
	// sent is the number of responses that were sent.
	sent int
	// nextAt is when the next reply may be sent, by the clock of the gateway.
	nextAt time.Duration
	// begun is set once a reply was sent.
	begun bool
}

// due returns when the next reply is due, if there is a new response by then. The first
// one is due in any case: it tells that the part goes on.
func (p *partialReplies) due(responses int) (at time.Duration, ok bool) {
	if p == nil || p.begun && responses <= p.sent {
		return 0, false
	}
	return p.nextAt, true
}

// sendPartialReply sends the responses since the last reply, if that is due.
func (x *execution) sendPartialReply(now time.Duration) {
	at, ok := x.partial.due(x.responseCount())
	if !ok || now < at {
		return
	}
	x.sendPartial(false)
	x.partial.nextAt = now + partialReplyInterval
}

// sendUnlikely sends the responses so far, once, if the open shards are unlikely to be
// covered by the target.
func (x *execution) sendUnlikely(now time.Duration) {
	if x.partial == nil || x.partial.begun || !x.query.Unlikely(now) {
		return
	}
	x.sendPartial(true)
}

// sendPartial sends the responses since the last reply.
func (x *execution) sendPartial(unlikely bool) {
	reply := x.newReply(x.query.Responses(x.partial.sent))
	reply.More, reply.Unlikely = true, unlikely
	x.partial.send(reply)
	x.partial.begun = true
	x.partial.sent += len(reply.Stamps)
}

// responseCount returns the number of responses so far.
func (x *execution) responseCount() int { return len(x.query.Responses(0)) }

// nextWake returns when the execution has something to do without a reply.
func (x *execution) nextWake() time.Duration {
	next := x.query.NextTick()
	if at, ok := x.partial.due(x.responseCount()); ok {
		next = min(next, at)
	}
	if at, ok := x.outcomes.due(); ok {
		next = min(next, at)
	}
	return next
}

// partCode returns the code of a part that has ended with an answer.
func partCode(a *query.Answer) result.Code {
	if a.Covered < a.Shards {
		return result.Partial
	}
	return result.Complete
}

// recordPart records the end of a part of a divided query.
func (x *execution) recordPart(code result.Code, a *query.Answer) {
	e := x.summarize(code, a)
	e.Part = true
	x.g.cfg.Recorder.RequestEnded(e)
}

// subPlan returns the plan for some shards of a plan. They are numbered from 0 in
// the order given.
func subPlan(plan *routing.Plan, shards []int) *routing.Plan {
	whole := plan.Index.Snapshots[0]
	snapshot := config.Snapshot{ID: whole.ID, Shards: make([]config.Shard, len(shards))}
	services := make([]string, len(shards))
	for i, s := range shards {
		snapshot.Shards[i] = config.Shard{Range: whole.Shards[i].Range, Replicas: whole.Shards[s].Replicas}
		services[i] = plan.Services[s]
	}
	return &routing.Plan{
		Service:  plan.Service,
		Index:    &config.Index{Service: plan.Index.Service, Snapshots: []config.Snapshot{snapshot}},
		Services: services,
	}
}
