package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/coordinator"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// carrier hands attempts to the relay of this host or of a peer.
type carrier interface {
	// carry dispatches attempts to a relay; to is empty for this host.
	carry(to string, requests []dispatch.Request)
	// withdraw cancels attempts at a relay.
	withdraw(to string, cancels []dispatch.Cancel)
}

// coordinatorLoop drives the coordinator machine.
//
// Concurrency: mu guards machine, waiting, ticket and wake. Actions are carried
// out without mu.
type coordinatorLoop struct {
	clock    clock
	carrier  carrier
	observe  func(view.Observation)
	counters *telemetry.Counters
	wakeup   wakeup

	mu      sync.Mutex
	machine *coordinator.Machine
	queries map[coordinator.Ticket]chan api.QueryAnswer
	ticket  coordinator.Ticket
	wake    time.Duration
}

// step feeds one event to the machine and carries out its actions.
func (l *coordinatorLoop) step(event func(now time.Duration) coordinator.Actions) {
	l.mu.Lock()
	now := l.clock.now()
	actions := event(now)
	next := l.machine.Next(now)
	earlier := next < l.wake
	l.wake = next
	l.mu.Unlock()
	if earlier {
		l.wakeup.signal()
	}
	l.carryOut(actions)
}

func (l *coordinatorLoop) run(ctx context.Context) {
	runTicks(ctx, l.clock, l.wakeup, l.nextWake, func() { l.step(l.machine.Tick) })
}

func (l *coordinatorLoop) nextWake() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wake
}

func (l *coordinatorLoop) setView(v *view.View) {
	l.step(func(now time.Duration) coordinator.Actions { return l.machine.SetView(now, v) })
}

func (l *coordinatorLoop) reply(r dispatch.Reply) {
	l.counters.Code(telemetry.FamilyAttempts, r.Code)
	l.step(func(now time.Duration) coordinator.Actions { return l.machine.Reply(now, r) })
}

// query runs a caller's query until its answer or until the caller goes away.
func (l *coordinatorLoop) query(ctx context.Context, q api.QueryRequest) api.QueryAnswer {
	answer := make(chan api.QueryAnswer, 1)
	var ticket coordinator.Ticket
	l.step(func(now time.Duration) coordinator.Actions {
		l.ticket++
		ticket = l.ticket
		l.queries[ticket] = answer
		return l.machine.Query(now, ticket, q)
	})
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		l.step(func(now time.Duration) coordinator.Actions { return l.machine.Hangup(now, ticket) })
		l.forget(ticket)
		return api.QueryAnswer{RequestID: q.RequestID, Code: result.Cancelled, Name: result.Cancelled.String(), Class: result.Cancelled.Class().String()}
	}
}

func (l *coordinatorLoop) forget(t coordinator.Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.queries, t)
}

func (l *coordinatorLoop) carryOut(a coordinator.Actions) {
	for _, q := range a.Queries {
		l.answer(q)
	}
	for _, batch := range groupDispatches(a.Dispatch) {
		l.carrier.carry(batch.to, batch.requests)
	}
	for _, batch := range groupCancels(a.Cancel) {
		l.carrier.withdraw(batch.to, batch.cancels)
	}
	for _, o := range a.Observations {
		l.observe(o)
	}
	for _, e := range a.Events {
		l.count(e)
	}
}

func (l *coordinatorLoop) answer(q coordinator.QueryAnswer) {
	l.counters.Code(telemetry.FamilyAnswers, q.Answer.Code)
	l.mu.Lock()
	waiting := l.queries[q.Ticket]
	delete(l.queries, q.Ticket)
	l.mu.Unlock()
	if waiting != nil {
		waiting <- q.Answer
	}
}

var eventCounters = map[query.EventKind]string{
	query.EventHedge:         "gypsumlug_hedges_total",
	query.EventStray:         "gypsumlug_stray_replies_total",
	query.EventWrongSnapshot: "gypsumlug_wrong_snapshot_replies_total",
	query.EventRestart:       "gypsumlug_snapshot_restarts_total",
	query.EventHedgeDenied:   "gypsumlug_hedges_denied_total",
	query.EventRetryDenied:   "gypsumlug_retries_denied_total",
}

func (l *coordinatorLoop) count(e query.Event) {
	if e.Kind == query.EventRetry {
		l.counters.Code(telemetry.FamilyRetries, e.Code)
		return
	}
	l.counters.Counter(eventCounters[e.Kind]).Inc()
}

// dispatchBatch holds the attempts of one step for one relay.
type dispatchBatch struct {
	to       string
	requests []dispatch.Request
}

func groupDispatches(routed []coordinator.Routed) []dispatchBatch {
	var out []dispatchBatch
	position := make(map[string]int)
	for _, r := range routed {
		i, ok := position[r.To]
		if !ok {
			i = len(out)
			position[r.To] = i
			out = append(out, dispatchBatch{to: r.To})
		}
		out[i].requests = append(out[i].requests, r.Request)
	}
	return out
}

// cancelBatch holds the cancellations of one step for one relay.
type cancelBatch struct {
	to      string
	cancels []dispatch.Cancel
}

func groupCancels(routed []coordinator.RoutedCancel) []cancelBatch {
	var out []cancelBatch
	position := make(map[string]int)
	for _, r := range routed {
		i, ok := position[r.To]
		if !ok {
			i = len(out)
			position[r.To] = i
			out = append(out, cancelBatch{to: r.To})
		}
		out[i].cancels = append(out[i].cancels, r.Cancel)
	}
	return out
}
