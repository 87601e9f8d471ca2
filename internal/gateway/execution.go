package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/bodymemory"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/ratelimit"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// replyBufferPerShard is the capacity of the replies channel for each shard.
const replyBufferPerShard = 3

// timedReply is a reply and the latency of its attempt.
type timedReply struct {
	dispatch.Reply
	took time.Duration
}

// execution is the state of a request in progress. Only the goroutine that serves
// the request changes it.
type execution struct {
	g         *Gateway
	request   *Request
	view      *routing.View
	route     *routing.Route
	id        string
	started   time.Duration
	timeLimit time.Duration
	target    time.Duration
	// shards is the number of shards of the request.
	shards  int
	query   *query.Query
	replies chan timedReply
	trace   trace
	stages  Stages
	// answered tells which shards a replica has answered successfully.
	answered []atomic.Bool
	// crashed is set once a replica ended that had an attempt of the request.
	crashed atomic.Bool
	// attempts is the number of attempts that were sent.
	attempts int
	// callerLeft reports whether the caller, or the host that sent the part, has
	// disconnected. awaitAnswer sets it before the first attempt.
	callerLeft func() bool
	// partial sends replies before the last one; it is nil unless the execution serves a
	// part whose host takes them.
	partial *partialReplies
	// outcomes tells the meter which shards have capacity; it is nil for a request that
	// goes to one service.
	outcomes *shardOutcomes
	// memory holds the charges of the responses, until the answer has been written.
	memory bodymemory.Holder
	// done is closed when the request has ended and no more replies are read.
	done chan struct{}
}

// executionGoals are what an execution aims at. Times are from its start on.
type executionGoals struct {
	// timeLimit is when it ends, and target when it ends if leastShards shards are covered.
	timeLimit, target time.Duration
	leastShards       int
	// Until onTime, extra attempts have precedence that bring the number of covered shards
	// to wantedShards.
	onTime       time.Duration
	wantedShards int
}

// newPartExecution prepares an execution that serves some shards and ends
// within the time limit, with the replies received until then.
func (g *Gateway) newPartExecution(r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, times partTimes) *execution {
	// The shards that may be missing from the answer are divided among the parts.
	wanted := (len(plan.Services)*max(route.LeastShards, 1) + len(route.Shards) - 1) / max(len(route.Shards), 1)
	goals := executionGoals{timeLimit: times.limit, target: times.limit, onTime: times.target, wantedShards: wanted}
	return g.newExecutionWithin(r, v, route, plan, goals)
}

// newExecution prepares the execution of a request. If allowLate is false, it
// ends at the latency target, because later work would take capacity from
// requests that can still be on time.
func (g *Gateway) newExecution(r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, allowLate bool) *execution {
	target := g.answerTarget(r, route)
	least := max(route.LeastShards, 1)
	timeLimit := usefulUntil(r, route, target, allowLate)
	x := g.newExecutionWithin(r, v, route, plan, executionGoals{timeLimit: timeLimit, target: target, leastShards: least, onTime: target, wantedShards: least})
	if len(route.Shards) > 0 {
		x.outcomes = newShardOutcomes(plan.Services, x.started+target)
	}
	return x
}

// newExecutionWithin returns an execution with the given goals.
func (g *Gateway) newExecutionWithin(r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, goals executionGoals) *execution {
	now := g.cfg.Now()
	exec := &execution{
		g:         g,
		request:   r,
		view:      v,
		route:     route,
		id:        fmt.Sprintf("%x-%x", g.cfg.Incarnation, g.sequence.Add(1)),
		started:   now,
		timeLimit: goals.timeLimit,
		target:    goals.target,
		shards:    len(plan.Services),
		answered:  make([]atomic.Bool, len(plan.Services)),
		replies:   make(chan timedReply, replyBufferPerShard*len(plan.Services)),
		done:      make(chan struct{}),
	}
	state := requestState{sharedState: g.shared, route: route, services: plan.Services, now: g.cfg.Now}
	exec.query = query.New(query.Params{
		ID:      exec.id,
		Service: plan.Service,
		Index:   plan.Index,
		Forward: &query.Forward{
			Message:          &r.Message,
			Target:           now + goals.target,
			MaxReplicas:      route.MaxReplicas,
			MinCovered:       goals.leastShards,
			Wanted:           goals.wantedShards,
			OnTimeUntil:      now + goals.onTime,
			Forecast:         state,
			UnlimitedRetries: len(route.Shards) > 0,
		},
		Deadline:  now + goals.timeLimit,
		Suspicion: g.shared.suspicion(now, r.description),
		Replicas:  state,
		Budgets:   state,
		Rand:      rand.New(rand.NewPCG(g.cfg.Incarnation, uint64(now))),
	})
	return exec
}

// serve runs the query state machine and answers the caller.
func (x *execution) serve(ctx context.Context) Answer {
	answer := x.awaitAnswer(ctx)
	if answer == nil {
		code := callerLeftCode(x.attempts > 0)
		x.recordRequest(code, &query.Answer{Shards: x.shards, Dispatched: x.attempts})
		return Answer{Code: code}
	}
	return x.finish(answer)
}

// callerLeftCode returns the code of a request whose caller disconnected before it was
// answered.
func callerLeftCode(dispatched bool) result.Code {
	if dispatched {
		return result.Cancelled
	}
	return result.CallerGone
}

// awaitAnswer feeds events to the query state machine until it gives an answer.
// It returns nil if the caller disconnected.
func (x *execution) awaitAnswer(ctx context.Context) *query.Answer {
	defer close(x.done)
	defer x.recordOutcomes()
	x.callerLeft = func() bool { return x.request.callerLeft(ctx) }
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	answer := x.applyActions(x.query.Start(x.started))
	for answer == nil {
		x.sendUnlikely(x.g.cfg.Now())
		x.recordOutcomesIfDue()
		x.sendPartialReply(x.g.cfg.Now())
		timer.Reset(x.nextWake() - x.g.cfg.Now())
		select {
		case reply := <-x.replies:
			x.traceReply(&reply)
			x.recordReply(&reply)
			if reply.Outcome != dispatch.OK && x.callerLeft() {
				x.abort()
				return nil
			}
			answer = x.applyActions(x.query.Reply(x.g.cfg.Now(), reply.Reply))
		case <-timer.C:
			if x.callerLeft() {
				x.abort()
				return nil
			}
			answer = x.applyActions(x.query.Tick(x.g.cfg.Now()))
		case <-x.g.stopping:
			answer = x.applyActions(x.query.Expire())
		case <-ctx.Done():
			x.abort()
			return nil
		}
	}
	return answer
}

// abort cancels the attempts of a request whose caller disconnected. Attempts that must
// run at most once are left to end by themselves; those that wait for a connection are
// refused when it is their turn.
func (x *execution) abort() {
	if !x.request.Message.Once {
		x.applyActions(x.query.Abort())
	}
}

// traceReply adds a failed reply to the trace, and the time of a successful one
// to the stages.
func (x *execution) traceReply(reply *timedReply) {
	at := x.g.cfg.Now() - x.started
	x.trace.addFailedReply(at, &reply.Reply, reply.took)
	if reply.Outcome == dispatch.OK {
		x.stages.shardReplied(at)
	}
}

// applyActions carries out the actions of the query state machine and returns
// its answer, or nil if there is none yet.
func (x *execution) applyActions(a query.Actions) *query.Answer {
	for _, req := range a.Dispatch {
		x.sendAttempt(req)
	}
	for _, c := range a.Cancel {
		x.g.cfg.Sender.Cancel(c.Key)
	}
	if a.SuspicionCleared {
		x.g.shared.clearSuspect(x.g.cfg.Now(), x.request.description)
	}
	x.trace.addActions(x.g.cfg.Now()-x.started, &a)
	for _, e := range a.Events {
		x.g.cfg.Recorder.QueryEvent(e)
	}
	return a.Answer
}

func (x *execution) sendAttempt(req dispatch.Request) {
	x.attempts++
	req.Departed = x.callerLeft
	sent := x.g.cfg.Now()
	if x.stages.Sent == 0 {
		x.stages.Sent = sent - x.started
	}
	ticket, code := x.g.shared.admitAttempt(sent, req.Endpoint, x.view.Replicas[req.Endpoint])
	if code != 0 {
		x.attemptRefused(req.RefusedReply(code))
		return
	}
	req.Barred = func() result.Code { return x.barred(req.Endpoint, ticket) }
	attempt := x.g.shared.attemptSent(sent, x.route.Name, &req, x.request.description)
	x.g.cfg.Sender.Send(req, func(reply dispatch.Reply) {
		now := x.g.cfg.Now()
		x.g.shared.endCold(now, ticket, &reply)
		x.g.shared.learnCold(now, &reply)
		answered := &x.answered[int(req.Range.Start)]
		if reply.Outcome == dispatch.OK {
			answered.Store(true)
		}
		blamed := x.g.shared.attemptEnded(now, x.route, attempt, &reply, now-sent, answered.Load())
		if len(blamed) > 0 {
			x.crashed.Store(true)
			x.g.recordCrashes(now, blamed)
		}
		if x.g.shared.learnRateLimit(now, &reply) {
			x.g.cfg.Recorder.LimitChanged(LimitChange{Replica: reply.Endpoint, PerSecond: reply.RateLimit.PerSecond})
		}
		if news, changed := x.g.shared.learnAnnouncement(now, &reply); changed {
			x.g.cfg.Recorder.EndpointAnnounced(news)
		}
		x.g.cfg.Recorder.AttemptEnded(reply.Code)
		x.holdResponse(&reply)
		select {
		case x.replies <- timedReply{Reply: reply, took: now - sent}:
		case <-x.done:
		}
	})
}

// barred returns the code to refuse an attempt with that is about to be written, or zero.
func (x *execution) barred(endpoint string, ticket *ratelimit.Ticket) result.Code {
	if x.g.endsTooLate(x.route) {
		return result.ExpiredBeforeSend
	}
	now := x.g.cfg.Now()
	if code := x.g.shared.barred(now, endpoint, x.view.Replicas[endpoint]); code != 0 {
		return code
	}
	return x.g.shared.writeCold(now, endpoint, ticket)
}

// holdResponse holds the memory of a large response until the request has been answered.
// Of the part of an index, the stamp and the records that can be in the answer are kept.
func (x *execution) holdResponse(reply *dispatch.Reply) {
	switch {
	case reply.Charge == nil:
	case reply.Response == nil:
		reply.ReleaseCharge()
	case len(x.route.Shards) > 0:
		response := reply.Response
		response.Body, response.Header = query.TopRecords(response.Body, x.topRecords()), nil
		if len(response.Body)+len(response.Stamp) <= bodymemory.FreeBytes {
			reply.ReleaseCharge()
			return
		}
		x.memory.Hold(reply.Charge)
	default:
		x.memory.Hold(reply.Charge)
	}
}

// attemptRefused passes on the refusal of an attempt that was not sent.
func (x *execution) attemptRefused(reply dispatch.Reply) {
	x.g.cfg.Recorder.AttemptEnded(reply.Code)
	select {
	case x.replies <- timedReply{Reply: reply}:
		return
	default:
	}
	// The goroutine that reads the replies is the one that sends attempts, so that it must not
	// wait for room in the buffer.
	go func() {
		select {
		case x.replies <- timedReply{Reply: reply}:
		case <-x.done:
		}
	}()
}
