package coordinator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/permit"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestCoordinator(t *testing.T) { testsuite.RunSpecs(t, "coordinator") }

// repeats is how many sequences of actions follow each other in one fleet.
const repeats = 20

func newFleet(t *rapid.T, bundles []*config.Bundle) *fleet {
	w := &fleet{
		oracle: oracle{
			t: t, runs: map[string]int{}, bodies: map[string]bool{}, notRun: map[string]bool{},
			done: map[string]string{}, good: map[servedKey][]keyrange.Range{},
		},
		rng:       rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		now:       time.Second,
		endpoints: make(map[string]*endpointModel),
		bundles:   bundles,
	}
	for _, id := range endpointIDs {
		w.endpoints[id] = &endpointModel{mode: "ok", inFlight: make(map[dispatch.Key]func(dispatch.Reply))}
	}
	for _, a := range addresses {
		w.start(a)
	}
	for _, h := range w.hosts {
		w.setView(t, h, true)
	}
	return w
}

// issued reports whether a host issued a permit and still runs.
func (w *fleet) issued(h *fleetHost, s string) bool {
	id, err := permit.Parse(s)
	return err == nil && id.Issuer == h.self
}

func TestFleetAgainstOracle(t *testing.T) {
	bundles := []*config.Bundle{newFleetBundle(t, 1, true), newFleetBundle(t, 2, true), newFleetBundle(t, 3, false)}
	testsuite.Check(t, func(t *rapid.T) {
		w := newFleet(t, bundles)
		number := 0
		var permits []api.SubmitRequest
		host := func(t *rapid.T) *fleetHost {
			ready := slices.DeleteFunc(w.live(), func(h *fleetHost) bool { return w.now < h.paused })
			if len(ready) == 0 {
				t.Skip("no host runs")
			}
			return rapid.SampledFrom(ready).Draw(t, "host")
		}
		body := func(t *rapid.T, kind string) string {
			number++
			if rapid.IntRange(0, 19).Draw(t, "poison") == 0 {
				kind = "poison"
			}
			return fmt.Sprint(kind, number)
		}
		actions := map[string]func(*rapid.T){
			"query": func(t *rapid.T) {
				h := host(t)
				for range rapid.IntRange(1, 8).Draw(t, "queries") {
					text := body(t, "query")
					ticket := w.query(h, api.QueryRequest{RequestID: text, Service: "search", Query: text, BudgetMS: rapid.SampledFrom([]int{1, 20, 70, 200}).Draw(t, "budget")})
					if rapid.IntRange(0, 9).Draw(t, "hangup") == 0 && h.pending[ticket] != nil {
						delete(h.pending, ticket)
						w.coordinate(h, h.coordinator.CallerDisconnected(w.now, ticket))
					}
				}
			},
			"mint": func(t *rapid.T) {
				answer := host(t).coordinator.IssuePermits(w.now, api.PermitRequest{Service: "orders", Count: 4})
				for _, p := range answer.Permits {
					permits = append(permits, api.SubmitRequest{Service: "orders", Permit: p, Body: body(t, "order"), Key: keyrange.Key(w.rng.Uint64N(uint64(keyrange.End)))})
				}
			},
			"submit": func(t *rapid.T) {
				if len(permits) == 0 {
					t.Skip("no permits")
				}
				s := rapid.SampledFrom(permits).Draw(t, "permit")
				for range rapid.IntRange(1, 3).Draw(t, "hosts") {
					s.BudgetMS = rapid.SampledFrom([]int{1, 50, 300}).Draw(t, "budget")
					w.submit(host(t), s, false, nil)
				}
			},
			"submit another body": func(t *rapid.T) {
				if len(permits) == 0 {
					t.Skip("no permits")
				}
				s := rapid.SampledFrom(permits).Draw(t, "permit")
				s.Body = body(t, "other")
				w.submit(host(t), s, false, nil)
			},
			"run": func(t *rapid.T) {
				w.run(time.Duration(rapid.SampledFrom([]int{1, 10, 100, 400}).Draw(t, "ms")) * time.Millisecond)
			},
			"view": func(t *rapid.T) { w.setView(t, host(t), rapid.Bool().Draw(t, "calm")) },
			"endpoint": func(t *rapid.T) {
				e := rapid.SampledFrom(endpointIDs).Draw(t, "endpoint")
				w.endpoints[e].mode = rapid.SampledFrom(endpointModes).Draw(t, "mode")
			},
			"endpoints recover": func(*rapid.T) { w.recover() },
			"network":           func(t *rapid.T) { w.loss = rapid.SampledFrom([]float64{0, 0, 0.1, 0.5}).Draw(t, "loss") },
			"pause": func(t *rapid.T) {
				h := host(t)
				h.paused = max(h.paused, w.now+time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms"))*time.Millisecond)
			},
			"crash": func(t *rapid.T) {
				if w.chance(0.1) {
					w.crash(host(t))
				}
			},
			"stop": func(t *rapid.T) {
				h := host(t)
				if w.chance(0.1) && !h.stopping {
					h.stopping = true
					w.coordinate(h, h.coordinator.Stop(w.now))
					w.relay(h, h.relay.Drain(w.now))
				}
			},
			"restart": func(t *rapid.T) {
				for _, a := range addresses {
					if w.at(a) == nil {
						w.setView(t, w.start(a), false)
					}
				}
			},
		}
		for range repeats {
			t.Repeat(actions)
		}
		w.loss = 0
		w.recover()
		w.run(30 * time.Second)
		for _, h := range w.live() {
			w.checkQuiet(h)
		}
	})
}
