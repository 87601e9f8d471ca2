package forward

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sentIDRetention is how long a connection remembers the ID of a request at least, and
	// maxSentIDs the number of further requests after which it may forget it sooner.
	sentIDRetention = 10 * time.Second
	maxSentIDs      = 1024
)

// sentIDs remembers the IDs of the requests that were written to a connection lately.
// All attempts of a request have the same ID, which is all that tells whose response a
// replica sends. A connection therefore carries an ID once: a second copy of the response
// to the first attempt would be taken for the response to the next one. The zero value is
// empty.
type sentIDs struct {
	// current holds the hashes of the IDs since currentSince, and previous those of the
	// period before.
	current, previous []uint64
	currentSince      time.Time
}

// add remembers an ID.
func (s *sentIDs) add(now time.Time, id string) {
	if now.Sub(s.currentSince) > sentIDRetention || len(s.current) >= maxSentIDs {
		s.current, s.previous = s.previous[:0], s.current
		s.currentSince = now
	}
	s.current = append(s.current, xxhash.Sum64String(id))
}

// contains reports whether an ID is remembered. IDs whose hashes collide are not told
// apart.
func (s *sentIDs) contains(id string) bool {
	hash := xxhash.Sum64String(id)
	return slices.Contains(s.current, hash) || slices.Contains(s.previous, hash)
}
