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
	// recentOrders are the orders that callers submit, so that one order sees
	// many events.
	recentOrders = 4
)

func testService() *config.Service {
	return &config.Service{Name: "orders", Permit: config.Permit{LifetimeMS: 10_000, RetentionMS: 30_000, Limit: testLimit}}
}

// host is one machine; its ledger changes when it is replaced.
type host struct {
	ledger *Ledger
	self   view.Incarnation
	now    time.Duration
	cutOff bool
	// owned are the permits of which this incarnation got the verdict Dispatch
	// and has not yet answered.
	owned []*order
	// attempts are the number of the last attempt of each owned order.
	attempts map[*order]uint32
}

// order is a permit with what the oracle knows of it: what the endpoint did and
// what callers were told.
type order struct {
	id ID
	// expires is the end of its lifetime in the issuer's time.
	expires time.Duration
	bodies  map[uint64]int // Runs at the endpoint by body.
	runs    int
	// outcome is what the endpoint answered; failed tells that it failed.
	outcome string
	failed  bool
	// toldNotRun holds the bodies for which a caller was told not run.
	toldNotRun map[uint64]result.Code
	// recorded is the class with which the issuer ended the permit, and at its
	// time recordedAt; it is zero while the permit is open.
	recorded   result.Class
	recordedAt time.Duration
	firstBody  uint64
}

// message is an attempt on its way to the endpoint, or its reply on its way
// back.
type message struct {
	to      *Ledger // The ledger of the sender, which may be gone.
	order   *order
	body    uint64
	attempt uint32
	replied bool
	refused bool
}

// world is hosts, an endpoint and the messages between them.
type world struct {
	t        *rapid.T
	rng      *rand.Rand
	hosts    []*host
	orders   []*order
	messages []*message
	starts   uint64
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(1, 2))}
	for i := range hostCount {
		h := &host{}
		w.hosts = append(w.hosts, h)
		w.start(h, fmt.Sprintf("10.0.0.%d:7000", i+1))
	}
	return w
}

func (w *world) start(h *host, address string) {
	w.starts++
	h.self = view.Incarnation{Address: address, Start: w.starts}
	h.ledger = New(h.self, Config{MaxRun: testMaxRun, Archive: ArchiveConfig{MaxPermits: testLimit}})
	h.owned = nil
	h.attempts = make(map[*order]uint32)
	h.now = 0
}

func (w *world) drawHost(label string) *host { return rapid.SampledFrom(w.hosts).Draw(w.t, label) }

func (w *world) drawOrder() *order {
	if len(w.orders) == 0 {
		w.t.Skip("no order")
	}
	recent := w.orders[max(0, len(w.orders)-recentOrders):]
	return rapid.SampledFrom(recent).Draw(w.t, "order")
}

func (w *world) mint(*rapid.T) {
	h := w.drawHost("issuer")
	n := rapid.IntRange(1, 3).Draw(w.t, "count")
	ids, err := h.ledger.Issue(h.now, testService(), n, w.rng)
	if err != nil {
		return
	}
	for _, id := range ids {
		parsed, err := Parse(id.String())
		if err != nil || parsed != id {
			w.t.Fatalf("permit %v parses as %v, %v", id, parsed, err)
		}
		w.orders = append(w.orders, &order{id: id, expires: h.now + testLifetime, bodies: make(map[uint64]int), toldNotRun: make(map[uint64]result.Code)})
	}
}

// submit sends an order through any host, as a caller that repeats does.
func (w *world) submit(*rapid.T) {
	o := w.drawOrder()
	via := w.drawHost("via")
	body := rapid.SampledFrom([]uint64{1, 1, 1, 2}).Draw(w.t, "body")
	d := via.ledger.Submit(via.now, o.id, body)
	at := via
	if d.Verdict == Foreign {
		at = w.hostAt(d.Issuer.Address)
		if at.cutOff || via.cutOff {
			return // The caller is told IssuerUnreachable.
		}
		d = at.ledger.Submit(at.now, o.id, body)
	}
	w.decided(at, o, body, d)
}

func (w *world) hostAt(address string) *host {
	for _, h := range w.hosts {
		if h.self.Address == address {
			return h
		}
	}
	w.t.Fatalf("no host at %s", address)
	return nil
}

// decided checks a decision of a host against the oracle.
func (w *world) decided(at *host, o *order, body uint64, d Decision) {
	issued := at.self == o.id.Issuer
	if issued {
		w.checkRemembered(at, o, body, d)
	}
	switch d.Verdict {
	case Dispatch:
		if !issued {
			w.t.Fatalf("%v dispatches a permit of %v", at.self, o.id.Issuer)
		}
		o.firstBody = body
		at.owned = append(at.owned, o)
	case Running:
	case Replay, Refuse:
		w.tell(o, body, d.Code, d.Outcome)
	case Foreign:
		w.t.Fatalf("%v forwards again", at.self)
	}
}

// checkRemembered requires that the issuer answers a repeated submit by how the
// first one ended, until the retention has passed.
func (w *world) checkRemembered(at *host, o *order, body uint64, d Decision) {
	remembers := o.recorded != 0 && at.now < o.recordedAt+testRetention
	if !remembers || body != o.firstBody {
		return
	}
	if d.Verdict != Replay || d.Code.Class() != o.recorded {
		w.t.Fatalf("a permit that ended as %v is answered by %+v", o.recorded, d)
	}
}

// tell records an answer to a caller and checks that it is true.
func (w *world) tell(o *order, body uint64, code result.Code, outcome string) {
	switch code.Class() {
	case result.ClassNotRun:
		if _, told := o.toldNotRun[body]; !told || code != result.PermitBodyMismatch {
			o.toldNotRun[body] = code
		}
	case result.ClassComplete:
		if o.runs != 1 || o.failed || o.bodies[body] != 1 || outcome != o.outcome {
			w.t.Fatalf("told done with %q: %+v", outcome, o)
		}
	case result.ClassFailed:
		if o.runs != 1 || !o.failed {
			w.t.Fatalf("told failed: %+v", o)
		}
	}
}

func (w *world) drawOwned() (*host, *order) {
	h := w.drawHost("owner")
	if len(h.owned) == 0 {
		w.t.Skip("nothing owned")
	}
	return h, rapid.SampledFrom(h.owned).Draw(w.t, "owned")
}

// begin starts an attempt. A host may also try to begin what is running.
func (w *world) begin(*rapid.T) {
	h, o := w.drawOwned()
	attempt, err := h.ledger.BeginAttempt(h.now, o.id)
	if err != nil {
		if err.Code.Class() == result.ClassNotRun {
			w.tell(o, o.firstBody, err.Code, "")
		}
		return
	}
	h.attempts[o] = attempt
	w.messages = append(w.messages, &message{to: h.ledger, order: o, body: o.firstBody, attempt: attempt})
}

// giveUp answers a submitted order as not run, if the ledger agrees.
func (w *world) giveUp(*rapid.T) {
	h, o := w.drawOwned()
	if h.ledger.Burn(h.now, o.id, result.QueueFull) {
		if h.now < o.expires { // Otherwise it had ended before.
			w.record(h, o, result.ClassNotRun)
		}
		w.tell(o, o.firstBody, result.QueueFull, "")
	}
}

// timeout ends the wait for a reply.
func (w *world) timeout(*rapid.T) {
	h, o := w.drawOwned()
	if h.ledger.EndAttempt(h.now, o.id, h.attempts[o], result.OutcomeUnknown, "") {
		w.record(h, o, result.ClassUnknown)
	}
}

func (w *world) record(h *host, o *order, class result.Class) {
	o.recorded = class
	o.recordedAt = h.now
}

func (w *world) drawMessage() *message {
	if len(w.messages) == 0 {
		w.t.Skip("no message")
	}
	return rapid.SampledFrom(w.messages).Draw(w.t, "message")
}

// arrive brings an attempt to the endpoint, which runs or refuses it. The
// connection delivers it once; it may be after the sender was replaced.
func (w *world) arrive(*rapid.T) {
	m := w.drawMessage()
	if m.replied {
		return
	}
	m.replied = true
	m.refused = rapid.Bool().Draw(w.t, "refused")
	if m.refused {
		return
	}
	o := m.order
	o.runs++
	o.bodies[m.body]++
	o.failed = rapid.Bool().Draw(w.t, "failed")
	o.outcome = fmt.Sprintf("run %d of %d", o.runs, m.body)
}

// reply brings a reply back, also late, repeatedly, or after newer attempts.
func (w *world) reply(*rapid.T) {
	m := w.drawMessage()
	h := w.hostAt(m.order.id.Issuer.Address)
	if !m.replied || h.ledger != m.to {
		return
	}
	o := m.order
	switch {
	case m.refused:
		wasUnknown := o.recorded == result.ClassUnknown
		if h.ledger.Refused(h.now, o.id, m.attempt, result.EndpointShed) && wasUnknown {
			w.record(h, o, result.ClassNotRun)
		}
	case o.failed:
		if h.ledger.EndAttempt(h.now, o.id, m.attempt, result.EndpointFailed, "") {
			w.record(h, o, result.ClassFailed)
		}
	default:
		if h.ledger.EndAttempt(h.now, o.id, m.attempt, result.Done, o.outcome) {
			w.record(h, o, result.ClassComplete)
		}
	}
}

// pause lets one host's time pass without a tick, and sometimes ticks it.
func (w *world) pause(*rapid.T) {
	h := w.drawHost("paused")
	seconds := rapid.SampledFrom([]int{1, 1, 1, 3, 20, 31}).Draw(w.t, "seconds")
	h.now += time.Duration(seconds) * time.Second
	if rapid.Bool().Draw(w.t, "tick") {
		h.ledger.Tick(h.now)
	}
}

func (w *world) partition(*rapid.T) {
	h := w.drawHost("cut off")
	h.cutOff = !h.cutOff
}

// seldom skips most calls of an action that ends the life of a ledger.
func (w *world) seldom() {
	if rapid.IntRange(0, 7).Draw(w.t, "seldom") > 0 {
		w.t.Skip("seldom")
	}
}

func (w *world) crash(*rapid.T) {
	w.seldom()
	h := w.drawHost("crashed")
	w.start(h, h.self.Address)
}

// stop hands the ledger of a host over and replaces the host.
func (w *world) stop(*rapid.T) {
	w.seldom()
	h := w.drawHost("stopping")
	to := w.drawHost("receiver")
	h.ledger.Stop(h.now)
	if _, err := h.ledger.Issue(h.now, testService(), 1, w.rng); err == nil {
		w.t.Fatalf("a stopped ledger issues permits")
	}
	for _, batch := range BatchHandovers(h.self, h.ledger.Closed(), 600) {
		to.ledger.Receive(to.now, batch)
		to.ledger.Receive(to.now, batch)
	}
	if h != to {
		w.start(h, h.self.Address)
	}
}

// check holds after every step.
func (w *world) check(t *rapid.T) {
	for _, o := range w.orders {
		if o.runs > 1 {
			t.Fatalf("%v ran %d times", o.id, o.runs)
		}
		for body, code := range o.toldNotRun {
			differentBody := code == result.PermitBodyMismatch
			if o.bodies[body] > 0 || (o.runs > 0 && !differentBody) {
				t.Fatalf("%v with body %d was told %v and ran %d times", o.id, body, code, o.runs)
			}
		}
	}
	for _, h := range w.hosts {
		if len(h.ledger.entries) > testLimit || len(h.ledger.due) != len(h.ledger.entries) || h.ledger.archive.Len() > testLimit {
			t.Fatalf("%v holds %d permits and %d archived", h.self, len(h.ledger.entries), h.ledger.archive.Len())
		}
	}
}
