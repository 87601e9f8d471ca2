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

func TestTwoRelaysAgainstOracle(t *testing.T) {
	bundles := []*config.Bundle{newBundle(t, 4), newBundle(t, 3)}
	testsuite.CheckN(t, 2000, func(rt *rapid.T) {
		now := time.Second
		hosts := []*oracle{}
		setView := func(rt *rapid.T, h *oracle) {
			v := &view.View{
				At: now, Self: view.Host{Incarnation: view.Incarnation{Address: "self"}}, Bundle: rapid.SampledFrom(bundles).Draw(rt, "bundle"), Leaving: map[string]bool{}, Suspects: map[view.Fingerprint]view.Suspicion{}, Share: map[string]int{}, Relays: map[string][]string{},
			}
			for i := range 4 {
				id := fmt.Sprint("e", i)
				v.Leaving[id] = rapid.IntRange(0, 9).Draw(rt, "leaving") == 0
				v.Relays[id] = []string{"self"}
				v.Share[id] = rapid.IntRange(0, 4).Draw(rt, "share")
			}
			if rapid.IntRange(0, 4).Draw(rt, "crashes") == 0 {
				v.Suspects['a'] = rapid.SampledFrom([]view.Suspicion{view.Suspected, view.Quarantined}).Draw(rt, "suspicion")
			}
			h.view = v
			h.staleUntil = 0
			if v.Suspects['a'] == view.Suspected {
				h.markSuspects("a")
			}
			h.apply(rt, now, h.machine.SetView(now, v), nil)
		}
		for range 2 {
			h := &oracle{machine: newMachine(), leavingUntil: map[string]time.Duration{}}
			hosts = append(hosts, h)
			setView(rt, h)
		}
		drawHost := func(rt *rapid.T) *oracle { return rapid.SampledFrom(hosts).Draw(rt, "relay") }
		ran := map[string]int{}
		number := 0
		dispatchTo := func(rt *rapid.T, h *oracle, key dispatch.Key, origin string) {
			r := dispatch.Request{
				Key: key, Service: "desk", Endpoint: fmt.Sprint("e", rapid.IntRange(0, 3).Draw(rt, "endpoint")),
				Body: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "body"), Suspect: rapid.IntRange(0, 9).Draw(rt, "suspect") == 0,
				Urgency: config.Urgency(rapid.IntRange(0, 2).Draw(rt, "urgency")),
				Budget:  time.Duration(rapid.IntRange(-1, 1000).Draw(rt, "budget")) * time.Millisecond,
			}
			a := &attemptRecord{request: r, origin: origin, deadline: now + r.Budget}
			a.suspect = r.Suspect || h.view.Suspects[fingerprint("", r.Body)] == view.Suspected
			h.attempts = append(h.attempts, a)
			actions := h.machine.Dispatch(now, origin, []dispatch.Request{r, r})
			h.apply(rt, now, actions, nil)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"dispatch": func(rt *rapid.T) {
				h := drawHost(rt)
				for range rapid.IntRange(1, 8).Draw(rt, "attempts") {
					number++
					dispatchTo(rt, h, dispatch.Key{Request: fmt.Sprint(number), Attempt: 1}, rapid.SampledFrom([]string{"", "p", "q"}).Draw(rt, "origin"))
				}
			},
			"retry a refused attempt at the other relay": func(rt *rapid.T) {
				first, second := hosts[0], hosts[1]
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
				h := drawHost(rt)
				a, ending := h.drawAttempt(rt, true), rapid.SampledFrom(completions).Draw(rt, "ending")
				if ending.Outcome != dispatch.Refused {
					ran[a.request.Request]++
				}
				if ran[a.request.Request] > 1 {
					rt.Fatalf("request %s ran twice", a.request.Request)
				}
				h.complete(rt, now, a, ending)
			},
			"late completion": func(rt *rapid.T) {
				h := drawHost(rt)
				idle := func(a *attemptRecord) bool { return a.ended || !a.sent }
				i := slices.IndexFunc(h.attempts, idle)
				if i < 0 {
					rt.Skip("all are in flight")
				}
				r := dispatch.Reply{Key: h.attempts[i].request.Key, Endpoint: "e0", Outcome: dispatch.OK}
				if actions := h.machine.Complete(now, r); len(actions.Replies) > 0 {
					rt.Fatal("a completion of what is not in flight was passed on")
				}
			},
			"cancel": func(rt *rapid.T) {
				h := drawHost(rt)
				a := h.drawAttempt(rt, rapid.Bool().Draw(rt, "sent"))
				h.apply(rt, now, h.machine.Cancel(now, "other", dispatch.Cancel{Key: a.request.Key}), nil)
				a.canceled = true
				h.apply(rt, now, h.machine.Cancel(now, a.origin, dispatch.Cancel{Key: a.request.Key}), nil)
			},
			"lose an origin": func(rt *rapid.T) {
				h := drawHost(rt)
				for _, a := range h.openAttempts(func(a *attemptRecord) bool { return a.origin == "p" }) {
					a.originLost = true
					a.ended = !a.sent
				}
				h.apply(rt, now, h.machine.OriginLost(now, "p"), nil)
			},
			"view": func(rt *rapid.T) { setView(rt, drawHost(rt)) },
			"wait": func(rt *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond
				for _, h := range hosts {
					h.apply(rt, now, h.machine.Tick(now), nil)
					for _, a := range h.openAttempts(func(a *attemptRecord) bool { return !a.sent && a.deadline <= now }) {
						rt.Fatalf("%v waits after its deadline", a.request.Key)
					}
					if next, ok := h.machine.NextTick(now); !ok || next < now || next > now+pauseLimit {
						rt.Fatalf("the next tick is due at %v, it is %v", next, now)
					}
				}
			},
			"pause": func(rt *rapid.T) {
				now += pauseLimit + time.Second
				for _, h := range hosts {
					h.staleUntil = now + refreshWindow
					h.apply(rt, now, h.machine.Tick(now), nil)
				}
			},
			"": func(rt *rapid.T) {
				for _, h := range hosts {
					h.checkState(rt, now)
				}
			},
		})
		for _, h := range hosts {
			h.draining = true
			h.apply(rt, now, h.machine.Drain(now), nil)
		}
		for round := 0; !hosts[0].machine.Idle() || !hosts[1].machine.Idle(); round++ {
			if round > 100 {
				rt.Fatal("an attempt never ends")
			}
			now += 100 * time.Millisecond
			for _, h := range hosts {
				h.apply(rt, now, h.machine.Tick(now), nil)
				for _, a := range h.openAttempts(func(a *attemptRecord) bool { return a.sent }) {
					h.complete(rt, now, a, dispatch.Reply{Outcome: dispatch.OK})
				}
				h.checkState(rt, now)
			}
		}
	})
}
