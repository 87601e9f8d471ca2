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

// sequencesPerSimulation is how many sequences of actions follow each other in one fleet.
const sequencesPerSimulation = 20

func newSimulation(t *rapid.T, bundles []*config.Bundle) *simulation {
	w := &simulation{
		oracle: oracle{
			t: t, runsByPermit: map[string]int{}, ranBodies: map[string]bool{}, answeredNotRun: map[string]bool{},
			answeredOutcomes: map[string]string{}, servedRanges: map[servedKey][]keyrange.Range{},
		},
		rng:       rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		now:       time.Second,
		endpoints: make(map[string]*simulatedEndpoint),
		bundles:   bundles,
	}
	for _, id := range endpointIDs {
		w.endpoints[id] = &simulatedEndpoint{mode: "ok", inFlight: make(map[dispatch.Key]func(dispatch.Reply))}
	}
	for _, a := range addresses {
		w.startHost(a)
	}
	for _, h := range w.hosts {
		w.setView(t, h, true)
	}
	return w
}

// hasIssued reports whether a host hasIssued a permit and still runs.
func (w *simulation) hasIssued(h *simulatedHost, s string) bool {
	id, err := permit.Parse(s)
	return err == nil && id.Issuer == h.self
}

func TestSimulationAgainstOracle(t *testing.T) {
	bundles := []*config.Bundle{newTestBundle(t, 1, true), newTestBundle(t, 2, true), newTestBundle(t, 3, false)}
	testsuite.Check(t, func(t *rapid.T) {
		w := newSimulation(t, bundles)
		number := 0
		var permits []api.SubmitRequest
		host := func(t *rapid.T) *simulatedHost {
			ready := slices.DeleteFunc(w.liveHosts(), func(h *simulatedHost) bool { return w.now < h.pausedUntil })
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
						w.applyCoordinatorActions(h, h.coordinator.CallerDisconnected(w.now, ticket))
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
				w.runFor(time.Duration(rapid.SampledFrom([]int{1, 10, 100, 400}).Draw(t, "ms")) * time.Millisecond)
			},
			"view": func(t *rapid.T) { w.setView(t, host(t), rapid.Bool().Draw(t, "calm")) },
			"endpoint": func(t *rapid.T) {
				e := rapid.SampledFrom(endpointIDs).Draw(t, "endpoint")
				w.endpoints[e].mode = rapid.SampledFrom(endpointModes).Draw(t, "mode")
			},
			"endpoints recover": func(*rapid.T) { w.recoverEndpoints() },
			"network":           func(t *rapid.T) { w.lossRate = rapid.SampledFrom([]float64{0, 0, 0.1, 0.5}).Draw(t, "loss") },
			"pause": func(t *rapid.T) {
				h := host(t)
				h.pausedUntil = max(h.pausedUntil, w.now+time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms"))*time.Millisecond)
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
					w.applyCoordinatorActions(h, h.coordinator.Stop(w.now))
					w.applyRelayActions(h, h.relay.Drain(w.now))
				}
			},
			"restart": func(t *rapid.T) {
				for _, a := range addresses {
					if w.hostAt(a) == nil {
						w.setView(t, w.startHost(a), false)
					}
				}
			},
		}
		for range sequencesPerSimulation {
			t.Repeat(actions)
		}
		w.lossRate = 0
		w.recoverEndpoints()
		w.runFor(30 * time.Second)
		for _, h := range w.liveHosts() {
			w.checkIdle(h)
		}
	})
}
