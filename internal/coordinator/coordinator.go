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

// Ticket identifies a caller's request on this host. The driver chooses it,
// and the answer carries it.
type Ticket uint64

// RoutedRequest is an attempt and the relay to send it to.
type RoutedRequest struct {
	// To is the peer address of the relay, or empty for this host's relay.
	To      string
	Request dispatch.Request
}

// RoutedCancel is the cancellation of an attempt and the relay that has the
// attempt.
type RoutedCancel struct {
	To     string
	Cancel dispatch.Cancel
}

// QueryAnswer is the answer to a query.
type QueryAnswer struct {
	Ticket Ticket
	Answer api.QueryAnswer
}

// Actions are the outputs of one step, which is one call of a method of Machine
// that returns Actions. The driver must carry out Dispatch before Cancel.
type Actions struct {
	Dispatch []RoutedRequest
	Cancel   []RoutedCancel
	Queries  []QueryAnswer
	Submits  []SubmitAnswer
	// Forwards are submits that another host decides on.
	Forwards []Forward
	// Observations are reports to the control machine.
	Observations []view.Observation
	// Events are for the driver to count.
	Events []query.Event
}

// SubmitAnswer is the answer to a submit.
type SubmitAnswer struct {
	Ticket Ticket
	Answer api.SubmitAnswer
}

// Forward is a submit on which the issuer of its permit decides. The driver
// asks the issuer and then answers the ticket itself:
//
//   - If the issuer answers, with that answer.
//   - If the issuer cannot be reached or was replaced, with the answer of the
//     first of Successors that has a record of the permit, or else with
//     IssuerUnreachable or IssuerReplaced.
//   - If the submit may have reached the issuer but no answer came, with
//     ForwardUnknown.
//
// The address of Issuer is this host's own if this host replaced the issuer.
type Forward struct {
	Ticket     Ticket
	Issuer     view.Incarnation
	Successors []string
	Request    api.SubmitRequest
	// Budget limits the time until the answer.
	Budget time.Duration
}

// If the time between two steps exceeds PauseThreshold, the host is assumed to
// have been paused. The driver must run a step at least every TickInterval.
const (
	PauseThreshold = time.Second
	TickInterval   = 100 * time.Millisecond
)

// outstandingGrace is the shortest time after its deadline for which an attempt
// without a reply stays outstanding. Its outcome then counts as unknown.
const outstandingGrace = 5 * time.Second

// Config holds the parameters of a machine.
type Config struct {
	Self view.Incarnation
	// Fingerprint returns the fingerprint by which a request is quarantined.
	Fingerprint func(service, body string) view.Fingerprint
	// Limits apply to the requests of all services together.
	Limits admission.Limits
	// Permits limits the size of the permit ledger.
	Permits permit.Config
}

// Machine is the coordinator of one host.
type Machine struct {
	cfg              Config
	rng              *rand.Rand
	view             *view.View
	endpoints        *endpoint.Table
	serviceBudgets   map[string]*serviceBudgets
	sharedHedgeBurst *endpoint.SharedBurst
	sharedRetryBurst *endpoint.SharedBurst
	admission        *admission.Queue
	ledger           *permit.Ledger
	// waitingQueries and runningQueries map request IDs to queries.
	waitingQueries map[string]waitingQuery
	runningQueries map[string]*runningQuery
	// submissions maps the string forms of permits to submissions.
	submissions map[string]*submission
	// submissionsByAdmission maps admission IDs to the submissions that wait
	// for admission or are admitted.
	submissionsByAdmission map[string]*submission
	// queryIDs maps the ticket of each unanswered query to the ID of the
	// query.
	queryIDs    map[Ticket]string
	outstanding map[dispatch.Key]*outstanding
	// relayFailures maps peer addresses to the recent failures of their relays.
	relayFailures map[string]relayFailure
	timers        timerHeap
	// pendingReleases are the IDs of admitted requests that ended in this
	// step. Their admissions are released at the end of the step.
	pendingReleases []string
	// sequence is the last number that was given to a request or timer.
	sequence uint64
	lastStep time.Duration
	// lastSweep is the time at which endOverdueAttempts last ran.
	lastSweep time.Duration
	stopping  bool
	actions   Actions
}

// outstanding is a dispatched attempt without a reply.
type outstanding struct {
	relayAddress string
	endpoint     string
	sentAt       time.Duration
	expiresAt    time.Duration
	// written reports that the attempt was written to the socket of its
	// relay's host.
	written bool
	request dispatch.Request
}

// New returns a machine that refuses every request until the first call of
// SetView. The random source should be cryptographically secure, because the
// nonces of permits come from it.
func New(cfg Config, rng *rand.Rand) *Machine {
	return &Machine{
		cfg:                    cfg,
		rng:                    rng,
		view:                   &view.View{Reason: result.NotReady},
		endpoints:              endpoint.NewTable(),
		serviceBudgets:         make(map[string]*serviceBudgets),
		sharedHedgeBurst:       endpoint.NewSharedBurst(hostHedgeBurst),
		sharedRetryBurst:       endpoint.NewSharedBurst(hostRetryBurst),
		admission:              admission.New(cfg.Limits),
		ledger:                 permit.New(cfg.Self, cfg.Permits),
		waitingQueries:         make(map[string]waitingQuery),
		runningQueries:         make(map[string]*runningQuery),
		submissions:            make(map[string]*submission),
		submissionsByAdmission: make(map[string]*submission),
		queryIDs:               make(map[Ticket]string),
		outstanding:            make(map[dispatch.Key]*outstanding),
		relayFailures:          make(map[string]relayFailure),
	}
}

// SetView replaces the view. Running queries keep the configuration with which
// they started.
func (m *Machine) SetView(now time.Duration, v *view.View) Actions {
	m.advanceTo(now)
	m.view = v
	m.endpoints.SetView(now, v)
	m.updateBudgets()
	m.processTimeouts(now)
	m.applyAdmissionChanges(now, m.admission.SetBundle(now, v.Bundle))
	return m.endStep(now)
}

// Tick processes everything that is due at now.
func (m *Machine) Tick(now time.Duration) Actions {
	m.advanceTo(now)
	m.processTimeouts(now)
	m.ledger.Tick(now)
	m.endOverdueAttempts(now)
	return m.endStep(now)
}

// NextTick returns the time at which Tick is due.
func (m *Machine) NextTick(now time.Duration) time.Duration {
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
// Requests in progress continue until they end.
func (m *Machine) Stop(now time.Duration) Actions {
	m.beginStep(now)
	m.stopping = true
	m.admission.Stop()
	m.ledger.Stop(now)
	return m.endStep(now)
}

// RunningRequests returns the number of requests in progress, including those
// that wait for admission.
func (m *Machine) RunningRequests() int {
	return len(m.waitingQueries) + len(m.runningQueries) + len(m.submissions)
}

// PermitStats returns the counts of the permits in the ledger.
func (m *Machine) PermitStats() permit.Stats { return m.ledger.Stats() }

// OutstandingAttempts returns the number of dispatched attempts without a
// reply.
func (m *Machine) OutstandingAttempts() int { return len(m.outstanding) }

// EndpointCondition returns the condition of an endpoint, as observed by this
// host.
func (m *Machine) EndpointCondition(now time.Duration, endpointID string) endpoint.Condition {
	return m.endpoints.Condition(now, endpointID)
}

// beginStep starts a step. It processes due timers before the event of the
// step. An event that is late, such as the first one after a pause, therefore
// meets no request past its deadline.
func (m *Machine) beginStep(now time.Duration) {
	m.advanceTo(now)
	if m.timers.due(now) {
		m.processTimeouts(now)
	}
}

// advanceTo records the time of a call. After a pause it discards the
// observations of endpoints that became stale during the pause.
func (m *Machine) advanceTo(now time.Duration) {
	if m.lastStep > 0 && now-m.lastStep > PauseThreshold {
		m.endpoints.ResetAfterPause(now)
	}
	m.lastStep = now
}

// endStep releases the admissions of the requests that ended in the step, and
// returns the actions of the step.
func (m *Machine) endStep(now time.Duration) Actions {
	m.releaseEndedRequests(now)
	actions := m.actions
	m.actions = Actions{}
	return actions
}

func (m *Machine) newTimer() timer {
	m.sequence++
	return timer{sequence: m.sequence}
}

// newRequestID returns an ID that no other request on any host has.
func (m *Machine) newRequestID() string {
	m.sequence++
	return fmt.Sprintf("%016x-%x", m.cfg.Self.Start, m.sequence)
}

// serviceAndIndex returns the current configuration of a service and of its
// index. Either is nil if it is not configured.
func (m *Machine) serviceAndIndex(name string) (*config.Service, *config.Index) {
	return m.view.Bundle.Service(name), m.view.Bundle.Index(name)
}
