package coordinator

import (
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/admission"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/permit"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// submission is a permit's request in progress on its issuer.
type submission struct {
	id      permit.ID
	request api.SubmitRequest
	service *config.Service
	// admission is the ID of its admission, or empty before and after.
	admission string
	deadline  time.Duration
	waiters   []waiter
	timer     timer
	budgets   *budgets
	attempted bool
	tried     []string
	retries   int
	suspicion view.Suspicion
}

// waiter is a caller that waits for the outcome of a submission.
type waiter struct {
	ticket    Ticket
	requestID string
	deadline  time.Duration
}

// Submit takes a submit. The answer comes in the Actions of this or a later
// step, under the ticket. A forwarded submit is never forwarded again.
//
// The ledger sees every submit first: a refusal for any other reason would be
// untrue for a permit that had run before.
func (m *Machine) Submit(now time.Duration, ticket Ticket, s api.SubmitRequest, forwarded bool) Actions {
	m.begin(now)
	id, err := permit.Parse(s.Permit)
	switch {
	case s.Permit == "":
		m.refuseSubmit(ticket, &s, result.PermitRequired)
	case err != nil:
		m.refuseSubmit(ticket, &s, result.PermitMalformed)
	case id.Service != s.Service:
		m.refuseSubmit(ticket, &s, result.PermitBodyMismatch)
	default:
		m.decide(now, ticket, s, id, forwarded)
	}
	return m.take(now)
}

func (m *Machine) decide(now time.Duration, ticket Ticket, s api.SubmitRequest, id permit.ID, forwarded bool) {
	d := m.ledger.Submit(now, id, permit.HashRequest(s.Caller, s.Key, s.Body))
	replaced := d.Verdict == permit.Refuse && d.Code == result.IssuerReplaced && !forwarded
	switch {
	case d.Verdict == permit.Dispatch:
		m.open(now, ticket, s, id)
	case d.Verdict == permit.Running:
		m.join(now, ticket, &s, d)
	case d.Verdict == permit.Forward || replaced:
		m.forward(now, ticket, s, id, forwarded)
	default:
		m.answerSubmit(ticket, s.RequestID, s.Permit, answerOf(&d))
	}
}

// outcome is what a submit is answered with.
type outcome struct {
	code     result.Code
	body     string
	replayed bool
	// dropped tells that the body was too large to keep.
	dropped bool
}

func answerOf(d *permit.Decision) outcome {
	return outcome{code: d.Code, body: d.Outcome, replayed: d.Verdict == permit.Replay, dropped: d.OutcomeDropped}
}

// open takes a permit's first submit.
func (m *Machine) open(now time.Duration, ticket Ticket, s api.SubmitRequest, id permit.ID) {
	sub := &submission{id: id, request: s, service: m.view.Bundle.Service(s.Service)}
	if sub.service == nil {
		sub.waiters = []waiter{{ticket: ticket, requestID: s.RequestID}}
		m.burn(now, sub, result.UnknownService)
		return
	}
	sub.deadline = now + budget(sub.service, s.BudgetMS)
	sub.waiters = []waiter{{ticket: ticket, requestID: s.RequestID, deadline: sub.deadline}}
	sub.budgets = m.budgets[s.Service]
	sub.timer = m.newTimer()
	sub.timer.submission = sub
	m.timers.set(&sub.timer, sub.deadline)
	m.submissions[s.Permit] = sub
	sub.admission = m.requestID()
	m.admitted[sub.admission] = sub
	m.offer(now, admission.Request{ID: sub.admission, Service: s.Service, Caller: s.Caller, Budget: sub.deadline - now})
}

// join adds a caller to a submission in progress.
func (m *Machine) join(now time.Duration, ticket Ticket, s *api.SubmitRequest, d permit.Decision) {
	sub := m.submissions[s.Permit]
	if sub == nil || len(sub.waiters) >= maxWaiters {
		m.answerSubmit(ticket, s.RequestID, s.Permit, outcome{code: d.Code})
		return
	}
	w := waiter{ticket: ticket, requestID: s.RequestID, deadline: now + budget(sub.service, s.BudgetMS)}
	sub.waiters = append(sub.waiters, w)
	m.scheduleWaiters(sub)
}

// maxWaiters bounds the callers that wait for one submission, since repeated
// submits pass no admission.
const maxWaiters = 16

func (m *Machine) forward(now time.Duration, ticket Ticket, s api.SubmitRequest, id permit.ID, forwarded bool) {
	if forwarded {
		m.answerSubmit(ticket, s.RequestID, s.Permit, outcome{code: result.IssuerUnreachable})
		return
	}
	limit := defaultForwardBudget
	if service := m.view.Bundle.Service(s.Service); service != nil {
		limit = budget(service, s.BudgetMS)
	}
	m.out.Forwards = append(m.out.Forwards, Forward{
		Ticket: ticket, Issuer: id.Issuer, Successors: m.successors(id), Request: s, Budget: limit,
	})
}

// defaultForwardBudget bounds a forward for a service that is not configured.
const defaultForwardBudget = time.Second

// burn ends a submission of which no attempt is running as not run.
func (m *Machine) burn(now time.Duration, s *submission, code result.Code) {
	if !m.ledger.Burn(now, s.id, code) {
		code = result.OutcomeUnknown
	}
	m.finishSubmit(s, outcome{code: code})
}

// finishSubmit answers every waiter and frees the submission's place.
func (m *Machine) finishSubmit(s *submission, o outcome) {
	delete(m.submissions, s.request.Permit)
	m.timers.remove(&s.timer)
	for _, w := range s.waiters {
		m.answerSubmit(w.ticket, w.requestID, s.request.Permit, o)
	}
	s.waiters = nil
	if id := s.admission; id != "" {
		s.admission = ""
		delete(m.admitted, id)
		m.release(id)
	}
}

// expireWaiters answers the waiters whose deadline has passed. The submission
// goes on: an attempt of it may be running.
func (m *Machine) expireWaiters(now time.Duration, s *submission) {
	waiting := s.waiters[:0]
	for _, w := range s.waiters {
		if now < w.deadline {
			waiting = append(waiting, w)
			continue
		}
		m.answerSubmit(w.ticket, w.requestID, s.request.Permit, outcome{code: result.StillRunning})
	}
	clear(s.waiters[len(waiting):])
	s.waiters = waiting
	m.scheduleWaiters(s)
}

// scheduleWaiters sets the timer to the earliest deadline of a waiter.
func (m *Machine) scheduleWaiters(s *submission) {
	if len(s.waiters) == 0 {
		m.timers.remove(&s.timer)
		return
	}
	next := s.waiters[0].deadline
	for _, w := range s.waiters[1:] {
		next = min(next, w.deadline)
	}
	m.timers.set(&s.timer, next)
}

func (m *Machine) refuseSubmit(ticket Ticket, s *api.SubmitRequest, code result.Code) {
	m.answerSubmit(ticket, s.RequestID, s.Permit, outcome{code: code})
}

func (m *Machine) answerSubmit(ticket Ticket, requestID, permitID string, o outcome) {
	m.out.Submits = append(m.out.Submits, SubmitAnswer{Ticket: ticket, Answer: api.SubmitAnswer{
		RequestID: requestID,
		Permit:    permitID,
		Code:      o.code,
		Name:      o.code.String(),
		Class:     o.code.Class().String(),
		Reason:    o.reason(),
		Outcome:   o.body,
		Replayed:  o.replayed,
	}})
}

// reason explains an outcome that is not complete or not whole.
func (o outcome) reason() string {
	switch {
	case o.dropped:
		return "the outcome was too large to keep"
	case o.code.Class() == result.ClassComplete:
		return ""
	default:
		return o.code.Error().Reason
	}
}
