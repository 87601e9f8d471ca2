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

// transport sends attempts to the relay of this host or of a peer, and forwards
// submits to the issuer of their permit.
type transport interface {
	// sendAttempts sends attempts to the relay at the peer address to; an empty
	// address means this host.
	sendAttempts(to string, requests []dispatch.Request)
	// sendCancels sends cancellations of attempts to the relay at the peer address
	// to; an empty address means this host.
	sendCancels(to string, cancels []dispatch.Cancel)
	// forwardSubmit sends a submit to the issuer of its permit or, if that is
	// unreachable or was replaced, to its successors. It returns the answer.
	forwardSubmit(f coordinator.Forward) api.SubmitAnswer
}

// coordinatorLoop drives the coordinator machine.
//
// Concurrency: waitersMu guards lastTicket and the maps of waiting callers. Both
// the goroutines of callers and those that carry out actions use them.
type coordinatorLoop struct {
	*loop[coordinator.Actions]
	machine   *coordinator.Machine
	transport transport
	counters  *telemetry.Counters
	observe   func(view.Observation)

	waitersMu     sync.Mutex
	lastTicket    coordinator.Ticket
	queryWaiters  map[coordinator.Ticket]chan api.QueryAnswer
	submitWaiters map[coordinator.Ticket]chan api.SubmitAnswer
}

func newCoordinatorLoop(c clock, self view.Incarnation, counters *telemetry.Counters) *coordinatorLoop {
	machine := coordinator.New(coordinator.Config{Self: self, Fingerprint: quarantine.Fingerprint}, newRand())
	l := &coordinatorLoop{
		machine:       machine,
		counters:      counters,
		queryWaiters:  make(map[coordinator.Ticket]chan api.QueryAnswer),
		submitWaiters: make(map[coordinator.Ticket]chan api.SubmitAnswer),
	}
	l.loop = newLoop(c, machine.NextTick, machine.Tick, l.carryOutActions)
	return l
}

func (l *coordinatorLoop) setView(v *view.View) {
	l.step(func(now time.Duration) coordinator.Actions { return l.machine.SetView(now, v) })
}

func (l *coordinatorLoop) handleReplies(replies []dispatch.Reply) {
	for _, r := range replies {
		l.counters.IncCode(telemetry.FamilyAttempts, r.Code)
		l.step(func(now time.Duration) coordinator.Actions { return l.machine.Reply(now, r) })
	}
}

// query runs a caller's query and returns its answer. If the caller disconnects
// first, the query is cancelled.
func (l *coordinatorLoop) query(ctx context.Context, q api.QueryRequest) api.QueryAnswer {
	ticket, answer := addWaiter(l, l.queryWaiters)
	l.step(func(now time.Duration) coordinator.Actions { return l.machine.Query(now, ticket, q) })
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		l.step(func(now time.Duration) coordinator.Actions { return l.machine.CallerDisconnected(now, ticket) })
		removeWaiter(l, l.queryWaiters, ticket)
		return api.NewQueryErrorAnswer(q, result.Cancelled.Error())
	}
}

// submit runs a caller's submit and returns its answer. If the caller disconnects
// first, the request still runs to its end.
func (l *coordinatorLoop) submit(ctx context.Context, s api.SubmitRequest, forwarded bool) api.SubmitAnswer {
	ticket, answer := addWaiter(l, l.submitWaiters)
	l.step(func(now time.Duration) coordinator.Actions { return l.machine.Submit(now, ticket, s, forwarded) })
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		removeWaiter(l, l.submitWaiters, ticket)
		return api.NewSubmitErrorAnswer(s, result.StillRunning.Error())
	}
}

func (l *coordinatorLoop) issuePermits(p api.PermitRequest) api.PermitAnswer {
	var answer api.PermitAnswer
	l.withLock(func(now time.Duration) { answer = l.machine.IssuePermits(now, p) })
	l.counters.IncCode(telemetry.FamilyAnswers, answer.Code)
	return answer
}

func (l *coordinatorLoop) receiveHandover(h peerwire.Handover) peerwire.HandoverAnswer {
	var answer peerwire.HandoverAnswer
	l.withLock(func(now time.Duration) { answer = l.machine.ReceiveHandover(now, h) })
	return answer
}

func (l *coordinatorLoop) idle() bool {
	idle := false
	l.withLock(func(time.Duration) { idle = l.machine.RunningRequests() == 0 })
	return idle
}

// addWaiter returns a new ticket and the channel that receives its answer.
func addWaiter[T any](l *coordinatorLoop, waiters map[coordinator.Ticket]chan T) (coordinator.Ticket, chan T) {
	answer := make(chan T, 1)
	l.waitersMu.Lock()
	defer l.waitersMu.Unlock()
	l.lastTicket++
	waiters[l.lastTicket] = answer
	return l.lastTicket, answer
}

// removeWaiter removes a ticket from waiters and returns its channel, or nil if
// nobody waits for it.
func removeWaiter[T any](l *coordinatorLoop, waiters map[coordinator.Ticket]chan T, t coordinator.Ticket) chan T {
	l.waitersMu.Lock()
	defer l.waitersMu.Unlock()
	answer := waiters[t]
	delete(waiters, t)
	return answer
}

func (l *coordinatorLoop) carryOutActions(a coordinator.Actions) {
	for _, q := range a.Queries {
		l.counters.IncCode(telemetry.FamilyAnswers, q.Answer.Code)
		if answer := removeWaiter(l, l.queryWaiters, q.Ticket); answer != nil {
			answer <- q.Answer
		}
	}
	for _, s := range a.Submits {
		l.answerSubmit(s.Ticket, s.Answer)
	}
	for _, f := range a.Forwards {
		go func() { l.answerSubmit(f.Ticket, l.transport.forwardSubmit(f)) }()
	}
	for _, b := range groupDispatches(a.Dispatch) {
		l.transport.sendAttempts(b.to, b.requests)
	}
	for _, b := range groupCancels(a.Cancel) {
		l.transport.sendCancels(b.to, b.cancels)
	}
	for _, o := range a.Observations {
		l.observe(o)
	}
	for _, e := range a.Events {
		l.countEvent(e)
	}
}

func (l *coordinatorLoop) answerSubmit(t coordinator.Ticket, a api.SubmitAnswer) {
	l.counters.IncCode(telemetry.FamilyAnswers, a.Code)
	if answer := removeWaiter(l, l.submitWaiters, t); answer != nil {
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

func (l *coordinatorLoop) countEvent(e query.Event) {
	if e.Kind == query.EventRetry {
		l.counters.IncCode(telemetry.FamilyRetries, e.Code)
		return
	}
	l.counters.Counter(eventCounters[e.Kind]).Inc()
}

// dispatchBatch holds the attempts that one step sends to one relay.
type dispatchBatch struct {
	to       string
	requests []dispatch.Request
}

func groupDispatches(routed []coordinator.RoutedRequest) []dispatchBatch {
	return groupByKey(routed,
		func(r coordinator.RoutedRequest) string { return r.To },
		func(to string) dispatchBatch { return dispatchBatch{to: to} },
		func(b *dispatchBatch, r coordinator.RoutedRequest) { b.requests = append(b.requests, r.Request) })
}

// cancelBatch holds the cancellations that one step sends to one relay.
type cancelBatch struct {
	to      string
	cancels []dispatch.Cancel
}

func groupCancels(routed []coordinator.RoutedCancel) []cancelBatch {
	return groupByKey(routed,
		func(r coordinator.RoutedCancel) string { return r.To },
		func(to string) cancelBatch { return cancelBatch{to: to} },
		func(b *cancelBatch, r coordinator.RoutedCancel) { b.cancels = append(b.cancels, r.Cancel) })
}
