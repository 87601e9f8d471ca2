package relay

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/edf"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// attempt is one dispatched request that has no reply yet.
type attempt struct {
	edf.Item
	request dispatch.Request
	origin  string
	replica *replica
	// refuseAt is when a waiting suspect is given up.
	refuseAt time.Duration
	sentAt   time.Duration
	sent     bool
	aborted  bool
	// full tells that the limit was reached while the attempt was in flight.
	full bool
	// orphan tells that the origin is lost and waits for no reply.
	orphan bool
	// crashReported tells that the attempt is part of a reported crash.
	crashReported  bool
	fingerprint    view.Fingerprint
	hasFingerprint bool
}

func (a *attempt) suspect() bool { return a.request.Suspect }

func (a *attempt) remaining(now time.Duration) time.Duration { return a.Deadline - now }

// keyRing remembers the last recentKeys keys that got their reply.
type keyRing struct {
	keys  []dispatch.Key
	known map[dispatch.Key]struct{}
	next  int
}

// recentKeys is the number of replied attempts whose keys are remembered.
const recentKeys = 4096

func newKeyRing() *keyRing {
	return &keyRing{known: make(map[dispatch.Key]struct{})}
}

func (k *keyRing) has(key dispatch.Key) bool {
	_, ok := k.known[key]
	return ok
}

func (k *keyRing) add(key dispatch.Key) {
	if len(k.keys) < recentKeys {
		k.keys = append(k.keys, key)
	} else {
		delete(k.known, k.keys[k.next])
		k.keys[k.next] = key
	}
	k.known[key] = struct{}{}
	k.next = (k.next + 1) % recentKeys
}
