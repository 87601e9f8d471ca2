package relay_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/relay"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

func TestRelay(t *testing.T) { testsuite.RunSpecs(t, "relay") }

// harness drives one machine and keeps what it did.
type harness struct {
	machine      *relay.Machine
	now          time.Duration
	bundle       *config.Bundle
	dispatched   int
	origins      map[string]string
	running      map[string]dispatch.Request
	replies      map[string]dispatch.Reply
	targets      map[string]relay.ConnectionTarget
	observations []view.Observation
}

func newHarness() *harness {
	r := &harness{
		machine: newMachine(), now: time.Second, bundle: newBundle(GinkgoTB(), 2), origins: map[string]string{},
		running: map[string]dispatch.Request{}, replies: map[string]dispatch.Reply{}, targets: map[string]relay.ConnectionTarget{},
	}
	r.setView(func(*view.View) {})
	return r
}

func (r *harness) setView(change func(*view.View)) {
	v := &view.View{
		At: r.now, Bundle: r.bundle, Self: view.Host{Incarnation: view.Incarnation{Address: "self"}}, Leaving: map[string]bool{},
		Share: map[string]int{"e0": 5, "e1": 5}, Relays: map[string][]string{"e0": {"self"}, "e1": {"self"}},
	}
	change(v)
	r.apply(r.machine.SetView(r.now, v))
}

func (r *harness) apply(actions relay.Actions) {
	GinkgoHelper()
	for _, reply := range actions.Replies {
		key := reply.Reply.Key.Request
		Expect(r.replies).NotTo(HaveKey(key), "a second reply")
		Expect(r.origins).To(HaveKeyWithValue(key, reply.Origin))
		if _, sent := r.running[key]; sent {
			Fail("a reply without a completion")
		}
		r.replies[key] = reply.Reply
	}
	for _, request := range actions.Send {
		Expect(r.replies).NotTo(HaveKey(request.Key.Request), "sent after its reply")
		Expect(r.running).NotTo(HaveKey(request.Key.Request), "sent twice")
		r.running[request.Key.Request] = request
	}
	for _, target := range actions.Connections {
		r.targets[target.Endpoint] = target
	}
	r.observations = append(r.observations, actions.Observations...)
}

// send dispatches an attempt and returns its name.
func (r *harness) send(origin, endpoint, body string, suspect bool, budget time.Duration) string {
	r.dispatched++
	key := fmt.Sprint(r.dispatched)
	r.origins[key] = origin
	r.apply(r.machine.Dispatch(r.now, origin, []dispatch.Request{{
		Key: dispatch.Key{Request: key, Attempt: 1}, Service: "desk", Endpoint: endpoint, Body: body, Suspect: suspect, Budget: budget,
	}}))
	return key
}

func (r *harness) complete(key string, outcome dispatch.Outcome, code result.Code, load *dispatch.Load) {
	request := r.running[key]
	delete(r.running, key)
	r.apply(r.machine.Complete(r.now, dispatch.Reply{Key: request.Key, Endpoint: request.Endpoint, Outcome: outcome, Code: code, Load: load}))
}

func (r *harness) completeAll(outcome dispatch.Outcome, code result.Code, load *dispatch.Load) {
	for _, key := range slices.Sorted(maps.Keys(r.running)) {
		r.complete(key, outcome, code, load)
	}
}

func (r *harness) advance(d time.Duration) {
	for range d / (10 * time.Millisecond) {
		r.now += 10 * time.Millisecond
		r.apply(r.machine.Tick(r.now))
	}
}

func (r *harness) code(key string) result.Code { return r.replies[key].Code }

// fault is something that goes wrong while attempts wait and run.
type fault struct {
	name   string
	inject func(*harness)
}

var faults = []fault{
	{"crash", func(r *harness) { r.completeAll(dispatch.Unknown, result.EndpointCrashed, nil) }},
	{"shedding", func(r *harness) { r.completeAll(dispatch.Refused, result.EndpointShed, nil) }},
	{"cold start", func(r *harness) { r.completeAll(dispatch.Refused, result.EndpointCold, nil) }},
	{"no connection", func(r *harness) { r.completeAll(dispatch.Refused, result.ConnectFailed, nil) }},
	{"silent connections", func(r *harness) { r.completeAll(dispatch.Unknown, result.ConnectionSilent, nil) }},
	{"drain told by a reply", func(r *harness) { r.completeAll(dispatch.OK, 0, &dispatch.Load{Leaving: true}) }},
	{"drain told by the view", func(r *harness) { r.setView(func(v *view.View) { v.Leaving["e0"] = true }) }},
	{"endpoint removed", func(r *harness) { r.setView(func(v *view.View) { v.Bundle = newBundle(GinkgoTB(), 0) }) }},
	{"share lost", func(r *harness) {
		r.setView(func(v *view.View) { v.Share, v.Relays = nil, map[string][]string{"e0": {"other"}, "e1": {"other"}} })
	}},
	{"quarantine", func(r *harness) {
		r.setView(func(v *view.View) { v.Suspects = map[view.Fingerprint]view.Suspicion{'a': view.Quarantined} })
	}},
	{"suspicion", func(r *harness) {
		r.setView(func(v *view.View) { v.Suspects = map[view.Fingerprint]view.Suspicion{'a': view.Suspected} })
	}},
	{"lost origin", func(r *harness) {
		r.apply(r.machine.OriginLost(r.now, "p"))
		for key, origin := range r.origins {
			if _, ok := r.replies[key]; origin == "p" && !ok {
				r.replies[key] = dispatch.Reply{}
			}
		}
	}},
	{"pause", func(r *harness) { r.now += 2 * time.Second; r.apply(r.machine.Tick(r.now)) }},
	{"cancellation", func(r *harness) {
		for _, key := range slices.Sorted(maps.Keys(r.origins)) {
			r.apply(r.machine.Cancel(r.now, r.origins[key], dispatch.Cancel{Key: dispatch.Key{Request: key, Attempt: 1}}))
		}
	}},
}

var _ = Describe("faults", func() {
	run := func(injected ...fault) {
		r := newHarness()
		for i := range 8 {
			r.send([]string{"", "p"}[i%2], []string{"e0", "e1"}[i/2%2], []string{"a", "b"}[i%2], i == 5, 600*time.Millisecond)
		}
		for _, f := range injected {
			f.inject(r)
			r.advance(30 * time.Millisecond)
		}
		for range 100 {
			r.completeAll(dispatch.OK, 0, nil)
			r.advance(10 * time.Millisecond)
		}
		Expect(r.machine.Idle()).To(BeTrue())
		Expect(r.replies).To(HaveLen(8))
		r.advance(40 * time.Second)
		r.setView(func(*view.View) {})
		last := r.send("", "e0", "z", false, time.Second)
		Expect(r.running).To(HaveKey(last), "the relay did not recover")
	}
	for _, first := range faults {
		It("alone: "+first.name, func() { run(first) })
		for _, second := range faults {
			It("in pairs: "+first.name+", "+second.name, func() { run(first, second) })
		}
	}
})

var _ = Describe("relay", func() {
	var r *harness
	BeforeEach(func() { r = newHarness() })

	It("reports one crash with all that ran, and isolates what waits of it", func() {
		a, b := r.send("", "e0", "a", false, time.Second), r.send("", "e0", "b", false, time.Second)
		waiting := r.send("", "e0", "a", false, time.Second)
		r.complete(a, dispatch.Unknown, result.EndpointCrashed, nil)
		r.complete(b, dispatch.Unknown, result.EndpointCrashed, nil)
		Expect(r.observations).To(HaveLen(1))
		Expect(r.observations[0].Crash).To(Equal(&view.Crash{Endpoint: "e0", InFlight: []view.Fingerprint{'a', 'b'}}))
		Expect(r.running[waiting].Suspect).To(BeTrue())
	})
	It("runs one attempt of a suspect at a time, and stops at the next crash", func() {
		first, second := r.send("", "e0", "a", true, time.Second), r.send("", "e1", "a", true, time.Second)
		Expect(r.running).NotTo(HaveKey(second))
		r.complete(first, dispatch.OK, 0, nil)
		Expect(r.running).To(HaveKey(second))
		Expect(r.observations[0].Recovered).To(Equal([]view.Fingerprint{'a'}))
		third := r.send("", "e0", "a", true, time.Second)
		r.complete(second, dispatch.Unknown, result.EndpointCrashed, nil)
		Expect(r.observations[1].Crash).To(Equal(&view.Crash{Endpoint: "e1", InFlight: []view.Fingerprint{'a'}, Alone: true}))
		Expect(r.code(third)).To(Equal(result.SuspectBusy))
	})
	DescribeTable("goes on when a waiting suspect ends", func(end func(suspect string)) {
		r.send("", "e0", "b", false, time.Second)
		suspect := r.send("p", "e0", "a", true, time.Second)
		next := r.send("", "e0", "c", false, 5*time.Second)
		Expect(r.running).NotTo(HaveKey(next))
		end(suspect)
		Expect(r.running).To(HaveKey(next))
	},
		Entry("cancelled", func(key string) {
			r.apply(r.machine.Cancel(r.now, "p", dispatch.Cancel{Key: dispatch.Key{Request: key, Attempt: 1}}))
		}),
		Entry("its origin lost", func(string) { r.apply(r.machine.OriginLost(r.now, "p")) }),
		Entry("its patience over", func(string) { r.advance(suspectWait) }),
	)
	It("waits after a pause for a view from after it", func() {
		r.now += 2 * time.Second
		r.apply(r.machine.Tick(r.now))
		waiting := r.send("", "e0", "a", false, time.Second)
		Expect(r.code(r.send("", "e0", "a", false, refreshWindow))).To(Equal(result.StaleBelief))
		r.setView(func(v *view.View) { v.At = r.now - time.Millisecond })
		Expect(r.running).To(BeEmpty())
		r.setView(func(*view.View) {})
		Expect(r.running).To(HaveKey(waiting))
	})
	It("refuses other hosts while it drains, and serves its own", func() {
		r.apply(r.machine.Drain(r.now))
		Expect(r.code(r.send("p", "e0", "a", false, time.Second))).To(Equal(result.Stopping))
		Expect(r.running).To(HaveKey(r.send("", "e0", "a", false, time.Second)))
	})
	It("keeps connections for its load and a spare one, within its share", func() {
		Expect(r.targets["e0"]).To(Equal(relay.ConnectionTarget{Endpoint: "e0", Address: "10.0.0.0:80", Warm: 1, Max: 5}))
		r.send("", "e0", "a", false, time.Second)
		r.send("", "e0", "a", false, time.Second)
		Expect(r.targets["e0"].Warm).To(Equal(3))
		r.completeAll(dispatch.OK, 0, nil)
		r.advance(2 * 15 * time.Second)
		Expect(r.targets["e0"].Warm).To(Equal(1))
		r.setView(func(v *view.View) { v.Share, v.Relays = nil, map[string][]string{"e0": {"other"}, "e1": {"other"}} })
		Expect(r.targets["e0"]).To(Equal(relay.ConnectionTarget{Endpoint: "e0", Address: "10.0.0.0:80"}))
		r.send("", "e0", "a", false, time.Second)
		Expect(r.targets["e0"].Max).To(Equal(1))
		r.setView(func(v *view.View) { v.Share, v.Relays = nil, nil })
		Expect(r.targets["e0"].Max).To(Equal(slots))
	})
	It("refuses early what the queue cannot serve in time", func() {
		for range 2 {
			key := r.send("", "e0", "a", false, time.Second)
			r.advance(100 * time.Millisecond)
			r.complete(key, dispatch.OK, 0, nil)
		}
		for range 2 {
			r.send("", "e0", "a", false, time.Second)
		}
		Expect(r.code(r.send("", "e0", "a", false, 20*time.Millisecond))).To(Equal(result.RelayDeadline))
	})
})

func BenchmarkDispatchComplete(b *testing.B) {
	m := newMachine()
	m.SetView(0, &view.View{Bundle: newBundle(b, 2), Share: map[string]int{"e0": 5}})
	request := dispatch.Request{Key: dispatch.Key{Request: "r"}, Service: "desk", Endpoint: "e0", Body: "a", Budget: time.Hour}
	requests := make([]dispatch.Request, 1)
	b.ReportAllocs()
	for b.Loop() {
		request.Attempt++
		requests[0] = request
		m.Dispatch(0, "", requests)
		m.Complete(0, dispatch.Reply{Key: request.Key, Endpoint: "e0", Outcome: dispatch.OK})
	}
}
