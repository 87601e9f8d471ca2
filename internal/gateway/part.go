package gateway

import (
	"context"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

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
	request := &Request{Message: r.Message, Departed: r.Departed, description: describe(&r.Message)}
	return g.serveShards(ctx, request, v, route, plan, r.Shards, r.Target)
}

// serveShards serves some shards of a route from this host within a time limit.
// It returns nil if ctx is cancelled.
func (g *Gateway) serveShards(ctx context.Context, r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, shards []int, timeLimit time.Duration) *split.Reply {
	exec := g.newPartExecution(r, v, route, subPlan(plan, shards), timeLimit)
	var a *query.Answer
	if !r.callerLeft(ctx) {
		a = exec.awaitAnswer(ctx)
	}
	if a == nil {
		exec.recordPart(callerLeftCode(exec.attempts > 0), &query.Answer{Shards: exec.shards, Dispatched: exec.attempts})
		return nil
	}
	reply := &split.Reply{MayHaveRun: a.MayHaveRun || a.Covered > 0, Attempts: a.Dispatched, Records: exec.mergeRecords(a.Responses)}
	exec.recordPart(partCode(a), a)
	exec.recordCompletion(a)
	for _, p := range a.Responses {
		reply.Stamps = append(reply.Stamps, p.Stamp)
	}
	for _, m := range a.Missing {
		reply.Missing = append(reply.Missing, split.Missing{Shard: shards[int(m.Range.Start)], Code: m.Code})
	}
	return reply
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
