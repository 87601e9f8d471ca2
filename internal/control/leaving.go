package control

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
)

const (
	// LeavingTTL is how long a leaving endpoint gets no requests after it was
	// seen draining. After that, requests are sent to the endpoint again, and a
	// further leaving signal renews the hint.
	LeavingTTL = 60 * time.Second
	// TransitAllowance is subtracted from the time to live of a hint at each
	// hop, so that hints expire although the time in transit is not measured.
	TransitAllowance = 100 * time.Millisecond
	// maxLeaving bounds the leaving endpoints that a host keeps track of.
	maxLeaving = 8192
	// maxLeavingHints bounds the leaving hints in a heartbeat.
	maxLeavingHints = 128
	// maxOlderHints bounds the leaving hints in a heartbeat whose endpoints were
	// seen draining more than recentAge ago.
	maxOlderHints = 16
	recentAge     = 10 * time.Second
)

// leavingHints tracks the endpoints that are draining according to any host.
type leavingHints struct {
	expiresAt map[string]time.Duration
	// unpushed holds the endpoints whose hints were not pushed to peers yet, in
	// the order in which they were learned.
	unpushed []string
	// changed tells that the set of endpoints has changed since the last view.
	changed bool
	// cursor selects the windows of the next sample.
	cursor int
}

func (l *leavingHints) init() { l.expiresAt = make(map[string]time.Duration) }

// record records a leaving signal that this host saw itself. It reports whether
// the hint should be pushed to peers.
func (l *leavingHints) record(now time.Duration, endpoint string) bool {
	if remaining := l.expiresAt[endpoint] - now; remaining > LeavingTTL/2 {
		return false
	}
	return l.extend(now, endpoint, LeavingTTL)
}

// merge merges the hints of a peer. It reports whether any of them should be
// pushed to peers.
func (l *leavingHints) merge(now time.Duration, hints []peerwire.EndpointHint) bool {
	shouldPush := false
	for _, h := range hints {
		ttl := min(h.TTL, LeavingTTL) - TransitAllowance
		if ttl <= 0 || h.Endpoint == "" {
			continue
		}
		shouldPush = l.extend(now, h.Endpoint, ttl) || shouldPush
	}
	return shouldPush
}

// extend sets the time to live of a hint unless the current one is longer. It
// reports whether the hint should be pushed to peers: it is new, or its expiry
// moved by more than half of LeavingTTL.
func (l *leavingHints) extend(now time.Duration, endpoint string, ttl time.Duration) bool {
	oldExpiry, known := l.expiresAt[endpoint]
	if !known && len(l.expiresAt) >= maxLeaving {
		return false
	}
	l.expiresAt[endpoint] = max(oldExpiry, now+ttl)
	renewed := now+ttl-oldExpiry > LeavingTTL/2
	if known && !renewed {
		return false
	}
	l.changed = l.changed || !known
	if !slices.Contains(l.unpushed, endpoint) {
		l.unpushed = append(l.unpushed, endpoint)
	}
	return true
}

func (l *leavingHints) expire(now time.Duration) {
	for endpoint, expiry := range l.expiresAt {
		if now >= expiry {
			delete(l.expiresAt, endpoint)
			l.changed = true
		}
	}
}

// takeUnpushed removes and returns at most maxLeavingHints hints that were not
// pushed yet.
func (l *leavingHints) takeUnpushed(now time.Duration) []peerwire.EndpointHint {
	n := min(len(l.unpushed), maxLeavingHints)
	hints := l.hints(now, l.unpushed[:n])
	l.unpushed = l.unpushed[n:]
	return hints
}

// sample returns the hints for a heartbeat: recent ones first, then some older
// ones for hosts that joined since. Successive calls cycle through both lists.
func (l *leavingHints) sample(now time.Duration) []peerwire.EndpointHint {
	var recent, older []string
	for endpoint, expiry := range l.expiresAt {
		if expiry-now > LeavingTTL-recentAge {
			recent = append(recent, endpoint)
		} else {
			older = append(older, endpoint)
		}
	}
	l.cursor++
	chosen := rotatingWindow(recent, l.cursor, maxLeavingHints)
	chosen = append(chosen, rotatingWindow(older, l.cursor, min(maxOlderHints, maxLeavingHints-len(chosen)))...)
	return l.hints(now, chosen)
}

// rotatingWindow sorts the list and returns its n-th window of at most size
// elements, wrapping around at the end.
func rotatingWindow(list []string, n, size int) []string {
	slices.Sort(list)
	if len(list) <= size {
		return list
	}
	out := make([]string, 0, size)
	for i := range size {
		out = append(out, list[(n*size+i)%len(list)])
	}
	return out
}

func (l *leavingHints) hints(now time.Duration, endpoints []string) []peerwire.EndpointHint {
	var out []peerwire.EndpointHint
	for _, endpoint := range endpoints {
		if remaining := l.expiresAt[endpoint] - now; remaining > 0 {
			out = append(out, peerwire.EndpointHint{Endpoint: endpoint, TTL: remaining})
		}
	}
	return out
}

// endpoints returns the leaving endpoints as a new set.
func (l *leavingHints) endpoints() map[string]bool {
	out := make(map[string]bool, len(l.expiresAt))
	for endpoint := range l.expiresAt {
		out[endpoint] = true
	}
	return out
}
