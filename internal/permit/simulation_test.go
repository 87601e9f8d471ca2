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
	// recentPermits is the number of most recently issued permits that callers
	// submit. It is small, so that one permit sees many events.
	recentPermits = 4
)

func testService() *config.Service {
	return &config.Service{Name: "orders", Permit: config.Permit{LifetimeMS: 10_000, RetentionMS: 30_000, Limit: testLimit}}
}

// simulatedHost is a host. Its ledger and incarnation change when it restarts.
type simulatedHost struct {
	ledger      *Ledger
	self        view.Incarnation
	now         time.Duration
	partitioned bool
	// owned are the permits for which this incarnation got the verdict Dispatch.
	owned []*issuedPermit
	// lastAttempt is the number of the last attempt of each owned permit.
	lastAttempt map[*issuedPermit]uint32
}

// issuedPermit is a permit and the oracle's record of it: what the endpoint did
// and what callers were answered.
type issuedPermit struct {
	id ID
	// expires is the end of the permit's lifetime on the issuer's clock.
	expires time.Duration
	// runsByBody counts the runs of each body at the endpoint, and runs all of
	// them. A body is a number, which is also used as its hash.
	runsByBody map[uint64]int
	runs       int
	// outcome is the endpoint's answer; failed reports that the request failed.
	outcome string
	failed  bool
	// answeredNotRun maps each body that a caller was told did not run to the code
	// of that answer.
	answeredNotRun map[uint64]result.Code
	// recordedClass is the class with which the issuer ended the permit, at the
	// time recordedAt on its clock. It is zero while the permit is open.
	recordedClass result.Class
	recordedAt    time.Duration
	// firstBody is the body of the submit that got the verdict Dispatch.
	firstBody uint64
}

// message is an attempt in transit to the endpoint, or its reply in transit back.
type message struct {
	// sender is the ledger that began the attempt. Its host may have restarted since.
	sender       *Ledger
	issuedPermit *issuedPermit
	body         uint64
	attempt      uint32
	// handled reports that the endpoint has run or refused the attempt.
	handled bool
	refused bool
}

// simulation models several hosts, one endpoint and the messages between them. The
// hosts' clocks are independent of each other.
type simulation struct {
	t          *rapid.T
	rng        *rand.Rand
	hosts      []*simulatedHost
	permits    []*issuedPermit
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

// startHost starts a new incarnation of a host, with an empty ledger.
func (sim *simulation) startHost(h *simulatedHost, address string) {
	sim.startCount++
	h.self = view.Incarnation{Address: address, Start: sim.startCount}
	h.ledger = New(h.self, Config{MaxRun: testMaxRun, Archive: ArchiveConfig{MaxPermits: testLimit}})
	h.owned = nil
	h.lastAttempt = make(map[*issuedPermit]uint32)
	h.now = 0
}

func (sim *simulation) drawHost(label string) *simulatedHost {
	return rapid.SampledFrom(sim.hosts).Draw(sim.t, label)
}

func (sim *simulation) drawPermit() *issuedPermit {
	if len(sim.permits) == 0 {
		sim.t.Skip("no permit was issued")
	}
	recent := sim.permits[max(0, len(sim.permits)-recentPermits):]
	return rapid.SampledFrom(recent).Draw(sim.t, "permit")
}

// issue issues permits on any host, and checks that their string form can be
// parsed.
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
			sim.t.Fatalf("permit %v is parsed as %v, error %v", id, parsed, err)
		}
		sim.permits = append(sim.permits, &issuedPermit{id: id, expires: h.now + testLifetime, runsByBody: make(map[uint64]int), answeredNotRun: make(map[uint64]result.Code)})
	}
}

// submit sends a submit through any host, as a caller that repeats its submits does.
func (sim *simulation) submit(*rapid.T) {
	p := sim.drawPermit()
	receiver := sim.drawHost("receiver")
	body := rapid.SampledFrom([]uint64{1, 1, 1, 2}).Draw(sim.t, "body")
	d := receiver.ledger.Submit(receiver.now, p.id, body)
	decider := receiver
	if d.Verdict == Forward {
		decider = sim.hostWithAddress(d.Issuer.Address)
		if decider.partitioned || receiver.partitioned {
			return // The caller gets IssuerUnreachable.
		}
		d = decider.ledger.Submit(decider.now, p.id, body)
	}
	sim.checkDecision(decider, p, body, d)
}

func (sim *simulation) hostWithAddress(address string) *simulatedHost {
	for _, h := range sim.hosts {
		if h.self.Address == address {
			return h
		}
	}
	sim.t.Fatalf("no host has the address %s", address)
	return nil
}

// checkDecision checks the decision of the host decider against the oracle, and
// records it.
func (sim *simulation) checkDecision(decider *simulatedHost, p *issuedPermit, body uint64, d Decision) {
	isIssuer := decider.self == p.id.Issuer
	if isIssuer {
		sim.checkRepeatedSubmit(decider, p, body, d)
	}
	switch d.Verdict {
	case Dispatch:
		if !isIssuer {
			sim.t.Fatalf("%v dispatches a permit that %v issued", decider.self, p.id.Issuer)
		}
		p.firstBody = body
		decider.owned = append(decider.owned, p)
	case Running:
	case Replay, Refuse:
		sim.recordAnswer(p, body, d.Code, d.Outcome)
	case Forward:
		sim.t.Fatalf("%v forwards a submit that was forwarded to it", decider.self)
	}
}

// checkRepeatedSubmit checks that the issuer answers a repeated submit with the
// recorded outcome until the retention period has passed.
func (sim *simulation) checkRepeatedSubmit(issuer *simulatedHost, p *issuedPermit, body uint64, d Decision) {
	retained := p.recordedClass != 0 && issuer.now < p.recordedAt+testRetention
	if !retained || body != p.firstBody {
		return
	}
	if d.Verdict != Replay || d.Code.Class() != p.recordedClass {
		sim.t.Fatalf("a permit that ended with class %v gets the decision %+v", p.recordedClass, d)
	}
}

// recordAnswer checks that an answer to a caller is true, and records it if it says
// that the request did not run.
func (sim *simulation) recordAnswer(p *issuedPermit, body uint64, code result.Code, outcome string) {
	switch code.Class() {
	case result.ClassNotRun:
		if _, answered := p.answeredNotRun[body]; !answered || code != result.PermitBodyMismatch {
			p.answeredNotRun[body] = code
		}
	case result.ClassComplete:
		if p.runs != 1 || p.failed || p.runsByBody[body] != 1 || outcome != p.outcome {
			sim.t.Fatalf("a caller was answered done with outcome %q: %+v", outcome, p)
		}
	case result.ClassFailed:
		if p.runs != 1 || !p.failed {
			sim.t.Fatalf("a caller was answered failed: %+v", p)
		}
	}
}

// drawOwned draws a host and one of the permits that it owns.
func (sim *simulation) drawOwned() (*simulatedHost, *issuedPermit) {
	h := sim.drawHost("owner")
	if len(h.owned) == 0 {
		sim.t.Skip("the host owns no permit")
	}
	return h, rapid.SampledFrom(h.owned).Draw(sim.t, "owned")
}

// beginAttempt begins an attempt of an owned permit, which may already be running or
// have ended.
func (sim *simulation) beginAttempt(*rapid.T) {
	h, p := sim.drawOwned()
	attempt, err := h.ledger.BeginAttempt(h.now, p.id)
	if err != nil {
		if err.Code.Class() == result.ClassNotRun {
			sim.recordAnswer(p, p.firstBody, err.Code, "")
		}
		return
	}
	h.lastAttempt[p] = attempt
	sim.messages = append(sim.messages, &message{sender: h.ledger, issuedPermit: p, body: p.firstBody, attempt: attempt})
}

// burn ends an owned permit as not run, if the ledger allows it.
func (sim *simulation) burn(*rapid.T) {
	h, p := sim.drawOwned()
	if h.ledger.Burn(h.now, p.id, result.QueueFull) {
		if h.now < p.expires { // Otherwise the expiry had ended the permit before.
			sim.recordEnd(h, p, result.ClassNotRun)
		}
		sim.recordAnswer(p, p.firstBody, result.QueueFull, "")
	}
}

// timeOutAttempt ends the last attempt of an owned permit without a reply.
func (sim *simulation) timeOutAttempt(*rapid.T) {
	h, p := sim.drawOwned()
	if h.ledger.EndAttempt(h.now, p.id, h.lastAttempt[p], result.OutcomeUnknown, "") {
		sim.recordEnd(h, p, result.ClassUnknown)
	}
}

// recordEnd records that the issuer h ended the permit with class.
func (sim *simulation) recordEnd(h *simulatedHost, p *issuedPermit, class result.Class) {
	p.recordedClass = class
	p.recordedAt = h.now
}

func (sim *simulation) drawMessage() *message {
	if len(sim.messages) == 0 {
		sim.t.Skip("no message was sent")
	}
	return rapid.SampledFrom(sim.messages).Draw(sim.t, "message")
}

// deliverAttempt delivers an attempt to the endpoint, which runs or refuses it. Each
// attempt is delivered at most once, possibly after its sender has restarted.
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
	p := m.issuedPermit
	p.runs++
	p.runsByBody[m.body]++
	p.failed = rapid.Bool().Draw(sim.t, "failed")
	p.outcome = fmt.Sprintf("run %d of %d", p.runs, m.body)
}

// deliverReply delivers a reply to the issuer. It may be late, duplicated, or arrive
// after a newer attempt has begun.
func (sim *simulation) deliverReply(*rapid.T) {
	m := sim.drawMessage()
	h := sim.hostWithAddress(m.issuedPermit.id.Issuer.Address)
	if !m.handled || h.ledger != m.sender {
		return
	}
	p := m.issuedPermit
	switch {
	case m.refused:
		wasUnknown := p.recordedClass == result.ClassUnknown
		if h.ledger.RecordRefusal(h.now, p.id, m.attempt, result.EndpointShed) && wasUnknown {
			sim.recordEnd(h, p, result.ClassNotRun)
		}
	case p.failed:
		if h.ledger.EndAttempt(h.now, p.id, m.attempt, result.EndpointFailed, "") {
			sim.recordEnd(h, p, result.ClassFailed)
		}
	default:
		if h.ledger.EndAttempt(h.now, p.id, m.attempt, result.Done, p.outcome) {
			sim.recordEnd(h, p, result.ClassComplete)
		}
	}
}

// advanceClock moves the clock of one host forward, with or without a tick.
func (sim *simulation) advanceClock(*rapid.T) {
	h := sim.drawHost("paused")
	seconds := rapid.SampledFrom([]int{1, 1, 1, 3, 20, 31}).Draw(sim.t, "seconds")
	h.now += time.Duration(seconds) * time.Second
	if rapid.Bool().Draw(sim.t, "tick") {
		h.ledger.Tick(h.now)
	}
}

// togglePartition cuts a host off from the others, or ends its partition.
func (sim *simulation) togglePartition(*rapid.T) {
	h := sim.drawHost("partitioned")
	h.partitioned = !h.partitioned
}

// skipMostCalls skips seven of eight calls of an action that replaces a ledger, so
// that most ledgers live through many events.
func (sim *simulation) skipMostCalls() {
	if rapid.IntRange(0, 7).Draw(sim.t, "skip") > 0 {
		sim.t.Skip("this action is rare")
	}
}

// crashHost restarts a host without a handover.
func (sim *simulation) crashHost(*rapid.T) {
	sim.skipMostCalls()
	h := sim.drawHost("crashed")
	sim.startHost(h, h.self.Address)
}

// stopHost stops a host, hands its ended permits over and restarts the host. Each
// handover is delivered twice.
func (sim *simulation) stopHost(*rapid.T) {
	sim.skipMostCalls()
	h := sim.drawHost("stopping")
	receiver := sim.drawHost("receiver")
	h.ledger.Stop(h.now)
	if _, err := h.ledger.Issue(h.now, testService(), 1, sim.rng); err == nil {
		sim.t.Fatalf("a stopped ledger issued a permit")
	}
	for _, batch := range BatchHandovers(h.self, h.ledger.ClosedPermits(), 600) {
		receiver.ledger.ReceiveHandover(receiver.now, batch)
		receiver.ledger.ReceiveHandover(receiver.now, batch)
	}
	if h != receiver {
		sim.startHost(h, h.self.Address)
	}
}

// checkInvariants checks what must hold after every action: a permit runs at most
// once, no answer says falsely that a request did not run, and the ledgers and
// archives stay within their limits.
func (sim *simulation) checkInvariants(t *rapid.T) {
	for _, p := range sim.permits {
		if p.runs > 1 {
			t.Fatalf("permit %v ran %d times", p.id, p.runs)
		}
		for body, code := range p.answeredNotRun {
			differentBody := code == result.PermitBodyMismatch
			if p.runsByBody[body] > 0 || (p.runs > 0 && !differentBody) {
				t.Fatalf("permit %v, body %d: a caller was answered %v, but the permit ran %d times", p.id, body, code, p.runs)
			}
		}
	}
	for _, h := range sim.hosts {
		if len(h.ledger.entries) > testLimit || len(h.ledger.timers) != len(h.ledger.entries) || h.ledger.archive.Len() > testLimit {
			t.Fatalf("%v holds %d permits and %d archived permits", h.self, len(h.ledger.entries), h.ledger.archive.Len())
		}
	}
}
