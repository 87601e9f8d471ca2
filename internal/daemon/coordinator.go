package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/coordinator"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/quarantine"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// carrier hands attempts to the relay of this host or of a peer, and submits to
// the issuer of their permit.
type carrier interface {
	// carry dispatches attempts to a relay; to is empty for this host.
	carry(to string, requests []dispatch.Request)
	// withdraw cancels attempts at a relay.
	withdraw(to string, cancels []dispatch.Cancel)
	// forward asks the issuer of a permit, within the budget.
	forward(f coordinator.Forward) api.SubmitAnswer
}

// coordinatorLoop drives the coordinator machine.
//
// Concurrency: waitMu guards the maps of waiting callers, which the goroutines
// of callers and those that carry out actions share.
type coordinatorLoop struct {
	*loop[coordinator.Actions]
	machine  *coordinator.Machine
	carrier  carrier
	counters *telemetry.Counters
	observe  func(view.Observation)

	waitMu  sync.Mutex
	ticket  coordinator.Ticket
	queries map[coordinator.Ticket]chan api.QueryAnswer
	submits map[coordinator.Ticket]chan api.SubmitAnswer
}

func newCoordinatorLoop(c clock, self view.Incarnation, counters *telemetry.Counters) *coordinatorLoop {
	machine := coordinator.New(coordinator.Config{Self: self, Fingerprint: quarantine.Fingerprint}, newRand())
	l := &coordinatorLoop{
		machine:  machine,
		counters: counters,
		queries:  make(map[coordinator.Ticket]chan api.QueryAnswer),
		submits:  make(map[coordinator.Ticket]chan api.SubmitAnswer),
	}
	l.loop = newLoop(c, machine.NextTick, machine.Tick, l.carryOutActions)
	return l
}

func (l *coordinatorLoop) setView(v *view.View) {
	l.step(func(now time.Duration) coordinator.Actions { return l.machine.SetView(now, v) })
}

func (l *coordinatorLoop) replies(replies []dispatch.Reply) {
	for _, r := range replies {
		l.counters.IncCode(telemetry.FamilyAttempts, r.Code)
		l.step(func(now time.Duration) coordinator.Actions { return l.machine.Reply(now, r) })
	}
}

// query runs a caller's query until its answer or until the caller goes away.
func (l *coordinatorLoop) query(ctx context.Context, q api.QueryRequest) api.QueryAnswer {
	ticket, answer := register(l, l.queries)
	l.step(func(now time.Duration) coordinator.Actions { return l.machine.Query(now, ticket, q) })
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		l.step(func(now time.Duration) coordinator.Actions { return l.machine.CallerDisconnected(now, ticket) })
		forget(l, l.queries, ticket)
		return api.NewQueryErrorAnswer(q, result.Cancelled.Error())
	}
}

// submit runs a caller's submit until its answer or until the caller goes away.
// The request itself goes on.
func (l *coordinatorLoop) submit(ctx context.Context, s api.SubmitRequest, forwarded bool) api.SubmitAnswer {
	ticket, answer := register(l, l.submits)
	l.step(func(now time.Duration) coordinator.Actions { return l.machine.Submit(now, ticket, s, forwarded) })
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		forget(l, l.submits, ticket)
		return api.NewSubmitErrorAnswer(s, result.StillRunning.Error())
	}
}

func (l *coordinatorLoop) mint(p api.PermitRequest) api.PermitAnswer {
	var answer api.PermitAnswer
	l.read(func(now time.Duration) { answer = l.machine.IssuePermits(now, p) })
	l.counters.IncCode(telemetry.FamilyAnswers, answer.Code)
	return answer
}

func (l *coordinatorLoop) receive(h peerwire.Handover) peerwire.HandoverAnswer {
	var answer peerwire.HandoverAnswer
	l.read(func(now time.Duration) { answer = l.machine.ReceiveHandover(now, h) })
	return answer
}

func (l *coordinatorLoop) idle() bool {
	idle := false
	l.read(func(time.Duration) { idle = l.machine.RunningRequests() == 0 })
	return idle
}

// register returns a new ticket and the channel that its answer comes on.
func register[T any](l *coordinatorLoop, waiting map[coordinator.Ticket]chan T) (coordinator.Ticket, chan T) {
	answer := make(chan T, 1)
	l.waitMu.Lock()
	defer l.waitMu.Unlock()
	l.ticket++
	waiting[l.ticket] = answer
	return l.ticket, answer
}

// forget returns the channel of a ticket, or nil, and forgets it.
func forget[T any](l *coordinatorLoop, waiting map[coordinator.Ticket]chan T, t coordinator.Ticket) chan T {
	l.waitMu.Lock()
	defer l.waitMu.Unlock()
	answer := waiting[t]
	delete(waiting, t)
	return answer
}

func (l *coordinatorLoop) carryOutActions(a coordinator.Actions) {
	for _, q := range a.Queries {
		l.counters.IncCode(telemetry.FamilyAnswers, q.Answer.Code)
		if answer := forget(l, l.queries, q.Ticket); answer != nil {
			answer <- q.Answer
		}
	}
	for _, s := range a.Submits {
		l.answerSubmit(s.Ticket, s.Answer)
	}
	for _, f := range a.Forwards {
		go func() { l.answerSubmit(f.Ticket, l.carrier.forward(f)) }()
	}
	for _, b := range groupDispatches(a.Dispatch) {
		l.carrier.carry(b.to, b.requests)
	}
	for _, b := range groupCancels(a.Cancel) {
		l.carrier.withdraw(b.to, b.cancels)
	}
	for _, o := range a.Observations {
		l.observe(o)
	}
	for _, e := range a.Events {
		l.count(e)
	}
}

func (l *coordinatorLoop) answerSubmit(t coordinator.Ticket, a api.SubmitAnswer) {
	l.counters.IncCode(telemetry.FamilyAnswers, a.Code)
	if answer := forget(l, l.submits, t); answer != nil {
		answer <- a
	}
}

var eventCounters = map[query.EventKind]string{
	query.EventHedge:              "gypsumlug_hedges_total",
	query.EventStrayReply:         "gypsumlug_stray_replies_total",
	query.EventWrongSnapshotReply: "gypsumlug_wrong_snapshot_replies_total",
	query.EventRestart:            "gypsumlug_snapshot_restarts_total",
	query.EventHedgeDenied:        "gypsumlug_hedges_denied_total",
	query.EventRetryDenied:        "gypsumlug_retries_denied_total",
}

func (l *coordinatorLoop) count(e query.Event) {
	if e.Kind == query.EventRetry {
		l.counters.IncCode(telemetry.FamilyRetries, e.Code)
		return
	}
	l.counters.Counter(eventCounters[e.Kind]).Inc()
}

// dispatchBatch holds the attempts of one step for one relay.
type dispatchBatch struct {
	to       string
	requests []dispatch.Request
}

func groupDispatches(routed []coordinator.RoutedRequest) []dispatchBatch {
	return group(routed,
		func(r coordinator.RoutedRequest) string { return r.To },
		func(to string) dispatchBatch { return dispatchBatch{to: to} },
		func(b *dispatchBatch, r coordinator.RoutedRequest) { b.requests = append(b.requests, r.Request) })
}

// cancelBatch holds the cancellations of one step for one relay.
type cancelBatch struct {
	to      string
	cancels []dispatch.Cancel
}

func groupCancels(routed []coordinator.RoutedCancel) []cancelBatch {
	return group(routed,
		func(r coordinator.RoutedCancel) string { return r.To },
		func(to string) cancelBatch { return cancelBatch{to: to} },
		func(b *cancelBatch, r coordinator.RoutedCancel) { b.cancels = append(b.cancels, r.Cancel) })
}
