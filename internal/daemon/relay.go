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

// maxTickInterval bounds the time between two ticks of the relay machine, which
// treats a long gap between events as a pause of the process.
const maxTickInterval = 100 * time.Millisecond

// relayLoop drives the relay machine and the connections to endpoints.
type relayLoop struct {
	*loop[relay.Actions]
	machine   *relay.Machine
	endpoints *endpointhttp.Client
	counters  *telemetry.Counters
	// deliverReplies passes replies to the coordinator at origin.
	deliverReplies func(origin string, replies []dispatch.Reply)
	observe        func(view.Observation)
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
		return now + maxTickInterval
	}
	return min(next, now+maxTickInterval)
}

// step passes one event to the machine and carries out the resulting actions. The
// actions for endpoints are carried out under the mutex, in the order of the steps:
// otherwise an older limit could replace a newer one, and a cancellation could
// overtake its attempt. None of them blocks or calls back into the loop.
func (l *relayLoop) step(event func(now time.Duration) relay.Actions) {
	l.loop.step(func(now time.Duration) relay.Actions { return l.applyEndpointActions(event(now)) })
}

func (l *relayLoop) tickMachine(now time.Duration) relay.Actions {
	return l.applyEndpointActions(l.machine.Tick(now))
}

func (l *relayLoop) applyEndpointActions(a relay.Actions) relay.Actions {
	for _, t := range a.Connections {
		l.setTarget(t)
	}
	for _, r := range a.Send {
		l.endpoints.Send(r, l.handleReply)
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

func (l *relayLoop) handleReply(r dispatch.Reply) {
	l.step(func(now time.Duration) relay.Actions { return l.machine.Complete(now, r) })
}

func (l *relayLoop) idle() bool {
	idle := false
	l.withLock(func(time.Duration) { idle = l.machine.Idle() })
	return idle
}

// carryOutActions delivers the replies and the observations of a step.
func (l *relayLoop) carryOutActions(a relay.Actions) {
	for _, b := range groupReplies(a.Replies) {
		l.countRefusals(b.replies)
		l.deliverReplies(b.origin, b.replies)
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

func (l *relayLoop) countRefusals(replies []dispatch.Reply) {
	for i := range replies {
		if replies[i].Outcome == dispatch.Refused {
			l.counters.IncCode(telemetry.FamilyRefusals, replies[i].Code)
		}
	}
}

// replyBatch holds the replies that one step sends to one coordinator.
type replyBatch struct {
	origin  string
	replies []dispatch.Reply
}

func groupReplies(routed []relay.RoutedReply) []replyBatch {
	return groupByKey(routed,
		func(r relay.RoutedReply) string { return r.Origin },
		func(origin string) replyBatch { return replyBatch{origin: origin} },
		func(b *replyBatch, r relay.RoutedReply) { b.replies = append(b.replies, r.Reply) })
}

// groupByKey groups items by key, in the order in which the keys first appear.
func groupByKey[T, B any](items []T, key func(T) string, newGroup func(string) B, add func(*B, T)) []B {
	if len(items) == 1 {
		single := newGroup(key(items[0]))
		add(&single, items[0])
		return []B{single}
	}
	var out []B
	index := make(map[string]int)
	for _, item := range items {
		k := key(item)
		i, ok := index[k]
		if !ok {
			i = len(out)
			index[k] = i
			out = append(out, newGroup(k))
		}
		add(&out[i], item)
	}
	return out
}
