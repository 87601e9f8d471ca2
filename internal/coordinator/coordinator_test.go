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

// sequencesPerSimulation is the number of action sequences that run one after
// another in the same simulation.
const sequencesPerSimulation = 20

// newSimulation returns a simulation of three hosts with views in which no
// endpoint is leaving.
func newSimulation(t *rapid.T, bundles []*config.Bundle) *simulation {
	sim := &simulation{
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
		sim.endpoints[id] = &simulatedEndpoint{mode: "ok", inFlight: make(map[dispatch.Key]func(dispatch.Reply))}
	}
	for _, a := range addresses {
		sim.startHost(a)
	}
	for _, h := range sim.hosts {
		sim.setView(t, h, true)
	}
	return sim
}

// hasIssued reports whether the incarnation h issued a permit.
func (sim *simulation) hasIssued(h *simulatedHost, permitID string) bool {
	id, err := permit.Parse(permitID)
	return err == nil && id.Issuer == h.self
}

// TestSimulationAgainstOracle runs random sequences of requests, view changes
// and faults, and checks every answer against the oracle. After the faults
// have ended, the hosts must return to an idle state.
func TestSimulationAgainstOracle(t *testing.T) {
	bundles := []*config.Bundle{newTestBundle(t, 1, true), newTestBundle(t, 2, true), newTestBundle(t, 3, false)}
	testsuite.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, bundles)
		bodyCount := 0
		var permits []api.SubmitRequest
		drawHost := func(t *rapid.T) *simulatedHost {
			running := slices.DeleteFunc(sim.liveHosts(), func(h *simulatedHost) bool { return sim.now < h.pausedUntil })
			if len(running) == 0 {
				t.Skip("no host is running")
			}
			return rapid.SampledFrom(running).Draw(t, "host")
		}
		// newBody returns a body that no other request has. One in twenty crashes
		// the endpoint that runs it.
		newBody := func(t *rapid.T, kind string) string {
			bodyCount++
			if rapid.IntRange(0, 19).Draw(t, "poison") == 0 {
				kind = "poison"
			}
			return fmt.Sprint(kind, bodyCount)
		}
		actions := map[string]func(*rapid.T){
			"query": func(t *rapid.T) {
				h := drawHost(t)
				for range rapid.IntRange(1, 8).Draw(t, "queries") {
					text := newBody(t, "query")
					ticket := sim.query(h, api.QueryRequest{RequestID: text, Service: "search", Query: text, BudgetMS: rapid.SampledFrom([]int{1, 20, 70, 200}).Draw(t, "budget")})
					if rapid.IntRange(0, 9).Draw(t, "disconnect") == 0 && h.pending[ticket] != nil {
						delete(h.pending, ticket)
						sim.applyCoordinatorActions(h, h.coordinator.CallerDisconnected(sim.now, ticket))
					}
				}
			},
			"issue permits": func(t *rapid.T) {
				answer := drawHost(t).coordinator.IssuePermits(sim.now, api.PermitRequest{Service: "orders", Count: 4})
				for _, p := range answer.Permits {
					permits = append(permits, api.SubmitRequest{Service: "orders", Permit: p, Body: newBody(t, "order"), Key: keyrange.Key(sim.rng.Uint64N(uint64(keyrange.End)))})
				}
			},
			"submit": func(t *rapid.T) {
				if len(permits) == 0 {
					t.Skip("no permit was issued")
				}
				s := rapid.SampledFrom(permits).Draw(t, "permit")
				for range rapid.IntRange(1, 3).Draw(t, "hosts") {
					s.BudgetMS = rapid.SampledFrom([]int{1, 50, 300}).Draw(t, "budget")
					sim.submit(drawHost(t), s, false, nil)
				}
			},
			"submit another body": func(t *rapid.T) {
				if len(permits) == 0 {
					t.Skip("no permit was issued")
				}
				s := rapid.SampledFrom(permits).Draw(t, "permit")
				s.Body = newBody(t, "other")
				sim.submit(drawHost(t), s, false, nil)
			},
			"run": func(t *rapid.T) {
				sim.runFor(time.Duration(rapid.SampledFrom([]int{1, 10, 100, 400}).Draw(t, "ms")) * time.Millisecond)
			},
			"view": func(t *rapid.T) { sim.setView(t, drawHost(t), rapid.Bool().Draw(t, "healthy")) },
			"endpoint": func(t *rapid.T) {
				e := rapid.SampledFrom(endpointIDs).Draw(t, "endpoint")
				sim.endpoints[e].mode = rapid.SampledFrom(endpointModes).Draw(t, "mode")
			},
			"endpoints recover": func(*rapid.T) { sim.recover() },
			"network":           func(t *rapid.T) { sim.lossRate = rapid.SampledFrom([]float64{0, 0, 0.1, 0.5}).Draw(t, "loss") },
			"pause": func(t *rapid.T) {
				h := drawHost(t)
				h.pausedUntil = max(h.pausedUntil, sim.now+time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms"))*time.Millisecond)
			},
			"crash": func(t *rapid.T) {
				if sim.chance(0.1) {
					sim.crash(drawHost(t))
				}
			},
			"stop": func(t *rapid.T) {
				h := drawHost(t)
				if sim.chance(0.1) && !h.stopping {
					h.stopping = true
					sim.applyCoordinatorActions(h, h.coordinator.Stop(sim.now))
					sim.applyRelayActions(h, h.relay.Drain(sim.now))
				}
			},
			"restart": func(t *rapid.T) {
				for _, a := range addresses {
					if sim.hostAt(a) == nil {
						sim.setView(t, sim.startHost(a), false)
					}
				}
			},
		}
		for range sequencesPerSimulation {
			t.Repeat(actions)
		}
		sim.lossRate = 0
		sim.recover()
		sim.runFor(30 * time.Second)
		for _, h := range sim.liveHosts() {
			sim.checkIdle(h)
		}
	})
}
