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

// newBundle returns services "desk" and "counter" (urgent), "portal" (normal)
// and "notes" (archive). Each takes three requests at once and queues five;
// desk limits caller "ann".
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

// request is the oracle's record of a request that has not ended.
type request struct {
	admission.Request
	deadline time.Duration
	sequence int
	running  bool
}

// oracle recomputes from the list of requests what admission may do.
type oracle struct {
	bundle   *config.Bundle
	requests map[string]*request
	waited   map[config.Urgency]int
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

func (o *oracle) free(service string) bool {
	host := o.count(func(r *request) bool { return r.running })
	own := o.count(func(r *request) bool { return r.running && r.Service == service })
	return host < hostInFlight && own < o.bundle.Service(service).InFlightLimit
}

// refill brings ann's tokens up to date.
func (o *oracle) refill(now time.Duration) {
	o.tokens = min(o.tokens+10*(now-o.tokensAt).Seconds(), 3)
	o.tokensAt = now
}

// admit checks one admission from the queue against order and floor.
func (o *oracle) admit(t *rapid.T, id string) {
	e := o.requests[id]
	if e == nil || e.running || !o.free(e.Service) {
		t.Fatalf("%s was admitted without capacity, or twice", id)
	}
	class := o.urgency(e)
	contenders := map[config.Urgency]bool{}
	for _, r := range o.requests {
		if r.running || !o.free(r.Service) {
			continue
		}
		contenders[o.urgency(r)] = true
		earlier := r.deadline < e.deadline || (r.deadline == e.deadline && r.sequence < e.sequence)
		if o.urgency(r) == class && earlier {
			t.Fatalf("%s was admitted before %s", id, r.ID)
		}
	}
	for c := range config.UrgencyCount {
		o.waited[c]++
		if c == class || !contenders[c] {
			o.waited[c] = 0
		}
		if o.waited[c] > 10+int(config.UrgencyCount) {
			t.Fatalf("class %d was passed over %d times", c, o.waited[c])
		}
	}
	e.running = true
}

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
		o.admit(t, id)
	}
}

// justified tells whether the state allows a refusal with code.
func (o *oracle) justified(code result.Code, r *admission.Request) bool {
	own := func(q *request) bool { return !q.running && q.Service == r.Service }
	switch code {
	case result.UnknownCaller:
		return r.Service == "desk" && r.Caller == "eve"
	case result.CallerRate:
		return r.Service == "desk" && r.Caller == "ann" && o.tokens < 1
	case result.CallerInFlight:
		return r.Service == "desk" && r.Caller == "ann" && o.count(func(q *request) bool { return q.Service == "desk" && q.Caller == "ann" }) >= 4
	case result.QueueFull:
		return !o.free(r.Service) && (o.count(own) >= 5 || o.count(func(q *request) bool { return !q.running }) >= 12)
	case result.DeadlineTooShort:
		return !o.free(r.Service)
	default:
		return false
	}
}

func (o *oracle) pick(t *rapid.T, running bool) string {
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
		o := &oracle{bundle: bundle, requests: map[string]*request{}, waited: map[config.Urgency]int{}, tokens: 3}
		now, offered := time.Duration(0), 0
		offer := func(rt *rapid.T, r admission.Request) {
			offered++
			r.ID = fmt.Sprint("r", offered)
			o.refill(now)
			d := queue.Offer(now, r)
			if d.Verdict == admission.Refuse {
				if d.Code.Class() != result.ClassNotRun || !o.justified(d.Code, &r) {
					rt.Fatalf("%+v was refused with %d", r, d.Code)
				}
				return
			}
			if r.Caller == "eve" && r.Service == "desk" {
				rt.Fatal("an unknown caller was taken")
			}
			if r.Caller == "ann" && r.Service == "desk" {
				o.tokens--
			}
			if o.tokens < -1e-6 {
				rt.Fatal("the caller's rate was exceeded")
			}
			if (d.Verdict == admission.Admit) != o.free(r.Service) {
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
				id := o.pick(rt, true)
				delete(o.requests, id)
				o.apply(rt, now, queue.Release(now, id))
			},
			"contend": func(rt *rapid.T) { // keeps both ends of the order waiting
				for range 15 {
					for _, service := range []string{"notes", "counter", "desk"} {
						offer(rt, admission.Request{Service: service, Caller: "bob", Budget: time.Hour})
					}
					id := o.pick(rt, true)
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
			"cancel": func(rt *rapid.T) { o.apply(rt, now, queue.Cancel(now, o.pick(rt, false))) },
			"repeat": func(rt *rapid.T) {
				d := queue.Offer(now, admission.Request{ID: o.pick(rt, rapid.Bool().Draw(rt, "running")), Service: "notes", Budget: 1})
				if d.Verdict != admission.Refuse {
					rt.Fatal("a repeated ID was taken")
				}
			},
			"tick": func(rt *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond
				o.apply(rt, now, queue.Tick(now))
				if next, ok := queue.NextTick(); ok && next <= now {
					rt.Fatalf("the next tick is due at %v, it is %v", next, now)
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
					if !r.running && o.free(r.Service) {
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
	DescribeTable("refuses early what the observed rate cannot serve in time", func(limits admission.Limits, capacity int) {
		q := admission.New(limits)
		q.SetBundle(0, newBundle(GinkgoTB()))
		Expect(offer(q, 0, "a", time.Second).Verdict).To(Equal(admission.Admit))
		hold := time.Duration(capacity) * 100 * time.Millisecond
		q.Release(hold, "a")
		for i := range capacity {
			Expect(offer(q, 0, fmt.Sprint("b", i), time.Second).Verdict).To(Equal(admission.Admit))
		}
		Expect(offer(q, 0, "c", time.Second).Verdict).To(Equal(admission.Wait))
		Expect(offer(q, 0, "d", 99*time.Millisecond).Code).To(Equal(result.DeadlineTooShort))
		Expect(offer(q, 0, "e", 150*time.Millisecond).Verdict).To(Equal(admission.Wait))
	},
		Entry("behind the host's limit", admission.Limits{InFlight: 1}, 1),
		Entry("behind the service's limit", admission.Limits{}, 3),
	)
	It("refuses the waiting requests of a service that is gone, and lets the admitted end", func() {
		q := admission.New(admission.Limits{InFlight: 1})
		q.SetBundle(0, newBundle(GinkgoTB()))
		offer(q, 0, "a", time.Second)
		offer(q, 0, "b", time.Second)
		changes := q.SetBundle(0, testsuite.NewBundle(GinkgoTB(), nil, nil))
		Expect(changes.Refused).To(Equal([]admission.Refusal{{ID: "b", Code: result.UnknownService}}))
		Expect(q.Release(0, "a")).To(BeZero())
		Expect(offer(q, 0, "c", time.Second).Code).To(Equal(result.UnknownService))
	})
	It("refuses before it has a configuration and after it was stopped, and serves what waits", func() {
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
