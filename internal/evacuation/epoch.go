package evacuation

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/storepos"
)

// enterEpoch begins an epoch of the store with the first listing of it. The revisions of what
// is known say nothing any more: they become those of the listing. What the listing would
// undo holds for a while.
func (s *Set) enterEpoch(now time.Duration, position storepos.Position, entries []Entry) {
	listed := make(map[string]uint64, len(entries))
	for _, e := range entries {
		if !e.Removed {
			listed[e.DataCentre] = e.Revision
		}
	}
	s.ended = 0
	for dataCentre, r := range s.records {
		revision, present := listed[dataCentre]
		switch {
		case present && !r.active && storepos.Superseded(r.revision, revision):
			r.hold = storepos.NewHold(revision, now+endHold)
		case !present && r.active:
			revision = position.Revision
			r.hold = storepos.NewHold(revision, now+evacuationHold)
		case !present:
			revision = 0
		}
		r.revision = revision
		s.records[dataCentre] = r
	}
	s.position = position
}
