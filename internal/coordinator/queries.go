package coordinator

import (
	"time"

	"github.com/gypsumlug/gypsumlug/api"
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
	// wake is the time of the valid timer, or zero.
	wake time.Duration
}

// Query takes a caller's query. The answer comes in the Actions of this or a
// later step, under the ticket.
func (m *Machine) Query(now time.Duration, ticket Ticket, q api.QueryRequest) Actions {
	m.advance(now)
	if code := m.refusal(q.Service, true); code != 0 {
		m.refuseQuery(ticket, &q, code)
		return m.take()
	}
	m.startQuery(now, ticket, &q)
	return m.take()
}

// Hangup ends the request of a caller that went away.
func (m *Machine) Hangup(now time.Duration, ticket Ticket) Actions {
	m.advance(now)
	for _, r := range m.queries {
		if r.ticket == ticket {
			m.apply(now, r, r.query.Hangup())
			break
		}
	}
	return m.take()
}

// refusal returns why the host does not take a request, or zero.
func (m *Machine) refusal(name string, repeatable bool) result.Code {
	if !m.view.Ready {
		return m.view.Reason
	}
	s, x := m.service(name)
	switch {
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

func (m *Machine) startQuery(now time.Duration, ticket Ticket, q *api.QueryRequest) {
	s, x := m.service(q.Service)
	fingerprint := m.cfg.Fingerprint(q.Service, q.Query)
	r := &running{
		ticket:      ticket,
		id:          m.requestID(),
		requestID:   q.RequestID,
		service:     s,
		revision:    m.view.Bundle.Revision,
		fingerprint: fingerprint,
	}
	r.query = query.New(query.Params{
		ID:        r.id,
		Service:   s,
		Index:     x,
		Body:      q.Query,
		Limit:     q.Limit,
		Deadline:  now + budget(s, q.BudgetMS),
		Suspicion: m.view.Suspects[fingerprint],
		Replicas:  replicas{m},
		Budgets:   m.budgets[s.Name],
		Rand:      m.rng,
	})
	m.queries[r.id] = r
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

func (m *Machine) replyToQuery(now time.Duration, reply dispatch.Reply, known bool) {
	r := m.queries[reply.Request]
	if r == nil || !known {
		m.out.Events = append(m.out.Events, query.Event{Kind: query.EventStray, Code: reply.Code})
		return
	}
	m.apply(now, r, r.query.Reply(now, reply))
}

// apply carries out the actions of a query.
func (m *Machine) apply(now time.Duration, r *running, a query.Actions) {
	for _, d := range a.Dispatch {
		m.dispatch(now, d)
	}
	for _, c := range a.Cancel {
		m.cancel(c)
	}
	m.out.Events = append(m.out.Events, a.Events...)
	if a.Cleared {
		m.out.Observations = append(m.out.Observations, view.Observation{Recovered: []view.Fingerprint{r.fingerprint}})
	}
	if a.Answer != nil {
		m.out.Queries = append(m.out.Queries, QueryAnswer{Ticket: r.ticket, Answer: r.answer(a.Answer)})
	}
	if r.query.Done() {
		delete(m.queries, r.id)
		r.wake = 0
		return
	}
	m.schedule(r)
}

func (m *Machine) refuseQuery(ticket Ticket, q *api.QueryRequest, code result.Code) {
	m.out.Queries = append(m.out.Queries, QueryAnswer{Ticket: ticket, Answer: api.QueryAnswer{
		RequestID: q.RequestID,
		Code:      code,
		Name:      code.String(),
		Class:     code.Class().String(),
		Hits:      []dispatch.Hit{},
	}})
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
