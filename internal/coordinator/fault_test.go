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

// harness drives one coordinator state machine and collects its actions.
// Replies to attempts come from the test.
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

// testSelf is the incarnation of the host under test.
var testSelf = view.Incarnation{Address: "10.0.0.1:7000", Start: 1}

func newHarness() *harness {
	h := &harness{
		m:       New(Config{Self: testSelf, Fingerprint: fingerprint}, rand.New(rand.NewPCG(1, 1))),
		now:     time.Second,
		queries: make(map[Ticket]api.QueryAnswer),
		submits: make(map[Ticket]api.SubmitAnswer),
	}
	h.view = view.View{
		Ready: true, Bundle: newTestBundle(GinkgoTB(), 1, true), Self: view.Host{Incarnation: testSelf},
		LeavingEndpoints: map[string]bool{}, Suspects: map[view.Fingerprint]view.Suspicion{}, Relays: map[string][]string{},
	}
	return h
}

// apply records actions, and checks that no request is answered twice.
func (h *harness) apply(a Actions) {
	h.dispatched = append(h.dispatched, a.Dispatch...)
	h.forwards = append(h.forwards, a.Forwards...)
	for _, q := range a.Queries {
		Expect(h.queries).NotTo(HaveKey(q.Ticket))
		h.queries[q.Ticket] = q.Answer
	}
	for _, s := range a.Submits {
		Expect(h.submits).NotTo(HaveKey(s.Ticket))
		h.submits[s.Ticket] = s.Answer
	}
}

// setView changes the view, if change is not nil, and passes a copy to the
// machine.
func (h *harness) setView(change func(v *view.View)) {
	if change != nil {
		change(&h.view)
	}
	v := h.view
	h.apply(h.m.SetView(h.now, &v))
}

// updateServices passes a view with changed services to the machine.
func (h *harness) updateServices(change func(search, orders *config.Service)) {
	h.setView(func(v *view.View) { v.Bundle = changeServices(GinkgoTB(), v.Bundle, change) })
}

func (h *harness) query(q api.QueryRequest) Ticket {
	h.lastTicket++
	h.apply(h.m.Query(h.now, h.lastTicket, q))
	return h.lastTicket
}

func (h *harness) submit(s api.SubmitRequest) Ticket {
	h.lastTicket++
	h.apply(h.m.Submit(h.now, h.lastTicket, s, false))
	return h.lastTicket
}

// advance moves the clock forward and ticks the machine whenever a tick is
// due.
func (h *harness) advance(span time.Duration) {
	for end := h.now + span; h.now < end; {
		h.now = min(h.m.NextTick(h.now), end)
		h.apply(h.m.Tick(h.now))
	}
}

func (h *harness) reply(r dispatch.Reply) { h.apply(h.m.Reply(h.now, r)) }

// lastAttempt returns the attempt that was dispatched last.
func (h *harness) lastAttempt() *dispatch.Request { return &h.dispatched[len(h.dispatched)-1].Request }

// lastAttemptKeys returns the key of the last attempt, as the only element.
func (h *harness) lastAttemptKeys() []dispatch.Key { return []dispatch.Key{h.lastAttempt().Key} }

// replySuccess replies to the last attempt with success.
func (h *harness) replySuccess() {
	h.reply(dispatch.Reply{Key: h.lastAttempt().Key, Outcome: dispatch.OK, Body: "receipt"})
}

// issuePermit issues a permit and returns a submit of it.
func (h *harness) issuePermit() api.SubmitRequest {
	a := h.m.IssuePermits(h.now, api.PermitRequest{Service: "orders"})
	Expect(a.Code).To(Equal(result.PermitIssued))
	return api.SubmitRequest{Service: "orders", Permit: a.Permits[0], Body: "order"}
}

// sendFillerQueries sends n queries that occupy the service.
func sendFillerQueries(h *harness, n int) {
	for range n {
		h.query(api.QueryRequest{Service: "search", Query: "filler"})
	}
}

// allowOnlyCaller configures one caller for all services, so that they refuse
// all others.
func allowOnlyCaller(c config.Caller) func(*harness) {
	return func(h *harness) {
		h.updateServices(func(search, orders *config.Service) {
			search.Callers = []config.Caller{c}
			orders.Callers = []config.Caller{c}
		})
	}
}

// setAllEndpointsLeaving passes a view to the machine in which all endpoints
// are leaving.
func setAllEndpointsLeaving(h *harness) {
	h.setView(func(v *view.View) {
		for _, id := range endpointIDs {
			v.LeavingEndpoints[id] = true
		}
	})
}

// setSuspicion passes a view to the machine in which every request without the
// fingerprint poisonFingerprint has the given degree of suspicion.
func setSuspicion(degree view.Suspicion) func(*harness) {
	return func(h *harness) { h.setView(func(v *view.View) { v.Suspects[0] = degree }) }
}

var _ = DescribeTable("a query is refused", func(service string, code result.Code, before, after func(*harness)) {
	h := newHarness()
	if before == nil {
		before = func(h *harness) { h.setView(nil) }
	}
	before(h)
	ticket := h.query(api.QueryRequest{RequestID: "r", Service: service, Caller: "ann", Query: "text", BudgetMS: 100})
	if after != nil {
		after(h)
	}
	Expect(h.queries[ticket].Code).To(Equal(code))
	Expect(h.queries[ticket].RequestID).To(Equal("r"))
	Expect(code.Class()).To(Equal(result.ClassNotRun))
	if code != result.AllRefused {
		Expect(h.dispatched).NotTo(ContainElement(HaveField("Request.Body", "text")), "the query was dispatched")
	}
},
	Entry("no view yet", "search", result.NotReady, func(*harness) {}, nil),
	Entry("no configuration", "search", result.StaleBelief, func(h *harness) {
		h.setView(func(v *view.View) { v.Ready, v.Reason, v.Bundle = false, result.StaleBelief, nil })
	}, nil),
	Entry("stopping", "search", result.Stopping, func(h *harness) { h.setView(nil); h.apply(h.m.Stop(h.now)) }, nil),
	Entry("unknown service", "maps", result.UnknownService, nil, nil),
	Entry("not repeatable", "orders", result.PermitRequired, nil, nil),
	Entry("unknown caller", "search", result.UnknownCaller, allowOnlyCaller(config.Caller{Name: "bob"}), nil),
	Entry("caller's rate", "search", result.CallerRate, func(h *harness) {
		allowOnlyCaller(config.Caller{Name: "ann", RatePerSecond: 1, Burst: 1})(h)
		for range 2 {
			h.query(api.QueryRequest{Service: "search", Caller: "ann", Query: "filler"})
		}
	}, nil),
	Entry("caller's requests in flight", "search", result.CallerInFlight, func(h *harness) {
		allowOnlyCaller(config.Caller{Name: "ann", InFlight: 1})(h)
		h.query(api.QueryRequest{Service: "search", Caller: "ann", Query: "filler"})
	}, nil),
	Entry("queue full", "search", result.QueueFull, func(h *harness) { h.setView(nil); sendFillerQueries(h, 7) }, nil),
	Entry("deadline too short", "search", result.DeadlineTooShort, func(h *harness) {
		h.setView(nil)
		sendFillerQueries(h, 4)
		h.advance(time.Second)
		h.updateServices(func(search, _ *config.Service) { search.InFlightLimit = 1 })
		sendFillerQueries(h, 2)
	}, nil),
	Entry("expired in the queue", "search", result.ExpiredInQueue, func(h *harness) { h.setView(nil); sendFillerQueries(h, 4) }, func(h *harness) { h.advance(150 * time.Millisecond) }),
	Entry("service removed while the query waits", "search", result.UnknownService, func(h *harness) { h.setView(nil); sendFillerQueries(h, 4) }, func(h *harness) {
		h.setView(func(v *view.View) { v.Bundle = buildBundle(GinkgoTB(), 9, nil, nil) })
	}),
	Entry("quarantined", "search", result.Quarantined, setSuspicion(view.Quarantined), nil),
	Entry("every endpoint leaving", "search", result.NoReplica, setAllEndpointsLeaving, nil),
	Entry("every attempt refused", "search", result.AllRefused, nil, func(h *harness) {
		for i := 0; i < len(h.dispatched); i++ {
			h.reply(h.dispatched[i].Request.RefusedReply(result.EndpointShed))
			if i+1 == len(h.dispatched) {
				h.advance(8 * time.Millisecond)
			}
		}
	}),
)

var _ = DescribeTable("a submit that is never dispatched", func(code, repeated result.Code, before func(*harness, *api.SubmitRequest)) {
	h := newHarness()
	h.setView(nil)
	s := h.issuePermit()
	before(h, &s)
	count := len(h.dispatched)
	s.Caller = "ann"
	Expect(h.submits[h.submit(s)].Code).To(Equal(code))
	Expect(h.submits[h.submit(s)].Code).To(Equal(repeated))
	Expect(h.dispatched).To(HaveLen(count))
},
	Entry("without a permit", result.PermitRequired, result.PermitRequired, func(_ *harness, s *api.SubmitRequest) { s.Permit = "" }),
	Entry("malformed", result.PermitMalformed, result.PermitMalformed, func(_ *harness, s *api.SubmitRequest) { s.Permit = "1" + s.Permit }),
	Entry("wrong service", result.PermitBodyMismatch, result.PermitBodyMismatch, func(_ *harness, s *api.SubmitRequest) { s.Service = "search" }),
	Entry("guessed permit", result.PermitNeverIssued, result.PermitNeverIssued, func(h *harness, s *api.SubmitRequest) {
		s.Permit = "1~10.0.0.1:7000~1~1~123~orders"
	}),
	Entry("expired", result.PermitExpired, result.PermitExpired, func(h *harness, _ *api.SubmitRequest) { h.advance(3 * time.Second) }),
	Entry("stopping", result.PermitBurnt, result.PermitBurnt, func(h *harness, _ *api.SubmitRequest) { h.apply(h.m.Stop(h.now)) }),
	Entry("used with another body", result.PermitBodyMismatch, result.PermitBodyMismatch, func(h *harness, s *api.SubmitRequest) {
		h.submit(*s)
		s.Body = "another"
	}),
	Entry("service removed", result.UnknownService, result.PermitBurnt, func(h *harness, _ *api.SubmitRequest) {
		h.setView(func(v *view.View) { v.Bundle = newTestBundle(GinkgoTB(), 2, false) })
	}),
	Entry("unknown caller", result.UnknownCaller, result.PermitBurnt, func(h *harness, _ *api.SubmitRequest) { allowOnlyCaller(config.Caller{Name: "bob"})(h) }),
	Entry("quarantined", result.Quarantined, result.PermitBurnt, func(h *harness, _ *api.SubmitRequest) { setSuspicion(view.Quarantined)(h) }),
	Entry("suspected, and only one eligible replica left", result.Quarantined, result.PermitBurnt, func(h *harness, _ *api.SubmitRequest) {
		h.setView(func(v *view.View) { v.LeavingEndpoints["o0"] = true })
		setSuspicion(view.Suspected)(h)
	}),
	Entry("every endpoint leaving", result.NoReplica, result.PermitBurnt, func(h *harness, _ *api.SubmitRequest) { setAllEndpointsLeaving(h) }),
	Entry("queue full", result.QueueFull, result.PermitBurnt, func(h *harness, _ *api.SubmitRequest) {
		for range 5 {
			h.submit(h.issuePermit())
		}
	}),
)

// Guards against an answer that hides why no endpoint ran the request: operators have
// nothing else to tell a full endpoint from one that can't be reached.
var _ = It("names the refusals of a submit that no endpoint ran", func() {
	h := newHarness()
	h.setView(nil)
	ticket := h.submit(h.issuePermit())
	first := h.lastAttempt().Endpoint
	h.reply(h.lastAttempt().RefusedReply(result.EndpointShed))
	second := h.lastAttempt().Endpoint
	h.reply(h.lastAttempt().RefusedReply(result.ConnectFailed))
	Expect(h.submits[ticket].Code).To(Equal(result.AllRefused))
	Expect(h.submits[ticket].Reason).To(ContainSubstring(first + ": endpoint-shed, " + second + ": connect-failed"))
})

// testPeer is a relay on another host.
const testPeer = "10.0.0.2:7000"

var _ = DescribeTable("a submit that was dispatched", func(fault func(*harness), code, repeated result.Code, attempts int) {
	h := newHarness()
	h.setView(func(v *view.View) {
		for _, id := range endpointIDs {
			v.Relays[id] = []string{testPeer, "10.0.0.3:7000"}
		}
	})
	h.m.cfg.Self.Start = 2 // Makes testPeer the first choice of relay.
	s := h.issuePermit()
	ticket := h.submit(s)
	Expect(h.dispatched[0].To).To(Equal(testPeer))
	fault(h)
	Expect(h.submits[ticket].Code).To(Equal(code))
	Expect(h.submits[h.submit(s)].Code).To(Equal(repeated))
	Expect(h.dispatched).To(HaveLen(attempts))
	s.Body = "another"
	Expect(h.submits[h.submit(s)].Code).To(Equal(result.PermitBodyMismatch))
},
	Entry("succeeded", (*harness).replySuccess, result.Done, result.Replayed, 1),
	Entry("failed", func(h *harness) {
		h.reply(dispatch.Reply{Key: h.lastAttempt().Key, Outcome: dispatch.Failed, Code: result.EndpointFailed})
	},
		result.EndpointFailed, result.EndpointFailed, 1),
	Entry("was shed once", func(h *harness) { h.reply(h.lastAttempt().RefusedReply(result.EndpointShed)); h.replySuccess() }, result.Done, result.Replayed, 2),
	Entry("was shed by each replica", func(h *harness) {
		h.reply(h.lastAttempt().RefusedReply(result.EndpointShed))
		h.reply(h.lastAttempt().RefusedReply(result.EndpointShed))
	}, result.AllRefused, result.PermitBurnt, 2),
	Entry("was refused as quarantined", func(h *harness) { h.reply(h.lastAttempt().RefusedReply(result.Quarantined)) }, result.Quarantined, result.PermitBurnt, 1),
	Entry("crashed its endpoint", func(h *harness) { h.reply(h.lastAttempt().UnknownReply(result.EndpointCrashed)) }, result.OutcomeUnknown, result.OutcomeUnknown, 1),
	Entry("was not written", func(h *harness) {
		h.apply(h.m.AttemptsNotWritten(h.now, testPeer, h.lastAttemptKeys()))
		Expect(h.dispatched[1].To).NotTo(Equal(testPeer))
		h.replySuccess()
	}, result.Done, result.Replayed, 2),
	Entry("was not written by any relay", func(h *harness) {
		h.apply(h.m.AttemptsNotWritten(h.now, testPeer, h.lastAttemptKeys()))
		h.apply(h.m.AttemptsNotWritten(h.now, h.dispatched[1].To, h.lastAttemptKeys()))
		Expect(h.dispatched[2].To).To(BeEmpty())
		h.replySuccess()
	}, result.Done, result.Replayed, 3),
	Entry("was refused by a stopping relay", func(h *harness) {
		h.reply(h.lastAttempt().RefusedReply(result.Stopping))
		Expect(h.dispatched[1].To).NotTo(Equal(testPeer))
		h.replySuccess()
	}, result.Done, result.Replayed, 2),
	Entry("was refused by relays that do not know the endpoint yet", func(h *harness) {
		h.reply(h.lastAttempt().RefusedReply(result.UnknownEndpoint))
		Expect(h.dispatched[1].To).NotTo(Equal(testPeer))
		h.reply(h.lastAttempt().RefusedReply(result.UnknownEndpoint))
		Expect(h.dispatched[2].To).To(BeEmpty())
		h.replySuccess()
	}, result.Done, result.Replayed, 3),
	Entry("was refused since no host knows the endpoint", func(h *harness) {
		for range 3 {
			h.reply(h.lastAttempt().RefusedReply(result.UnknownEndpoint))
		}
	}, result.AllRefused, result.PermitBurnt, 3),
	Entry("was written only in part", func(h *harness) { h.apply(h.m.AttemptsLost(h.now, testPeer, h.lastAttemptKeys())) }, result.OutcomeUnknown, result.OutcomeUnknown, 1),
	Entry("was written, after which the connection to the relay broke", func(h *harness) {
		h.apply(h.m.AttemptsWritten(h.now, testPeer, h.lastAttemptKeys()))
		h.apply(h.m.PeerConnectionLost(h.now, testPeer))
	}, result.OutcomeUnknown, result.OutcomeUnknown, 1),
	Entry("was reported as written only after the connection to the relay broke", func(h *harness) {
		h.apply(h.m.PeerConnectionLost(h.now, testPeer))
		h.apply(h.m.AttemptsWritten(h.now, testPeer, h.lastAttemptKeys()))
	}, result.OutcomeUnknown, result.OutcomeUnknown, 1),
	Entry("was reported as not written after the connection to the relay broke", func(h *harness) {
		h.apply(h.m.PeerConnectionLost(h.now, testPeer))
		h.apply(h.m.AttemptsNotWritten(h.now, testPeer, h.lastAttemptKeys()))
		h.replySuccess()
	}, result.Done, result.Replayed, 2),
	Entry("succeeded after it was reported as lost", func(h *harness) {
		h.apply(h.m.AttemptsLost(h.now, testPeer, h.lastAttemptKeys()))
		h.replySuccess()
	}, result.OutcomeUnknown, result.Replayed, 1),
	Entry("was refused after it was reported as lost", func(h *harness) {
		h.apply(h.m.AttemptsLost(h.now, testPeer, h.lastAttemptKeys()))
		h.reply(h.lastAttempt().RefusedReply(result.EndpointShed))
	}, result.OutcomeUnknown, result.PermitBurnt, 1),
	Entry("succeeded after its deadline", func(h *harness) { h.advance(400 * time.Millisecond); h.replySuccess() }, result.StillRunning, result.Replayed, 1),
	Entry("gets no reply", func(h *harness) { h.advance(11 * time.Second) }, result.StillRunning, result.OutcomeUnknown, 1),
	Entry("was shed after its service was removed", func(h *harness) {
		h.setView(func(v *view.View) { v.Bundle = newTestBundle(GinkgoTB(), 2, false) })
		h.reply(h.lastAttempt().RefusedReply(result.EndpointShed))
	}, result.NoReplica, result.PermitBurnt, 1),
	Entry("was shed after its deadline, which passed during a pause of the host", func(h *harness) {
		h.now += PauseThreshold + 100*time.Millisecond
		h.reply(h.lastAttempt().RefusedReply(result.EndpointShed))
	}, result.StillRunning, result.PermitBurnt, 1),
)

var _ = Describe("coordinator", func() {
	It("forwards a submit of another host's permit, unless the submit was forwarded already", func() {
		h := newHarness()
		h.setView(nil)
		s := api.SubmitRequest{Service: "orders", Permit: "1~10.0.0.9:7000~1~1~123~orders", Body: "order"}
		ticket := h.submit(s)
		Expect(h.submits).NotTo(HaveKey(ticket))
		Expect(h.forwards).To(HaveLen(1))
		Expect(h.forwards[0].Issuer).To(Equal(view.Incarnation{Address: "10.0.0.9:7000", Start: 1}))
		h.apply(h.m.Submit(h.now, 99, s, true))
		Expect(h.submits[99].Code).To(Equal(result.IssuerUnreachable))
		Expect(h.forwards).To(HaveLen(1))
	})
	It("asks the successors about a permit of an earlier incarnation of this host, and never runs it", func() {
		h := newHarness()
		h.setView(func(v *view.View) {
			v.Hosts = []view.Host{{Incarnation: view.Incarnation{Address: testPeer, Start: 2}}}
		})
		s := api.SubmitRequest{Service: "orders", Permit: "1~10.0.0.1:7000~7~1~123~orders", Body: "order"}
		h.submit(s)
		Expect(h.forwards).To(HaveLen(1))
		Expect(h.forwards[0].Successors).To(Equal([]string{testPeer}))
		h.apply(h.m.Submit(h.now, 99, s, true))
		Expect(h.submits[99].Code).To(Equal(result.IssuerReplaced))
		Expect(h.dispatched).To(BeEmpty())
	})
	It("marks the attempt of a suspected submit as suspect", func() {
		h := newHarness()
		setSuspicion(view.Suspected)(h)
		h.submit(h.issuePermit())
		Expect(h.lastAttempt().Suspect).To(BeTrue())
	})
	It("answers every caller that waits for the same permit, and limits their number", func() {
		h := newHarness()
		h.setView(nil)
		s := h.issuePermit()
		for range maxWaiters + 1 {
			h.submit(s)
		}
		Expect(h.submits).To(HaveLen(1))
		Expect(h.submits[h.lastTicket].Code).To(Equal(result.StillRunning))
		h.apply(h.m.CallerDisconnected(h.now, 1))
		h.replySuccess()
		Expect(h.submits).To(HaveLen(maxWaiters + 1))
		Expect(h.m.RunningRequests()).To(BeZero())
	})
	It("retries refused submits beyond the initial burst as the budget is replenished", func() {
		h := newHarness()
		h.setView(nil)
		retried := 0
		for range 60 * retryBurst {
			ticket := h.submit(h.issuePermit())
			if len(h.dispatched)%16 == 0 {
				retried++
				h.reply(h.lastAttempt().RefusedReply(result.EndpointShed))
			}
			h.replySuccess()
			Expect(h.submits[ticket].Code).To(Equal(result.Done))
			h.advance(time.Second)
		}
		Expect(retried).To(BeNumerically(">", 2*retryBurst))
	})
	It("issues as many permits at once as the API allows", func() {
		h := newHarness()
		h.setView(nil)
		Expect(h.m.IssuePermits(h.now, api.PermitRequest{Service: "orders", Count: api.MaxPermits}).Permits).To(HaveLen(api.MaxPermits))
		Expect(h.m.IssuePermits(h.now, api.PermitRequest{Service: "orders"}).Code).To(Equal(result.LedgerFull))
	})
	It("refuses to issue permits for requests that it cannot serve", func() {
		h := newHarness()
		Expect(h.m.IssuePermits(h.now, api.PermitRequest{Service: "orders"}).Code).To(Equal(result.NotReady))
		allowOnlyCaller(config.Caller{Name: "ann"})(h)
		Expect(h.m.IssuePermits(h.now, api.PermitRequest{Service: "search", Caller: "ann"}).Code).To(Equal(result.NotRepeatable))
		Expect(h.m.IssuePermits(h.now, api.PermitRequest{Service: "orders", Caller: "bob"}).Code).To(Equal(result.UnknownCaller))
		h.apply(h.m.Stop(h.now))
		Expect(h.m.IssuePermits(h.now, api.PermitRequest{Service: "orders", Caller: "ann"}).Code).To(Equal(result.Stopping))
	})
})
