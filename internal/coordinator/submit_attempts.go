package coordinator

import (
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

// attemptSubmit dispatches one attempt of an admitted submission, or burns its
// permit if there is nowhere to dispatch it.
func (m *Machine) attemptSubmit(now time.Duration, s *submission) {
	if now >= s.deadline {
		m.burn(now, s, result.ExpiredInQueue)
		return
	}
	s.suspicion = m.view.Suspects[m.cfg.Fingerprint(s.service.Name, s.request.Body)]
	keys, endpoint, code := m.pickForSubmit(now, s)
	if code != 0 {
		m.burn(now, s, code)
		return
	}
	attempt, err := m.ledger.BeginAttempt(now, s.id)
	if err != nil {
		m.finishSubmit(s, outcome{code: err.Code})
		return
	}
	if !s.attempted {
		s.attempted = true
		s.budgets.Primary(0)
	}
	m.dispatch(now, dispatch.Request{
		Key:       dispatch.Key{Request: s.request.Permit, Attempt: attempt},
		Operation: dispatch.Submit,
		Service:   s.service.Name,
		Endpoint:  endpoint,
		Range:     keys,
		Body:      s.request.Body,
		Urgency:   s.service.Urgency,
		Budget:    s.deadline - now,
		Suspect:   s.suspicion == view.Suspected,
		Fresh:     true,
	})
}

// pickForSubmit chooses a replica of the shard that holds the request's key in
// the newest snapshot.
func (m *Machine) pickForSubmit(now time.Duration, s *submission) (keyrange.Range, string, result.Code) {
	x := m.view.Bundle.Index(s.service.Name)
	if x == nil || len(x.Snapshots) == 0 {
		return keyrange.Range{}, "", result.NoReplica
	}
	shards := x.Snapshots[len(x.Snapshots)-1].Shards
	if s.suspicion == view.Quarantined {
		return keyrange.Range{}, "", result.Quarantined
	}
	i := slices.IndexFunc(shards, func(sh config.Shard) bool { return sh.Range.Contains(s.request.Key) })
	if i < 0 {
		return keyrange.Range{}, "", result.InvalidValue
	}
	if s.suspicion != view.Innocent && !quarantine.MayRun(s.suspicion, m.eligible(now, shards[i].Replicas)) {
		return keyrange.Range{}, "", result.Quarantined
	}
	endpoint, ok := (replicas{m}).Pick(now, shards[i].Replicas, s.tried)
	switch {
	case ok:
		return shards[i].Range, endpoint, 0
	case len(s.tried) > 0:
		return keyrange.Range{}, "", result.AllRefused
	default:
		return keyrange.Range{}, "", result.NoReplica
	}
}

func (m *Machine) eligible(now time.Duration, ids []string) int {
	n := 0
	for _, id := range ids {
		if m.table.Eligible(now, id) {
			n++
		}
	}
	return n
}

// replyToSubmit handles the reply to an attempt of a submission. Only a proved
// refusal leads to another attempt.
func (m *Machine) replyToSubmit(now time.Duration, r dispatch.Reply) {
	s := m.submissions[r.Request]
	if s == nil {
		m.stray(now, r)
		return
	}
	if !m.settle(now, s.id, r) {
		m.finishSubmit(s, outcome{code: result.OutcomeUnknown})
		return
	}
	if r.Outcome != dispatch.Refused {
		m.finishSubmit(s, outcomeOf(&r))
		return
	}
	if r.Code == result.Quarantined {
		m.burn(now, s, result.Quarantined)
		return
	}
	if !query.RelayFault(r.Code) {
		s.tried = append(s.tried, r.Endpoint)
	}
	if s.retries >= s.service.Retry.Max {
		m.burn(now, s, result.AllRefused)
		return
	}
	if !s.budgets.TakeRetry(0) {
		m.out.Events = append(m.out.Events, query.Event{Kind: query.EventRetryDenied, Code: r.Code})
		m.burn(now, s, result.AllRefused)
		return
	}
	s.retries++
	m.out.Events = append(m.out.Events, query.Event{Kind: query.EventRetry, Code: r.Code})
	m.attemptSubmit(now, s)
}

// settle records the outcome of an attempt in the ledger.
func (m *Machine) settle(now time.Duration, id permit.ID, r dispatch.Reply) bool {
	if r.Outcome == dispatch.Refused {
		return m.ledger.RecordRefusal(now, id, r.Attempt, r.Code)
	}
	o := outcomeOf(&r)
	return m.ledger.EndAttempt(now, id, r.Attempt, o.code, o.body)
}

func outcomeOf(r *dispatch.Reply) outcome {
	switch r.Outcome {
	case dispatch.OK:
		return outcome{code: result.Done, body: r.Body}
	case dispatch.Failed:
		return outcome{code: result.EndpointFailed, body: r.Body}
	default:
		return outcome{code: result.OutcomeUnknown}
	}
}
