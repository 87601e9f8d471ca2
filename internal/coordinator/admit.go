package coordinator

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/admission"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// requestAdmission asks for the admission of a request, which must be in
// waitingQueries or submissionsByAdmission.
func (m *Machine) requestAdmission(now time.Duration, r admission.Request) {
	switch decision := m.admission.Offer(now, r); decision.Verdict {
	case admission.Admit:
		m.startAdmitted(now, r.ID)
	case admission.Refuse:
		m.refuseUnadmitted(now, r.ID, decision.Code)
	}
}

// applyAdmissionChanges starts or refuses the queued requests on which the
// admission queue has decided.
func (m *Machine) applyAdmissionChanges(now time.Duration, changes admission.Changes) {
	for _, r := range changes.Refused {
		m.refuseUnadmitted(now, r.ID, r.Code)
	}
	for _, id := range changes.Admitted {
		m.startAdmitted(now, id)
	}
}

// startAdmitted runs an admitted request.
func (m *Machine) startAdmitted(now time.Duration, id string) {
	if w, ok := m.waitingQueries[id]; ok {
		delete(m.waitingQueries, id)
		m.startQuery(now, id, w)
		return
	}
	if s := m.submissionsByAdmission[id]; s != nil {
		m.attemptSubmit(now, s)
	}
}

// refuseUnadmitted ends a request that was not admitted.
func (m *Machine) refuseUnadmitted(now time.Duration, id string, code result.Code) {
	if w, ok := m.waitingQueries[id]; ok {
		delete(m.waitingQueries, id)
		m.refuseQuery(w.ticket, &w.request, code)
		return
	}
	if s := m.submissionsByAdmission[id]; s != nil {
		s.admissionID = ""
		delete(m.submissionsByAdmission, id)
		m.burnPermit(now, s, code)
	}
}

// scheduleRelease schedules the release of an admission for the end of the
// step. The release of one admission admits other requests, which may end at
// once and release theirs. The requests are queued in pendingReleases rather
// than released recursively, which bounds the depth of the stack.
func (m *Machine) scheduleRelease(id string) { m.pendingReleases = append(m.pendingReleases, id) }

// releaseEndedRequests releases the admissions of the requests that ended in
// this step, and starts the requests that are admitted in their place.
func (m *Machine) releaseEndedRequests(now time.Duration) {
	for i := 0; i < len(m.pendingReleases); i++ {
		m.applyAdmissionChanges(now, m.admission.Release(now, m.pendingReleases[i]))
	}
	clear(m.pendingReleases)
	m.pendingReleases = m.pendingReleases[:0]
}
