package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpoint"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

func TestEndpoint(t *testing.T) { testsuite.RunSpecs(t, "endpoint") }

// newView returns the view of a host in data centre "ruwi" of one service with n
// endpoints "e0", "e1" and so on. Every third endpoint is in another data
// centre.
func newView(t testing.TB, n int) *view.View {
	var endpoints []config.Endpoint
	for i := range n {
		dc := "ruwi"
		if i%3 == 2 {
			dc = "seeb"
		}
		endpoints = append(endpoints, config.Endpoint{
			ID: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: dc, Slots: 2, MaxConnections: 50,
		})
	}
	b := testsuite.NewBundle(t, []config.Service{testsuite.NewService("desk")}, map[string][]config.Endpoint{"desk": endpoints})
	return &view.View{Bundle: b, Self: view.Host{DataCentre: "ruwi"}, LeavingEndpoints: map[string]bool{}}
}

func replyFrom(id string, outcome dispatch.Outcome, code result.Code) dispatch.Reply {
	return dispatch.Reply{Endpoint: id, Outcome: outcome, Code: code}
}

// replyKind is a kind of reply and whether it counts as a fault of the endpoint.
type replyKind struct {
	outcome dispatch.Outcome
	code    result.Code
	fault   bool
}

var replyKinds = []replyKind{
	{dispatch.OK, 0, false},
	{dispatch.Failed, result.EndpointFailed, true},
	{dispatch.Unknown, result.EndpointCrashed, true},
	{dispatch.Unknown, result.ConnectionSilent, true},
	{dispatch.Unknown, result.Cancelled, false},
	{dispatch.Unknown, result.ForwardUnknown, false},
	{dispatch.Refused, result.ConnectFailed, true},
	{dispatch.Refused, result.EndpointShed, false},
	{dispatch.Refused, result.PeerUnreachable, false},
	{dispatch.Refused, result.ExpiredBeforeSend, false},
}

// tableModel is a simple model of the table to compare it with.
type tableModel struct {
	// outstanding holds the dispatch times of the attempts without a reply.
	outstanding  map[string][]time.Duration
	leavingUntil map[string]time.Duration
	faults       map[string]int
	// countFrom is the time from which attempts are counted: the last pause or
	// the entry of the endpoint into the view.
	countFrom map[string]time.Duration
	removed   map[string]bool
	faultAt   map[string]time.Duration
}

// recordFault counts a fault unless the previous one was at the same time.
func (m *tableModel) recordFault(id string, now time.Duration) {
	if m.faults[id] == 0 || m.faultAt[id] != now {
		m.faults[id]++
	}
	m.faultAt[id] = now
}

func (m *tableModel) inFlight(id string) int {
	n := 0
	for _, at := range m.outstanding[id] {
		if at >= m.countFrom[id] && !m.removed[id] {
			n++
		}
	}
	return n
}

func TestTableAgainstModel(t *testing.T) {
	const replicas = 6
	base, smaller := newView(t, replicas), newView(t, replicas-1)
	testsuite.Check(t, func(rt *rapid.T) {
		table := endpoint.NewTable()
		table.SetView(0, base)
		model := &tableModel{outstanding: map[string][]time.Duration{}, leavingUntil: map[string]time.Duration{}, faults: map[string]int{}, countFrom: map[string]time.Duration{}, removed: map[string]bool{}, faultAt: map[string]time.Duration{}}
		now := time.Second
		viewLeaving := map[string]bool{}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		ids := []string{"e0", "e1", "e2", "e3", "e4", "e5", "unconfigured"}
		leaving := func(id string) bool { return viewLeaving[id] || now < model.leavingUntil[id] }
		rt.Repeat(map[string]func(*rapid.T){
			"dispatch": func(rt *rapid.T) {
				excluded := rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID[string]).Draw(rt, "excluded")
				candidates := ids[:rapid.IntRange(0, len(ids)).Draw(rt, "candidates")]
				isExcluded := func(id string) bool { return slices.Contains(excluded, id) }
				id, ok := table.Pick(now, candidates, isExcluded, rng)
				usable := func(id string) bool {
					return id != "unconfigured" && !model.removed[id] && !leaving(id) && !isExcluded(id)
				}
				if ok != slices.ContainsFunc(candidates, usable) {
					rt.Fatalf("pick from %v excluding %v: found is %v", candidates, excluded, ok)
				}
				if !ok {
					return
				}
				if !usable(id) {
					rt.Fatalf("picked %s, which is leaving, excluded or unknown", id)
				}
				healthy := func(id string) bool { return usable(id) && table.Condition(now, id) == endpoint.Healthy }
				local := func(id string) bool { return healthy(id) && id != "e2" && id != "e5" }
				switch c := table.Condition(now, id); {
				case c == endpoint.Probation:
				case slices.ContainsFunc(candidates, local) && !local(id), slices.ContainsFunc(candidates, healthy) && !healthy(id):
					rt.Fatalf("picked %s (%v) although a candidate of a better tier exists", id, c)
				}
				table.RecordDispatch(now, id)
				model.outstanding[id] = append(model.outstanding[id], now)
			},
			"reply": func(rt *rapid.T) {
				id := rapid.SampledFrom(ids[:replicas]).Draw(rt, "endpoint")
				if len(model.outstanding[id]) == 0 {
					rt.Skip("no attempt in flight")
				}
				i := rapid.IntRange(0, len(model.outstanding[id])-1).Draw(rt, "which")
				at := model.outstanding[id][i]
				model.outstanding[id] = slices.Delete(model.outstanding[id], i, i+1)
				k := rapid.SampledFrom(replyKinds).Draw(rt, "kind")
				r := replyFrom(id, k.outcome, k.code)
				if rapid.IntRange(0, 9).Draw(rt, "leaving") == 0 {
					r.Load = &dispatch.Load{Leaving: true}
					if !model.removed[id] {
						model.leavingUntil[id] = now + 30*time.Second
					}
				}
				table.RecordReply(now, r, now-at)
				switch {
				case at < model.countFrom[id] || model.removed[id]:
				case k.outcome == dispatch.OK:
					model.faults[id] = 0
				case k.fault:
					model.recordFault(id, now)
				}
			},
			"fail repeatedly": func(rt *rapid.T) {
				id := rapid.SampledFrom(ids[:replicas]).Draw(rt, "endpoint")
				for range rapid.IntRange(1, 6).Draw(rt, "times") {
					now += time.Duration(rapid.IntRange(0, 1).Draw(rt, "later"))
					table.RecordDispatch(now, id)
					table.RecordReply(now, replyFrom(id, dispatch.Failed, result.EndpointFailed), 0)
					if !model.removed[id] {
						model.recordFault(id, now)
					}
				}
			},
			"succeed": func(rt *rapid.T) {
				for _, id := range ids[:rapid.IntRange(1, replicas).Draw(rt, "endpoints")] {
					table.RecordDispatch(now, id)
					table.RecordReply(now, replyFrom(id, dispatch.OK, 0), 0)
					model.faults[id] = 0
				}
			},
			"view": func(rt *rapid.T) {
				viewLeaving = map[string]bool{}
				for _, id := range rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID[string]).Draw(rt, "leaving") {
					viewLeaving[id] = true
				}
				now++ // so that attempts before and after the new view have different times
				next := *rapid.SampledFrom([]*view.View{base, smaller}).Draw(rt, "view")
				next.LeavingEndpoints = viewLeaving
				removed := next.Bundle == smaller.Bundle
				if model.removed["e5"] && !removed {
					model.countFrom["e5"], model.faults["e5"] = now, 0
				}
				model.removed["e5"] = removed
				table.SetView(now, &next)
			},
			"pause": func(*rapid.T) {
				now += time.Minute
				for _, id := range ids {
					model.countFrom[id] = now
				}
				table.ResetAfterPause(now)
			},
			"wait": func(rt *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond
			},
			"": func(rt *rapid.T) {
				ejected := 0
				for _, id := range ids[:replicas] {
					if got := table.InFlight(id); got != model.inFlight(id) {
						rt.Fatalf("%s: %d in flight, want %d", id, got, model.inFlight(id))
					}
					c := table.Condition(now, id)
					if (c == endpoint.Leaving) != (leaving(id) && !model.removed[id]) {
						rt.Fatalf("%s: condition is %v, leaving is %v", id, c, leaving(id))
					}
					if c == endpoint.Ejected {
						ejected++
						if model.faults[id] < 5 {
							rt.Fatalf("%s was ejected after %d faults", id, model.faults[id])
						}
					}
				}
				if ejected > replicas/2 {
					rt.Fatalf("%d of %d endpoints are ejected", ejected, replicas)
				}
			},
		})
	})
}

var _ = DescribeTable("condition after six replies of the same kind",
	func(outcome dispatch.Outcome, code result.Code, want endpoint.Condition) {
		table := endpoint.NewTable()
		table.SetView(0, newView(GinkgoTB(), 3))
		for now := range time.Duration(6) {
			table.RecordDispatch(now, "e0")
			table.RecordReply(now, replyFrom("e0", outcome, code), 0)
		}
		Expect(table.Condition(5, "e0")).To(Equal(want))
	},
	Entry("success", dispatch.OK, result.Code(0), endpoint.Healthy),
	Entry("failure", dispatch.Failed, result.EndpointFailed, endpoint.Ejected),
	Entry("crash", dispatch.Unknown, result.EndpointCrashed, endpoint.Ejected),
	Entry("silence on every connection", dispatch.Unknown, result.ConnectionSilent, endpoint.Ejected),
	Entry("failed connection", dispatch.Refused, result.ConnectFailed, endpoint.Ejected),
	Entry("lost relay", dispatch.Unknown, result.ForwardUnknown, endpoint.Healthy),
	Entry("cancelled attempt", dispatch.Unknown, result.Cancelled, endpoint.Healthy),
	Entry("shed attempt", dispatch.Refused, result.EndpointShed, endpoint.Overloaded),
	Entry("long queue at the relay", dispatch.Refused, result.RelayDeadline, endpoint.Overloaded),
	Entry("cold start", dispatch.Refused, result.EndpointCold, endpoint.Overloaded),
	Entry("snapshot gone", dispatch.Refused, result.SnapshotGone, endpoint.Healthy),
	Entry("leaving endpoint", dispatch.Refused, result.EndpointLeaving, endpoint.Leaving),
)

var _ = Describe("ejection", func() {
	It("is followed by probation with one attempt at a time, and doubles in duration", func() {
		table := endpoint.NewTable()
		table.SetView(-4, newView(GinkgoTB(), 2))
		fail := func(now time.Duration) {
			table.RecordDispatch(now, "e0")
			table.RecordReply(now, replyFrom("e0", dispatch.Unknown, result.EndpointCrashed), 0)
		}
		for now := range time.Duration(5) {
			fail(now - 4)
			fail(now - 4)
			Expect(table.Condition(now-4, "e0") == endpoint.Ejected).To(Equal(now == 4))
		}
		Expect(table.Condition(time.Second-1, "e0")).To(Equal(endpoint.Ejected))
		Expect(table.Condition(time.Second, "e0")).To(Equal(endpoint.Probation))
		table.RecordDispatch(time.Second, "e0")
		Expect(table.Eligible(time.Second, "e0")).To(BeFalse())
		table.RecordReply(time.Second, replyFrom("e0", dispatch.Unknown, result.EndpointCrashed), 0)
		Expect(table.Condition(3*time.Second-1, "e0")).To(Equal(endpoint.Ejected))
		table.RecordDispatch(3*time.Second, "e0")
		table.RecordReply(3*time.Second, replyFrom("e0", dispatch.OK, 0), 0)
		Expect(table.Condition(3*time.Second, "e0")).To(Equal(endpoint.Healthy))
	})
})

var _ = Describe("Pick", func() {
	It("prefers the faster replica even if its load reports are worse", func() {
		table := endpoint.NewTable()
		table.SetView(0, newView(GinkgoTB(), 2))
		rng := rand.New(rand.NewPCG(1, 1))
		for id, latency := range map[string]time.Duration{"e0": time.Millisecond, "e1": 20 * time.Millisecond} {
			r := replyFrom(id, dispatch.OK, 0)
			r.Load = &dispatch.Load{InFlight: 99, Slots: 2}
			if id == "e1" {
				r.Load.InFlight = 0
			}
			for range 20 {
				table.RecordDispatch(time.Second, id)
				table.RecordReply(time.Second, r, latency)
			}
		}
		for range 20 {
			id, _ := table.Pick(time.Second, []string{"e0", "e1"}, nil, rng)
			Expect(id).To(Equal("e0"))
		}
	})
})
