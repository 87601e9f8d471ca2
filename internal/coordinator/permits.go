package coordinator

import (
	"errors"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/permit"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// IssuePermits issues permits. No endpoint is touched.
func (m *Machine) IssuePermits(now time.Duration, p api.PermitRequest) api.PermitAnswer {
	m.advance(now)
	if !m.view.Ready {
		return api.RefusePermit(p, m.view.Reason.Error())
	}
	if code := m.refusal(p.Service, false); code != 0 {
		return api.RefusePermit(p, code.Error())
	}
	service := m.view.Bundle.Service(p.Service)
	if !lists(service, p.Caller) {
		return api.RefusePermit(p, result.UnknownCaller.Error())
	}
	ids, err := m.ledger.Issue(now, service, max(p.Count, 1), m.rng)
	var coded *result.Error
	if errors.As(err, &coded) {
		return api.RefusePermit(p, coded)
	}
	answer := api.PermitAnswer{
		RequestID:  p.RequestID,
		Code:       result.PermitIssued,
		Name:       result.PermitIssued.String(),
		Class:      result.PermitIssued.Class().String(),
		LifetimeMS: service.Permit.LifetimeMS,
	}
	for _, id := range ids {
		answer.Permits = append(answer.Permits, id.String())
	}
	return answer
}

// lists reports whether a service takes requests of a caller.
func lists(s *config.Service, caller string) bool {
	for i := range s.Callers {
		if s.Callers[i].Name == caller {
			return true
		}
	}
	return len(s.Callers) == 0
}

// Handovers returns the ended permits that a stopping host gives to others.
func (m *Machine) Handovers() []peerwire.Handover { return m.ledger.Handovers() }

// ReceiveHandover keeps the ended permits of a stopped host.
func (m *Machine) ReceiveHandover(now time.Duration, h peerwire.Handover) peerwire.HandoverAnswer {
	m.advance(now)
	return peerwire.HandoverAnswer{Kept: m.ledger.ReceiveHandover(now, h)}
}

// successors returns the hosts that may hold the ledger of a stopped issuer.
func (m *Machine) successors(id permit.ID) []string {
	addresses := make([]string, 0, len(m.view.Hosts)+1)
	for i := range m.view.Hosts {
		if a := m.view.Hosts[i].Incarnation.Address; a != id.Issuer.Address {
			addresses = append(addresses, a)
		}
	}
	return permit.Successors(id.Issuer, append(addresses, m.cfg.Self.Address), permit.SuccessorsQueried)
}
