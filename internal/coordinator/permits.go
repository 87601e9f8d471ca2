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

// IssuePermits issues permits to a caller. It sends nothing to an endpoint.
func (m *Machine) IssuePermits(now time.Duration, request api.PermitRequest) api.PermitAnswer {
	m.advanceTo(now)
	if !m.view.Ready {
		return api.NewPermitErrorAnswer(request, m.view.Reason.Error())
	}
	if code := m.refusalCode(request.Service, false); code != 0 {
		return api.NewPermitErrorAnswer(request, code.Error())
	}
	service := m.view.Bundle.Service(request.Service)
	if !acceptsCaller(service, request.Caller) {
		return api.NewPermitErrorAnswer(request, result.UnknownCaller.Error())
	}
	ids, err := m.ledger.Issue(now, service, max(request.Count, 1), m.rng)
	var refusal *result.Error
	if errors.As(err, &refusal) {
		return api.NewPermitErrorAnswer(request, refusal)
	}
	answer := api.PermitAnswer{
		RequestID:  request.RequestID,
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

// acceptsCaller reports whether a service accepts requests of a caller. A
// service that names no callers accepts all.
func acceptsCaller(s *config.Service, caller string) bool {
	for i := range s.Callers {
		if s.Callers[i].Name == caller {
			return true
		}
	}
	return len(s.Callers) == 0
}

// Handovers returns the ended permits that a stopping host hands over to other
// hosts.
func (m *Machine) Handovers() []peerwire.Handover { return m.ledger.Handovers() }

// ReceiveHandover stores the ended permits of a stopped host.
func (m *Machine) ReceiveHandover(now time.Duration, h peerwire.Handover) peerwire.HandoverAnswer {
	m.advanceTo(now)
	return peerwire.HandoverAnswer{Kept: m.ledger.ReceiveHandover(now, h)}
}

// ledgerSuccessors returns the addresses of the hosts that may hold the ended
// permits of an issuer that has stopped.
func (m *Machine) ledgerSuccessors(id permit.ID) []string {
	addresses := make([]string, 0, len(m.view.Hosts)+1)
	for i := range m.view.Hosts {
		if address := m.view.Hosts[i].Incarnation.Address; address != id.Issuer.Address {
			addresses = append(addresses, address)
		}
	}
	return permit.Successors(id.Issuer, append(addresses, m.cfg.Self.Address), permit.SuccessorsQueried)
}
