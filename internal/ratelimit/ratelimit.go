// Package ratelimit divides among hosts the request rates that endpoints accept from
// all hosts together.
//
// An endpoint in need names a limit in its answers, for as long as it applies. Each
// host sends to it within its share, a token bucket. All attempts draw on it: first
// ones, retries, hedges and those of parts of divided queries.
//
// If more hosts send to an endpoint than it accepts requests in a second, one request
// of each at once would exceed the limit. Then only some of them share it, chosen by
// rendezvous hashing, so that hosts with nearly the same list of hosts agree. The
// others send nothing, hear from those in hints whether the limit still applies, and
// try for themselves once they have heard nothing for long.
//
// Invariants, for hosts that agree about each other and about a limit:
//   - In any window, an endpoint gets at most the limit times the length of the window
//     plus one second.
//   - A limit ends with an answer that names none, which hosts tell each other, or with
//     the endpoint.
//
// An endpoint that is cold takes few requests in any one second from all hosts together.
// A [ColdTable] divides that bound in the same way, and counts what was sent before.
//
// The package does no I/O, and a Table is not safe for concurrent use. Times are
// monotonic, measured from process start.
package ratelimit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// burstTime is the time whose requests a host may send at once, at least one.
	burstTime = 500 * time.Millisecond
	// staleAfter is the age of a limit from which a host without a share tries
	// whether it still applies. staleJitter is added at random.
	staleAfter  = 10 * time.Second
	staleJitter = 10 * time.Second
	// startShare is the share of its burst that a host has when it learns of a limit:
	// until then it sent as it pleased.
	startShare = 0.5
)

// Hint tells another host of a limit. Age is the time since the endpoint named it.
type Hint struct {
	Endpoint string `msgpack:"e"`
	// PerSecond is the rate in requests per second, or zero if the endpoint no longer
	// names a limit.
	PerSecond float64       `msgpack:"p"`
	Age       time.Duration `msgpack:"a"`
}

// limit is what is known of the limit of one endpoint.
type limit struct {
	// perSecond is zero once the endpoint names no limit any more.
	perSecond float64
	namedAt   time.Duration
	// nextTry is when this host may try an endpoint of which it has no share.
	nextTry time.Duration
	// share is this host's share in requests per second, zero if it has none. It is
	// valid while shareKnown is set.
	share      float64
	shareKnown bool
	// shared reports whether all hosts that send to the endpoint have a share.
	shared     bool
	tokens     float64
	refilledAt time.Duration
}

// Table holds the limits of all endpoints.
type Table struct {
	self string
	// senders returns the addresses of the hosts that send to an endpoint.
	senders func(endpoint string) []string
	limits  map[string]*limit
	// active is the number of limits that apply.
	active int
	// order holds the endpoints in the order in which they became known, and nextHint
	// is the index of the one that was last considered for a hint.
	order    []string
	nextHint int
}

// NewTable returns a table without limits for the host with the address self. senders
// returns the addresses of all hosts that send to an endpoint.
func NewTable(self string, senders func(endpoint string) []string) *Table {
	return &Table{self: self, senders: senders, limits: make(map[string]*limit)}
}

// Active reports whether a limit applies to any endpoint.
func (t *Table) Active() bool { return t.active > 0 }

// Learn records that an answer of an endpoint named a limit, or none if perSecond is
// zero. It reports whether that is new.
func (t *Table) Learn(now time.Duration, endpoint string, perSecond float64) (changed bool) {
	l := t.limits[endpoint]
	unlimited := l == nil || l.perSecond == 0
	if unlimited && perSecond <= 0 {
		return false
	}
	return t.record(now, now, endpoint, max(perSecond, 0))
}

// record records what an endpoint named at a time.
func (t *Table) record(now, namedAt time.Duration, endpoint string, perSecond float64) (changed bool) {
	l := t.limits[endpoint]
	if l == nil {
		l = &limit{}
		t.limits[endpoint] = l
		t.order = append(t.order, endpoint)
	}
	l.namedAt = namedAt
	l.nextTry = namedAt + staleAfter + t.jitter(endpoint)
	if l.perSecond == perSecond {
		return false
	}
	started := l.perSecond == 0
	l.perSecond, l.shareKnown = perSecond, false
	switch {
	case perSecond == 0:
		t.active--
	case started:
		t.active++
		t.updateShare(endpoint, l)
		l.tokens, l.refilledAt = startShare*l.burst(), now
	}
	return true
}

// jitter returns a delay below staleJitter that differs between hosts.
func (t *Table) jitter(endpoint string) time.Duration {
	return time.Duration(xxhash.Sum64String(t.self+endpoint) % uint64(staleJitter))
}

// Allows reports whether this host may send a request to an endpoint now.
func (t *Table) Allows(now time.Duration, endpoint string) bool {
	l := t.limits[endpoint]
	if l == nil || l.perSecond == 0 {
		return true
	}
	t.updateShare(endpoint, l)
	if l.share == 0 {
		return now >= l.nextTry
	}
	l.refill(now)
	return l.tokens >= 1
}

// Take takes the right to send one request to an endpoint now, and reports whether
// there is one.
func (t *Table) Take(now time.Duration, endpoint string) bool {
	if !t.Allows(now, endpoint) {
		return false
	}
	l := t.limits[endpoint]
	switch {
	case l == nil || l.perSecond == 0:
	case l.share == 0:
		l.nextTry = now + staleAfter + t.jitter(endpoint)
	default:
		l.tokens--
	}
	return true
}

// burst returns the number of requests that this host may send at once.
func (l *limit) burst() float64 { return max(l.share*burstTime.Seconds(), 1) }

func (l *limit) refill(now time.Duration) {
	l.tokens = min(l.tokens+l.share*(now-l.refilledAt).Seconds(), l.burst())
	l.refilledAt = now
}

// SendersChanged must be called when what senders returns has changed.
func (t *Table) SendersChanged() {
	for _, l := range t.limits {
		l.shareKnown = false
	}
}

// updateShare works out this host's share of a limit.
func (t *Table) updateShare(endpoint string, l *limit) {
	if l.shareKnown {
		return
	}
	l.shareKnown = true
	senders := t.senders(endpoint)
	sharers := min(max(int(l.perSecond), 1), max(len(senders), 1))
	l.shared = sharers >= len(senders)
	l.share = 0
	if l.shared || t.rank(endpoint, senders) < sharers {
		l.share = l.perSecond / float64(sharers)
	}
}

// rank returns the number of senders that come before this host in the order in which
// they get a share.
func (t *Table) rank(endpoint string, senders []string) int { return rankOf(t.self, endpoint, senders) }

// rankOf returns the number of senders that come before one of them in the order of
// rendezvous hashing for an endpoint.
func rankOf(self, endpoint string, senders []string) int {
	key := xxhash.Sum64String(endpoint)
	own := rendezvousWeight(self, key)
	before := 0
	for _, s := range senders {
		weight := rendezvousWeight(s, key)
		if weight > own || weight == own && s < self {
			before++
		}
	}
	return before
}

// rendezvousWeight returns the weight of a host for an endpoint with the given hash. It
// mixes the two with the finalizer of SplitMix64.
func rendezvousWeight(host string, endpoint uint64) uint64 {
	x := xxhash.Sum64String(host) ^ endpoint*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Hints returns at most n hints for other hosts, of those on which a host without a
// share depends, in turn.
func (t *Table) Hints(now time.Duration, n int) []Hint {
	var hints []Hint
	for range t.order {
		if len(hints) == n {
			break
		}
		t.nextHint = (t.nextHint + 1) % len(t.order)
		endpoint := t.order[t.nextHint]
		l := t.limits[endpoint]
		t.updateShare(endpoint, l)
		if age := now - l.namedAt; !l.shared && age < staleAfter {
			hints = append(hints, Hint{Endpoint: endpoint, PerSecond: l.perSecond, Age: age})
		}
	}
	return hints
}

// Merge merges a hint from another host. It reports whether that changed a limit. A
// hint that is older than what this host knows, or of no sense, is ignored.
func (t *Table) Merge(now time.Duration, h Hint) (changed bool) {
	if h.Age < 0 || h.Age >= staleAfter || !(h.PerSecond >= 0) {
		return false
	}
	namedAt := now - h.Age
	l := t.limits[h.Endpoint]
	if l == nil && h.PerSecond == 0 || l != nil && l.namedAt >= namedAt {
		return false
	}
	return t.record(now, namedAt, h.Endpoint, h.PerSecond)
}

// Retain forgets the endpoints for which known returns false.
func (t *Table) Retain(known func(endpoint string) bool) {
	for endpoint, l := range t.limits {
		if known(endpoint) {
			continue
		}
		if l.perSecond > 0 {
			t.active--
		}
		delete(t.limits, endpoint)
	}
	t.order = slices.DeleteFunc(t.order, func(endpoint string) bool { return t.limits[endpoint] == nil })
	if t.nextHint >= len(t.order) {
		t.nextHint = 0
	}
}
