package permit

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	testLifetime  = 10 * time.Second
	testRetention = 30 * time.Second
	testLimit     = 12
	testMaxRun    = 20 * time.Second
	hostCount     = 3
	// recentPermits are the orders that callers submit, so that one order sees
	// many events.
	recentPermits = 4
)

func testService() *config.Service {
	return &config.Service{Name: "orders", Permit: config.Permit{LifetimeMS: 10_000, RetentionMS: 30_000, Limit: testLimit}}
}

// simulatedHost is one machine; its ledger changes when it is replaced.
type simulatedHost struct {
	ledger      *Ledger
	self        view.Incarnation
	now         time.Duration
	partitioned bool
	// owned are the permits of which this incarnation got the verdict Dispatch
	// and has not yet answered.
	owned []*simulatedPermit
	// lastAttempt are the number of the last attempt of each owned order.
	lastAttempt map[*simulatedPermit]uint32
}

// simulatedPermit is a permit with what the oracle knows of it: what the endpoint did and
// what callers were told.
type simulatedPermit struct {
	id ID
	// expires is the end of its lifetime in the issuer's time.
	expires    time.Duration
	runsByBody map[uint64]int // Runs at the endpoint by body.
	runs       int
	// outcome is what the endpoint answered; failed tells that it failed.
	outcome string
	failed  bool
	// answeredNotRun holds the bodies for which a caller was told not run.
	answeredNotRun map[uint64]result.Code
	// recordedClass is the class with which the issuer ended the permit, and at its
	// time recordedAt; it is zero while the permit is open.
	recordedClass result.Class
	recordedAt    time.Duration
	firstBody     uint64
}

// message is an attempt on its way to the endpoint, or its reply on its way
// back.
type message struct {
	sender  *Ledger // The ledger of the sender, which may be gone.
	permit  *simulatedPermit
	body    uint64
	attempt uint32
	handled bool
	refused bool
}

// simulation is hosts, an endpoint and the messages between them.
type simulation struct {
	t          *rapid.T
	rng        *rand.Rand
	hosts      []*simulatedHost
	permits    []*simulatedPermit
	messages   []*message
	startCount uint64
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(1, 2))}
	for i := range hostCount {
		h := &simulatedHost{}
		sim.hosts = append(sim.hosts, h)
		sim.startHost(h, fmt.Sprintf("10.0.0.%d:7000", i+1))
	}
	return sim
}

func (sim *simulation) startHost(h *simulatedHost, address string) {
	sim.startCount++
	h.self = view.Incarnation{Address: address, Start: sim.startCount}
	h.ledger = New(h.self, Config{MaxRun: testMaxRun, Archive: ArchiveConfig{MaxPermits: testLimit}})
	h.owned = nil
	h.lastAttempt = make(map[*simulatedPermit]uint32)
	h.now = 0
}

func (sim *simulation) drawHost(label string) *simulatedHost {
	return rapid.SampledFrom(sim.hosts).Draw(sim.t, label)
}

func (sim *simulation) drawPermit() *simulatedPermit {
	if len(sim.permits) == 0 {
		sim.t.Skip("no order")
	}
	recent := sim.permits[max(0, len(sim.permits)-recentPermits):]
	return rapid.SampledFrom(recent).Draw(sim.t, "order")
}

func (sim *simulation) issue(*rapid.T) {
	h := sim.drawHost("issuer")
	n := rapid.IntRange(1, 3).Draw(sim.t, "count")
	ids, err := h.ledger.Issue(h.now, testService(), n, sim.rng)
	if err != nil {
		return
	}
	for _, id := range ids {
		parsed, err := Parse(id.String())
		if err != nil || parsed != id {
			sim.t.Fatalf("permit %v parses as %v, %v", id, parsed, err)
		}
		sim.permits = append(sim.permits, &simulatedPermit{id: id, expires: h.now + testLifetime, runsByBody: make(map[uint64]int), answeredNotRun: make(map[uint64]result.Code)})
	}
}

// submit sends an order through any host, as a caller that repeats does.
func (sim *simulation) submit(*rapid.T) {
	o := sim.drawPermit()
	via := sim.drawHost("via")
	body := rapid.SampledFrom([]uint64{1, 1, 1, 2}).Draw(sim.t, "body")
	d := via.ledger.Submit(via.now, o.id, body)
	at := via
	if d.Verdict == Forward {
		at = sim.hostWithAddress(d.Issuer.Address)
		if at.partitioned || via.partitioned {
			return // The caller is told IssuerUnreachable.
		}
		d = at.ledger.Submit(at.now, o.id, body)
	}
	sim.checkDecision(at, o, body, d)
}

func (sim *simulation) hostWithAddress(address string) *simulatedHost {
	for _, h := range sim.hosts {
		if h.self.Address == address {
			return h
		}
	}
	sim.t.Fatalf("no host at %s", address)
	return nil
}

// checkDecision checks a decision of a host against the oracle.
func (sim *simulation) checkDecision(at *simulatedHost, o *simulatedPermit, body uint64, d Decision) {
	issued := at.self == o.id.Issuer
	if issued {
		sim.checkRepeatedSubmit(at, o, body, d)
	}
	switch d.Verdict {
	case Dispatch:
		if !issued {
			sim.t.Fatalf("%v dispatches a permit of %v", at.self, o.id.Issuer)
		}
		o.firstBody = body
		at.owned = append(at.owned, o)
	case Running:
	case Replay, Refuse:
		sim.recordAnswer(o, body, d.Code, d.Outcome)
	case Forward:
		sim.t.Fatalf("%v forwards again", at.self)
	}
}

// checkRepeatedSubmit requires that the issuer answers a repeated submit by how the
// first one ended, until the retention has passed.
func (sim *simulation) checkRepeatedSubmit(at *simulatedHost, o *simulatedPermit, body uint64, d Decision) {
	remembers := o.recordedClass != 0 && at.now < o.recordedAt+testRetention
	if !remembers || body != o.firstBody {
		return
	}
	if d.Verdict != Replay || d.Code.Class() != o.recordedClass {
		sim.t.Fatalf("a permit that ended as %v is answered by %+v", o.recordedClass, d)
	}
}

// recordAnswer records an answer to a caller and checks that it is true.
func (sim *simulation) recordAnswer(o *simulatedPermit, body uint64, code result.Code, outcome string) {
	switch code.Class() {
	case result.ClassNotRun:
		if _, told := o.answeredNotRun[body]; !told || code != result.PermitBodyMismatch {
			o.answeredNotRun[body] = code
		}
	case result.ClassComplete:
		if o.runs != 1 || o.failed || o.runsByBody[body] != 1 || outcome != o.outcome {
			sim.t.Fatalf("told done with %q: %+v", outcome, o)
		}
	case result.ClassFailed:
		if o.runs != 1 || !o.failed {
			sim.t.Fatalf("told failed: %+v", o)
		}
	}
}

func (sim *simulation) drawOwned() (*simulatedHost, *simulatedPermit) {
	h := sim.drawHost("owner")
	if len(h.owned) == 0 {
		sim.t.Skip("nothing owned")
	}
	return h, rapid.SampledFrom(h.owned).Draw(sim.t, "owned")
}

// beginAttempt starts an attempt. A host may also try to beginAttempt what is running.
func (sim *simulation) beginAttempt(*rapid.T) {
	h, o := sim.drawOwned()
	attempt, err := h.ledger.BeginAttempt(h.now, o.id)
	if err != nil {
		if err.Code.Class() == result.ClassNotRun {
			sim.recordAnswer(o, o.firstBody, err.Code, "")
		}
		return
	}
	h.lastAttempt[o] = attempt
	sim.messages = append(sim.messages, &message{sender: h.ledger, permit: o, body: o.firstBody, attempt: attempt})
}

// burn answers a submitted order as not run, if the ledger agrees.
func (sim *simulation) burn(*rapid.T) {
	h, o := sim.drawOwned()
	if h.ledger.Burn(h.now, o.id, result.QueueFull) {
		if h.now < o.expires { // Otherwise it had ended before.
			sim.recordEnd(h, o, result.ClassNotRun)
		}
		sim.recordAnswer(o, o.firstBody, result.QueueFull, "")
	}
}

// timeOutAttempt ends the wait for a reply.
func (sim *simulation) timeOutAttempt(*rapid.T) {
	h, o := sim.drawOwned()
	if h.ledger.EndAttempt(h.now, o.id, h.lastAttempt[o], result.OutcomeUnknown, "") {
		sim.recordEnd(h, o, result.ClassUnknown)
	}
}

func (sim *simulation) recordEnd(h *simulatedHost, o *simulatedPermit, class result.Class) {
	o.recordedClass = class
	o.recordedAt = h.now
}

func (sim *simulation) drawMessage() *message {
	if len(sim.messages) == 0 {
		sim.t.Skip("no message")
	}
	return rapid.SampledFrom(sim.messages).Draw(sim.t, "message")
}

// deliverAttempt brings an attempt to the endpoint, which runs or refuses it. The
// connection delivers it once; it may be after the sender was replaced.
func (sim *simulation) deliverAttempt(*rapid.T) {
	m := sim.drawMessage()
	if m.handled {
		return
	}
	m.handled = true
	m.refused = rapid.Bool().Draw(sim.t, "refused")
	if m.refused {
		return
	}
	o := m.permit
	o.runs++
	o.runsByBody[m.body]++
	o.failed = rapid.Bool().Draw(sim.t, "failed")
	o.outcome = fmt.Sprintf("run %d of %d", o.runs, m.body)
}

// deliverReply brings a deliverReply back, also late, repeatedly, or after newer attempts.
func (sim *simulation) deliverReply(*rapid.T) {
	m := sim.drawMessage()
	h := sim.hostWithAddress(m.permit.id.Issuer.Address)
	if !m.handled || h.ledger != m.sender {
		return
	}
	o := m.permit
	switch {
	case m.refused:
		wasUnknown := o.recordedClass == result.ClassUnknown
		if h.ledger.RecordRefusal(h.now, o.id, m.attempt, result.EndpointShed) && wasUnknown {
			sim.recordEnd(h, o, result.ClassNotRun)
		}
	case o.failed:
		if h.ledger.EndAttempt(h.now, o.id, m.attempt, result.EndpointFailed, "") {
			sim.recordEnd(h, o, result.ClassFailed)
		}
	default:
		if h.ledger.EndAttempt(h.now, o.id, m.attempt, result.Done, o.outcome) {
			sim.recordEnd(h, o, result.ClassComplete)
		}
	}
}

// advanceClock lets one host's time pass without a tick, and sometimes ticks it.
func (sim *simulation) advanceClock(*rapid.T) {
	h := sim.drawHost("paused")
	seconds := rapid.SampledFrom([]int{1, 1, 1, 3, 20, 31}).Draw(sim.t, "seconds")
	h.now += time.Duration(seconds) * time.Second
	if rapid.Bool().Draw(sim.t, "tick") {
		h.ledger.Tick(h.now)
	}
}

func (sim *simulation) togglePartition(*rapid.T) {
	h := sim.drawHost("cut off")
	h.partitioned = !h.partitioned
}

// skipMostCalls skips most calls of an action that ends the life of a ledger.
func (sim *simulation) skipMostCalls() {
	if rapid.IntRange(0, 7).Draw(sim.t, "seldom") > 0 {
		sim.t.Skip("seldom")
	}
}

func (sim *simulation) crashHost(*rapid.T) {
	sim.skipMostCalls()
	h := sim.drawHost("crashed")
	sim.startHost(h, h.self.Address)
}

// stopHost hands the ledger of a host over and replaces the host.
func (sim *simulation) stopHost(*rapid.T) {
	sim.skipMostCalls()
	h := sim.drawHost("stopping")
	to := sim.drawHost("receiver")
	h.ledger.Stop(h.now)
	if _, err := h.ledger.Issue(h.now, testService(), 1, sim.rng); err == nil {
		sim.t.Fatalf("a stopped ledger issues permits")
	}
	for _, batch := range BatchHandovers(h.self, h.ledger.ClosedPermits(), 600) {
		to.ledger.ReceiveHandover(to.now, batch)
		to.ledger.ReceiveHandover(to.now, batch)
	}
	if h != to {
		sim.startHost(h, h.self.Address)
	}
}

// checkInvariants holds after every step.
func (sim *simulation) checkInvariants(t *rapid.T) {
	for _, o := range sim.permits {
		if o.runs > 1 {
			t.Fatalf("%v ran %d times", o.id, o.runs)
		}
		for body, code := range o.answeredNotRun {
			differentBody := code == result.PermitBodyMismatch
			if o.runsByBody[body] > 0 || (o.runs > 0 && !differentBody) {
				t.Fatalf("%v with body %d was told %v and ran %d times", o.id, body, code, o.runs)
			}
		}
	}
	for _, h := range sim.hosts {
		if len(h.ledger.entries) > testLimit || len(h.ledger.timers) != len(h.ledger.entries) || h.ledger.archive.Len() > testLimit {
			t.Fatalf("%v holds %d permits and %d archived", h.self, len(h.ledger.entries), h.ledger.archive.Len())
		}
	}
}
