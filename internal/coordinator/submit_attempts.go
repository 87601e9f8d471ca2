package coordinator

import (
	"fmt"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/permit"
	"github.com/gypsumlug/gypsumlug/internal/quarantine"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// attemptSubmit dispatches an attempt of an admitted submission, or burns its
// permit if there is no endpoint to dispatch it to.
func (m *Machine) attemptSubmit(now time.Duration, s *submission) {
	if now >= s.deadline {
		m.burnPermit(now, s, result.ExpiredInQueue)
		return
	}
	s.suspicion = m.view.Suspects[m.cfg.Fingerprint(s.service.Name, s.request.Body)]
	shardRange, endpoint, code := m.pickSubmitReplica(now, s)
	if code != 0 {
		m.burnPermit(now, s, code)
		return
	}
	attempt, err := m.ledger.BeginAttempt(now, s.id)
	if err != nil {
		m.finishSubmission(s, outcome{code: err.Code})
		return
	}
	if !s.attempted {
		s.attempted = true
		s.budgets.CountPrimary(0)
	}
	m.dispatchAttempt(now, dispatch.Request{
		Key:              dispatch.Key{Request: s.request.Permit, Attempt: attempt},
		Operation:        dispatch.Submit,
		Service:          s.service.Name,
		Endpoint:         endpoint,
		Range:            shardRange,
		Body:             s.request.Body,
		Urgency:          s.service.Urgency,
		Budget:           s.deadline - now,
		Suspect:          s.suspicion == view.Suspected,
		VerifyConnection: true,
	})
}

// pickSubmitReplica chooses a replica of the shard that contains the key of
// the submission in the newest snapshot. It returns the range of the shard and
// the endpoint, or a code that says why there is none.
func (m *Machine) pickSubmitReplica(now time.Duration, s *submission) (keyrange.Range, string, result.Code) {
	index := m.view.Bundle.Index(s.service.Name)
	if index == nil || len(index.Snapshots) == 0 {
		return keyrange.Range{}, "", result.NoReplica
	}
	shards := index.Snapshots[len(index.Snapshots)-1].Shards
	if s.suspicion == view.Quarantined {
		return keyrange.Range{}, "", result.Quarantined
	}
	i := slices.IndexFunc(shards, func(shard config.Shard) bool { return shard.Range.Contains(s.request.Key) })
	if i < 0 {
		return keyrange.Range{}, "", result.InvalidValue
	}
	if s.suspicion != view.NotSuspected && !quarantine.MayRun(s.suspicion, m.countEligible(now, shards[i].Replicas)) {
		return keyrange.Range{}, "", result.Quarantined
	}
	endpoint, ok := (replicaSelector{m}).Pick(now, shards[i].Replicas, s.refusedBy)
	switch {
	case ok:
		return shards[i].Range, endpoint, 0
	case len(s.refusedBy) > 0:
		return keyrange.Range{}, "", result.AllRefused
	default:
		return keyrange.Range{}, "", result.NoReplica
	}
}

// countEligible returns how many of the endpoints may get new work.
func (m *Machine) countEligible(now time.Duration, ids []string) int {
	n := 0
	for _, id := range ids {
		if m.endpoints.Eligible(now, id) {
			n++
		}
	}
	return n
}

// handleSubmitReply handles the reply to an attempt of a submission. Another
// attempt follows only if the reply proves that the endpoint did not start the
// request.
func (m *Machine) handleSubmitReply(now time.Duration, r dispatch.Reply) {
	s := m.submissions[r.Request]
	if s == nil {
		m.handleStrayReply(now, r)
		return
	}
	if !m.recordAttemptOutcome(now, s.id, r) {
		m.finishSubmission(s, outcome{code: result.OutcomeUnknown})
		return
	}
	if r.Outcome != dispatch.Refused {
		m.finishSubmission(s, outcomeFromReply(&r))
		return
	}
	if r.Code == result.Quarantined {
		m.burnPermit(now, s, result.Quarantined)
		return
	}
	s.refusals = append(s.refusals, fmt.Sprintf("%s: %s", r.Endpoint, r.Code))
	if !query.RelayFault(r.Code) {
		s.refusedBy = append(s.refusedBy, r.Endpoint)
	}
	if s.retries >= s.service.Retry.Max {
		m.burnPermit(now, s, result.AllRefused)
		return
	}
	if !s.budgets.TakeRetry(0) {
		m.actions.Events = append(m.actions.Events, query.Event{Kind: query.EventRetryDenied, Code: r.Code})
		s.refusals = append(s.refusals, "no retry left in the budget")
		m.burnPermit(now, s, result.AllRefused)
		return
	}
	s.retries++
	m.actions.Events = append(m.actions.Events, query.Event{Kind: query.EventRetry, Code: r.Code})
	m.attemptSubmit(now, s)
}

// recordAttemptOutcome records the outcome of an attempt in the ledger. It
// returns false if the ledger does not accept the outcome.
func (m *Machine) recordAttemptOutcome(now time.Duration, id permit.ID, r dispatch.Reply) bool {
	if r.Outcome == dispatch.Refused {
		return m.ledger.RecordRefusal(now, id, r.Attempt, r.Code)
	}
	recorded := outcomeFromReply(&r)
	return m.ledger.EndAttempt(now, id, r.Attempt, recorded.code, recorded.body)
}

// outcomeFromReply returns the outcome for a reply that is not a refusal.
func outcomeFromReply(r *dispatch.Reply) outcome {
	switch r.Outcome {
	case dispatch.OK:
		return outcome{code: result.Done, body: r.Body}
	case dispatch.Failed:
		return outcome{code: result.EndpointFailed, body: r.Body}
	default:
		return outcome{code: result.OutcomeUnknown}
	}
}
