package coordinator

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/permit"
	"github.com/gypsumlug/gypsumlug/internal/relay"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// simulation runs the coordinators and relays of several hosts in virtual
// time, from one event queue. The network between the hosts loses and
// duplicates messages, and the endpoints are simulated. The oracle checks the
// answers.
type simulation struct {
	oracle
	rng        *rand.Rand
	now        time.Duration
	events     eventHeap
	sequence   uint64
	hosts      []*simulatedHost
	endpoints  map[string]*simulatedEndpoint
	bundles    []*config.Bundle
	lossRate   float64
	lastTicket Ticket
}

// simulatedHost is one incarnation of a host. nextTicks holds the times at
// which the coordinator and the relay are due.
type simulatedHost struct {
	self        view.Incarnation
	coordinator *Machine
	relay       *relay.Machine
	view        *view.View
	terminated  bool
	stopping    bool
	pausedUntil time.Duration
	nextTicks   [2]time.Duration
	pending     map[Ticket]*pending
	searchLoad  searchLoad
}

// event is a function that runs at a time on a host, or outside of the hosts if
// host is nil.
type event struct {
	at       time.Duration
	sequence uint64
	host     *simulatedHost
	run      func()
}

// eventHeap is a min-heap of events by time and sequence.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// schedule runs f on a host after a delay, unless the host has terminated by
// then. On a paused host, f runs when the pause ends. A nil host means that f
// runs outside of the hosts.
func (sim *simulation) schedule(delay time.Duration, h *simulatedHost, f func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: sim.now + delay, sequence: sim.sequence, host: h, run: f})
}

// chance returns true with probability p.
func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// randomDelay returns a delay of up to the given number of milliseconds.
func (sim *simulation) randomDelay(upToMS int64) time.Duration {
	return time.Duration(1+sim.rng.Int64N(upToMS*1000)) * time.Microsecond
}

// runFor advances the virtual time by span, and processes the events and ticks
// that become due.
func (sim *simulation) runFor(span time.Duration) {
	end := sim.now + span
	for iterations := 0; ; iterations++ {
		if iterations > 1_000_000 {
			sim.t.Fatal("a timer is still due after its tick")
		}
		at := end
		if len(sim.events) > 0 {
			at = min(at, sim.events[0].at)
		}
		for _, h := range sim.liveHosts() {
			at = min(at, max(min(h.nextTicks[0], h.nextTicks[1]), h.pausedUntil))
		}
		sim.now = max(sim.now, at)
		if len(sim.events) > 0 && sim.events[0].at <= sim.now {
			sim.handleEvent(heap.Pop(&sim.events).(event))
			continue
		}
		if !sim.tickDueHosts() && sim.now >= end {
			break
		}
	}
	for _, h := range sim.liveHosts() {
		sim.checkOverdue(h)
		sim.checkBounds(h)
	}
}

// handleEvent runs an event, or reschedules it if its host is paused, or drops
// it if its host has terminated.
func (sim *simulation) handleEvent(e event) {
	switch {
	case e.host == nil:
		e.run()
	case e.host.terminated:
	case sim.now < e.host.pausedUntil:
		e.at = e.host.pausedUntil
		heap.Push(&sim.events, e)
	default:
		e.run()
	}
}

// tickDueHosts ticks the coordinators and relays that are due, and reports
// whether any was.
func (sim *simulation) tickDueHosts() bool {
	due := false
	for _, h := range sim.liveHosts() {
		if sim.now < h.pausedUntil {
			continue
		}
		if h.nextTicks[0] <= sim.now {
			due = true
			sim.applyCoordinatorActions(h, h.coordinator.Tick(sim.now))
		}
		if h.nextTicks[1] <= sim.now {
			due = true
			sim.applyRelayActions(h, h.relay.Tick(sim.now))
		}
		if h.stopping && h.coordinator.RunningRequests() == 0 && h.relay.Idle() && len(h.pending) == 0 {
			sim.handOverAndTerminate(h)
		}
	}
	return due
}

// liveHosts returns the hosts that have not terminated.
func (sim *simulation) liveHosts() []*simulatedHost {
	return slices.DeleteFunc(slices.Clone(sim.hosts), func(h *simulatedHost) bool { return h.terminated })
}

// hostAt returns the live host at an address, or nil.
func (sim *simulation) hostAt(address string) *simulatedHost {
	i := slices.IndexFunc(sim.hosts, func(h *simulatedHost) bool { return !h.terminated && h.self.Address == address })
	if i < 0 {
		return nil
	}
	return sim.hosts[i]
}

// applyCoordinatorActions carries out the actions of a coordinator.
func (sim *simulation) applyCoordinatorActions(h *simulatedHost, a Actions) {
	h.searchLoad.countEvents(a.Events)
	for _, q := range a.Queries {
		sim.checkQueryAnswer(h, q)
	}
	for _, s := range a.Submits {
		sim.checkSubmitAnswer(h, s.Ticket, s.Answer)
	}
	for _, f := range a.Forwards {
		sim.forwardSubmit(h, f)
	}
	batches := make(map[string][]dispatch.Request)
	var relayOrder []string
	for _, r := range a.Dispatch {
		sim.checkDispatch(h, r)
		if batches[r.To] == nil {
			relayOrder = append(relayOrder, r.To)
		}
		batches[r.To] = append(batches[r.To], r.Request)
	}
	for _, to := range relayOrder {
		sim.sendToRelay(h, to, batches[to])
	}
	for _, c := range a.Cancel {
		sim.sendCancel(h, c)
	}
	h.nextTicks[0] = h.coordinator.NextTick(sim.now)
}

// sendToRelay sends attempts to a relay. The connection to a peer may refuse
// them, lose them, deliver them and report them as lost, or break after
// writing them.
func (sim *simulation) sendToRelay(h *simulatedHost, relayAddress string, requests []dispatch.Request) {
	if relayAddress == "" {
		sim.schedule(0, h, func() { sim.applyRelayActions(h, h.relay.Dispatch(sim.now, "", requests)) })
		return
	}
	keys := make([]dispatch.Key, len(requests))
	for i := range requests {
		keys[i] = requests[i].Key
	}
	peer := sim.hostAt(relayAddress)
	written := func() { sim.applyCoordinatorActions(h, h.coordinator.AttemptsWritten(sim.now, relayAddress, keys)) }
	if peer == nil || sim.chance(sim.lossRate) {
		sim.schedule(sim.randomDelay(3), h, func() { sim.applyCoordinatorActions(h, h.coordinator.AttemptsNotWritten(sim.now, relayAddress, keys)) })
		return
	}
	deliver := func() { sim.applyRelayActions(peer, peer.relay.Dispatch(sim.now, h.self.Address, requests)) }
	switch {
	case sim.chance(sim.lossRate):
		if sim.chance(0.5) {
			sim.schedule(sim.randomDelay(3), peer, deliver)
		}
		sim.schedule(sim.randomDelay(3), h, func() { sim.applyCoordinatorActions(h, h.coordinator.AttemptsLost(sim.now, relayAddress, keys)) })
	case sim.chance(sim.lossRate):
		sim.schedule(sim.randomDelay(5), h, written)
		sim.breakConnections(h, peer)
	default:
		sim.schedule(sim.randomDelay(2), h, written)
		sim.schedule(sim.randomDelay(2), peer, deliver)
	}
}

// breakConnections breaks the connections between two hosts.
func (sim *simulation) breakConnections(a, b *simulatedHost) {
	sim.schedule(sim.randomDelay(5), a, func() { sim.applyCoordinatorActions(a, a.coordinator.PeerConnectionLost(sim.now, b.self.Address)) })
	sim.schedule(sim.randomDelay(5), b, func() { sim.applyRelayActions(b, b.relay.OriginLost(sim.now, a.self.Address)) })
}

// sendCancel sends a cancellation to a relay. The connection to a peer may
// lose it.
func (sim *simulation) sendCancel(h *simulatedHost, c RoutedCancel) {
	target, origin := h, ""
	if c.To != "" {
		target, origin = sim.hostAt(c.To), h.self.Address
	}
	if target == nil || (target != h && sim.chance(sim.lossRate)) {
		return
	}
	sim.schedule(sim.randomDelay(2), target, func() { sim.applyRelayActions(target, target.relay.Cancel(sim.now, origin, c.Cancel)) })
}

// applyRelayActions carries out the actions of a relay.
func (sim *simulation) applyRelayActions(h *simulatedHost, a relay.Actions) {
	for _, r := range a.Send {
		sim.checkSend(h, r)
		sim.endpoints[r.Endpoint].send(sim, h, r)
	}
	for _, c := range a.Abort {
		sim.endpoints[c.Endpoint].abort(sim, h, c.Key)
	}
	for _, r := range a.Replies {
		sim.deliverReply(h, r)
	}
	h.nextTicks[1], _ = h.relay.NextTick(sim.now)
}

// deliverReply delivers a reply to the coordinator that dispatched the attempt.
// The connection to a peer may lose the reply, and any reply may arrive twice.
func (sim *simulation) deliverReply(h *simulatedHost, r relay.RoutedReply) {
	target := h
	if r.Origin != "" {
		target = sim.hostAt(r.Origin)
		if target == nil {
			return
		}
		if sim.chance(sim.lossRate) {
			if sim.chance(0.5) {
				sim.breakConnections(target, h)
			}
			return
		}
	}
	if r.Reply.Code == result.SnapshotGone {
		target.searchLoad.snapshotGoneRefusals++
	}
	copies := 1
	if sim.chance(sim.lossRate) {
		copies = 2
	}
	for range copies {
		sim.schedule(sim.randomDelay(3), target, func() { sim.applyCoordinatorActions(target, target.coordinator.Reply(sim.now, r.Reply)) })
	}
}

// forwardSubmit asks the issuer of a permit to decide on a submit. If the
// issuer cannot be reached or was replaced, it asks the successors, as a
// driver does.
func (sim *simulation) forwardSubmit(h *simulatedHost, f Forward) {
	answer := func(a api.SubmitAnswer) {
		if h.pending[f.Ticket] != nil {
			sim.checkSubmitAnswer(h, f.Ticket, a)
		}
	}
	sim.schedule(f.Budget+10*time.Millisecond, h, func() { answer(api.NewSubmitErrorAnswer(f.Request, result.ForwardUnknown.Error())) })
	failureCode := result.IssuerReplaced
	addressesToAsk := slices.Concat([]string{f.Issuer.Address}, f.Successors)
	var askFrom func(i int)
	askFrom = func(i int) {
		for ; i < len(addressesToAsk); i++ {
			target := sim.hostAt(addressesToAsk[i])
			if addressesToAsk[i] == h.self.Address {
				continue
			}
			if target == nil || sim.chance(sim.lossRate) {
				if i == 0 {
					failureCode = result.IssuerUnreachable
				}
				continue
			}
			sim.sendForwardedSubmit(h, target, f, func(a api.SubmitAnswer) {
				if a.Code == result.IssuerReplaced || a.Code == result.IssuerUnreachable {
					askFrom(i + 1)
				} else {
					answer(a)
				}
			})
			return
		}
		answer(api.NewSubmitErrorAnswer(f.Request, failureCode.Error()))
	}
	sim.schedule(sim.randomDelay(3), h, func() { askFrom(0) })
}

// sendForwardedSubmit sends a forwarded submit to a host. The answer may be
// lost.
func (sim *simulation) sendForwardedSubmit(h, target *simulatedHost, f Forward, onAnswer func(api.SubmitAnswer)) {
	request := f.Request
	request.BudgetMS = int(f.Budget.Milliseconds())
	sim.schedule(sim.randomDelay(3), target, func() {
		sim.submit(target, request, true, func(a api.SubmitAnswer) {
			if !sim.chance(sim.lossRate) {
				sim.schedule(sim.randomDelay(3), h, func() { onAnswer(a) })
			}
		})
	})
}

// submit sends a submit to a host. If onAnswer is not nil, it gets the answer.
func (sim *simulation) submit(h *simulatedHost, s api.SubmitRequest, forwarded bool, onAnswer func(api.SubmitAnswer)) {
	sim.lastTicket++
	budget := time.Second
	h.pending[sim.lastTicket] = &pending{submit: s, deadline: sim.now + budget + answerSlack, onAnswer: onAnswer}
	sim.applyCoordinatorActions(h, h.coordinator.Submit(sim.now, sim.lastTicket, s, forwarded))
}

// query sends a query to a host.
func (sim *simulation) query(h *simulatedHost, q api.QueryRequest) Ticket {
	sim.lastTicket++
	h.searchLoad.queries++
	h.pending[sim.lastTicket] = &pending{query: q, deadline: sim.now + time.Duration(q.BudgetMS)*time.Millisecond + answerSlack}
	sim.applyCoordinatorActions(h, h.coordinator.Query(sim.now, sim.lastTicket, q))
	return sim.lastTicket
}

// startHost starts a new incarnation of the host at an address.
func (sim *simulation) startHost(address string) *simulatedHost {
	sim.sequence++
	self := view.Incarnation{Address: address, Start: sim.sequence}
	cfg := Config{Self: self, Fingerprint: fingerprint}
	h := &simulatedHost{
		self: self, coordinator: New(cfg, sim.rng), relay: relay.New(relay.Config{Fingerprint: fingerprint}, sim.rng),
		pending: make(map[Ticket]*pending), searchLoad: newSearchLoad(),
	}
	sim.hosts = append(sim.hosts, h)
	return h
}

// crash terminates a host. The others learn later that their connections to it
// have broken.
func (sim *simulation) crash(h *simulatedHost) {
	h.terminated = true
	for _, other := range sim.liveHosts() {
		sim.schedule(sim.randomDelay(50), other, func() {
			sim.applyCoordinatorActions(other, other.coordinator.PeerConnectionLost(sim.now, h.self.Address))
			sim.applyRelayActions(other, other.relay.OriginLost(sim.now, h.self.Address))
		})
	}
}

// handOverAndTerminate ends a planned stop: the host terminates and its ended
// permits go to the successors.
func (sim *simulation) handOverAndTerminate(h *simulatedHost) {
	sim.crash(h)
	var addresses []string
	for _, other := range sim.liveHosts() {
		addresses = append(addresses, other.self.Address)
	}
	for _, handover := range h.coordinator.Handovers() {
		for _, successor := range permit.Successors(handover.Issuer, addresses, permit.SuccessorCount) {
			sim.hostAt(successor).coordinator.ReceiveHandover(sim.now, handover)
		}
	}
}

// setView passes a random view to a host, which may differ from the views of
// the other hosts. If healthy is set, the view has the first bundle, no
// suspects and no leaving endpoints.
func (sim *simulation) setView(t *rapid.T, h *simulatedHost, healthy bool) {
	v := &view.View{PublishedAt: sim.now, Self: view.Host{Incarnation: h.self}, Ready: true, LeavingEndpoints: map[string]bool{}, Suspects: map[view.Fingerprint]view.Suspicion{}, Relays: map[string][]string{}, ConnectionShares: map[string]int{}}
	v.Bundle = sim.bundles[0]
	if !healthy {
		v.Bundle = rapid.SampledFrom(sim.bundles).Draw(t, "bundle")
		v.Suspects[poisonFingerprint] = rapid.SampledFrom([]view.Suspicion{view.NotSuspected, view.Suspected, view.Quarantined}).Draw(t, "suspicion")
	}
	for _, other := range sim.liveHosts() {
		if other != h {
			v.Hosts = append(v.Hosts, view.Host{Incarnation: other.self})
		}
	}
	for _, id := range endpointIDs {
		v.LeavingEndpoints[id] = !healthy && sim.chance(0.1)
		v.ConnectionShares[id] = 3
		for _, a := range addresses {
			if sim.chance(0.4) {
				v.Relays[id] = append(v.Relays[id], a)
			}
		}
	}
	h.view = v
	sim.applyCoordinatorActions(h, h.coordinator.SetView(sim.now, v))
	sim.applyRelayActions(h, h.relay.SetView(sim.now, v))
}

var (
	addresses = []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	// endpointIDs are the endpoints of "search" (e) and of "orders" (o).
	endpointIDs = []string{"e0", "e1", "e2", "e3", "o0", "o1", "o2"}
)

// poisonFingerprint is the fingerprint of requests that crash endpoints.
const poisonFingerprint view.Fingerprint = 1

// fingerprint returns poisonFingerprint for a body that begins with "p", and
// zero for any other.
func fingerprint(_, body string) view.Fingerprint {
	if body[0] == 'p' {
		return poisonFingerprint
	}
	return 0
}
