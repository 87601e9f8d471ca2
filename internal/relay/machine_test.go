package relay_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// An attempt that one relay refused may be retried at another, so the test checks that
// a request runs at most once across two relays.
func TestTwoRelaysAgainstOracle(t *testing.T) {
	bundles := []*config.Bundle{newBundle(t, 4), newBundle(t, 3)}
	testsuite.CheckN(t, 2000, func(rt *rapid.T) {
		now := time.Second
		oracles := []*oracle{}
		setView := func(rt *rapid.T, o *oracle) {
			v := &view.View{
				PublishedAt: now, Self: view.Host{Incarnation: view.Incarnation{Address: "self"}},
				Bundle:           rapid.SampledFrom(bundles).Draw(rt, "bundle"),
				LeavingEndpoints: map[string]bool{}, Suspects: map[view.Fingerprint]view.Suspicion{},
				ConnectionShares: map[string]int{}, Relays: map[string][]string{},
			}
			for i := range 4 {
				id := fmt.Sprint("e", i)
				v.LeavingEndpoints[id] = rapid.IntRange(0, 9).Draw(rt, "leaving") == 0
				v.Relays[id] = []string{"self"}
				v.ConnectionShares[id] = rapid.IntRange(0, 4).Draw(rt, "share")
			}
			if rapid.IntRange(0, 4).Draw(rt, "suspected") == 0 {
				v.Suspects['a'] = rapid.SampledFrom([]view.Suspicion{view.Suspected, view.Quarantined}).Draw(rt, "suspicion")
			}
			o.view = v
			o.staleUntil = 0
			if v.Suspects['a'] == view.Suspected {
				o.markSuspects("a")
			}
			o.apply(rt, now, o.machine.SetView(now, v), nil)
		}
		for range 2 {
			o := &oracle{machine: newMachine(), leavingUntil: map[string]time.Duration{}}
			oracles = append(oracles, o)
			setView(rt, o)
		}
		drawOracle := func(rt *rapid.T) *oracle { return rapid.SampledFrom(oracles).Draw(rt, "relay") }
		ran := map[string]int{}
		lastRequest := 0
		dispatchTo := func(rt *rapid.T, o *oracle, key dispatch.Key, origin string) {
			r := dispatch.Request{
				Key: key, Service: "desk", Endpoint: fmt.Sprint("e", rapid.IntRange(0, 3).Draw(rt, "endpoint")),
				Body: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "body"), Suspect: rapid.IntRange(0, 9).Draw(rt, "suspect") == 0,
				Urgency: config.Urgency(rapid.IntRange(0, 2).Draw(rt, "urgency")),
				Budget:  time.Duration(rapid.IntRange(-1, 1000).Draw(rt, "budget")) * time.Millisecond,
			}
			a := &attemptRecord{request: r, origin: origin, deadline: now + r.Budget}
			a.suspect = r.Suspect || o.view.Suspects[fingerprint("", r.Body)] == view.Suspected
			o.attempts = append(o.attempts, a)
			actions := o.machine.Dispatch(now, origin, []dispatch.Request{r, r})
			o.apply(rt, now, actions, nil)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"dispatch": func(rt *rapid.T) {
				o := drawOracle(rt)
				for range rapid.IntRange(1, 8).Draw(rt, "attempts") {
					lastRequest++
					dispatchTo(rt, o, dispatch.Key{Request: fmt.Sprint(lastRequest), Attempt: 1}, rapid.SampledFrom([]string{"", "p", "q"}).Draw(rt, "origin"))
				}
			},
			"retry a refused attempt at the other relay": func(rt *rapid.T) {
				first, second := oracles[0], oracles[1]
				for _, a := range first.attempts {
					next := dispatch.Key{Request: a.request.Request, Attempt: 2}
					tried := slices.ContainsFunc(second.attempts, func(b *attemptRecord) bool { return b.request.Key == next })
					if a.ended && !a.originLost && ran[a.request.Request] == 0 && !tried {
						dispatchTo(rt, second, next, a.origin)
						return
					}
				}
			},
			"complete": func(rt *rapid.T) {
				o := drawOracle(rt)
				a, completion := o.drawAttempt(rt, true), rapid.SampledFrom(completions).Draw(rt, "completion")
				if completion.Outcome != dispatch.Refused {
					ran[a.request.Request]++
				}
				if ran[a.request.Request] > 1 {
					rt.Fatalf("request %s ran twice", a.request.Request)
				}
				o.complete(rt, now, a, completion)
			},
			"late completion": func(rt *rapid.T) {
				o := drawOracle(rt)
				notInFlight := func(a *attemptRecord) bool { return a.ended || !a.sent }
				i := slices.IndexFunc(o.attempts, notInFlight)
				if i < 0 {
					rt.Skip("all attempts are in flight")
				}
				r := dispatch.Reply{Key: o.attempts[i].request.Key, Endpoint: "e0", Outcome: dispatch.OK}
				if actions := o.machine.Complete(now, r); len(actions.Replies) > 0 {
					rt.Fatal("the completion of an attempt that is not in flight was passed on")
				}
			},
			"cancel": func(rt *rapid.T) {
				o := drawOracle(rt)
				a := o.drawAttempt(rt, rapid.Bool().Draw(rt, "sent"))
				o.apply(rt, now, o.machine.Cancel(now, "other", dispatch.Cancel{Key: a.request.Key}), nil)
				a.canceled = true
				o.apply(rt, now, o.machine.Cancel(now, a.origin, dispatch.Cancel{Key: a.request.Key}), nil)
			},
			"lose an origin": func(rt *rapid.T) {
				o := drawOracle(rt)
				for _, a := range o.openAttempts(func(a *attemptRecord) bool { return a.origin == "p" }) {
					a.originLost = true
					a.ended = !a.sent
				}
				o.apply(rt, now, o.machine.OriginLost(now, "p"), nil)
			},
			"view": func(rt *rapid.T) { setView(rt, drawOracle(rt)) },
			"wait": func(rt *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond
				for _, o := range oracles {
					o.apply(rt, now, o.machine.Tick(now), nil)
					for _, a := range o.openAttempts(func(a *attemptRecord) bool { return !a.sent && a.deadline <= now }) {
						rt.Fatalf("%v still waits after its deadline", a.request.Key)
					}
					if next, ok := o.machine.NextTick(now); !ok || next < now || next > now+pauseLimit {
						rt.Fatalf("the next tick is due at %v, now is %v", next, now)
					}
				}
			},
			"pause": func(rt *rapid.T) {
				now += pauseLimit + time.Second
				for _, o := range oracles {
					o.staleUntil = now + refreshWindow
					o.apply(rt, now, o.machine.Tick(now), nil)
				}
			},
			"": func(rt *rapid.T) {
				for _, o := range oracles {
					o.checkState(rt, now)
				}
			},
		})
		for _, o := range oracles {
			o.draining = true
			o.apply(rt, now, o.machine.Drain(now), nil)
		}
		for round := 0; !oracles[0].machine.Idle() || !oracles[1].machine.Idle(); round++ {
			if round > 100 {
				rt.Fatal("an attempt never ends")
			}
			now += 100 * time.Millisecond
			for _, o := range oracles {
				o.apply(rt, now, o.machine.Tick(now), nil)
				for _, a := range o.openAttempts(func(a *attemptRecord) bool { return a.sent }) {
					o.complete(rt, now, a, dispatch.Reply{Outcome: dispatch.OK})
				}
				o.checkState(rt, now)
			}
		}
	})
}
