package coordinator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/admission"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpoint"
	"github.com/gypsumlug/gypsumlug/internal/permit"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Ticket identifies a caller's request on this host.
type Ticket uint64

// RoutedRequest is an attempt and the relay that carries it.
type RoutedRequest struct {
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
	Dispatch []RoutedRequest
	Cancel   []RoutedCancel
	Queries  []QueryAnswer
	Submits  []SubmitAnswer
	// Forwards are submits that another host decides.
	Forwards     []Forward
	Observations []view.Observation
	// Events are counted.
	Events []query.Event
}

// SubmitAnswer answers a submit.
type SubmitAnswer struct {
	Ticket Ticket
	Answer api.SubmitAnswer
}

// Forward is a submit to ask the permit's issuer about. The driver answers the
// ticket itself: with the issuer's answer; if the issuer could not be reached or
// was replaced, with that of the first of Successors that knows the permit, or
// else IssuerUnreachable or IssuerReplaced; and with ForwardUnknown if the issuer
// was reached and gave no answer. The issuer's address may be this host's.
type Forward struct {
	Ticket     Ticket
	Issuer     view.Incarnation
	Successors []string
	Request    api.SubmitRequest
	Budget     time.Duration
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
	// Limits bound the requests of all services.
	Limits admission.Limits
	// Permits bounds the ledger.
	Permits permit.Config
}

// Machine is the coordinator of one host.
type Machine struct {
	cfg         Config
	rng         *rand.Rand
	view        *view.View
	table       *endpoint.Table
	budgets     map[string]*budgets
	hedges      *endpoint.SharedBurst
	retries     *endpoint.SharedBurst
	admission   *admission.Queue
	ledger      *permit.Ledger
	waiting     map[string]waitingQuery
	queries     map[string]*running
	submissions map[string]*submission
	// admitted maps the ID of an admission to its submission.
	admitted map[string]*submission
	// tickets maps a ticket to the ID of its query.
	tickets     map[Ticket]string
	outstanding map[dispatch.Key]*outstanding
	relays      map[string]relayState
	timers      timerHeap
	// released are the admitted requests that ended in this step.
	released []string
	sequence uint64
	last     time.Duration
	swept    time.Duration
	stopping bool
	out      Actions
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

// New returns a machine that refuses every request until SetView. The random
// source should be cryptographic, since it draws the nonces of permits.
func New(cfg Config, rng *rand.Rand) *Machine {
	return &Machine{
		cfg:         cfg,
		rng:         rng,
		view:        &view.View{Reason: result.NotReady},
		table:       endpoint.NewTable(),
		budgets:     make(map[string]*budgets),
		hedges:      endpoint.NewSharedBurst(hostHedgeBurst),
		retries:     endpoint.NewSharedBurst(hostRetryBurst),
		admission:   admission.New(cfg.Limits),
		ledger:      permit.New(cfg.Self, cfg.Permits),
		waiting:     make(map[string]waitingQuery),
		queries:     make(map[string]*running),
		submissions: make(map[string]*submission),
		admitted:    make(map[string]*submission),
		tickets:     make(map[Ticket]string),
		outstanding: make(map[dispatch.Key]*outstanding),
		relays:      make(map[string]relayState),
	}
}

// SetView replaces the view. Running queries keep the configuration that they
// began with.
func (m *Machine) SetView(now time.Duration, v *view.View) Actions {
	m.advance(now)
	m.view = v
	m.table.SetView(now, v)
	m.updateBudgets()
	m.expire(now)
	m.admit(now, m.admission.SetBundle(now, v.Bundle))
	return m.take(now)
}

// Tick handles the passing of time.
func (m *Machine) Tick(now time.Duration) Actions {
	m.advance(now)
	m.expire(now)
	m.ledger.Tick(now)
	m.sweep(now)
	return m.take(now)
}

// Next returns when Tick is due.
func (m *Machine) Next(now time.Duration) time.Duration {
	next := now + TickInterval
	if at, ok := m.timers.next(); ok {
		next = min(next, at)
	}
	if at, ok := m.admission.NextTick(); ok {
		next = min(next, at)
	}
	return max(next, now)
}

// Stop refuses new requests and burns the permits that were not submitted.
// Requests in progress go on to their end.
func (m *Machine) Stop(now time.Duration) Actions {
	m.begin(now)
	m.stopping = true
	m.admission.Stop()
	m.ledger.Stop(now)
	return m.take(now)
}

// RunningRequests returns the number of requests in progress.
func (m *Machine) RunningRequests() int { return len(m.waiting) + len(m.queries) + len(m.submissions) }

// PermitStats returns the number of permits by state.
func (m *Machine) PermitStats() permit.Stats { return m.ledger.Stats() }

// OutstandingAttempts returns the number of attempts without a reply.
func (m *Machine) OutstandingAttempts() int { return len(m.outstanding) }

// EndpointCondition returns what the host believes of an endpoint.
func (m *Machine) EndpointCondition(now time.Duration, id string) endpoint.Condition {
	return m.table.Condition(now, id)
}

// begin starts a step. What is due by time goes before the event, so that a late
// event, such as the first one after a pause, finds no request past its
// deadline.
func (m *Machine) begin(now time.Duration) {
	m.advance(now)
	if m.timers.due(now) {
		m.expire(now)
	}
}

// advance notes the time of a step and drops beliefs after a pause.
func (m *Machine) advance(now time.Duration) {
	if m.last > 0 && now-m.last > PauseGap {
		m.table.ResetAfterPause(now)
	}
	m.last = now
}

// take ends a step and returns its actions.
func (m *Machine) take(now time.Duration) Actions {
	m.drainReleased(now)
	out := m.out
	m.out = Actions{}
	return out
}

func (m *Machine) newTimer() timer {
	m.sequence++
	return timer{order: m.sequence}
}

// requestID returns an ID that no other request of any host has.
func (m *Machine) requestID() string {
	m.sequence++
	return fmt.Sprintf("%016x-%x", m.cfg.Self.Start, m.sequence)
}

func (m *Machine) service(name string) (*config.Service, *config.Index) {
	return m.view.Bundle.Service(name), m.view.Bundle.Index(name)
}
