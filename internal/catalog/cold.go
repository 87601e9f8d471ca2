package catalog

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// coldTolerance is the difference between two remaining cold times of a replica that says
// nothing: entries that are written again and again count down, and take a while to arrive.
const coldTolerance = time.Second

// adoptColdStart records that an entry which was written again says that its replica, otherwise
// unchanged, is cold for another time than was known. It reports whether that is so. The
// same entry read again says nothing new, since its remaining time is that of its writing.
func adoptColdStart(now time.Duration, r *record, written *routing.Replica) bool {
	if r.replica == nil || !equivalent(r.replica, written) {
		return false
	}
	known, next := max(r.replica.ColdUntil, now), max(written.ColdUntil, now)
	if next-known <= coldTolerance && known-next <= coldTolerance {
		return false
	}
	r.replica = written
	return true
}
