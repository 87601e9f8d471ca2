package admission_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/admission"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestAdmission(t *testing.T) { testsuite.RunSpecs(t, "admission") }

const hostInFlight = 4

// newBundle returns a configuration with the services "desk" and "counter" (urgent),
// "portal" (normal) and "notes" (archive). Each runs up to three requests at once
// and queues up to five. Service "desk" knows the callers "ann", who is limited, and
// "bob"; "eve" is unknown to it.
func newBundle(t testing.TB) *config.Bundle {
	var services []config.Service
	endpoints := map[string][]config.Endpoint{}
	for i, name := range []string{"desk", "counter", "portal", "notes"} {
		s := testsuite.NewService(name)
		s.Urgency = config.Urgency(max(i-1, 0))
		s.InFlightLimit = 3
		s.QueueLimit = 5
		if name == "desk" {
			s.Callers = []config.Caller{{Name: "ann", RatePerSecond: 10, Burst: 2, InFlight: 4}, {Name: "bob"}}
		}
		services = append(services, s)
		endpoints[name] = []config.Endpoint{{ID: name, Address: "10.0.0.1:80", Slots: 1, MaxConnections: 1}}
	}
	return testsuite.NewBundle(t, services, endpoints)
}

// request is the oracle's record of a request that waits or runs.
type request struct {
	admission.Request
	deadline time.Duration
	sequence int
	running  bool
}

// oracle keeps a list of the requests and computes from it which decisions of the
// queue are allowed.
type oracle struct {
	bundle   *config.Bundle
	requests map[string]*request
	// skipped counts for each class the consecutive admissions from the queue in which
	// it was ready and another class was chosen.
	skipped map[config.Urgency]int
	// tokens is the number of tokens in the bucket of caller ann at tokensAt.
	tokens   float64
	tokensAt time.Duration
}

func (o *oracle) urgency(r *request) config.Urgency { return o.bundle.Service(r.Service).Urgency }

func (o *oracle) count(match func(*request) bool) int {
	n := 0
	for _, r := range o.requests {
		if match(r) {
			n++
		}
	}
	return n
}

// hasCapacity reports whether a request of the service could run now.
func (o *oracle) hasCapacity(service string) bool {
	hostRunning := o.count(func(r *request) bool { return r.running })
	serviceRunning := o.count(func(r *request) bool { return r.running && r.Service == service })
	return hostRunning < hostInFlight && serviceRunning < o.bundle.Service(service).InFlightLimit
}

// refillTokens adds the tokens earned since tokensAt to ann's bucket, which holds up
// to her burst of 2 and one more.
func (o *oracle) refillTokens(now time.Duration) {
	o.tokens = min(o.tokens+10*(now-o.tokensAt).Seconds(), 3)
	o.tokensAt = now
}

// checkAdmission checks and records one admission from the queue: there is capacity
// for the request, it has the earliest deadline of its class, and no class starves.
func (o *oracle) checkAdmission(t *rapid.T, id string) {
	e := o.requests[id]
	if e == nil || e.running || !o.hasCapacity(e.Service) {
		t.Fatalf("%s was admitted without capacity, twice, or after its end", id)
	}
	class := o.urgency(e)
	ready := map[config.Urgency]bool{}
	for _, r := range o.requests {
		if r.running || !o.hasCapacity(r.Service) {
			continue
		}
		ready[o.urgency(r)] = true
		earlier := r.deadline < e.deadline || (r.deadline == e.deadline && r.sequence < e.sequence)
		if o.urgency(r) == class && earlier {
			t.Fatalf("%s was admitted before %s", id, r.ID)
		}
	}
	for c := range config.UrgencyCount {
		o.skipped[c]++
		if c == class || !ready[c] {
			o.skipped[c] = 0
		}
		if o.skipped[c] > 10+int(config.UrgencyCount) {
			t.Fatalf("class %d was skipped %d times", c, o.skipped[c])
		}
	}
	e.running = true
}

// apply checks and records the changes that a call returned.
func (o *oracle) apply(t *rapid.T, now time.Duration, changes admission.Changes) {
	for _, refusal := range changes.Refused {
		r := o.requests[refusal.ID]
		if r == nil || r.running {
			t.Fatalf("%s was refused after it ended or ran", refusal.ID)
		}
		if refusal.Code == result.ExpiredInQueue && r.deadline > now {
			t.Fatalf("%s expired early", refusal.ID)
		}
		delete(o.requests, refusal.ID)
	}
	for _, id := range changes.Admitted {
		o.checkAdmission(t, id)
	}
}

// refusalAllowed reports whether the state allows the queue to refuse a new request
// with the given code.
func (o *oracle) refusalAllowed(code result.Code, r *admission.Request) bool {
	waitsForService := func(q *request) bool { return !q.running && q.Service == r.Service }
	switch code {
	case result.UnknownCaller:
		return r.Service == "desk" && r.Caller == "eve"
	case result.CallerRate:
		return r.Service == "desk" && r.Caller == "ann" && o.tokens < 1
	case result.CallerInFlight:
		return r.Service == "desk" && r.Caller == "ann" && o.count(func(q *request) bool { return q.Service == "desk" && q.Caller == "ann" }) >= 4
	case result.QueueFull:
		return !o.hasCapacity(r.Service) && (o.count(waitsForService) >= 5 || o.count(func(q *request) bool { return !q.running }) >= 12)
	case result.DeadlineTooShort:
		return !o.hasCapacity(r.Service)
	default:
		return false
	}
}

// drawRequest draws the ID of a request that waits or, if running is true, runs. It
// skips the action if there is none.
func (o *oracle) drawRequest(t *rapid.T, running bool) string {
	var ids []string
	for id, r := range o.requests {
		if r.running == running {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		t.Skip("no such request")
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "request")
}

func TestQueueAgainstOracle(t *testing.T) {
	bundle := newBundle(t)
	testsuite.Check(t, func(rt *rapid.T) {
		queue := admission.New(admission.Limits{InFlight: hostInFlight, Queue: 12})
		queue.SetBundle(0, bundle)
		o := &oracle{bundle: bundle, requests: map[string]*request{}, skipped: map[config.Urgency]int{}, tokens: 3}
		now, offered := time.Duration(0), 0
		offer := func(rt *rapid.T, r admission.Request) {
			offered++
			r.ID = fmt.Sprint("r", offered)
			o.refillTokens(now)
			d := queue.Offer(now, r)
			if d.Verdict == admission.Refuse {
				if d.Code.Class() != result.ClassNotRun || !o.refusalAllowed(d.Code, &r) {
					rt.Fatalf("%+v was refused with %d", r, d.Code)
				}
				return
			}
			if r.Caller == "eve" && r.Service == "desk" {
				rt.Fatal("an unknown caller was not refused")
			}
			if r.Caller == "ann" && r.Service == "desk" {
				o.tokens--
			}
			if o.tokens < -1e-6 {
				rt.Fatal("the caller's rate was exceeded")
			}
			if (d.Verdict == admission.Admit) != o.hasCapacity(r.Service) {
				rt.Fatalf("%+v: verdict %d", r, d.Verdict)
			}
			o.requests[r.ID] = &request{Request: r, deadline: now + r.Budget, sequence: offered, running: d.Verdict == admission.Admit}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"offer": func(rt *rapid.T) {
				offer(rt, admission.Request{
					Service: rapid.SampledFrom([]string{"desk", "counter", "portal", "notes"}).Draw(rt, "service"),
					Caller:  rapid.SampledFrom([]string{"ann", "bob", "eve"}).Draw(rt, "caller"),
					Budget:  time.Duration(rapid.IntRange(1, 1000).Draw(rt, "budget")) * time.Millisecond,
				})
			},
			"release": func(rt *rapid.T) {
				id := o.drawRequest(rt, true)
				delete(o.requests, id)
				o.apply(rt, now, queue.Release(now, id))
			},
			"contend": func(rt *rapid.T) { // keeps requests of the most and the least urgent class waiting
				for range 15 {
					for _, service := range []string{"notes", "counter", "desk"} {
						offer(rt, admission.Request{Service: service, Caller: "bob", Budget: time.Hour})
					}
					id := o.drawRequest(rt, true)
					delete(o.requests, id)
					o.apply(rt, now, queue.Release(now, id))
				}
			},
			"one caller": func(rt *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(rt, "offers") {
					offer(rt, admission.Request{Service: "desk", Caller: "ann", Budget: time.Hour})
				}
				now += time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond
				for _, id := range slices.Sorted(maps.Keys(o.requests)) {
					if r := o.requests[id]; r != nil && r.running && r.Service == "notes" {
						delete(o.requests, id)
						o.apply(rt, now, queue.Release(now, id))
					}
				}
			},
			"cancel": func(rt *rapid.T) { o.apply(rt, now, queue.Cancel(now, o.drawRequest(rt, false))) },
			"repeat": func(rt *rapid.T) {
				d := queue.Offer(now, admission.Request{ID: o.drawRequest(rt, rapid.Bool().Draw(rt, "running")), Service: "notes", Budget: 1})
				if d.Verdict != admission.Refuse {
					rt.Fatal("a repeated ID was not refused")
				}
			},
			"tick": func(rt *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond
				o.apply(rt, now, queue.Tick(now))
				if next, ok := queue.NextTick(); ok && next <= now {
					rt.Fatalf("the next tick is due at %v, now is %v", next, now)
				}
			},
			"": func(rt *rapid.T) {
				queued, inFlight := queue.Counts()
				if n := o.count(func(r *request) bool { return r.running }); inFlight != n || queued != len(o.requests)-n {
					rt.Fatalf("%d waiting and %d running, want %d and %d", queued, inFlight, len(o.requests)-n, n)
				}
				if n := o.count(func(r *request) bool { return r.Caller == "ann" && r.Service == "desk" }); n > 4 {
					rt.Fatalf("the caller has %d requests", n)
				}
				for _, r := range o.requests {
					if !r.running && o.hasCapacity(r.Service) {
						rt.Fatalf("%s waits while there is capacity", r.ID)
					}
				}
			},
		})
	})
}

var _ = Describe("queue", func() {
	offer := func(q *admission.Queue, now time.Duration, id string, budget time.Duration) admission.Decision {
		return q.Offer(now, admission.Request{ID: id, Service: "portal", Budget: budget})
	}
	DescribeTable("refuses a request whose expected wait exceeds its deadline", func(limits admission.Limits, capacity int) {
		q := admission.New(limits)
		q.SetBundle(0, newBundle(GinkgoTB()))
		Expect(offer(q, 0, "a", time.Second).Verdict).To(Equal(admission.Admit))
		// With this average time, the first waiting request is expected to wait 100 ms.
		hold := time.Duration(capacity) * 100 * time.Millisecond
		q.Release(hold, "a")
		for i := range capacity {
			Expect(offer(q, 0, fmt.Sprint("b", i), time.Second).Verdict).To(Equal(admission.Admit))
		}
		Expect(offer(q, 0, "c", time.Second).Verdict).To(Equal(admission.Wait))
		Expect(offer(q, 0, "d", 99*time.Millisecond).Code).To(Equal(result.DeadlineTooShort))
		Expect(offer(q, 0, "e", 150*time.Millisecond).Verdict).To(Equal(admission.Wait))
	},
		Entry("limited by the host", admission.Limits{InFlight: 1}, 1),
		Entry("limited by the service", admission.Limits{}, 3),
	)
	It("refuses the waiting requests of a removed service and lets the admitted ones finish", func() {
		q := admission.New(admission.Limits{InFlight: 1})
		q.SetBundle(0, newBundle(GinkgoTB()))
		offer(q, 0, "a", time.Second)
		offer(q, 0, "b", time.Second)
		changes := q.SetBundle(0, testsuite.NewBundle(GinkgoTB(), nil, nil))
		Expect(changes.Refused).To(Equal([]admission.Refusal{{ID: "b", Code: result.UnknownService}}))
		Expect(q.Release(0, "a")).To(BeZero())
		Expect(offer(q, 0, "c", time.Second).Code).To(Equal(result.UnknownService))
	})
	It("refuses requests without a configuration and after Stop, and still admits waiting ones", func() {
		q := admission.New(admission.Limits{InFlight: 1})
		Expect(offer(q, 0, "a", time.Second).Code).To(Equal(result.NotReady))
		q.SetBundle(0, newBundle(GinkgoTB()))
		offer(q, 0, "a", time.Second)
		offer(q, 0, "b", time.Second)
		q.Stop()
		Expect(offer(q, 0, "c", time.Second).Code).To(Equal(result.Stopping))
		Expect(q.Release(0, "a").Admitted).To(Equal([]string{"b"}))
	})
})

func BenchmarkOfferRelease(b *testing.B) {
	q := admission.New(admission.Limits{})
	q.SetBundle(0, newBundle(b))
	b.ReportAllocs()
	for b.Loop() {
		q.Offer(0, admission.Request{ID: "r", Service: "portal", Budget: time.Second})
		q.Release(0, "r")
	}
}
