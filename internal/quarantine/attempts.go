package quarantine

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	// lostTTL is how long an attempt without a response is remembered, so that it
	// is blamed if its endpoint turns out to have ended meanwhile. Hosts learn of
	// the end of a silent endpoint from its missing heartbeats.
	lostTTL = 10 * time.Second
	// maxLostPerEndpoint bounds the remembered attempts of an endpoint.
	maxLostPerEndpoint = 16
)

// Request describes a request without its content.
type Request struct {
	Fingerprint view.Fingerprint
	// ID is the request ID chosen by the caller.
	ID string
	// Host, Path and Caller are its authority, its target without the query and the
	// address of its caller.
	Host, Path, Caller string
	// BodyBytes is the size of its body.
	BodyBytes int
}

// Attempt is an attempt at an endpoint.
type Attempt struct {
	Endpoint string
	Request  *Request
	// Isolated means that the request was a suspect when the attempt was sent.
	Isolated bool

	lost   bool
	lostAt time.Duration
	// blamed means that the endpoint ended, as far as this host knows, before it
	// responded.
	blamed bool
}

// Attempts tracks which attempts an endpoint has not responded to, so that they can
// be blamed if the endpoint turns out to have ended. The two facts may become known
// in either order. It is not safe for concurrent use.
//
// Invariant: an attempt is blamed only if it was sent to the endpoint that ended and
// had no response by then.
type Attempts struct {
	unanswered map[string][]*Attempt
	// endedAt holds the endpoints that ended, for lostTTL.
	endedAt map[string]time.Duration
}

// NewAttempts returns an empty set of attempts.
func NewAttempts() *Attempts {
	return &Attempts{unanswered: make(map[string][]*Attempt), endedAt: make(map[string]time.Duration)}
}

// Sent adds an attempt.
func (t *Attempts) Sent(a *Attempt) {
	t.unanswered[a.Endpoint] = append(t.unanswered[a.Endpoint], a)
}

// Answered removes an attempt that the endpoint responded to or never received. It
// reports whether the attempt was blamed before.
func (t *Attempts) Answered(a *Attempt) (wasBlamed bool) {
	kept := slices.DeleteFunc(t.unanswered[a.Endpoint], func(o *Attempt) bool { return o == a })
	t.keep(a.Endpoint, kept)
	return a.blamed
}

// Lost records that an attempt ended without a response. It reports whether to blame
// it, because the endpoint is known to have ended and it was not blamed for that yet.
func (t *Attempts) Lost(now time.Duration, a *Attempt) bool {
	if a.blamed {
		return false
	}
	if at, ended := t.endedAt[a.Endpoint]; ended && now-at < lostTTL {
		t.Answered(a)
		a.blamed = true
		return true
	}
	a.lost, a.lostAt = true, now
	t.dropOldLost(now, a.Endpoint)
	return false
}

// EndpointEnded records that an endpoint ended. It returns the attempts to blame.
func (t *Attempts) EndpointEnded(now time.Duration, endpoint string) []*Attempt {
	for other, at := range t.endedAt {
		if now-at >= lostTTL {
			delete(t.endedAt, other)
		}
	}
	t.endedAt[endpoint] = now
	for other := range t.unanswered {
		t.dropOldLost(now, other)
	}
	ended := t.unanswered[endpoint]
	delete(t.unanswered, endpoint)
	for _, a := range ended {
		a.blamed = true
	}
	return ended
}

// dropOldLost forgets the attempts of an endpoint that were lost too long ago, and the
// oldest ones over the bound.
func (t *Attempts) dropOldLost(now time.Duration, endpoint string) {
	lost := 0
	attempts := t.unanswered[endpoint]
	for i := len(attempts) - 1; i >= 0; i-- {
		if !attempts[i].lost {
			continue
		}
		lost++
		if lost > maxLostPerEndpoint || now-attempts[i].lostAt >= lostTTL {
			attempts = slices.Delete(attempts, i, i+1)
		}
	}
	t.keep(endpoint, attempts)
}

func (t *Attempts) keep(endpoint string, attempts []*Attempt) {
	if len(attempts) == 0 {
		delete(t.unanswered, endpoint)
		return
	}
	t.unanswered[endpoint] = attempts
}
