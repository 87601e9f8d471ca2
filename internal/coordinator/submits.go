package coordinator

import (
	"strings"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/admission"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/permit"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// submission is the request in progress for a permit that this host issued.
type submission struct {
	id      permit.ID
	request api.SubmitRequest
	service *config.Service
	// admissionID is the ID of the submission in the admission queue. It is
	// empty before the request for admission and after the release.
	admissionID string
	deadline    time.Duration
	waiters     []waiter
	timer       timer
	budgets     *serviceBudgets
	// attempted reports that the budgets have counted the first attempt.
	attempted bool
	// refusedBy are the endpoints that refused an attempt. Further attempts
	// exclude them.
	refusedBy []string
	// refusals describes the refusals so far, for the reason of a submission that no
	// endpoint ran.
	refusals  []string
	retries   int
	suspicion view.Suspicion
}

// waiter is a caller that waits for the outcome of a submission.
type waiter struct {
	ticket    Ticket
	requestID string
	deadline  time.Duration
}

// Submit handles a submit. The answer is in the Actions of this or a later
// step, with the ticket. A submit that another host has forwarded is never
// forwarded again.
//
// Every submit with a well-formed permit for its service reaches the ledger
// before any other check. A refusal by another check would claim that the
// request did not run, which is false if the permit has already run.
func (m *Machine) Submit(now time.Duration, ticket Ticket, s api.SubmitRequest, forwarded bool) Actions {
	m.beginStep(now)
	id, err := permit.Parse(s.Permit)
	switch {
	case s.Permit == "":
		m.refuseSubmit(ticket, &s, result.PermitRequired)
	case err != nil:
		m.refuseSubmit(ticket, &s, result.PermitMalformed)
	case id.Service != s.Service:
		m.refuseSubmit(ticket, &s, result.PermitBodyMismatch)
	default:
		m.submitToLedger(now, ticket, s, id, forwarded)
	}
	return m.endStep(now)
}

// submitToLedger asks the ledger to decide on a submit, and carries out its
// decision.
func (m *Machine) submitToLedger(now time.Duration, ticket Ticket, s api.SubmitRequest, id permit.ID, forwarded bool) {
	d := m.ledger.Submit(now, id, permit.HashRequest(s.Caller, s.Key, s.Body))
	replaced := d.Verdict == permit.Refuse && d.Code == result.IssuerReplaced && !forwarded
	switch {
	case d.Verdict == permit.Dispatch:
		m.startSubmission(now, ticket, s, id)
	case d.Verdict == permit.Running:
		m.joinSubmission(now, ticket, &s, d)
	case d.Verdict == permit.Forward || replaced:
		m.forwardSubmit(now, ticket, s, id, forwarded)
	default:
		m.answerSubmit(ticket, s.RequestID, s.Permit, outcomeFromDecision(&d))
	}
}

// outcome is the result with which a submit is answered.
type outcome struct {
	code     result.Code
	body     string
	replayed bool
	// bodyDropped reports that the body was too large to keep.
	bodyDropped bool
	// refusals describes the refusals that led to a code of the class "not run".
	refusals []string
}

// outcomeFromDecision returns the outcome for a submit that the ledger replays
// or refuses.
func outcomeFromDecision(d *permit.Decision) outcome {
	return outcome{code: d.Code, body: d.Outcome, replayed: d.Verdict == permit.Replay, bodyDropped: d.OutcomeDropped}
}

// startSubmission handles the first submit of a permit.
func (m *Machine) startSubmission(now time.Duration, ticket Ticket, s api.SubmitRequest, id permit.ID) {
	sub := &submission{id: id, request: s, service: m.view.Bundle.Service(s.Service)}
	if sub.service == nil {
		sub.waiters = []waiter{{ticket: ticket, requestID: s.RequestID}}
		m.burnPermit(now, sub, result.UnknownService)
		return
	}
	sub.deadline = now + requestBudget(sub.service, s.BudgetMS)
	sub.waiters = []waiter{{ticket: ticket, requestID: s.RequestID, deadline: sub.deadline}}
	sub.budgets = m.serviceBudgets[s.Service]
	sub.timer = m.newTimer()
	sub.timer.submission = sub
	m.timers.set(&sub.timer, sub.deadline)
	m.submissions[s.Permit] = sub
	sub.admissionID = m.newRequestID()
	m.submissionsByAdmission[sub.admissionID] = sub
	m.requestAdmission(now, admission.Request{ID: sub.admissionID, Service: s.Service, Caller: s.Caller, Budget: sub.deadline - now})
}

// joinSubmission adds a caller to the waiters of a submission in progress.
func (m *Machine) joinSubmission(now time.Duration, ticket Ticket, s *api.SubmitRequest, d permit.Decision) {
	sub := m.submissions[s.Permit]
	if sub == nil || len(sub.waiters) >= maxWaiters {
		m.answerSubmit(ticket, s.RequestID, s.Permit, outcome{code: d.Code})
		return
	}
	w := waiter{ticket: ticket, requestID: s.RequestID, deadline: now + requestBudget(sub.service, s.BudgetMS)}
	sub.waiters = append(sub.waiters, w)
	m.scheduleWaiters(sub)
}

// maxWaiters limits the callers that wait for one submission, because
// admission control does not apply to repeated submits.
const maxWaiters = 16

// forwardSubmit asks the driver to forward a submit to the issuer of its
// permit. A submit that was already forwarded is answered with
// IssuerUnreachable instead.
func (m *Machine) forwardSubmit(now time.Duration, ticket Ticket, s api.SubmitRequest, id permit.ID, forwarded bool) {
	if forwarded {
		m.answerSubmit(ticket, s.RequestID, s.Permit, outcome{code: result.IssuerUnreachable})
		return
	}
	forwardBudget := defaultForwardBudget
	if service := m.view.Bundle.Service(s.Service); service != nil {
		forwardBudget = requestBudget(service, s.BudgetMS)
	}
	m.actions.Forwards = append(m.actions.Forwards, Forward{
		Ticket: ticket, Issuer: id.Issuer, Successors: m.ledgerSuccessors(id), Request: s, Budget: forwardBudget,
	})
}

// defaultForwardBudget limits the time to forward a submit of a service that
// is not configured.
const defaultForwardBudget = time.Second

// burnPermit ends a submission without a running attempt as not run. If the
// ledger cannot record the permit as not run, the outcome is unknown.
func (m *Machine) burnPermit(now time.Duration, s *submission, code result.Code) {
	if !m.ledger.Burn(now, s.id, code) {
		code = result.OutcomeUnknown
	}
	m.finishSubmission(s, outcome{code: code, refusals: s.refusals})
}

// finishSubmission answers all waiters and releases the admission of the
// submission.
func (m *Machine) finishSubmission(s *submission, o outcome) {
	delete(m.submissions, s.request.Permit)
	m.timers.remove(&s.timer)
	for _, w := range s.waiters {
		m.answerSubmit(w.ticket, w.requestID, s.request.Permit, o)
	}
	s.waiters = nil
	if id := s.admissionID; id != "" {
		s.admissionID = ""
		delete(m.submissionsByAdmission, id)
		m.scheduleRelease(id)
	}
}

// expireWaiters answers the waiters whose deadline has passed. The submission
// continues, because an attempt of it may be running.
func (m *Machine) expireWaiters(now time.Duration, s *submission) {
	remaining := s.waiters[:0]
	for _, w := range s.waiters {
		if now < w.deadline {
			remaining = append(remaining, w)
			continue
		}
		m.answerSubmit(w.ticket, w.requestID, s.request.Permit, outcome{code: result.StillRunning})
	}
	clear(s.waiters[len(remaining):])
	s.waiters = remaining
	m.scheduleWaiters(s)
}

// scheduleWaiters sets the timer of a submission to the earliest deadline of
// its waiters.
func (m *Machine) scheduleWaiters(s *submission) {
	if len(s.waiters) == 0 {
		m.timers.remove(&s.timer)
		return
	}
	earliest := s.waiters[0].deadline
	for _, w := range s.waiters[1:] {
		earliest = min(earliest, w.deadline)
	}
	m.timers.set(&s.timer, earliest)
}

func (m *Machine) refuseSubmit(ticket Ticket, s *api.SubmitRequest, code result.Code) {
	m.answerSubmit(ticket, s.RequestID, s.Permit, outcome{code: code})
}

func (m *Machine) answerSubmit(ticket Ticket, requestID, permitID string, o outcome) {
	m.actions.Submits = append(m.actions.Submits, SubmitAnswer{Ticket: ticket, Answer: api.SubmitAnswer{
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

// reason explains an outcome that is not complete, or whose body was dropped.
func (o outcome) reason() string {
	switch {
	case o.bodyDropped:
		return "the outcome was too large to keep"
	case o.code.Class() == result.ClassComplete:
		return ""
	case len(o.refusals) > 0:
		return o.code.Error().Reason + " " + strings.Join(o.refusals, ", ")
	default:
		return o.code.Error().Reason
	}
}
