package coordinator

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// harness drives one coordinator machine by hand.
type harness struct {
	m          *Machine
	now        time.Duration
	view       view.View
	lastTicket Ticket
	dispatched []RoutedRequest
	queries    map[Ticket]api.QueryAnswer
	submits    map[Ticket]api.SubmitAnswer
	forwards   []Forward
}

var testSelf = view.Incarnation{Address: "10.0.0.1:7000", Start: 1}

func newHarness() *harness {
	d := &harness{
		m:       New(Config{Self: testSelf, Fingerprint: fingerprint}, rand.New(rand.NewPCG(1, 1))),
		now:     time.Second,
		queries: make(map[Ticket]api.QueryAnswer),
		submits: make(map[Ticket]api.SubmitAnswer),
	}
	d.view = view.View{
		Ready: true, Bundle: newTestBundle(GinkgoTB(), 1, true), Self: view.Host{Incarnation: testSelf},
		LeavingEndpoints: map[string]bool{}, Suspects: map[view.Fingerprint]view.Suspicion{}, Relays: map[string][]string{},
	}
	return d
}

func (d *harness) apply(a Actions) {
	d.dispatched = append(d.dispatched, a.Dispatch...)
	d.forwards = append(d.forwards, a.Forwards...)
	for _, q := range a.Queries {
		Expect(d.queries).NotTo(HaveKey(q.Ticket))
		d.queries[q.Ticket] = q.Answer
	}
	for _, s := range a.Submits {
		Expect(d.submits).NotTo(HaveKey(s.Ticket))
		d.submits[s.Ticket] = s.Answer
	}
}

func (d *harness) setView(change func(v *view.View)) {
	if change != nil {
		change(&d.view)
	}
	v := d.view
	d.apply(d.m.SetView(d.now, &v))
}

func (d *harness) updateServices(change func(search, orders *config.Service)) {
	d.setView(func(v *view.View) { v.Bundle = changeServices(GinkgoTB(), v.Bundle, change) })
}

func (d *harness) query(q api.QueryRequest) Ticket {
	d.lastTicket++
	d.apply(d.m.Query(d.now, d.lastTicket, q))
	return d.lastTicket
}

func (d *harness) submit(s api.SubmitRequest) Ticket {
	d.lastTicket++
	d.apply(d.m.Submit(d.now, d.lastTicket, s, false))
	return d.lastTicket
}

func (d *harness) advance(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.now = min(d.m.Next(d.now), end)
		d.apply(d.m.Tick(d.now))
	}
}

func (d *harness) reply(r dispatch.Reply) { d.apply(d.m.Reply(d.now, r)) }

// lastAttempt returns the attempt dispatched lastAttempt.
func (d *harness) lastAttempt() *dispatch.Request { return &d.dispatched[len(d.dispatched)-1].Request }

func (d *harness) lastAttemptKeys() []dispatch.Key { return []dispatch.Key{d.lastAttempt().Key} }

func (d *harness) replySuccess() {
	d.reply(dispatch.Reply{Key: d.lastAttempt().Key, Outcome: dispatch.OK, Body: "receipt"})
}

func (d *harness) issuePermit() api.SubmitRequest {
	a := d.m.IssuePermits(d.now, api.PermitRequest{Service: "orders"})
	Expect(a.Code).To(Equal(result.PermitIssued))
	return api.SubmitRequest{Service: "orders", Permit: a.Permits[0], Body: "order"}
}

func sendFillerQueries(d *harness, n int) {
	for range n {
		d.query(api.QueryRequest{Service: "search", Query: "filler"})
	}
}

func allowOnlyCaller(c config.Caller) func(*harness) {
	return func(d *harness) {
		d.updateServices(func(search, orders *config.Service) {
			search.Callers = []config.Caller{c}
			orders.Callers = []config.Caller{c}
		})
	}
}

func setAllEndpointsLeaving(d *harness) {
	d.setView(func(v *view.View) {
		for _, id := range endpointIDs {
			v.LeavingEndpoints[id] = true
		}
	})
}

func setSuspicion(degree view.Suspicion) func(*harness) {
	return func(d *harness) { d.setView(func(v *view.View) { v.Suspects[0] = degree }) }
}

var _ = DescribeTable("a query is refused", func(service string, code result.Code, before, after func(*harness)) {
	d := newHarness()
	if before == nil {
		before = func(d *harness) { d.setView(nil) }
	}
	before(d)
	ticket := d.query(api.QueryRequest{RequestID: "r", Service: service, Caller: "ann", Query: "text", BudgetMS: 100})
	if after != nil {
		after(d)
	}
	Expect(d.queries[ticket].Code).To(Equal(code))
	Expect(d.queries[ticket].RequestID).To(Equal("r"))
	Expect(code.Class()).To(Equal(result.ClassNotRun))
	if code != result.AllRefused {
		Expect(d.dispatched).NotTo(ContainElement(HaveField("Request.Body", "text")), "it was dispatched")
	}
},
	Entry("no view yet", "search", result.NotReady, func(*harness) {}, nil),
	Entry("no configuration", "search", result.StaleBelief, func(d *harness) {
		d.setView(func(v *view.View) { v.Ready, v.Reason, v.Bundle = false, result.StaleBelief, nil })
	}, nil),
	Entry("stopping", "search", result.Stopping, func(d *harness) { d.setView(nil); d.apply(d.m.Stop(d.now)) }, nil),
	Entry("unknown service", "maps", result.UnknownService, nil, nil),
	Entry("not repeatable", "orders", result.PermitRequired, nil, nil),
	Entry("unknown caller", "search", result.UnknownCaller, allowOnlyCaller(config.Caller{Name: "bob"}), nil),
	Entry("caller's rate", "search", result.CallerRate, func(d *harness) {
		allowOnlyCaller(config.Caller{Name: "ann", RatePerSecond: 1, Burst: 1})(d)
		for range 2 {
			d.query(api.QueryRequest{Service: "search", Caller: "ann", Query: "filler"})
		}
	}, nil),
	Entry("caller's requests in flight", "search", result.CallerInFlight, func(d *harness) {
		allowOnlyCaller(config.Caller{Name: "ann", InFlight: 1})(d)
		d.query(api.QueryRequest{Service: "search", Caller: "ann", Query: "filler"})
	}, nil),
	Entry("queue full", "search", result.QueueFull, func(d *harness) { d.setView(nil); sendFillerQueries(d, 7) }, nil),
	Entry("deadline too short", "search", result.DeadlineTooShort, func(d *harness) {
		d.setView(nil)
		sendFillerQueries(d, 4)
		d.advance(time.Second)
		d.updateServices(func(search, _ *config.Service) { search.InFlightLimit = 1 })
		sendFillerQueries(d, 2)
	}, nil),
	Entry("expired in the queue", "search", result.ExpiredInQueue, func(d *harness) { d.setView(nil); sendFillerQueries(d, 4) }, func(d *harness) { d.advance(150 * time.Millisecond) }),
	Entry("service gone while it waits", "search", result.UnknownService, func(d *harness) { d.setView(nil); sendFillerQueries(d, 4) }, func(d *harness) {
		d.setView(func(v *view.View) { v.Bundle = buildBundle(GinkgoTB(), 9, nil, nil) })
	}),
	Entry("quarantined", "search", result.Quarantined, setSuspicion(view.Quarantined), nil),
	Entry("every endpoint leaving", "search", result.NoReplica, setAllEndpointsLeaving, nil),
	Entry("every attempt refused", "search", result.AllRefused, nil, func(d *harness) {
		for i := 0; i < len(d.dispatched); i++ {
			d.reply(d.dispatched[i].Request.RefusedReply(result.EndpointShed))
			if i+1 == len(d.dispatched) {
				d.advance(8 * time.Millisecond)
			}
		}
	}),
)

var _ = DescribeTable("a submit that is never dispatched", func(code, repeated result.Code, before func(*harness, *api.SubmitRequest)) {
	d := newHarness()
	d.setView(nil)
	s := d.issuePermit()
	before(d, &s)
	count := len(d.dispatched)
	s.Caller = "ann"
	Expect(d.submits[d.submit(s)].Code).To(Equal(code))
	Expect(d.submits[d.submit(s)].Code).To(Equal(repeated))
	Expect(d.dispatched).To(HaveLen(count))
},
	Entry("without a permit", result.PermitRequired, result.PermitRequired, func(_ *harness, s *api.SubmitRequest) { s.Permit = "" }),
	Entry("malformed", result.PermitMalformed, result.PermitMalformed, func(_ *harness, s *api.SubmitRequest) { s.Permit = "1" + s.Permit }),
	Entry("wrong service", result.PermitBodyMismatch, result.PermitBodyMismatch, func(_ *harness, s *api.SubmitRequest) { s.Service = "search" }),
	Entry("guessed", result.PermitNeverIssued, result.PermitNeverIssued, func(d *harness, s *api.SubmitRequest) {
		s.Permit = "1~10.0.0.1:7000~1~1~123~orders"
	}),
	Entry("expired", result.PermitExpired, result.PermitExpired, func(d *harness, _ *api.SubmitRequest) { d.advance(3 * time.Second) }),
	Entry("stopping", result.PermitBurnt, result.PermitBurnt, func(d *harness, _ *api.SubmitRequest) { d.apply(d.m.Stop(d.now)) }),
	Entry("used with another body", result.PermitBodyMismatch, result.PermitBodyMismatch, func(d *harness, s *api.SubmitRequest) {
		d.submit(*s)
		s.Body = "another"
	}),
	Entry("service gone", result.UnknownService, result.PermitBurnt, func(d *harness, _ *api.SubmitRequest) {
		d.setView(func(v *view.View) { v.Bundle = newTestBundle(GinkgoTB(), 2, false) })
	}),
	Entry("unknown caller", result.UnknownCaller, result.PermitBurnt, func(d *harness, _ *api.SubmitRequest) { allowOnlyCaller(config.Caller{Name: "bob"})(d) }),
	Entry("quarantined", result.Quarantined, result.PermitBurnt, func(d *harness, _ *api.SubmitRequest) { setSuspicion(view.Quarantined)(d) }),
	Entry("suspect, and one replica left", result.Quarantined, result.PermitBurnt, func(d *harness, _ *api.SubmitRequest) {
		d.setView(func(v *view.View) { v.LeavingEndpoints["o0"] = true })
		setSuspicion(view.Suspected)(d)
	}),
	Entry("every endpoint leaving", result.NoReplica, result.PermitBurnt, func(d *harness, _ *api.SubmitRequest) { setAllEndpointsLeaving(d) }),
	Entry("queue full", result.QueueFull, result.PermitBurnt, func(d *harness, _ *api.SubmitRequest) {
		for range 5 {
			d.submit(d.issuePermit())
		}
	}),
)

const testPeer = "10.0.0.2:7000"

var _ = DescribeTable("a submit that was dispatched", func(fault func(*harness), code, repeated result.Code, attempts int) {
	d := newHarness()
	d.setView(func(v *view.View) {
		for _, id := range endpointIDs {
			v.Relays[id] = []string{testPeer, "10.0.0.3:7000"}
		}
	})
	d.m.cfg.Self.Start = 2 // the first choice of relays is deskPeer
	s := d.issuePermit()
	ticket := d.submit(s)
	Expect(d.dispatched[0].To).To(Equal(testPeer))
	fault(d)
	Expect(d.submits[ticket].Code).To(Equal(code))
	Expect(d.submits[d.submit(s)].Code).To(Equal(repeated))
	Expect(d.dispatched).To(HaveLen(attempts))
	s.Body = "another"
	Expect(d.submits[d.submit(s)].Code).To(Equal(result.PermitBodyMismatch))
},
	Entry("succeeded", (*harness).replySuccess, result.Done, result.Replayed, 1),
	Entry("failed", func(d *harness) {
		d.reply(dispatch.Reply{Key: d.lastAttempt().Key, Outcome: dispatch.Failed, Code: result.EndpointFailed})
	},
		result.EndpointFailed, result.EndpointFailed, 1),
	Entry("was shed once", func(d *harness) { d.reply(d.lastAttempt().RefusedReply(result.EndpointShed)); d.replySuccess() }, result.Done, result.Replayed, 2),
	Entry("was shed by each replica", func(d *harness) {
		d.reply(d.lastAttempt().RefusedReply(result.EndpointShed))
		d.reply(d.lastAttempt().RefusedReply(result.EndpointShed))
	}, result.AllRefused, result.PermitBurnt, 2),
	Entry("was refused as quarantined", func(d *harness) { d.reply(d.lastAttempt().RefusedReply(result.Quarantined)) }, result.Quarantined, result.PermitBurnt, 1),
	Entry("crashed its endpoint", func(d *harness) { d.reply(d.lastAttempt().UnknownReply(result.EndpointCrashed)) }, result.OutcomeUnknown, result.OutcomeUnknown, 1),
	Entry("was not written", func(d *harness) {
		d.apply(d.m.AttemptsNotWritten(d.now, testPeer, d.lastAttemptKeys()))
		Expect(d.dispatched[1].To).NotTo(Equal(testPeer))
		d.replySuccess()
	}, result.Done, result.Replayed, 2),
	Entry("was not written by any relay", func(d *harness) {
		d.apply(d.m.AttemptsNotWritten(d.now, testPeer, d.lastAttemptKeys()))
		d.apply(d.m.AttemptsNotWritten(d.now, d.dispatched[1].To, d.lastAttemptKeys()))
		Expect(d.dispatched[2].To).To(BeEmpty())
		d.replySuccess()
	}, result.Done, result.Replayed, 3),
	Entry("went to a relay that stops", func(d *harness) {
		d.reply(d.lastAttempt().RefusedReply(result.Stopping))
		Expect(d.dispatched[1].To).NotTo(Equal(testPeer))
		d.replySuccess()
	}, result.Done, result.Replayed, 2),
	Entry("was written by half", func(d *harness) { d.apply(d.m.AttemptsLost(d.now, testPeer, d.lastAttemptKeys())) }, result.OutcomeUnknown, result.OutcomeUnknown, 1),
	Entry("was written, and the relay lost", func(d *harness) {
		d.apply(d.m.AttemptsWritten(d.now, testPeer, d.lastAttemptKeys()))
		d.apply(d.m.PeerConnectionLost(d.now, testPeer))
	}, result.OutcomeUnknown, result.OutcomeUnknown, 1),
	Entry("was written before the relay was lost, and told so later", func(d *harness) {
		d.apply(d.m.PeerConnectionLost(d.now, testPeer))
		d.apply(d.m.AttemptsWritten(d.now, testPeer, d.lastAttemptKeys()))
	}, result.OutcomeUnknown, result.OutcomeUnknown, 1),
	Entry("was not written, and the relay lost before", func(d *harness) {
		d.apply(d.m.PeerConnectionLost(d.now, testPeer))
		d.apply(d.m.AttemptsNotWritten(d.now, testPeer, d.lastAttemptKeys()))
		d.replySuccess()
	}, result.Done, result.Replayed, 2),
	Entry("succeeded after its relay counted as lost", func(d *harness) {
		d.apply(d.m.AttemptsLost(d.now, testPeer, d.lastAttemptKeys()))
		d.replySuccess()
	}, result.OutcomeUnknown, result.Replayed, 1),
	Entry("was refused after its relay counted as lost", func(d *harness) {
		d.apply(d.m.AttemptsLost(d.now, testPeer, d.lastAttemptKeys()))
		d.reply(d.lastAttempt().RefusedReply(result.EndpointShed))
	}, result.OutcomeUnknown, result.PermitBurnt, 1),
	Entry("outlasts its deadline", func(d *harness) { d.advance(400 * time.Millisecond); d.replySuccess() }, result.StillRunning, result.Replayed, 1),
	Entry("never ends", func(d *harness) { d.advance(11 * time.Second) }, result.StillRunning, result.OutcomeUnknown, 1),
	Entry("was shed when its service was gone", func(d *harness) {
		d.setView(func(v *view.View) { v.Bundle = newTestBundle(GinkgoTB(), 2, false) })
		d.reply(d.lastAttempt().RefusedReply(result.EndpointShed))
	}, result.NoReplica, result.PermitBurnt, 1),
	Entry("was shed after the pause in which its deadline passed", func(d *harness) {
		d.now += PauseThreshold + 100*time.Millisecond
		d.reply(d.lastAttempt().RefusedReply(result.EndpointShed))
	}, result.StillRunning, result.PermitBurnt, 1),
)

var _ = Describe("coordinator", func() {
	It("forwards a foreign permit once, and not a forwarded one", func() {
		d := newHarness()
		d.setView(nil)
		s := api.SubmitRequest{Service: "orders", Permit: "1~10.0.0.9:7000~1~1~123~orders", Body: "order"}
		ticket := d.submit(s)
		Expect(d.submits).NotTo(HaveKey(ticket))
		Expect(d.forwards).To(HaveLen(1))
		Expect(d.forwards[0].Issuer).To(Equal(view.Incarnation{Address: "10.0.0.9:7000", Start: 1}))
		d.apply(d.m.Submit(d.now, 99, s, true))
		Expect(d.submits[99].Code).To(Equal(result.IssuerUnreachable))
		Expect(d.forwards).To(HaveLen(1))
	})
	It("asks the successors about a permit of an earlier incarnation, and never runs it", func() {
		d := newHarness()
		d.setView(func(v *view.View) {
			v.Hosts = []view.Host{{Incarnation: view.Incarnation{Address: testPeer, Start: 2}}}
		})
		s := api.SubmitRequest{Service: "orders", Permit: "1~10.0.0.1:7000~7~1~123~orders", Body: "order"}
		d.submit(s)
		Expect(d.forwards).To(HaveLen(1))
		Expect(d.forwards[0].Successors).To(Equal([]string{testPeer}))
		d.apply(d.m.Submit(d.now, 99, s, true))
		Expect(d.submits[99].Code).To(Equal(result.IssuerReplaced))
		Expect(d.dispatched).To(BeEmpty())
	})
	It("runs a suspect submit alone", func() {
		d := newHarness()
		setSuspicion(view.Suspected)(d)
		d.submit(d.issuePermit())
		Expect(d.lastAttempt().Suspect).To(BeTrue())
	})
	It("answers each caller that waits for the same permit, and bounds them", func() {
		d := newHarness()
		d.setView(nil)
		s := d.issuePermit()
		for range maxWaiters + 1 {
			d.submit(s)
		}
		Expect(d.submits).To(HaveLen(1))
		Expect(d.submits[d.lastTicket].Code).To(Equal(result.StillRunning))
		d.apply(d.m.CallerDisconnected(d.now, 1))
		d.replySuccess()
		Expect(d.submits).To(HaveLen(maxWaiters + 1))
		Expect(d.m.RunningRequests()).To(BeZero())
	})
	It("goes on retrying refused submits as the budget is earned", func() {
		d := newHarness()
		d.setView(nil)
		retried := 0
		for range 60 * retryBurst {
			ticket := d.submit(d.issuePermit())
			if len(d.dispatched)%16 == 0 {
				retried++
				d.reply(d.lastAttempt().RefusedReply(result.EndpointShed))
			}
			d.replySuccess()
			Expect(d.submits[ticket].Code).To(Equal(result.Done))
			d.advance(time.Second)
		}
		Expect(retried).To(BeNumerically(">", 2*retryBurst))
	})
	It("mints as many permits at once as the API allows", func() {
		d := newHarness()
		d.setView(nil)
		Expect(d.m.IssuePermits(d.now, api.PermitRequest{Service: "orders", Count: api.MaxPermits}).Permits).To(HaveLen(api.MaxPermits))
		Expect(d.m.IssuePermits(d.now, api.PermitRequest{Service: "orders"}).Code).To(Equal(result.LedgerFull))
	})
	It("refuses to mint what it cannot serve", func() {
		d := newHarness()
		Expect(d.m.IssuePermits(d.now, api.PermitRequest{Service: "orders"}).Code).To(Equal(result.NotReady))
		allowOnlyCaller(config.Caller{Name: "ann"})(d)
		Expect(d.m.IssuePermits(d.now, api.PermitRequest{Service: "search", Caller: "ann"}).Code).To(Equal(result.NotRepeatable))
		Expect(d.m.IssuePermits(d.now, api.PermitRequest{Service: "orders", Caller: "bob"}).Code).To(Equal(result.UnknownCaller))
		d.apply(d.m.Stop(d.now))
		Expect(d.m.IssuePermits(d.now, api.PermitRequest{Service: "orders", Caller: "ann"}).Code).To(Equal(result.Stopping))
	})
})
