package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

const (
	// replyReserve is the part of a request's time that is kept for the way back
	// of its answer, as a divisor, and maxReplyReserve bounds it.
	replyReserve    = 20
	maxReplyReserve = 50 * time.Millisecond
	// repliesPerShard is the room for replies that are not read yet.
	repliesPerShard = 3
)

// timedReply is a reply and the time that its attempt took.
type timedReply struct {
	dispatch.Reply
	took time.Duration
}

// execution is a request in progress. It belongs to the goroutine that serves it.
type execution struct {
	g         *Gateway
	request   *Request
	view      *routing.View
	route     *routing.Route
	id        string
	started   time.Duration
	timeLimit time.Duration
	target    time.Duration
	query     *query.Query
	replies   chan timedReply
	trace     trace
	stages    Stages
	// done is closed when the request is answered, and no reply is read.
	done chan struct{}
}

// newPartExecution prepares the serving of some shards, which ends within a time with
// what has arrived.
func (g *Gateway) newPartExecution(r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, left time.Duration) *execution {
	return g.newExecutionWithin(r, v, route, plan, left, left, 0)
}

// newExecution prepares a request. An impatient one ends at its latency target, since
// later work would take the capacity of those that can still be on time.
func (g *Gateway) newExecution(r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, patient bool) *execution {
	left := answerTimeLimit(r.CallerTimeout, route.Timeout)
	target := g.answerTarget(r, route)
	if !patient {
		left = min(left, target)
	}
	return g.newExecutionWithin(r, v, route, plan, left, target, max(route.LeastShards, 1))
}

// newExecutionWithin returns a run that ends within left, and at the target if at least some
// shards are covered then.
func (g *Gateway) newExecutionWithin(r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, left, target time.Duration, least int) *execution {
	now := g.cfg.Now()
	run := &execution{
		g:         g,
		request:   r,
		view:      v,
		route:     route,
		id:        fmt.Sprintf("%x-%x", g.cfg.Incarnation, g.sequence.Add(1)),
		started:   now,
		timeLimit: left,
		target:    target,
		replies:   make(chan timedReply, repliesPerShard*len(plan.Services)),
		done:      make(chan struct{}),
	}
	shared := requestState{sharedState: g.shared, route: route, services: plan.Services, now: g.cfg.Now}
	run.query = query.New(query.Params{
		ID:      run.id,
		Service: plan.Service,
		Index:   plan.Index,
		Forward: &query.Forward{
			Message:          &r.Message,
			Target:           now + target,
			MaxReplicas:      route.MaxReplicas,
			MinCovered:       least,
			UnlimitedRetries: len(route.Shards) > 0,
		},
		Deadline:  now + left,
		Suspicion: g.shared.suspicion(now, &r.Message),
		Replicas:  shared,
		Budgets:   shared,
		Rand:      rand.New(rand.NewPCG(g.cfg.Incarnation, uint64(now))),
	})
	return run
}

const (
	// A caller's time begins before its request arrives: with the opening of a
	// new connection, which takes two ways more.
	waysKept  = 2
	waysFresh = 4
	// answerWork is the processor time to merge, write and deliver an answer, and
	// leastAnswerTime the least time that it takes.
	answerWork      = 1400 * time.Microsecond
	leastAnswerTime = 3 * time.Millisecond
	// lateSlack is how much later than planned an answer may leave and still count
	// as on time.
	lateSlack = 10 * time.Millisecond
	// leastTarget is the least part of the latency target that is used, as a
	// divisor.
	leastTarget = 2
)

// answerTarget returns the time within which an answer still reaches its caller at the
// route's latency answerTarget.
func (g *Gateway) answerTarget(r *Request, route *routing.Route) time.Duration {
	ways := waysKept
	if r.NewConnection {
		ways = waysFresh
	}
	tuning := g.tuning.Load()
	answerTime := max(time.Duration(float64(answerWork)/tuning.CPUs), leastAnswerTime)
	reserve := time.Duration(ways)*tuning.CallerLatency + answerTime
	return max(route.Target-reserve, route.Target/leastTarget)
}

// answerTimeLimit returns the time for an answer: the lesser of what the caller and the
// route allow, less the time for its way back.
func answerTimeLimit(caller, timeout time.Duration) time.Duration {
	left := timeout
	if caller > 0 {
		left = min(left, caller)
	}
	return left - min(left/replyReserve, maxReplyReserve)
}

// serve drives the query machine and answers the caller.
func (r *execution) serve(ctx context.Context) Answer {
	answer := r.drive(ctx)
	if answer == nil {
		r.record(result.CallerGone, &query.Answer{})
		return Answer{Code: result.CallerGone}
	}
	return r.finish(answer)
}

// drive steps the query machine to its answer. It returns nil if the caller left.
func (r *execution) drive(ctx context.Context) *query.Answer {
	defer close(r.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	answer := r.applyActions(r.query.Start(r.started))
	for answer == nil {
		timer.Reset(r.query.NextTick() - r.g.cfg.Now())
		select {
		case reply := <-r.replies:
			r.traceReply(&reply)
			answer = r.applyActions(r.query.Reply(r.g.cfg.Now(), reply.Reply))
		case <-timer.C:
			answer = r.applyActions(r.query.Tick(r.g.cfg.Now()))
		case <-r.g.stopping:
			answer = r.applyActions(r.query.Expire())
		case <-ctx.Done():
			if !r.request.Message.Once {
				r.applyActions(r.query.Abort())
			}
			return nil
		}
	}
	return answer
}

// traceReply keeps what the time of a reply tells.
func (r *execution) traceReply(reply *timedReply) {
	at := r.g.cfg.Now() - r.started
	r.trace.addReply(at, &reply.Reply, reply.took)
	if reply.Outcome == dispatch.OK {
		r.stages.shardReplied(at)
	}
}

// applyActions carries out the actions of the query machine and returns its answer.
func (r *execution) applyActions(a query.Actions) *query.Answer {
	for _, req := range a.Dispatch {
		r.send(req)
	}
	for _, c := range a.Cancel {
		r.g.cfg.Sender.Cancel(c.Key)
	}
	if a.SuspicionCleared {
		r.g.shared.clearSuspect(r.g.cfg.Now(), &r.request.Message)
	}
	r.trace.addActions(r.g.cfg.Now()-r.started, &a)
	for _, e := range a.Events {
		r.g.cfg.Recorder.QueryEvent(e)
	}
	return a.Answer
}

func (r *execution) send(req dispatch.Request) {
	sent := r.g.cfg.Now()
	if r.stages.Sent == 0 {
		r.stages.Sent = sent - r.started
	}
	attempt := r.g.shared.attemptSent(sent, r.route.Name, req.Endpoint)
	r.g.cfg.Sender.Send(req, func(reply dispatch.Reply) {
		now := r.g.cfg.Now()
		r.g.shared.attemptEnded(now, r.route, attempt, &reply, now-sent)
		if reply.Code == result.EndpointCrashed {
			r.g.replicaCrashed(now, &r.request.Message, &req)
		}
		r.g.cfg.Recorder.AttemptEnded(reply.Code)
		select {
		case r.replies <- timedReply{Reply: reply, took: now - sent}:
		case <-r.done:
		}
	})
}

// finish turns the query machine's answer into the caller's.
func (r *execution) finish(a *query.Answer) Answer {
	out := r.answer(a)
	if len(r.route.Shards) > 0 {
		r.recordThrottleOutcome(a, len(out.ShardResponses) > 0)
	}
	r.record(out.Code, a)
	return out
}

// recordThrottleOutcome tells the throttle of a query that was on time, or of one that
// was not because replicas refused it. Other failures say nothing of capacity.
func (r *execution) recordThrottleOutcome(a *query.Answer, served bool) {
	now := r.g.cfg.Now()
	onTime := served && now-r.started <= r.target+lateSlack
	refused := slices.ContainsFunc(a.Missing, func(m query.Missing) bool { return m.Code == result.MissingRefused })
	if onTime || refused {
		r.g.shared.recordOutcome(now, r.route, onTime)
	}
}

func (r *execution) answer(a *query.Answer) Answer {
	least := max(r.route.LeastShards, 1)
	switch {
	case a.Covered >= least && len(r.route.Shards) > 0:
		return Answer{
			Code:           a.Code,
			ShardResponses: a.Responses,
			MissingShards:  a.Shards - a.Covered,
			Records:        r.merge(a.Responses),
		}
	case a.Covered >= least:
		return Answer{Code: result.Complete, Response: a.Responses[0]}
	case !a.MayHaveRun:
		return Answer{Code: notRunCode(a), RetryAfter: r.g.retryAfter(r.request.CallerTimeout)}
	case len(r.route.Shards) == 0 && a.Failure != nil:
		return Answer{Code: result.EndpointFailed, Response: a.Failure}
	default:
		return Answer{Code: result.OutcomeUnknown}
	}
}

// merge returns the greatest records of the responses.
func (r *execution) merge(responses []*dispatch.Response) []byte {
	began := r.g.cfg.Now()
	records := query.MergeRecords(responses, r.route.TopRecords)
	r.stages.Merge = r.g.cfg.Now() - began
	return records
}

// notRunCode returns why no endpoint ran the request.
func notRunCode(a *query.Answer) result.Code {
	if a.Code.Class() == result.ClassNotRun {
		return a.Code
	}
	return result.AllRefused
}

func (r *execution) record(code result.Code, a *query.Answer) {
	r.g.cfg.Recorder.RequestEnded(r.summarize(code, a))
}

func (r *execution) summarize(code result.Code, a *query.Answer) RequestSummary {
	e := r.g.summarize(r.request, r.view, r.route, code, r.started)
	e.TimeLimit, e.Target = r.timeLimit, r.target
	e.Shards, e.Covered, e.Attempts = a.Shards, a.Covered, a.Dispatched
	e.Missing = a.Missing
	e.Steps, e.Stages = r.trace.steps, r.stages
	return e
}
