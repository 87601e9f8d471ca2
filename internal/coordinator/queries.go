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

// running is a query in progress.
type running struct {
	ticket      Ticket
	id          string
	requestID   string
	service     *config.Service
	revision    config.Revision
	fingerprint view.Fingerprint
	query       *query.Query
	timer       timer
}

// waitingQuery is a query that was not admitted yet.
type waitingQuery struct {
	ticket   Ticket
	request  api.QueryRequest
	deadline time.Duration
}

// Query takes a caller's query. The answer comes in the Actions of this or a
// later step, under the ticket.
func (m *Machine) Query(now time.Duration, ticket Ticket, q api.QueryRequest) Actions {
	m.begin(now)
	if code := m.refusal(q.Service, true); code != 0 {
		m.refuseQuery(ticket, &q, code)
		return m.take(now)
	}
	id := m.requestID()
	w := waitingQuery{ticket: ticket, request: q, deadline: now + budget(m.view.Bundle.Service(q.Service), q.BudgetMS)}
	m.waiting[id] = w
	m.tickets[ticket] = id
	m.offer(now, admission.Request{ID: id, Service: q.Service, Caller: q.Caller, Budget: w.deadline - now})
	return m.take(now)
}

// CallerDisconnected ends the request of a caller that went away. A submit goes on, so that
// its permit learns the outcome.
func (m *Machine) CallerDisconnected(now time.Duration, ticket Ticket) Actions {
	m.begin(now)
	id := m.tickets[ticket]
	delete(m.tickets, ticket)
	if r := m.queries[id]; r != nil {
		m.apply(now, r, r.query.Abort())
	}
	if _, ok := m.waiting[id]; ok {
		delete(m.waiting, id)
		m.admit(now, m.admission.Cancel(now, id))
	}
	return m.take(now)
}

// refusal returns why the host does not take a request, or zero. A host that
// announced its stop goes on serving until Stop, since the balancer lags.
func (m *Machine) refusal(name string, repeatable bool) result.Code {
	switch s, x := m.service(name); {
	case m.stopping:
		return result.Stopping
	case !m.view.Ready && m.view.Reason != result.Stopping:
		return m.view.Reason
	case s == nil || x == nil:
		return result.UnknownService
	case repeatable && !s.Repeatable:
		return result.PermitRequired
	case !repeatable && s.Repeatable:
		return result.NotRepeatable
	default:
		return 0
	}
}

// startQuery runs an admitted query under the configuration in force.
func (m *Machine) startQuery(now time.Duration, id string, w waitingQuery) {
	s, x := m.service(w.request.Service)
	if s == nil || x == nil {
		m.refuseQuery(w.ticket, &w.request, result.UnknownService)
		m.release(id)
		return
	}
	fingerprint := m.cfg.Fingerprint(s.Name, w.request.Query)
	r := &running{
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
		Index:       x,
		LatestIndex: func() *config.Index { return m.view.Bundle.Index(s.Name) },
		Body:        w.request.Query,
		Limit:       w.request.Limit,
		Deadline:    w.deadline,
		Suspicion:   m.view.Suspects[fingerprint],
		Replicas:    replicas{m},
		Budgets:     m.budgets[s.Name],
		Rand:        m.rng,
	})
	m.queries[id] = r
	m.apply(now, r, r.query.Start(now))
}

// budget returns the time that a request has: the caller's wish within the
// service's deadline.
func budget(s *config.Service, wishMS int) time.Duration {
	wish := time.Duration(wishMS) * time.Millisecond
	if wish <= 0 || wish > s.Deadline() {
		return s.Deadline()
	}
	return wish
}

func (m *Machine) replyToQuery(now time.Duration, reply dispatch.Reply) {
	r := m.queries[reply.Request]
	if r == nil {
		m.out.Events = append(m.out.Events, query.Event{Kind: query.EventStrayReply, Code: reply.Code})
		return
	}
	m.apply(now, r, r.query.Reply(now, reply))
}

// apply carries out the actions of a query.
func (m *Machine) apply(now time.Duration, r *running, a query.Actions) {
	m.out.Dispatch = slices.Grow(m.out.Dispatch, len(a.Dispatch))
	for _, d := range a.Dispatch {
		m.dispatch(now, d)
	}
	for _, c := range a.Cancel {
		m.cancel(c)
	}
	m.out.Events = append(m.out.Events, a.Events...)
	if a.SuspicionCleared {
		m.out.Observations = append(m.out.Observations, view.Observation{Recovered: []view.Fingerprint{r.fingerprint}})
	}
	if a.Answer != nil {
		m.answerQuery(r.ticket, r.answer(a.Answer))
	}
	if r.query.Done() {
		delete(m.queries, r.id)
		m.timers.remove(&r.timer)
		m.release(r.id)
		return
	}
	m.timers.set(&r.timer, r.query.NextTick())
}

func (m *Machine) refuseQuery(ticket Ticket, q *api.QueryRequest, code result.Code) {
	m.answerQuery(ticket, api.RefuseQuery(*q, code.Error()))
}

func (m *Machine) answerQuery(ticket Ticket, a api.QueryAnswer) {
	delete(m.tickets, ticket)
	m.out.Queries = append(m.out.Queries, QueryAnswer{Ticket: ticket, Answer: a})
}

// answer converts the answer of the query machine.
func (r *running) answer(a *query.Answer) api.QueryAnswer {
	out := api.QueryAnswer{
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
	if out.Hits == nil {
		out.Hits = []dispatch.Hit{}
	}
	missing := make([]keyrange.Range, 0, len(a.Missing))
	for _, x := range a.Missing {
		missing = append(missing, x.Range)
		out.Coverage.Missing = append(out.Coverage.Missing, api.Missing{Range: x.Range, Code: x.Code, Name: x.Code.String()})
	}
	if a.Shards > 0 {
		out.Coverage.Fraction = 1 - float64(keyrange.Size(missing))/float64(keyrange.End)
	}
	return out
}
