// Package belief keeps what endpoints have said of themselves in their answers: that
// they are leaving, and for how long they want no requests from this host. It answers
// one question: may this host send a request to an endpoint now, and if not, until when.
//
// The load that it answers: endpoints are replaced one after the other under full load,
// while the hosts hear nothing from the platform's store; and endpoints of many shards
// are full at once and ask for pauses.
//
// Invariants:
//   - An endpoint that has said that it leaves gets no request later than LastResortTime
//     after that, whatever a listing says later. The key of an endpoint holds its
//     incarnation, so that only its own start ends this.
//   - An endpoint that has asked for a pause gets no request until the pause is over. It
//     then gets one request at a time until it has run one.
//
// The package does no I/O, and a Table is not safe for concurrent use. Times are
// monotonic, measured from process start.
package belief

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	// LastResortTime is how long an endpoint that is leaving still gets requests for
	// which there is no other endpoint. It serves for seconds after its announcement.
	LastResortTime = time.Second
	// MaxPause bounds the pause that an endpoint can ask for.
	MaxPause = 5 * time.Minute
	// resumeSpread bounds the time after a pause over which hosts come back. For a short
	// pause it is 1/resumeSpreadDivisor of the pause.
	resumeSpread        = time.Second
	resumeSpreadDivisor = 4
	// trialTimeout is how long a request after a pause may be without an answer until
	// another one may follow.
	trialTimeout = 2 * time.Second
	// hintAge is the age up to which an announcement is passed on to other hosts.
	hintAge = 10 * time.Second
	// maxEntries bounds the endpoints that are remembered; the oldest are forgotten.
	maxEntries = 16384
)

// Block says why an endpoint gets no request, and until when.
type Block struct {
	// Code is zero if the endpoint may get a request.
	Code result.Code
	// Until is when the endpoint may get a request again. It is zero if that will never
	// be.
	Until time.Duration
}

// entry is what is known of one endpoint.
type entry struct {
	leaving bool
	// leavingAt is when the endpoint said that it leaves, as far as this host knows.
	leavingAt time.Duration
	// resumeAt is when the last pause ends for this host; zero if there is none.
	resumeAt time.Duration
	// trialUntil is until when a request after a pause is waited for.
	trialUntil time.Duration
}

// Table holds what endpoints have said.
type Table struct {
	self    string
	entries map[string]*entry
	// order holds the endpoints in the order in which they became known, and nextHint is
	// the index of the one that was last considered for a hint.
	order    []string
	nextHint int
	// pausesUntil is when the last of all pauses ends.
	pausesUntil time.Duration
}

// NewTable returns an empty table for the host with the address self.
func NewTable(self string) *Table {
	return &Table{self: self, entries: make(map[string]*entry)}
}

// entryOf returns the entry of an endpoint, and creates it on first use.
func (t *Table) entryOf(endpoint string) *entry {
	e := t.entries[endpoint]
	if e == nil {
		e = &entry{}
		t.entries[endpoint] = e
		t.order = append(t.order, endpoint)
		t.forgetOldest()
	}
	return e
}

func (t *Table) forgetOldest() {
	if len(t.order) <= maxEntries {
		return
	}
	delete(t.entries, t.order[0])
	t.order = t.order[1:]
	t.nextHint = 0
}

// HeardLeaving records that an endpoint said that it leaves, in an answer or according
// to another host. It reports whether that is new.
func (t *Table) HeardLeaving(now time.Duration, endpoint string) (changed bool) {
	e := t.entryOf(endpoint)
	if e.leaving {
		return false
	}
	e.leaving, e.leavingAt = true, now
	return true
}

// IsLeaving reports whether an endpoint has said that it leaves.
func (t *Table) IsLeaving(endpoint string) bool {
	e := t.entries[endpoint]
	return e != nil && e.leaving
}

// HeardPause records that an endpoint turned a request away and wants none from this
// host for a time, which is bounded by MaxPause. It reports whether a pause has begun.
func (t *Table) HeardPause(now time.Duration, endpoint string, pause time.Duration) (began bool) {
	if pause <= 0 {
		return false
	}
	pause = min(pause, MaxPause)
	e := t.entryOf(endpoint)
	began = now >= e.resumeAt
	e.resumeAt = max(e.resumeAt, now+pause+t.spread(endpoint, pause))
	e.trialUntil = 0
	t.pausesUntil = max(t.pausesUntil, e.resumeAt)
	return began
}

// AnyPause reports whether an endpoint may be in a pause.
func (t *Table) AnyPause(now time.Duration) bool { return now < t.pausesUntil }

// spread returns the delay after a pause, which differs between hosts.
func (t *Table) spread(endpoint string, pause time.Duration) time.Duration {
	limit := min(pause/resumeSpreadDivisor, resumeSpread)
	return time.Duration(xxhash.Sum64String(t.self+endpoint) % uint64(limit+1))
}

// HeardServed records that an endpoint ran a request, which ends what is left of a pause
// that is over.
func (t *Table) HeardServed(now time.Duration, endpoint string) {
	if e := t.entries[endpoint]; e != nil && now >= e.resumeAt {
		e.resumeAt, e.trialUntil = 0, 0
	}
}

// Check says whether an endpoint may get a request now. lastResort means that there is
// no other endpoint for it.
func (t *Table) Check(now time.Duration, endpoint string, lastResort bool) Block {
	e := t.entries[endpoint]
	switch {
	case e == nil:
		return Block{}
	case e.leaving && (!lastResort || now >= e.leavingAt+LastResortTime):
		return Block{Code: result.EndpointLeaving}
	case now < e.resumeAt:
		return Block{Code: result.EndpointPaused, Until: e.resumeAt}
	case e.resumeAt > 0 && now < e.trialUntil:
		return Block{Code: result.EndpointPaused, Until: e.trialUntil}
	default:
		return Block{}
	}
}

// Barred returns the code to refuse a request with that is about to be written to an
// endpoint for which it was chosen before, or zero.
func (t *Table) Barred(now time.Duration, endpoint string) result.Code {
	e := t.entries[endpoint]
	switch {
	case e == nil:
		return 0
	case e.leaving && now >= e.leavingAt+LastResortTime:
		return result.EndpointLeaving
	case now < e.resumeAt:
		return result.EndpointPaused
	default:
		return 0
	}
}

// Sent records that a request is sent to an endpoint.
func (t *Table) Sent(now time.Duration, endpoint string) {
	if e := t.entries[endpoint]; e != nil && e.resumeAt > 0 {
		e.trialUntil = now + trialTimeout
	}
}

// Ended records that a request to an endpoint has ended, whatever its outcome.
func (t *Table) Ended(endpoint string) {
	if e := t.entries[endpoint]; e != nil {
		e.trialUntil = 0
	}
}

// LeavingHints returns at most n endpoints, in turn, that have lately said that they
// leave.
func (t *Table) LeavingHints(now time.Duration, n int) []string {
	var hints []string
	for range t.order {
		if len(hints) == n {
			break
		}
		t.nextHint = (t.nextHint + 1) % len(t.order)
		endpoint := t.order[t.nextHint]
		if e := t.entries[endpoint]; e.leaving && now-e.leavingAt < hintAge {
			hints = append(hints, endpoint)
		}
	}
	return hints
}

// AllLeaving returns the endpoints that have said that they leave, for a host that has
// just started.
func (t *Table) AllLeaving() []string {
	var leaving []string
	for _, endpoint := range t.order {
		if t.entries[endpoint].leaving {
			leaving = append(leaving, endpoint)
		}
	}
	return leaving
}
