package coordinator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpoint"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Ticket identifies a caller's request on this host.
type Ticket uint64

// Routed is an attempt and the relay that carries it.
type Routed struct {
	// To is the peer address of the relay, or empty for this host.
	To      string
	Request dispatch.Request
}

// RoutedCancel is a cancellation and the relay that has the attempt.
type RoutedCancel struct {
	To     string
	Cancel dispatch.Cancel
}

// QueryAnswer answers a query.
type QueryAnswer struct {
	Ticket Ticket
	Answer api.QueryAnswer
}

// Actions are the outputs of one step. The driver dispatches before it cancels.
type Actions struct {
	Dispatch     []Routed
	Cancel       []RoutedCancel
	Queries      []QueryAnswer
	Observations []view.Observation
	// Events are counted.
	Events []query.Event
}

// PauseGap is the least time between two steps after which the host counts as
// paused. The driver steps the machine at least every TickInterval.
const (
	PauseGap     = time.Second
	TickInterval = 100 * time.Millisecond
)

// outstandingGrace is how long after its deadline an attempt without a reply is
// still accounted for.
const outstandingGrace = 5 * time.Second

// Config are the fixed inputs of a machine.
type Config struct {
	Self view.Incarnation
	// Fingerprint identifies a request for the quarantine.
	Fingerprint func(service, body string) view.Fingerprint
}

// Machine is the coordinator of one host.
type Machine struct {
	cfg         Config
	rng         *rand.Rand
	view        *view.View
	table       *endpoint.Table
	budgets     map[string]*budgets
	queries     map[string]*running
	outstanding map[dispatch.Key]outstanding
	relayDown   map[string]time.Duration
	timers      timerHeap
	sequence    uint64
	last        time.Duration
	swept       time.Duration
	out         Actions
}

// outstanding is an attempt without a reply.
type outstanding struct {
	to       string
	endpoint string
	sent     time.Duration
	expires  time.Duration
	// written tells that the attempt was handed to the peer's socket.
	written bool
	request dispatch.Request
}

// New returns a machine that refuses every request until SetView.
func New(cfg Config, rng *rand.Rand) *Machine {
	return &Machine{
		cfg:         cfg,
		rng:         rng,
		view:        &view.View{Reason: result.NotReady},
		table:       endpoint.NewTable(),
		budgets:     make(map[string]*budgets),
		queries:     make(map[string]*running),
		outstanding: make(map[dispatch.Key]outstanding),
		relayDown:   make(map[string]time.Duration),
	}
}

// SetView replaces the view. Running queries keep the configuration that they
// began with.
func (m *Machine) SetView(now time.Duration, v *view.View) Actions {
	m.advance(now)
	m.view = v
	m.table.SetView(now, v)
	m.updateBudgets()
	return m.take()
}

// Tick handles the passing of time.
func (m *Machine) Tick(now time.Duration) Actions {
	m.advance(now)
	m.runTimers(now)
	m.sweep(now)
	return m.take()
}

// Next returns when Tick is due.
func (m *Machine) Next(now time.Duration) time.Duration {
	next := now + TickInterval
	if at, ok := m.timers.next(); ok {
		next = min(next, at)
	}
	return max(next, now)
}

// Running returns the number of requests in progress.
func (m *Machine) Running() int { return len(m.queries) }

// Outstanding returns the number of attempts without a reply.
func (m *Machine) Outstanding() int { return len(m.outstanding) }

// Condition returns what the host believes of an endpoint.
func (m *Machine) Condition(now time.Duration, id string) endpoint.Condition {
	return m.table.Condition(now, id)
}

// advance notes the time of a step and drops beliefs after a pause.
func (m *Machine) advance(now time.Duration) {
	if m.last > 0 && now-m.last > PauseGap {
		m.table.Paused(now)
	}
	m.last = now
}

// Reply handles the reply to an attempt, from this host's relay or a peer.
func (m *Machine) Reply(now time.Duration, r dispatch.Reply) Actions {
	m.advance(now)
	m.reply(now, r)
	return m.take()
}

func (m *Machine) reply(now time.Duration, r dispatch.Reply) {
	o, known := m.outstanding[r.Key]
	if known {
		delete(m.outstanding, r.Key)
		r.Endpoint = o.endpoint
		m.table.Replied(now, r, now-o.sent)
	}
	m.observe(&r)
	m.replyToQuery(now, r, known)
}

// observe reports signs that concern other hosts.
func (m *Machine) observe(r *dispatch.Reply) {
	leaving := r.Code == result.EndpointLeaving || (r.Load != nil && r.Load.Leaving)
	if leaving && !m.view.Leaving[r.Endpoint] {
		m.out.Observations = append(m.out.Observations, view.Observation{Leaving: r.Endpoint})
	}
}

// Written notes that attempts were handed to a peer's socket.
func (m *Machine) Written(keys []dispatch.Key) {
	for _, k := range keys {
		if o, ok := m.outstanding[k]; ok {
			o.written = true
			m.outstanding[k] = o
		}
	}
}

// NotWritten handles attempts that were provably not handed to a peer.
func (m *Machine) NotWritten(now time.Duration, peer string, keys []dispatch.Key) Actions {
	m.advance(now)
	m.avoid(now, peer)
	for _, k := range keys {
		if o, ok := m.outstanding[k]; ok {
			m.reply(now, o.request.Refuse(result.PeerUnreachable))
		}
	}
	return m.take()
}

// Lost handles attempts whose hand-over to a peer failed half way.
func (m *Machine) Lost(now time.Duration, peer string, keys []dispatch.Key) Actions {
	m.advance(now)
	m.avoid(now, peer)
	for _, k := range keys {
		if o, ok := m.outstanding[k]; ok {
			m.reply(now, o.request.Lose(result.OutcomeUnknown))
		}
	}
	return m.take()
}

// PeerLost handles a broken connection to a peer: what was written over it and
// has no reply is unknown.
func (m *Machine) PeerLost(now time.Duration, peer string) Actions {
	m.advance(now)
	m.avoid(now, peer)
	for _, k := range m.outstandingAt(peer) {
		o := m.outstanding[k]
		m.reply(now, o.request.Lose(result.OutcomeUnknown))
	}
	return m.take()
}

// sweep drops attempts whose reply is long overdue.
func (m *Machine) sweep(now time.Duration) {
	if now-m.swept < outstandingGrace {
		return
	}
	m.swept = now
	for _, k := range m.overdue(now) {
		o := m.outstanding[k]
		m.reply(now, o.request.Lose(result.OutcomeUnknown))
	}
	for peer, until := range m.relayDown {
		if now >= until {
			delete(m.relayDown, peer)
		}
	}
}

func (m *Machine) take() Actions {
	out := m.out
	m.out = Actions{}
	return out
}

// requestID returns an ID that no other request of any host has.
func (m *Machine) requestID() string {
	m.sequence++
	return fmt.Sprintf("%016x-%x", m.cfg.Self.Start, m.sequence)
}

func (m *Machine) service(name string) (*config.Service, *config.Index) {
	return m.view.Bundle.Service(name), m.view.Bundle.Index(name)
}
