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

// desk drives one coordinator machine by hand.
type desk struct {
	m       *Machine
	now     time.Duration
	view    view.View
	ticket  Ticket
	routed  []Routed
	queries map[Ticket]api.QueryAnswer
	submits map[Ticket]api.SubmitAnswer
	forward []Forward
}

var deskSelf = view.Incarnation{Address: "10.0.0.1:7000", Start: 1}

func newDesk() *desk {
	d := &desk{
		m:       New(Config{Self: deskSelf, Fingerprint: fingerprint}, rand.New(rand.NewPCG(1, 1))),
		now:     time.Second,
		queries: make(map[Ticket]api.QueryAnswer),
		submits: make(map[Ticket]api.SubmitAnswer),
	}
	d.view = view.View{
		Ready: true, Bundle: newFleetBundle(GinkgoTB(), 1, true), Self: view.Host{Incarnation: deskSelf},
		LeavingEndpoints: map[string]bool{}, Suspects: map[view.Fingerprint]view.Suspicion{}, Relays: map[string][]string{},
	}
	return d
}

func (d *desk) apply(a Actions) {
	d.routed = append(d.routed, a.Dispatch...)
	d.forward = append(d.forward, a.Forwards...)
	for _, q := range a.Queries {
		Expect(d.queries).NotTo(HaveKey(q.Ticket))
		d.queries[q.Ticket] = q.Answer
	}
	for _, s := range a.Submits {
		Expect(d.submits).NotTo(HaveKey(s.Ticket))
		d.submits[s.Ticket] = s.Answer
	}
}

func (d *desk) setView(change func(v *view.View)) {
	if change != nil {
		change(&d.view)
	}
	v := d.view
	d.apply(d.m.SetView(d.now, &v))
}

func (d *desk) change(change func(search, orders *config.Service)) {
	d.setView(func(v *view.View) { v.Bundle = changeServices(GinkgoTB(), v.Bundle, change) })
}

func (d *desk) query(q api.QueryRequest) Ticket {
	d.ticket++
	d.apply(d.m.Query(d.now, d.ticket, q))
	return d.ticket
}

func (d *desk) submit(s api.SubmitRequest) Ticket {
	d.ticket++
	d.apply(d.m.Submit(d.now, d.ticket, s, false))
	return d.ticket
}

func (d *desk) pass(span time.Duration) {
	for end := d.now + span; d.now < end; {
		d.now = min(d.m.Next(d.now), end)
		d.apply(d.m.Tick(d.now))
	}
}

func (d *desk) reply(r dispatch.Reply) { d.apply(d.m.Reply(d.now, r)) }

// last returns the attempt dispatched last.
func (d *desk) last() *dispatch.Request { return &d.routed[len(d.routed)-1].Request }

func (d *desk) keys() []dispatch.Key { return []dispatch.Key{d.last().Key} }

func (d *desk) succeed() {
	d.reply(dispatch.Reply{Key: d.last().Key, Outcome: dispatch.OK, Body: "receipt"})
}

func (d *desk) mint() api.SubmitRequest {
	a := d.m.Mint(d.now, api.PermitRequest{Service: "orders"})
	Expect(a.Code).To(Equal(result.PermitIssued))
	return api.SubmitRequest{Service: "orders", Permit: a.Permits[0], Body: "order"}
}

func fill(d *desk, n int) {
	for range n {
		d.query(api.QueryRequest{Service: "search", Query: "filler"})
	}
}

func limitCaller(c config.Caller) func(*desk) {
	return func(d *desk) {
		d.change(func(search, orders *config.Service) {
			search.Callers = []config.Caller{c}
			orders.Callers = []config.Caller{c}
		})
	}
}

func leaveAll(d *desk) {
	d.setView(func(v *view.View) {
		for _, id := range endpointIDs {
			v.LeavingEndpoints[id] = true
		}
	})
}

func suspect(degree view.Suspicion) func(*desk) {
	return func(d *desk) { d.setView(func(v *view.View) { v.Suspects[0] = degree }) }
}

var _ = DescribeTable("a query is refused", func(service string, code result.Code, before, after func(*desk)) {
	d := newDesk()
	if before == nil {
		before = func(d *desk) { d.setView(nil) }
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
		Expect(d.routed).NotTo(ContainElement(HaveField("Request.Body", "text")), "it was dispatched")
	}
},
	Entry("no view yet", "search", result.NotReady, func(*desk) {}, nil),
	Entry("no configuration", "search", result.StaleBelief, func(d *desk) {
		d.setView(func(v *view.View) { v.Ready, v.Reason, v.Bundle = false, result.StaleBelief, nil })
	}, nil),
	Entry("stopping", "search", result.Stopping, func(d *desk) { d.setView(nil); d.apply(d.m.Stop(d.now)) }, nil),
	Entry("unknown service", "maps", result.UnknownService, nil, nil),
	Entry("not repeatable", "orders", result.PermitRequired, nil, nil),
	Entry("unknown caller", "search", result.UnknownCaller, limitCaller(config.Caller{Name: "bob"}), nil),
	Entry("caller's rate", "search", result.CallerRate, func(d *desk) {
		limitCaller(config.Caller{Name: "ann", RatePerSecond: 1, Burst: 1})(d)
		for range 2 {
			d.query(api.QueryRequest{Service: "search", Caller: "ann", Query: "filler"})
		}
	}, nil),
	Entry("caller's requests in flight", "search", result.CallerInFlight, func(d *desk) {
		limitCaller(config.Caller{Name: "ann", InFlight: 1})(d)
		d.query(api.QueryRequest{Service: "search", Caller: "ann", Query: "filler"})
	}, nil),
	Entry("queue full", "search", result.QueueFull, func(d *desk) { d.setView(nil); fill(d, 7) }, nil),
	Entry("deadline too short", "search", result.DeadlineTooShort, func(d *desk) {
		d.setView(nil)
		fill(d, 4)
		d.pass(time.Second)
		d.change(func(search, _ *config.Service) { search.InFlightLimit = 1 })
		fill(d, 2)
	}, nil),
	Entry("expired in the queue", "search", result.ExpiredInQueue, func(d *desk) { d.setView(nil); fill(d, 4) }, func(d *desk) { d.pass(150 * time.Millisecond) }),
	Entry("service gone while it waits", "search", result.UnknownService, func(d *desk) { d.setView(nil); fill(d, 4) }, func(d *desk) {
		d.setView(func(v *view.View) { v.Bundle = buildBundle(GinkgoTB(), 9, nil, nil) })
	}),
	Entry("quarantined", "search", result.Quarantined, suspect(view.Quarantined), nil),
	Entry("every endpoint leaving", "search", result.NoReplica, leaveAll, nil),
	Entry("every attempt refused", "search", result.AllRefused, nil, func(d *desk) {
		for i := 0; i < len(d.routed); i++ {
			d.reply(d.routed[i].Request.Refuse(result.EndpointShed))
			if i+1 == len(d.routed) {
				d.pass(8 * time.Millisecond)
			}
		}
	}),
)

var _ = DescribeTable("a submit that is never dispatched", func(code, repeated result.Code, before func(*desk, *api.SubmitRequest)) {
	d := newDesk()
	d.setView(nil)
	s := d.mint()
	before(d, &s)
	count := len(d.routed)
	s.Caller = "ann"
	Expect(d.submits[d.submit(s)].Code).To(Equal(code))
	Expect(d.submits[d.submit(s)].Code).To(Equal(repeated))
	Expect(d.routed).To(HaveLen(count))
},
	Entry("without a permit", result.PermitRequired, result.PermitRequired, func(_ *desk, s *api.SubmitRequest) { s.Permit = "" }),
	Entry("malformed", result.PermitMalformed, result.PermitMalformed, func(_ *desk, s *api.SubmitRequest) { s.Permit = "1" + s.Permit }),
	Entry("wrong service", result.PermitBodyMismatch, result.PermitBodyMismatch, func(_ *desk, s *api.SubmitRequest) { s.Service = "search" }),
	Entry("guessed", result.PermitNeverIssued, result.PermitNeverIssued, func(d *desk, s *api.SubmitRequest) {
		s.Permit = "1~10.0.0.1:7000~1~1~123~orders"
	}),
	Entry("expired", result.PermitExpired, result.PermitExpired, func(d *desk, _ *api.SubmitRequest) { d.pass(3 * time.Second) }),
	Entry("stopping", result.PermitBurnt, result.PermitBurnt, func(d *desk, _ *api.SubmitRequest) { d.apply(d.m.Stop(d.now)) }),
	Entry("used with another body", result.PermitBodyMismatch, result.PermitBodyMismatch, func(d *desk, s *api.SubmitRequest) {
		d.submit(*s)
		s.Body = "another"
	}),
	Entry("service gone", result.UnknownService, result.PermitBurnt, func(d *desk, _ *api.SubmitRequest) {
		d.setView(func(v *view.View) { v.Bundle = newFleetBundle(GinkgoTB(), 2, false) })
	}),
	Entry("unknown caller", result.UnknownCaller, result.PermitBurnt, func(d *desk, _ *api.SubmitRequest) { limitCaller(config.Caller{Name: "bob"})(d) }),
	Entry("quarantined", result.Quarantined, result.PermitBurnt, func(d *desk, _ *api.SubmitRequest) { suspect(view.Quarantined)(d) }),
	Entry("suspect, and one replica left", result.Quarantined, result.PermitBurnt, func(d *desk, _ *api.SubmitRequest) {
		d.setView(func(v *view.View) { v.LeavingEndpoints["o0"] = true })
		suspect(view.Suspected)(d)
	}),
	Entry("every endpoint leaving", result.NoReplica, result.PermitBurnt, func(d *desk, _ *api.SubmitRequest) { leaveAll(d) }),
	Entry("queue full", result.QueueFull, result.PermitBurnt, func(d *desk, _ *api.SubmitRequest) {
		for range 5 {
			d.submit(d.mint())
		}
	}),
)

const deskPeer = "10.0.0.2:7000"

var _ = DescribeTable("a submit that was dispatched", func(fault func(*desk), code, repeated result.Code, attempts int) {
	d := newDesk()
	d.setView(func(v *view.View) {
		for _, id := range endpointIDs {
			v.Relays[id] = []string{deskPeer, "10.0.0.3:7000"}
		}
	})
	d.m.cfg.Self.Start = 2 // the first choice of relays is deskPeer
	s := d.mint()
	ticket := d.submit(s)
	Expect(d.routed[0].To).To(Equal(deskPeer))
	fault(d)
	Expect(d.submits[ticket].Code).To(Equal(code))
	Expect(d.submits[d.submit(s)].Code).To(Equal(repeated))
	Expect(d.routed).To(HaveLen(attempts))
	s.Body = "another"
	Expect(d.submits[d.submit(s)].Code).To(Equal(result.PermitBodyMismatch))
},
	Entry("succeeded", (*desk).succeed, result.Done, result.Replayed, 1),
	Entry("failed", func(d *desk) {
		d.reply(dispatch.Reply{Key: d.last().Key, Outcome: dispatch.Failed, Code: result.EndpointFailed})
	},
		result.EndpointFailed, result.EndpointFailed, 1),
	Entry("was shed once", func(d *desk) { d.reply(d.last().Refuse(result.EndpointShed)); d.succeed() }, result.Done, result.Replayed, 2),
	Entry("was shed by each replica", func(d *desk) {
		d.reply(d.last().Refuse(result.EndpointShed))
		d.reply(d.last().Refuse(result.EndpointShed))
	}, result.AllRefused, result.PermitBurnt, 2),
	Entry("was refused as quarantined", func(d *desk) { d.reply(d.last().Refuse(result.Quarantined)) }, result.Quarantined, result.PermitBurnt, 1),
	Entry("crashed its endpoint", func(d *desk) { d.reply(d.last().Lose(result.EndpointCrashed)) }, result.OutcomeUnknown, result.OutcomeUnknown, 1),
	Entry("was not written", func(d *desk) {
		d.apply(d.m.NotWritten(d.now, deskPeer, d.keys()))
		Expect(d.routed[1].To).NotTo(Equal(deskPeer))
		d.succeed()
	}, result.Done, result.Replayed, 2),
	Entry("was not written by any relay", func(d *desk) {
		d.apply(d.m.NotWritten(d.now, deskPeer, d.keys()))
		d.apply(d.m.NotWritten(d.now, d.routed[1].To, d.keys()))
		Expect(d.routed[2].To).To(BeEmpty())
		d.succeed()
	}, result.Done, result.Replayed, 3),
	Entry("went to a relay that stops", func(d *desk) {
		d.reply(d.last().Refuse(result.Stopping))
		Expect(d.routed[1].To).NotTo(Equal(deskPeer))
		d.succeed()
	}, result.Done, result.Replayed, 2),
	Entry("was written by half", func(d *desk) { d.apply(d.m.Lost(d.now, deskPeer, d.keys())) }, result.OutcomeUnknown, result.OutcomeUnknown, 1),
	Entry("was written, and the relay lost", func(d *desk) {
		d.apply(d.m.Written(d.now, deskPeer, d.keys()))
		d.apply(d.m.PeerLost(d.now, deskPeer))
	}, result.OutcomeUnknown, result.OutcomeUnknown, 1),
	Entry("was written before the relay was lost, and told so later", func(d *desk) {
		d.apply(d.m.PeerLost(d.now, deskPeer))
		d.apply(d.m.Written(d.now, deskPeer, d.keys()))
	}, result.OutcomeUnknown, result.OutcomeUnknown, 1),
	Entry("was not written, and the relay lost before", func(d *desk) {
		d.apply(d.m.PeerLost(d.now, deskPeer))
		d.apply(d.m.NotWritten(d.now, deskPeer, d.keys()))
		d.succeed()
	}, result.Done, result.Replayed, 2),
	Entry("succeeded after its relay counted as lost", func(d *desk) {
		d.apply(d.m.Lost(d.now, deskPeer, d.keys()))
		d.succeed()
	}, result.OutcomeUnknown, result.Replayed, 1),
	Entry("was refused after its relay counted as lost", func(d *desk) {
		d.apply(d.m.Lost(d.now, deskPeer, d.keys()))
		d.reply(d.last().Refuse(result.EndpointShed))
	}, result.OutcomeUnknown, result.PermitBurnt, 1),
	Entry("outlasts its deadline", func(d *desk) { d.pass(400 * time.Millisecond); d.succeed() }, result.StillRunning, result.Replayed, 1),
	Entry("never ends", func(d *desk) { d.pass(11 * time.Second) }, result.StillRunning, result.OutcomeUnknown, 1),
	Entry("was shed when its service was gone", func(d *desk) {
		d.setView(func(v *view.View) { v.Bundle = newFleetBundle(GinkgoTB(), 2, false) })
		d.reply(d.last().Refuse(result.EndpointShed))
	}, result.NoReplica, result.PermitBurnt, 1),
	Entry("was shed after the pause in which its deadline passed", func(d *desk) {
		d.now += PauseGap + 100*time.Millisecond
		d.reply(d.last().Refuse(result.EndpointShed))
	}, result.StillRunning, result.PermitBurnt, 1),
)

var _ = Describe("coordinator", func() {
	It("forwards a foreign permit once, and not a forwarded one", func() {
		d := newDesk()
		d.setView(nil)
		s := api.SubmitRequest{Service: "orders", Permit: "1~10.0.0.9:7000~1~1~123~orders", Body: "order"}
		ticket := d.submit(s)
		Expect(d.submits).NotTo(HaveKey(ticket))
		Expect(d.forward).To(HaveLen(1))
		Expect(d.forward[0].Issuer).To(Equal(view.Incarnation{Address: "10.0.0.9:7000", Start: 1}))
		d.apply(d.m.Submit(d.now, 99, s, true))
		Expect(d.submits[99].Code).To(Equal(result.IssuerUnreachable))
		Expect(d.forward).To(HaveLen(1))
	})
	It("asks the successors about a permit of an earlier incarnation, and never runs it", func() {
		d := newDesk()
		d.setView(func(v *view.View) {
			v.Hosts = []view.Host{{Incarnation: view.Incarnation{Address: deskPeer, Start: 2}}}
		})
		s := api.SubmitRequest{Service: "orders", Permit: "1~10.0.0.1:7000~7~1~123~orders", Body: "order"}
		d.submit(s)
		Expect(d.forward).To(HaveLen(1))
		Expect(d.forward[0].Successors).To(Equal([]string{deskPeer}))
		d.apply(d.m.Submit(d.now, 99, s, true))
		Expect(d.submits[99].Code).To(Equal(result.IssuerReplaced))
		Expect(d.routed).To(BeEmpty())
	})
	It("runs a suspect submit alone", func() {
		d := newDesk()
		suspect(view.Suspected)(d)
		d.submit(d.mint())
		Expect(d.last().Suspect).To(BeTrue())
	})
	It("answers each caller that waits for the same permit, and bounds them", func() {
		d := newDesk()
		d.setView(nil)
		s := d.mint()
		for range maxWaiters + 1 {
			d.submit(s)
		}
		Expect(d.submits).To(HaveLen(1))
		Expect(d.submits[d.ticket].Code).To(Equal(result.StillRunning))
		d.apply(d.m.Hangup(d.now, 1))
		d.succeed()
		Expect(d.submits).To(HaveLen(maxWaiters + 1))
		Expect(d.m.Running()).To(BeZero())
	})
	It("goes on retrying refused submits as the budget is earned", func() {
		d := newDesk()
		d.setView(nil)
		retried := 0
		for range 60 * burst {
			ticket := d.submit(d.mint())
			if len(d.routed)%16 == 0 {
				retried++
				d.reply(d.last().Refuse(result.EndpointShed))
			}
			d.succeed()
			Expect(d.submits[ticket].Code).To(Equal(result.Done))
			d.pass(time.Second)
		}
		Expect(retried).To(BeNumerically(">", 2*burst))
	})
	It("mints as many permits at once as the API allows", func() {
		d := newDesk()
		d.setView(nil)
		Expect(d.m.Mint(d.now, api.PermitRequest{Service: "orders", Count: api.MaxPermits}).Permits).To(HaveLen(api.MaxPermits))
		Expect(d.m.Mint(d.now, api.PermitRequest{Service: "orders"}).Code).To(Equal(result.LedgerFull))
	})
	It("refuses to mint what it cannot serve", func() {
		d := newDesk()
		Expect(d.m.Mint(d.now, api.PermitRequest{Service: "orders"}).Code).To(Equal(result.NotReady))
		limitCaller(config.Caller{Name: "ann"})(d)
		Expect(d.m.Mint(d.now, api.PermitRequest{Service: "search", Caller: "ann"}).Code).To(Equal(result.NotRepeatable))
		Expect(d.m.Mint(d.now, api.PermitRequest{Service: "orders", Caller: "bob"}).Code).To(Equal(result.UnknownCaller))
		d.apply(d.m.Stop(d.now))
		Expect(d.m.Mint(d.now, api.PermitRequest{Service: "orders", Caller: "ann"}).Code).To(Equal(result.Stopping))
	})
})
