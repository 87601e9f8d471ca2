package coordinator

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/admission"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// runningQuery is an admitted query that has not ended.
type runningQuery struct {
	ticket      Ticket
	id          string
	requestID   string
	service     *config.Service
	revision    config.Revision
	fingerprint view.Fingerprint
	query       *query.Query
	timer       timer
	// charges are the memory of the replies, until the query ends.
	charges []dispatch.Charge
}

// waitingQuery is a query that waits for admission.
type waitingQuery struct {
	ticket   Ticket
	request  api.QueryRequest
	deadline time.Duration
}

// Query handles a caller's query. The answer is in the Actions of this or a
// later step, with the ticket.
func (m *Machine) Query(now time.Duration, ticket Ticket, q api.QueryRequest) Actions {
	m.beginStep(now)
	if code := m.refusalCode(q.Service, true); code != 0 {
		m.refuseQuery(ticket, &q, code)
		return m.endStep(now)
	}
	id := m.newRequestID()
	w := waitingQuery{ticket: ticket, request: q, deadline: now + requestBudget(m.view.Bundle.Service(q.Service), q.BudgetMS)}
	m.waitingQueries[id] = w
	m.queryIDs[ticket] = id
	m.requestAdmission(now, admission.Request{ID: id, Service: q.Service, Caller: q.Caller, Budget: w.deadline - now})
	return m.endStep(now)
}

// CallerDisconnected ends the query of a caller that has disconnected. A
// submit continues, so that the outcome of its permit is recorded.
func (m *Machine) CallerDisconnected(now time.Duration, ticket Ticket) Actions {
	m.beginStep(now)
	id := m.queryIDs[ticket]
	delete(m.queryIDs, ticket)
	if r := m.runningQueries[id]; r != nil {
		m.applyQueryActions(now, r, r.query.Abort())
	}
	if _, ok := m.waitingQueries[id]; ok {
		delete(m.waitingQueries, id)
		m.applyAdmissionChanges(now, m.admission.Cancel(now, id))
	}
	return m.endStep(now)
}

// refusalCode returns why the host refuses a new request, or zero if it does
// not. A host that has announced its stop accepts requests until the call of
// Stop, because load balancers react to the announcement with a delay.
func (m *Machine) refusalCode(serviceName string, repeatable bool) result.Code {
	switch service, index := m.serviceAndIndex(serviceName); {
	case m.stopping:
		return result.Stopping
	case !m.view.Ready && m.view.Reason != result.Stopping:
		return m.view.Reason
	case service == nil || index == nil:
		return result.UnknownService
	case repeatable && !service.Repeatable:
		return result.PermitRequired
	case !repeatable && service.Repeatable:
		return result.NotRepeatable
	default:
		return 0
	}
}

// startQuery runs an admitted query with the current configuration.
func (m *Machine) startQuery(now time.Duration, id string, w waitingQuery) {
	s, index := m.serviceAndIndex(w.request.Service)
	if s == nil || index == nil {
		m.refuseQuery(w.ticket, &w.request, result.UnknownService)
		m.scheduleRelease(id)
		return
	}
	fingerprint := m.cfg.Fingerprint(s.Name, w.request.Query)
	r := &runningQuery{
		ticket:      w.ticket,
		id:          id,
		requestID:   w.request.RequestID,
		service:     s,
		revision:    m.view.Bundle.Revision,
		fingerprint: fingerprint,
	}
	r.timer = m.newTimer()
	r.timer.query = r
	r.query = query.New(query.Params{
		ID:          id,
		Service:     s,
		Index:       index,
		LatestIndex: func() *config.Index { return m.view.Bundle.Index(s.Name) },
		Body:        w.request.Query,
		Limit:       w.request.Limit,
		Deadline:    w.deadline,
		Suspicion:   m.view.Suspects[fingerprint],
		Replicas:    replicaSelector{m},
		Budgets:     m.serviceBudgets[s.Name],
		Rand:        m.rng,
	})
	m.runningQueries[id] = r
	m.applyQueryActions(now, r, r.query.Start(now))
}

// requestBudget returns the time that a request may take: the time that the
// caller requested, or the deadline of the service if that is shorter or the
// caller requested none.
func requestBudget(s *config.Service, requestedMS int) time.Duration {
	requested := time.Duration(requestedMS) * time.Millisecond
	if requested <= 0 || requested > s.Deadline() {
		return s.Deadline()
	}
	return requested
}

// handleQueryReply delivers the reply to an attempt to the query, or counts it
// as stray if the query has ended.
func (m *Machine) handleQueryReply(now time.Duration, reply dispatch.Reply) {
	r := m.runningQueries[reply.Request]
	if r == nil || reply.Outcome != dispatch.OK {
		reply.ReleaseCharge()
	}
	if r == nil {
		m.actions.Events = append(m.actions.Events, query.Event{Kind: query.EventStrayReply, Code: reply.Code})
		return
	}
	if reply.Charge != nil {
		r.charges = append(r.charges, reply.Charge)
	}
	m.applyQueryActions(now, r, r.query.Reply(now, reply))
}

// applyQueryActions carries out the actions of a query state machine.
func (m *Machine) applyQueryActions(now time.Duration, r *runningQuery, a query.Actions) {
	m.actions.Dispatch = slices.Grow(m.actions.Dispatch, len(a.Dispatch))
	for _, d := range a.Dispatch {
		m.dispatchAttempt(now, d)
	}
	for _, c := range a.Cancel {
		m.cancelAttempt(c)
	}
	m.actions.Events = append(m.actions.Events, a.Events...)
	if a.SuspicionCleared {
		m.actions.Observations = append(m.actions.Observations, view.Observation{Recovered: []view.Fingerprint{r.fingerprint}})
	}
	if a.Answer != nil {
		m.answerQuery(r.ticket, r.apiAnswer(a.Answer))
	}
	if r.query.Done() {
		delete(m.runningQueries, r.id)
		for _, c := range r.charges {
			c.Release()
		}
		m.timers.remove(&r.timer)
		m.scheduleRelease(r.id)
		return
	}
	m.timers.set(&r.timer, r.query.NextTick())
}

func (m *Machine) refuseQuery(ticket Ticket, q *api.QueryRequest, code result.Code) {
	m.answerQuery(ticket, api.NewQueryErrorAnswer(*q, code.Error()))
}

func (m *Machine) answerQuery(ticket Ticket, a api.QueryAnswer) {
	delete(m.queryIDs, ticket)
	m.actions.Queries = append(m.actions.Queries, QueryAnswer{Ticket: ticket, Answer: a})
}

// apiAnswer converts the answer of a query state machine to the form of the
// API.
func (r *runningQuery) apiAnswer(a *query.Answer) api.QueryAnswer {
	answer := api.QueryAnswer{
		RequestID: r.requestID,
		Code:      a.Code,
		Name:      a.Code.String(),
		Class:     a.Code.Class().String(),
		Snapshot:  a.Snapshot,
		Revision:  uint64(r.revision),
		Truncated: a.Truncated,
		Hits:      a.Hits,
		Coverage:  api.Coverage{Shards: a.Shards, Covered: a.Covered},
	}
	if answer.Hits == nil {
		answer.Hits = []dispatch.Hit{}
	}
	missing := make([]keyrange.Range, 0, len(a.Missing))
	for _, part := range a.Missing {
		missing = append(missing, part.Range)
		answer.Coverage.Missing = append(answer.Coverage.Missing, api.Missing{Range: part.Range, Code: part.Code, Name: part.Code.String()})
	}
	if a.Shards > 0 {
		answer.Coverage.Fraction = 1 - float64(keyrange.Size(missing))/float64(keyrange.End)
	}
	return answer
}
