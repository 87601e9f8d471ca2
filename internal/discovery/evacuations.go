package discovery

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/evacuation"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// maxEvacuationChanges bounds the changes of evacuations that are logged at a time.
const maxEvacuationChanges = 16

// adoptEvacuations records changes of the set of evacuated data centres. It reports
// whether there are any.
func (m *Machine) adoptEvacuations(now time.Duration, source string, changes []evacuation.Change) bool {
	for _, c := range changes[:min(len(changes), maxEvacuationChanges)] {
		kind := ChangeRestored
		if c.Began {
			kind = ChangeEvacuated
		}
		m.recordChange(Change{Kind: kind, Source: source, DataCentre: c.DataCentre, Revision: c.Revision, Age: now - m.evacuations.ConfirmedAt()})
	}
	return len(changes) > 0
}

// confirmedAt returns when the store last confirmed both the replicas and the evacuations.
// A host of an earlier version confirms the replicas only, so that this host reads the
// store if no other host knows of the evacuations.
func (m *Machine) confirmedAt() time.Duration {
	return min(m.catalog.ConfirmedAt(), m.evacuations.ConfirmedAt())
}

// resumeRevision returns the revision after which changes are to be read from the store,
// or zero if a full listing is needed.
func (m *Machine) resumeRevision() uint64 {
	if !m.evacuations.Loaded() {
		return 0
	}
	if m.evacuations.Position().Epoch != m.catalog.Position().Epoch {
		return 0
	}
	return min(m.catalog.ResumeRevision(), m.evacuations.Position().Revision)
}

// withColdStarts returns the replicas, those of data centres whose evacuation has ended
// lately as cold from then on. An entry that was written after the end holds instead.
func (m *Machine) withColdStarts(now time.Duration, replicas []*routing.Replica) []*routing.Replica {
	for i, r := range replicas {
		endedAt, revision, ok := m.evacuations.Ended(r.DataCentre)
		if !ok || m.catalog.EntryRevision(r.ID) > revision {
			continue
		}
		if until := endedAt + m.config.Services[r.Service].ColdStart; until > max(r.ColdUntil, now) {
			cold := *r
			cold.ColdUntil = until
			replicas[i] = &cold
		}
	}
	return replicas
}
