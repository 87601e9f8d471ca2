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

// simulation runs the machines of a few hosts from one event queue over a faulty
// network, with model endpoints. Its oracle is in oracle_test.go.
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

// simulatedHost is one incarnation of a host.
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

type event struct {
	at       time.Duration
	sequence uint64
	host     *simulatedHost
	run      func()
}

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

// schedule runs f on a host, unless the host is dead by then; a paused host runs it
// when it wakes up. A nil host stands for the outside.
func (w *simulation) schedule(delay time.Duration, h *simulatedHost, f func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.now + delay, sequence: w.sequence, host: h, run: f})
}

func (w *simulation) chance(p float64) bool { return w.rng.Float64() < p }

func (w *simulation) randomDelay(upToMS int64) time.Duration {
	return time.Duration(1+w.rng.Int64N(upToMS*1000)) * time.Microsecond
}

// runFor passes time.
func (w *simulation) runFor(span time.Duration) {
	end := w.now + span
	for steps := 0; ; steps++ {
		if steps > 1_000_000 {
			w.t.Fatal("a timer stays due after its tick")
		}
		at := end
		if len(w.events) > 0 {
			at = min(at, w.events[0].at)
		}
		for _, h := range w.liveHosts() {
			at = min(at, max(min(h.nextTicks[0], h.nextTicks[1]), h.pausedUntil))
		}
		w.now = max(w.now, at)
		if len(w.events) > 0 && w.events[0].at <= w.now {
			w.handleEvent(heap.Pop(&w.events).(event))
			continue
		}
		if !w.tickDueHosts() && w.now >= end {
			break
		}
	}
	for _, h := range w.liveHosts() {
		w.checkOverdue(h)
		w.checkBounds(h)
	}
}

func (w *simulation) handleEvent(e event) {
	switch {
	case e.host == nil:
		e.run()
	case e.host.terminated:
	case w.now < e.host.pausedUntil:
		e.at = e.host.pausedUntil
		heap.Push(&w.events, e)
	default:
		e.run()
	}
}

// tickDueHosts ticks what is due and reports whether anything was.
func (w *simulation) tickDueHosts() bool {
	due := false
	for _, h := range w.liveHosts() {
		if w.now < h.pausedUntil {
			continue
		}
		if h.nextTicks[0] <= w.now {
			due = true
			w.applyCoordinatorActions(h, h.coordinator.Tick(w.now))
		}
		if h.nextTicks[1] <= w.now {
			due = true
			w.applyRelayActions(h, h.relay.Tick(w.now))
		}
		if h.stopping && h.coordinator.RunningRequests() == 0 && h.relay.Idle() && len(h.pending) == 0 {
			w.handOverAndTerminate(h)
		}
	}
	return due
}

func (w *simulation) liveHosts() []*simulatedHost {
	return slices.DeleteFunc(slices.Clone(w.hosts), func(h *simulatedHost) bool { return h.terminated })
}

func (w *simulation) hostAt(address string) *simulatedHost {
	i := slices.IndexFunc(w.hosts, func(h *simulatedHost) bool { return !h.terminated && h.self.Address == address })
	if i < 0 {
		return nil
	}
	return w.hosts[i]
}

// applyCoordinatorActions carries out the actions of a coordinator.
func (w *simulation) applyCoordinatorActions(h *simulatedHost, a Actions) {
	h.searchLoad.countEvents(a.Events)
	for _, q := range a.Queries {
		w.checkQueryAnswer(h, q)
	}
	for _, s := range a.Submits {
		w.checkSubmitAnswer(h, s.Ticket, s.Answer)
	}
	for _, f := range a.Forwards {
		w.forwardSubmit(h, f)
	}
	batches := make(map[string][]dispatch.Request)
	var order []string
	for _, r := range a.Dispatch {
		w.checkDispatch(h, r)
		if batches[r.To] == nil {
			order = append(order, r.To)
		}
		batches[r.To] = append(batches[r.To], r.Request)
	}
	for _, to := range order {
		w.sendToRelay(h, to, batches[to])
	}
	for _, c := range a.Cancel {
		w.sendCancel(h, c)
	}
	h.nextTicks[0] = h.coordinator.Next(w.now)
}

// sendToRelay hands attempts to a relay, with every fault that a connection can have.
func (w *simulation) sendToRelay(h *simulatedHost, to string, requests []dispatch.Request) {
	if to == "" {
		w.schedule(0, h, func() { w.applyRelayActions(h, h.relay.Dispatch(w.now, "", requests)) })
		return
	}
	keys := make([]dispatch.Key, len(requests))
	for i := range requests {
		keys[i] = requests[i].Key
	}
	peer := w.hostAt(to)
	written := func() { w.applyCoordinatorActions(h, h.coordinator.AttemptsWritten(w.now, to, keys)) }
	if peer == nil || w.chance(w.lossRate) {
		w.schedule(w.randomDelay(3), h, func() { w.applyCoordinatorActions(h, h.coordinator.AttemptsNotWritten(w.now, to, keys)) })
		return
	}
	deliver := func() { w.applyRelayActions(peer, peer.relay.Dispatch(w.now, h.self.Address, requests)) }
	switch {
	case w.chance(w.lossRate):
		if w.chance(0.5) {
			w.schedule(w.randomDelay(3), peer, deliver)
		}
		w.schedule(w.randomDelay(3), h, func() { w.applyCoordinatorActions(h, h.coordinator.AttemptsLost(w.now, to, keys)) })
	case w.chance(w.lossRate):
		w.schedule(w.randomDelay(5), h, written)
		w.breakConnections(h, peer)
	default:
		w.schedule(w.randomDelay(2), h, written)
		w.schedule(w.randomDelay(2), peer, deliver)
	}
}

// breakConnections breaks the connections between two hosts.
func (w *simulation) breakConnections(a, b *simulatedHost) {
	w.schedule(w.randomDelay(5), a, func() { w.applyCoordinatorActions(a, a.coordinator.PeerConnectionLost(w.now, b.self.Address)) })
	w.schedule(w.randomDelay(5), b, func() { w.applyRelayActions(b, b.relay.OriginLost(w.now, a.self.Address)) })
}

func (w *simulation) sendCancel(h *simulatedHost, c RoutedCancel) {
	target, origin := h, ""
	if c.To != "" {
		target, origin = w.hostAt(c.To), h.self.Address
	}
	if target == nil || (target != h && w.chance(w.lossRate)) {
		return
	}
	w.schedule(w.randomDelay(2), target, func() { w.applyRelayActions(target, target.relay.Cancel(w.now, origin, c.Cancel)) })
}

// applyRelayActions carries out the actions of a applyRelayActions.
func (w *simulation) applyRelayActions(h *simulatedHost, a relay.Actions) {
	for _, r := range a.Send {
		w.checkSend(h, r)
		w.endpoints[r.Endpoint].send(w, h, r)
	}
	for _, c := range a.Abort {
		w.endpoints[c.Endpoint].abort(w, h, c.Key)
	}
	for _, r := range a.Replies {
		w.deliverReply(h, r)
	}
	h.nextTicks[1], _ = h.relay.NextTick(w.now)
}

func (w *simulation) deliverReply(h *simulatedHost, r relay.RoutedReply) {
	target := h
	if r.Origin != "" {
		target = w.hostAt(r.Origin)
		if target == nil {
			return
		}
		if w.chance(w.lossRate) {
			if w.chance(0.5) {
				w.breakConnections(target, h)
			}
			return
		}
	}
	if r.Reply.Code == result.SnapshotGone {
		target.searchLoad.snapshotGoneRefusals++
	}
	copies := 1
	if w.chance(w.lossRate) {
		copies = 2
	}
	for range copies {
		w.schedule(w.randomDelay(3), target, func() { w.applyCoordinatorActions(target, target.coordinator.Reply(w.now, r.Reply)) })
	}
}

// forwardSubmit asks the issuer of a permit, and if that is gone its successors, as a
// driver does.
func (w *simulation) forwardSubmit(h *simulatedHost, f Forward) {
	answer := func(a api.SubmitAnswer) {
		if h.pending[f.Ticket] != nil {
			w.checkSubmitAnswer(h, f.Ticket, a)
		}
	}
	w.schedule(f.Budget+10*time.Millisecond, h, func() { answer(api.RefuseSubmit(f.Request, result.ForwardUnknown.Error())) })
	gone := result.IssuerReplaced
	askAll := slices.Concat([]string{f.Issuer.Address}, f.Successors)
	var ask func(i int)
	ask = func(i int) {
		for ; i < len(askAll); i++ {
			target := w.hostAt(askAll[i])
			if askAll[i] == h.self.Address {
				continue
			}
			if target == nil || w.chance(w.lossRate) {
				if i == 0 {
					gone = result.IssuerUnreachable
				}
				continue
			}
			w.sendForwardedSubmit(h, target, f, func(a api.SubmitAnswer) {
				if a.Code == result.IssuerReplaced || a.Code == result.IssuerUnreachable {
					ask(i + 1)
				} else {
					answer(a)
				}
			})
			return
		}
		answer(api.RefuseSubmit(f.Request, gone.Error()))
	}
	w.schedule(w.randomDelay(3), h, func() { ask(0) })
}

// sendForwardedSubmit sends a forwarded submit to a host. The answer may be lost.
func (w *simulation) sendForwardedSubmit(h, target *simulatedHost, f Forward, then func(api.SubmitAnswer)) {
	request := f.Request
	request.BudgetMS = int(f.Budget.Milliseconds())
	w.schedule(w.randomDelay(3), target, func() {
		w.submit(target, request, true, func(a api.SubmitAnswer) {
			if !w.chance(w.lossRate) {
				w.schedule(w.randomDelay(3), h, func() { then(a) })
			}
		})
	})
}

func (w *simulation) submit(h *simulatedHost, s api.SubmitRequest, forwarded bool, then func(api.SubmitAnswer)) {
	w.lastTicket++
	limit := time.Second
	h.pending[w.lastTicket] = &pending{submit: s, deadline: w.now + limit + answerSlack, onAnswer: then}
	w.applyCoordinatorActions(h, h.coordinator.Submit(w.now, w.lastTicket, s, forwarded))
}

func (w *simulation) query(h *simulatedHost, q api.QueryRequest) Ticket {
	w.lastTicket++
	h.searchLoad.queries++
	h.pending[w.lastTicket] = &pending{query: q, deadline: w.now + time.Duration(q.BudgetMS)*time.Millisecond + answerSlack}
	w.applyCoordinatorActions(h, h.coordinator.Query(w.now, w.lastTicket, q))
	return w.lastTicket
}

// startHost replaces the host at an address.
func (w *simulation) startHost(address string) *simulatedHost {
	w.sequence++
	self := view.Incarnation{Address: address, Start: w.sequence}
	cfg := Config{Self: self, Fingerprint: fingerprint}
	h := &simulatedHost{
		self: self, coordinator: New(cfg, w.rng), relay: relay.New(relay.Config{Fingerprint: fingerprint}, w.rng),
		pending: make(map[Ticket]*pending), searchLoad: newSearchLoad(),
	}
	w.hosts = append(w.hosts, h)
	return h
}

func (w *simulation) crash(h *simulatedHost) {
	h.terminated = true
	for _, other := range w.liveHosts() {
		w.schedule(w.randomDelay(50), other, func() {
			w.applyCoordinatorActions(other, other.coordinator.PeerConnectionLost(w.now, h.self.Address))
			w.applyRelayActions(other, other.relay.OriginLost(w.now, h.self.Address))
		})
	}
}

// handOverAndTerminate ends a planned stop: the closed permits go to the successors.
func (w *simulation) handOverAndTerminate(h *simulatedHost) {
	w.crash(h)
	var addresses []string
	for _, other := range w.liveHosts() {
		addresses = append(addresses, other.self.Address)
	}
	for _, handover := range h.coordinator.Handovers() {
		for _, successor := range permit.Successors(handover.Issuer, addresses, permit.SuccessorCount) {
			w.hostAt(successor).coordinator.ReceiveHandover(w.now, handover)
		}
	}
}

// setView gives a host a view that need not fit those of the others.
func (w *simulation) setView(t *rapid.T, h *simulatedHost, calm bool) {
	v := &view.View{PublishedAt: w.now, Self: view.Host{Incarnation: h.self}, Ready: true, LeavingEndpoints: map[string]bool{}, Suspects: map[view.Fingerprint]view.Suspicion{}, Relays: map[string][]string{}, ConnectionShares: map[string]int{}}
	v.Bundle = w.bundles[0]
	if !calm {
		v.Bundle = rapid.SampledFrom(w.bundles).Draw(t, "bundle")
		v.Suspects[poisonFingerprint] = rapid.SampledFrom([]view.Suspicion{view.NotSuspected, view.Suspected, view.Quarantined}).Draw(t, "suspicion")
	}
	for _, other := range w.liveHosts() {
		if other != h {
			v.Hosts = append(v.Hosts, view.Host{Incarnation: other.self})
		}
	}
	for _, id := range endpointIDs {
		v.LeavingEndpoints[id] = !calm && w.chance(0.1)
		v.ConnectionShares[id] = 3
		for _, a := range addresses {
			if w.chance(0.4) {
				v.Relays[id] = append(v.Relays[id], a)
			}
		}
	}
	h.view = v
	w.applyCoordinatorActions(h, h.coordinator.SetView(w.now, v))
	w.applyRelayActions(h, h.relay.SetView(w.now, v))
}

var (
	addresses   = []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	endpointIDs = []string{"e0", "e1", "e2", "e3", "o0", "o1", "o2"}
)

// poisonFingerprint is the fingerprint of the requests that crash endpoints.
const poisonFingerprint view.Fingerprint = 1

func fingerprint(_, body string) view.Fingerprint {
	if body[0] == 'p' {
		return poisonFingerprint
	}
	return 0
}
