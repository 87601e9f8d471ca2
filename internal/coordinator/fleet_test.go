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

// fleet runs the machines of a few hosts from one event queue over a faulty
// network, with model endpoints. Its oracle is in oracle_test.go.
type fleet struct {
	oracle
	rng       *rand.Rand
	now       time.Duration
	events    eventHeap
	sequence  uint64
	hosts     []*fleetHost
	endpoints map[string]*endpointModel
	bundles   []*config.Bundle
	loss      float64
	ticket    Ticket
}

// fleetHost is one incarnation of a host.
type fleetHost struct {
	self        view.Incarnation
	coordinator *Machine
	relay       *relay.Machine
	view        *view.View
	dead        bool
	stopping    bool
	paused      time.Duration
	ticks       [2]time.Duration
	pending     map[Ticket]*pending
	load        load
}

type event struct {
	at    time.Duration
	order uint64
	host  *fleetHost
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].order, h[j].order)) < 0
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// after runs f on a host, unless the host is dead by then; a paused host runs it
// when it wakes up. A nil host stands for the outside.
func (w *fleet) after(delay time.Duration, h *fleetHost, f func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.now + delay, order: w.sequence, host: h, run: f})
}

func (w *fleet) chance(p float64) bool { return w.rng.Float64() < p }

func (w *fleet) delay(upToMS int64) time.Duration {
	return time.Duration(1+w.rng.Int64N(upToMS*1000)) * time.Microsecond
}

// run passes time.
func (w *fleet) run(span time.Duration) {
	end := w.now + span
	for steps := 0; ; steps++ {
		if steps > 1_000_000 {
			w.t.Fatal("a timer stays due after its tick")
		}
		at := end
		if len(w.events) > 0 {
			at = min(at, w.events[0].at)
		}
		for _, h := range w.live() {
			at = min(at, max(min(h.ticks[0], h.ticks[1]), h.paused))
		}
		w.now = max(w.now, at)
		if len(w.events) > 0 && w.events[0].at <= w.now {
			w.handle(heap.Pop(&w.events).(event))
			continue
		}
		if !w.tick() && w.now >= end {
			break
		}
	}
	for _, h := range w.live() {
		w.checkOverdue(h)
		w.checkBounds(h)
	}
}

func (w *fleet) handle(e event) {
	switch {
	case e.host == nil:
		e.run()
	case e.host.dead:
	case w.now < e.host.paused:
		e.at = e.host.paused
		heap.Push(&w.events, e)
	default:
		e.run()
	}
}

// tick ticks what is due and reports whether anything was.
func (w *fleet) tick() bool {
	due := false
	for _, h := range w.live() {
		if w.now < h.paused {
			continue
		}
		if h.ticks[0] <= w.now {
			due = true
			w.coordinate(h, h.coordinator.Tick(w.now))
		}
		if h.ticks[1] <= w.now {
			due = true
			w.relay(h, h.relay.Tick(w.now))
		}
		if h.stopping && h.coordinator.RunningRequests() == 0 && h.relay.Idle() && len(h.pending) == 0 {
			w.leave(h)
		}
	}
	return due
}

func (w *fleet) live() []*fleetHost {
	return slices.DeleteFunc(slices.Clone(w.hosts), func(h *fleetHost) bool { return h.dead })
}

func (w *fleet) at(address string) *fleetHost {
	i := slices.IndexFunc(w.hosts, func(h *fleetHost) bool { return !h.dead && h.self.Address == address })
	if i < 0 {
		return nil
	}
	return w.hosts[i]
}

// coordinate carries out the actions of a coordinator.
func (w *fleet) coordinate(h *fleetHost, a Actions) {
	h.load.count(a.Events)
	for _, q := range a.Queries {
		w.answerQuery(h, q)
	}
	for _, s := range a.Submits {
		w.answerSubmit(h, s.Ticket, s.Answer)
	}
	for _, f := range a.Forwards {
		w.forward(h, f)
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
		w.carry(h, to, batches[to])
	}
	for _, c := range a.Cancel {
		w.withdraw(h, c)
	}
	h.ticks[0] = h.coordinator.Next(w.now)
}

// carry hands attempts to a relay, with every fault that a connection can have.
func (w *fleet) carry(h *fleetHost, to string, requests []dispatch.Request) {
	if to == "" {
		w.after(0, h, func() { w.relay(h, h.relay.Dispatch(w.now, "", requests)) })
		return
	}
	keys := make([]dispatch.Key, len(requests))
	for i := range requests {
		keys[i] = requests[i].Key
	}
	peer := w.at(to)
	written := func() { w.coordinate(h, h.coordinator.AttemptsWritten(w.now, to, keys)) }
	if peer == nil || w.chance(w.loss) {
		w.after(w.delay(3), h, func() { w.coordinate(h, h.coordinator.AttemptsNotWritten(w.now, to, keys)) })
		return
	}
	deliver := func() { w.relay(peer, peer.relay.Dispatch(w.now, h.self.Address, requests)) }
	switch {
	case w.chance(w.loss):
		if w.chance(0.5) {
			w.after(w.delay(3), peer, deliver)
		}
		w.after(w.delay(3), h, func() { w.coordinate(h, h.coordinator.AttemptsLost(w.now, to, keys)) })
	case w.chance(w.loss):
		w.after(w.delay(5), h, written)
		w.breakLink(h, peer)
	default:
		w.after(w.delay(2), h, written)
		w.after(w.delay(2), peer, deliver)
	}
}

// breakLink breaks the connections between two hosts.
func (w *fleet) breakLink(a, b *fleetHost) {
	w.after(w.delay(5), a, func() { w.coordinate(a, a.coordinator.PeerConnectionLost(w.now, b.self.Address)) })
	w.after(w.delay(5), b, func() { w.relay(b, b.relay.OriginLost(w.now, a.self.Address)) })
}

func (w *fleet) withdraw(h *fleetHost, c RoutedCancel) {
	target, origin := h, ""
	if c.To != "" {
		target, origin = w.at(c.To), h.self.Address
	}
	if target == nil || (target != h && w.chance(w.loss)) {
		return
	}
	w.after(w.delay(2), target, func() { w.relay(target, target.relay.Cancel(w.now, origin, c.Cancel)) })
}

// relay carries out the actions of a relay.
func (w *fleet) relay(h *fleetHost, a relay.Actions) {
	for _, r := range a.Send {
		w.checkSend(h, r)
		w.endpoints[r.Endpoint].send(w, h, r)
	}
	for _, c := range a.Abort {
		w.endpoints[c.Endpoint].abort(w, h, c.Key)
	}
	for _, r := range a.Replies {
		w.deliver(h, r)
	}
	h.ticks[1], _ = h.relay.NextTick(w.now)
}

func (w *fleet) deliver(h *fleetHost, r relay.RoutedReply) {
	target := h
	if r.Origin != "" {
		target = w.at(r.Origin)
		if target == nil {
			return
		}
		if w.chance(w.loss) {
			if w.chance(0.5) {
				w.breakLink(target, h)
			}
			return
		}
	}
	if r.Reply.Code == result.SnapshotGone {
		target.load.gone++
	}
	copies := 1
	if w.chance(w.loss) {
		copies = 2
	}
	for range copies {
		w.after(w.delay(3), target, func() { w.coordinate(target, target.coordinator.Reply(w.now, r.Reply)) })
	}
}

// forward asks the issuer of a permit, and if that is gone its successors, as a
// driver does.
func (w *fleet) forward(h *fleetHost, f Forward) {
	answer := func(a api.SubmitAnswer) {
		if h.pending[f.Ticket] != nil {
			w.answerSubmit(h, f.Ticket, a)
		}
	}
	w.after(f.Budget+10*time.Millisecond, h, func() { answer(api.RefuseSubmit(f.Request, result.ForwardUnknown.Error())) })
	gone := result.IssuerReplaced
	askAll := slices.Concat([]string{f.Issuer.Address}, f.Successors)
	var ask func(i int)
	ask = func(i int) {
		for ; i < len(askAll); i++ {
			target := w.at(askAll[i])
			if askAll[i] == h.self.Address {
				continue
			}
			if target == nil || w.chance(w.loss) {
				if i == 0 {
					gone = result.IssuerUnreachable
				}
				continue
			}
			w.ask(h, target, f, func(a api.SubmitAnswer) {
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
	w.after(w.delay(3), h, func() { ask(0) })
}

// ask sends a forwarded submit to a host. The answer may be lost.
func (w *fleet) ask(h, target *fleetHost, f Forward, then func(api.SubmitAnswer)) {
	request := f.Request
	request.BudgetMS = int(f.Budget.Milliseconds())
	w.after(w.delay(3), target, func() {
		w.submit(target, request, true, func(a api.SubmitAnswer) {
			if !w.chance(w.loss) {
				w.after(w.delay(3), h, func() { then(a) })
			}
		})
	})
}

func (w *fleet) submit(h *fleetHost, s api.SubmitRequest, forwarded bool, then func(api.SubmitAnswer)) {
	w.ticket++
	limit := time.Second
	h.pending[w.ticket] = &pending{submit: s, deadline: w.now + limit + slack, then: then}
	w.coordinate(h, h.coordinator.Submit(w.now, w.ticket, s, forwarded))
}

func (w *fleet) query(h *fleetHost, q api.QueryRequest) Ticket {
	w.ticket++
	h.load.queries++
	h.pending[w.ticket] = &pending{query: q, deadline: w.now + time.Duration(q.BudgetMS)*time.Millisecond + slack}
	w.coordinate(h, h.coordinator.Query(w.now, w.ticket, q))
	return w.ticket
}

// start replaces the host at an address.
func (w *fleet) start(address string) *fleetHost {
	w.sequence++
	self := view.Incarnation{Address: address, Start: w.sequence}
	cfg := Config{Self: self, Fingerprint: fingerprint}
	h := &fleetHost{
		self: self, coordinator: New(cfg, w.rng), relay: relay.New(relay.Config{Fingerprint: fingerprint}, w.rng),
		pending: make(map[Ticket]*pending), load: newLoad(),
	}
	w.hosts = append(w.hosts, h)
	return h
}

func (w *fleet) crash(h *fleetHost) {
	h.dead = true
	for _, other := range w.live() {
		w.after(w.delay(50), other, func() {
			w.coordinate(other, other.coordinator.PeerConnectionLost(w.now, h.self.Address))
			w.relay(other, other.relay.OriginLost(w.now, h.self.Address))
		})
	}
}

// leave ends a planned stop: the closed permits go to the successors.
func (w *fleet) leave(h *fleetHost) {
	w.crash(h)
	var addresses []string
	for _, other := range w.live() {
		addresses = append(addresses, other.self.Address)
	}
	for _, handover := range h.coordinator.Handovers() {
		for _, successor := range permit.Successors(handover.Issuer, addresses, permit.SuccessorCount) {
			w.at(successor).coordinator.ReceiveHandover(w.now, handover)
		}
	}
}

// setView gives a host a view that need not fit those of the others.
func (w *fleet) setView(t *rapid.T, h *fleetHost, calm bool) {
	v := &view.View{PublishedAt: w.now, Self: view.Host{Incarnation: h.self}, Ready: true, LeavingEndpoints: map[string]bool{}, Suspects: map[view.Fingerprint]view.Suspicion{}, Relays: map[string][]string{}, ConnectionShares: map[string]int{}}
	v.Bundle = w.bundles[0]
	if !calm {
		v.Bundle = rapid.SampledFrom(w.bundles).Draw(t, "bundle")
		v.Suspects[poison] = rapid.SampledFrom([]view.Suspicion{view.NotSuspected, view.Suspected, view.Quarantined}).Draw(t, "suspicion")
	}
	for _, other := range w.live() {
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
	w.coordinate(h, h.coordinator.SetView(w.now, v))
	w.relay(h, h.relay.SetView(w.now, v))
}

var (
	addresses   = []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	endpointIDs = []string{"e0", "e1", "e2", "e3", "o0", "o1", "o2"}
)

// poison is the fingerprint of the requests that crash endpoints.
const poison view.Fingerprint = 1

func fingerprint(_, body string) view.Fingerprint {
	if body[0] == 'p' {
		return poison
	}
	return 0
}
