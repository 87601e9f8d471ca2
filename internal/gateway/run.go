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

// run is a request in progress. It belongs to the goroutine that serves it.
type run struct {
	g       *Gateway
	request *Request
	view    *routing.View
	route   *routing.Route
	id      string
	started time.Duration
	left    time.Duration
	target  time.Duration
	query   *query.Query
	replies chan timedReply
	trace   trace
	stages  Stages
	// over is closed when the request is answered, and no reply is read.
	over chan struct{}
}

// newPartRun prepares the serving of some shards, which ends within a time with
// what has arrived.
func (g *Gateway) newPartRun(r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, left time.Duration) *run {
	return g.prepare(r, v, route, plan, left, left, 0)
}

// newRun prepares a request. An impatient one ends at its latency target, since
// later work would take the capacity of those that can still be on time.
func (g *Gateway) newRun(r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, patient bool) *run {
	left := patience(r.CallerTimeout, route.Timeout)
	target := g.target(r, route)
	if !patient {
		left = min(left, target)
	}
	return g.prepare(r, v, route, plan, left, target, max(route.LeastShards, 1))
}

// prepare returns a run that ends within left, and at the target if at least some
// shards are covered then.
func (g *Gateway) prepare(r *Request, v *routing.View, route *routing.Route, plan *routing.Plan, left, target time.Duration, least int) *run {
	now := g.cfg.Now()
	run := &run{
		g:       g,
		request: r,
		view:    v,
		route:   route,
		id:      fmt.Sprintf("%x-%x", g.cfg.Incarnation, g.sequence.Add(1)),
		started: now,
		left:    left,
		target:  target,
		replies: make(chan timedReply, repliesPerShard*len(plan.Services)),
		over:    make(chan struct{}),
	}
	shared := requestBeliefs{beliefs: g.beliefs, route: route, services: plan.Services, now: g.cfg.Now}
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
		Suspicion: g.beliefs.suspicion(now, &r.Message),
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

// target returns the time within which an answer still reaches its caller at the
// route's latency target.
func (g *Gateway) target(r *Request, route *routing.Route) time.Duration {
	ways := waysKept
	if r.NewConnection {
		ways = waysFresh
	}
	tuning := g.tuning.Load()
	answerTime := max(time.Duration(float64(answerWork)/tuning.CPUs), leastAnswerTime)
	reserve := time.Duration(ways)*tuning.CallerLatency + answerTime
	return max(route.Target-reserve, route.Target/leastTarget)
}

// patience returns the time for an answer: the lesser of what the caller and the
// route allow, less the time for its way back.
func patience(caller, timeout time.Duration) time.Duration {
	left := timeout
	if caller > 0 {
		left = min(left, caller)
	}
	return left - min(left/replyReserve, maxReplyReserve)
}

// serve drives the query machine and answers the caller.
func (r *run) serve(ctx context.Context) Answer {
	answer := r.drive(ctx)
	if answer == nil {
		r.record(result.CallerGone, &query.Answer{})
		return Answer{Code: result.CallerGone}
	}
	return r.finish(answer)
}

// drive steps the query machine to its answer. It returns nil if the caller left.
func (r *run) drive(ctx context.Context) *query.Answer {
	defer close(r.over)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	answer := r.apply(r.query.Start(r.started))
	for answer == nil {
		timer.Reset(r.query.NextTick() - r.g.cfg.Now())
		select {
		case reply := <-r.replies:
			r.note(&reply)
			answer = r.apply(r.query.Reply(r.g.cfg.Now(), reply.Reply))
		case <-timer.C:
			answer = r.apply(r.query.Tick(r.g.cfg.Now()))
		case <-r.g.ending:
			answer = r.apply(r.query.Expire())
		case <-ctx.Done():
			if !r.request.Message.Once {
				r.apply(r.query.Abort())
			}
			return nil
		}
	}
	return answer
}

// note keeps what the time of a reply tells.
func (r *run) note(reply *timedReply) {
	at := r.g.cfg.Now() - r.started
	r.trace.reply(at, &reply.Reply, reply.took)
	if reply.Outcome == dispatch.OK {
		r.stages.replied(at)
	}
}

// apply carries out the actions of the query machine and returns its answer.
func (r *run) apply(a query.Actions) *query.Answer {
	for _, req := range a.Dispatch {
		r.send(req)
	}
	for _, c := range a.Cancel {
		r.g.cfg.Sender.Cancel(c.Key)
	}
	if a.SuspicionCleared {
		r.g.beliefs.cleared(r.g.cfg.Now(), &r.request.Message)
	}
	r.trace.actions(r.g.cfg.Now()-r.started, &a)
	for _, e := range a.Events {
		r.g.cfg.Recorder.QueryEvent(e)
	}
	return a.Answer
}

func (r *run) send(req dispatch.Request) {
	sent := r.g.cfg.Now()
	if r.stages.Sent == 0 {
		r.stages.Sent = sent - r.started
	}
	attempt := r.g.beliefs.sent(sent, r.route.Name, req.Endpoint)
	r.g.cfg.Sender.Send(req, func(reply dispatch.Reply) {
		now := r.g.cfg.Now()
		r.g.beliefs.ended(now, r.route, attempt, &reply, now-sent)
		if reply.Code == result.EndpointCrashed {
			r.g.crashed(now, &r.request.Message, &req)
		}
		r.g.cfg.Recorder.AttemptEnded(reply.Code)
		select {
		case r.replies <- timedReply{Reply: reply, took: now - sent}:
		case <-r.over:
		}
	})
}

// finish turns the query machine's answer into the caller's.
func (r *run) finish(a *query.Answer) Answer {
	out := r.answer(a)
	if len(r.route.Shards) > 0 {
		r.observeCapacity(a, len(out.ShardResponses) > 0)
	}
	r.record(out.Code, a)
	return out
}

// observeCapacity tells the throttle of a query that was on time, or of one that
// was not because replicas refused it. Other failures say nothing of capacity.
func (r *run) observeCapacity(a *query.Answer, served bool) {
	now := r.g.cfg.Now()
	onTime := served && now-r.started <= r.target+lateSlack
	refused := slices.ContainsFunc(a.Missing, func(m query.Missing) bool { return m.Code == result.MissingRefused })
	if onTime || refused {
		r.g.beliefs.answered(now, r.route, onTime)
	}
}

func (r *run) answer(a *query.Answer) Answer {
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
		return Answer{Code: notRun(a), RetryAfter: r.g.retryAfter(r.request.CallerTimeout)}
	case len(r.route.Shards) == 0 && a.Failure != nil:
		return Answer{Code: result.EndpointFailed, Response: a.Failure}
	default:
		return Answer{Code: result.OutcomeUnknown}
	}
}

// merge returns the greatest records of the responses.
func (r *run) merge(responses []*dispatch.Response) []byte {
	began := r.g.cfg.Now()
	records := query.MergeRecords(responses, r.route.TopRecords)
	r.stages.Merge = r.g.cfg.Now() - began
	return records
}

// notRun returns why no endpoint ran the request.
func notRun(a *query.Answer) result.Code {
	if a.Code.Class() == result.ClassNotRun {
		return a.Code
	}
	return result.AllRefused
}

func (r *run) record(code result.Code, a *query.Answer) {
	r.g.cfg.Recorder.RequestEnded(r.ended(code, a))
}

func (r *run) ended(code result.Code, a *query.Answer) RequestSummary {
	e := r.g.ended(r.request, r.view, r.route, code, r.started)
	e.TimeLimit, e.Target = r.left, r.target
	e.Shards, e.Covered, e.Attempts = a.Shards, a.Covered, a.Dispatched
	e.Missing = a.Missing
	e.Steps, e.Stages = r.trace.steps, r.stages
	return e
}
