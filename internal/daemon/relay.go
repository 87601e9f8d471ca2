package daemon

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpointhttp"
	"github.com/gypsumlug/gypsumlug/internal/quarantine"
	"github.com/gypsumlug/gypsumlug/internal/relay"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// relayTick bounds the time between two steps of the relay machine.
const relayTick = 100 * time.Millisecond

// relayLoop drives the relay machine and the connections to endpoints.
type relayLoop struct {
	*loop[relay.Actions]
	machine   *relay.Machine
	endpoints *endpointhttp.Client
	counters  *telemetry.Counters
	// deliver returns replies to the coordinator at origin.
	deliver func(origin string, replies []dispatch.Reply)
	observe func(view.Observation)
}

func newRelayLoop(c clock, counters *telemetry.Counters) *relayLoop {
	l := &relayLoop{
		machine:  relay.New(relay.Config{Fingerprint: quarantine.Fingerprint}, newRand()),
		counters: counters,
	}
	l.loop = newLoop(c, l.nextTick, l.tickMachine, l.carryOutActions)
	return l
}

func (l *relayLoop) nextTick(now time.Duration) time.Duration {
	next, ok := l.machine.NextTick(now)
	if !ok {
		return now + relayTick
	}
	return min(next, now+relayTick)
}

// step feeds one event to the machine. What the endpoints are told keeps the
// order of the steps: otherwise an older limit could replace a newer one, and a
// cancellation could overtake its attempt. None of it blocks or calls back.
func (l *relayLoop) step(event func(now time.Duration) relay.Actions) {
	l.loop.step(func(now time.Duration) relay.Actions { return l.tellEndpoints(event(now)) })
}

func (l *relayLoop) tickMachine(now time.Duration) relay.Actions {
	return l.tellEndpoints(l.machine.Tick(now))
}

func (l *relayLoop) tellEndpoints(a relay.Actions) relay.Actions {
	for _, t := range a.Connections {
		l.setTarget(t)
	}
	for _, r := range a.Send {
		l.endpoints.Send(r, l.complete)
	}
	for _, c := range a.Abort {
		l.endpoints.Cancel(c)
	}
	return a
}

func (l *relayLoop) setView(v *view.View) {
	l.step(func(now time.Duration) relay.Actions { return l.machine.SetView(now, v) })
}

func (l *relayLoop) dispatch(origin string, requests []dispatch.Request) {
	l.step(func(now time.Duration) relay.Actions { return l.machine.Dispatch(now, origin, requests) })
}

func (l *relayLoop) cancel(origin string, cancels []dispatch.Cancel) {
	l.step(func(now time.Duration) relay.Actions {
		var out relay.Actions
		for _, c := range cancels {
			out.Append(l.machine.Cancel(now, origin, c))
		}
		return out
	})
}

func (l *relayLoop) complete(r dispatch.Reply) {
	l.step(func(now time.Duration) relay.Actions { return l.machine.Complete(now, r) })
}

func (l *relayLoop) idle() bool {
	idle := false
	l.read(func(time.Duration) { idle = l.machine.Idle() })
	return idle
}

// carryOutActions carries out what other hosts and the coordinator are told.
func (l *relayLoop) carryOutActions(a relay.Actions) {
	for _, b := range groupReplies(a.Replies) {
		l.count(b.replies)
		l.deliver(b.origin, b.replies)
	}
	for _, o := range a.Observations {
		l.observe(o)
	}
}

func (l *relayLoop) setTarget(t relay.ConnectionTarget) {
	if t.Max == 0 {
		l.endpoints.RemoveTarget(t.Endpoint)
		return
	}
	l.endpoints.SetTarget(endpointhttp.Target(t))
}

func (l *relayLoop) count(replies []dispatch.Reply) {
	for i := range replies {
		if replies[i].Outcome == dispatch.Refused {
			l.counters.IncCode(telemetry.FamilyRefusals, replies[i].Code)
		}
	}
}

// replyBatch holds the replies of one step for one coordinator.
type replyBatch struct {
	origin  string
	replies []dispatch.Reply
}

func groupReplies(routed []relay.RoutedReply) []replyBatch {
	return group(routed,
		func(r relay.RoutedReply) string { return r.Origin },
		func(origin string) replyBatch { return replyBatch{origin: origin} },
		func(b *replyBatch, r relay.RoutedReply) { b.replies = append(b.replies, r.Reply) })
}

// group collects items by key, in the order of their first appearance.
func group[T, B any](items []T, key func(T) string, start func(string) B, add func(*B, T)) []B {
	if len(items) == 1 {
		only := start(key(items[0]))
		add(&only, items[0])
		return []B{only}
	}
	var out []B
	position := make(map[string]int)
	for _, item := range items {
		k := key(item)
		i, ok := position[k]
		if !ok {
			i = len(out)
			position[k] = i
			out = append(out, start(k))
		}
		add(&out[i], item)
	}
	return out
}
