package control

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
)

const (
	// LeavingTTL is how long a leaving endpoint gets no work after it was seen
	// draining. When it has passed, traffic tries the endpoint again, and a further
	// sign renews it.
	LeavingTTL = 60 * time.Second
	// TransitAllowance is taken off a hint's life at each hop, so that hints die
	// out although the time on the way isn't counted.
	TransitAllowance = 100 * time.Millisecond
	// maxLeaving bounds the hints that a host keeps.
	maxLeaving = 8192
	// maxLeavingHints bounds the hints of a heartbeat.
	maxLeavingHints = 128
	// maxOlderHints bounds those that were learned more than recentFor ago.
	maxOlderHints = 16
	recentFor     = 10 * time.Second
)

// leavingHints holds the endpoints that are draining by any host's sign.
type leavingHints struct {
	until map[string]time.Duration
	// fresh are those not pushed to peers yet, in the order of learning.
	fresh   []string
	changed bool
	cursor  int
}

func (l *leavingHints) init() { l.until = make(map[string]time.Duration) }

// observe takes a sign that this host saw itself. It reports whether it is news.
func (l *leavingHints) observe(now time.Duration, endpoint string) bool {
	if left := l.until[endpoint] - now; left > LeavingTTL/2 {
		return false
	}
	return l.extend(now, endpoint, LeavingTTL)
}

// merge takes the hints of a peer. It reports whether any endpoint is news.
func (l *leavingHints) merge(now time.Duration, hints []peerwire.EndpointHint) bool {
	news := false
	for _, h := range hints {
		ttl := min(h.TTL, LeavingTTL) - TransitAllowance
		if ttl <= 0 || h.Endpoint == "" {
			continue
		}
		news = l.extend(now, h.Endpoint, ttl) || news
	}
	return news
}

// extend keeps the longer life. It reports whether the endpoint is news.
func (l *leavingHints) extend(now time.Duration, endpoint string, ttl time.Duration) bool {
	old, known := l.until[endpoint]
	if !known && len(l.until) >= maxLeaving {
		return false
	}
	l.until[endpoint] = max(old, now+ttl)
	renewed := now+ttl-old > LeavingTTL/2
	if known && !renewed {
		return false
	}
	l.changed = l.changed || !known
	if !slices.Contains(l.fresh, endpoint) {
		l.fresh = append(l.fresh, endpoint)
	}
	return true
}

func (l *leavingHints) expire(now time.Duration) {
	for endpoint, until := range l.until {
		if now >= until {
			delete(l.until, endpoint)
			l.changed = true
		}
	}
}

// takeFresh returns at most maxLeavingHints hints that weren't pushed yet.
func (l *leavingHints) takeFresh(now time.Duration) []peerwire.EndpointHint {
	n := min(len(l.fresh), maxLeavingHints)
	hints := l.hints(now, l.fresh[:n])
	l.fresh = l.fresh[n:]
	return hints
}

// sample returns hints for a heartbeat: recent ones first, then some older ones
// for hosts that joined since, both going round.
func (l *leavingHints) sample(now time.Duration) []peerwire.EndpointHint {
	var recent, older []string
	for endpoint, until := range l.until {
		if until-now > LeavingTTL-recentFor {
			recent = append(recent, endpoint)
		} else {
			older = append(older, endpoint)
		}
	}
	l.cursor++
	chosen := window(recent, l.cursor, maxLeavingHints)
	chosen = append(chosen, window(older, l.cursor, min(maxOlderHints, maxLeavingHints-len(chosen)))...)
	return l.hints(now, chosen)
}

// window returns the n-th window of at most size elements of the sorted list.
func window(list []string, n, size int) []string {
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
		if left := l.until[endpoint] - now; left > 0 {
			out = append(out, peerwire.EndpointHint{Endpoint: endpoint, TTL: left})
		}
	}
	return out
}

// set returns the endpoints as a new set.
func (l *leavingHints) set() map[string]bool {
	out := make(map[string]bool, len(l.until))
	for endpoint := range l.until {
		out[endpoint] = true
	}
	return out
}
