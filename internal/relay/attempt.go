package relay

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/edf"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// attempt is a dispatched request without a reply.
type attempt struct {
	edf.Item
	request dispatch.Request
	origin  string
	replica *replica
	// refuseAt is when a waiting suspect is refused.
	refuseAt time.Duration
	sentAt   time.Duration
	sent     bool
	aborted  bool
	// atLimit means that the limit was reached while the attempt was in flight.
	atLimit bool
	// orphaned means that the origin was lost, so that no reply is returned.
	orphaned bool
	// crashReported means that the attempt was part of a reported crash.
	crashReported  bool
	fingerprint    view.Fingerprint
	hasFingerprint bool
}

func (a *attempt) isSuspect() bool { return a.request.Suspect }

func (a *attempt) remaining(now time.Duration) time.Duration { return a.Deadline - now }

// recentKeySet holds the keys of the last maxRecentKeys attempts that have ended.
type recentKeySet struct {
	keys []dispatch.Key
	// known holds the same keys for lookup.
	known map[dispatch.Key]struct{}
	// next is the index in keys of the oldest key, which is replaced next.
	next int
}

// maxRecentKeys is the number of ended attempts whose keys are kept.
const maxRecentKeys = 4096

func newRecentKeySet() *recentKeySet {
	return &recentKeySet{known: make(map[dispatch.Key]struct{})}
}

func (k *recentKeySet) has(key dispatch.Key) bool {
	_, ok := k.known[key]
	return ok
}

func (k *recentKeySet) add(key dispatch.Key) {
	if len(k.keys) < maxRecentKeys {
		k.keys = append(k.keys, key)
	} else {
		delete(k.known, k.keys[k.next])
		k.keys[k.next] = key
	}
	k.known[key] = struct{}{}
	k.next = (k.next + 1) % maxRecentKeys
}
