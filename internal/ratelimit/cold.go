package ratelimit

import (
	"slices"
	"time"
)

const (
	// coldWindow is the time within which this host sends no more than its share. It is
	// longer than a second, since requests take different times on their way.
	coldWindow = 1500 * time.Millisecond
	// coldReserve is the part of the bound that is left for hosts whose lists of hosts
	// differ for a moment.
	coldReserve = 0.1
	// coldMargin is how much longer than announced an endpoint is taken as cold, since
	// hosts read its remaining time at different moments.
	coldMargin = time.Second
	// JoinDelay is the time after its start in which a host sends nothing to endpoints
	// that are cold: it does not know the other hosts yet, nor they this one.
	JoinDelay = 3 * time.Second
)

// ColdEndpoint is an endpoint that takes few requests while it is cold.
type ColdEndpoint struct {
	// Bound is the number of requests that it may get in any one second from all hosts
	// together while it is cold.
	Bound float64
	// Until is until when it is cold.
	Until time.Duration
}

// Senders returns the addresses of the hosts that send to an endpoint, this one included
// if it does, and the number of hosts among which its bound is divided, which is larger if
// some are out of sight.
type Senders func(endpoint string) (addresses []string, count int)

// ColdTable divides among hosts the requests that endpoints take while they are cold. Times
// are measured from the start of the process. It is not safe for concurrent use.
//
// Invariants, if all hosts divide a bound among the same hosts, or among more:
//   - A host writes no more than its share of the bound to a cold endpoint within
//     coldWindow. What it wrote before it knew that the endpoint is cold counts.
//   - The shares of all hosts together are less than the bound.
//   - After it has learned that an endpoint in use has become cold, a host sends nothing for
//     coldWindow, since other hosts do not know what it sent, nor it what they sent.
type ColdTable struct {
	self      string
	senders   Senders
	endpoints map[string]*coldState
}

// coldState is what is known of one endpoint.
type coldState struct {
	ColdEndpoint
	// known is set while the endpoint is one of those that SetEndpoints named.
	known bool
	// pausedUntil is until when the endpoint gets nothing.
	pausedUntil time.Duration
	// reserved is the number of requests that have a ticket and are not written yet.
	reserved int
	// written are the times at which requests were written, the earliest first.
	written []time.Duration
	// share is this host's share of the bound, valid while shareKnown is set.
	share      int
	shareKnown bool
}

// Ticket is the right to write one request to an endpoint. A nil ticket is for an endpoint
// without a bound.
type Ticket struct {
	state   *coldState
	at      time.Duration
	written bool
}

// NewColdTable returns a table without endpoints for the host with the address self.
func NewColdTable(self string, senders Senders) *ColdTable {
	return &ColdTable{self: self, senders: senders, endpoints: make(map[string]*coldState)}
}

// SetEndpoints replaces the endpoints that have a bound, cold or not.
func (t *ColdTable) SetEndpoints(now time.Duration, endpoints map[string]ColdEndpoint) {
	for key, s := range t.endpoints {
		if _, ok := endpoints[key]; ok {
			continue
		}
		s.known = false
		s.forget(now)
		if s.reserved == 0 && len(s.written) == 0 {
			delete(t.endpoints, key)
		}
	}
	for key, e := range endpoints {
		s := t.endpoints[key]
		if s == nil {
			s = &coldState{}
			t.endpoints[key] = s
		}
		s.update(now, e)
	}
}

// update sets the bound and extends the time for which the endpoint is cold.
func (s *coldState) update(now time.Duration, e ColdEndpoint) {
	if s.Bound != e.Bound {
		s.Bound, s.shareKnown = e.Bound, false
	}
	wasKnown := s.known
	s.known = true
	s.extend(now, e.Until, wasKnown)
}

// extend extends the time for which the endpoint is cold. inUse means that it was known
// before, so that hosts may have sent to it as they pleased.
func (s *coldState) extend(now, until time.Duration, inUse bool) {
	wasCold := s.cold(now)
	s.Until = max(s.Until, until)
	if inUse && !wasCold && s.cold(now) {
		s.pausedUntil = now + coldWindow
	}
}

// Learn records that an endpoint said that it is cold for a time.
func (t *ColdTable) Learn(now time.Duration, endpoint string, remaining time.Duration) {
	if s := t.endpoints[endpoint]; s != nil && remaining > 0 {
		s.extend(now, now+remaining, true)
	}
}

func (s *coldState) cold(now time.Duration) bool { return s.Until > 0 && now < s.Until+coldMargin }

// AnyCold reports whether an endpoint is cold.
func (t *ColdTable) AnyCold(now time.Duration) bool {
	for _, s := range t.endpoints {
		if s.known && s.cold(now) {
			return true
		}
	}
	return false
}

// ColdCount returns the number of endpoints that are cold.
func (t *ColdTable) ColdCount(now time.Duration) int {
	n := 0
	for _, s := range t.endpoints {
		if s.known && s.cold(now) {
			n++
		}
	}
	return n
}

// SendersChanged must be called when what senders returns has changed.
func (t *ColdTable) SendersChanged() {
	for _, s := range t.endpoints {
		s.shareKnown = false
	}
}

// WithoutShare returns until when an endpoint gets nothing at all from this host since it
// has no share, or zero.
func (t *ColdTable) WithoutShare(now time.Duration, endpoint string) time.Duration {
	s := t.endpoints[endpoint]
	if s == nil || !s.cold(now) || t.shareOf(endpoint, s) > 0 {
		return 0
	}
	return s.Until + coldMargin
}

// Allows reports whether this host may send a request to an endpoint now.
func (t *ColdTable) Allows(now time.Duration, endpoint string) bool {
	s := t.endpoints[endpoint]
	if s == nil || !s.cold(now) {
		return true
	}
	return t.roomFor(now, endpoint, s, s.reserved)
}

// roomFor reports whether one more request may be written to a cold endpoint, beside some
// that have a ticket.
func (t *ColdTable) roomFor(now time.Duration, endpoint string, s *coldState, reserved int) bool {
	if now < JoinDelay || now < s.pausedUntil {
		return false
	}
	s.forget(now)
	return reserved+len(s.written) < t.shareOf(endpoint, s)
}

// Take takes the right to send a request to an endpoint. It reports whether there is one.
func (t *ColdTable) Take(now time.Duration, endpoint string) (ticket *Ticket, ok bool) {
	s := t.endpoints[endpoint]
	if s == nil {
		return nil, true
	}
	if !t.Allows(now, endpoint) {
		return nil, false
	}
	s.reserved++
	return &Ticket{state: s}, true
}

// Write records that the request of a ticket is about to be written. It reports whether it
// may be: the endpoint may have become cold since.
func (t *ColdTable) Write(now time.Duration, endpoint string, ticket *Ticket) bool {
	if ticket == nil {
		return true
	}
	s := ticket.state
	ticket.unwrite()
	if s.cold(now) && !t.roomFor(now, endpoint, s, 0) {
		return false
	}
	if !ticket.written {
		s.reserved--
	}
	ticket.written, ticket.at = true, now
	s.forget(now)
	s.written = append(s.written, now)
	return true
}

// unwrite takes back an earlier write, which failed before its first byte.
func (k *Ticket) unwrite() {
	if !k.written {
		return
	}
	if i := slices.Index(k.state.written, k.at); i >= 0 {
		k.state.written = slices.Delete(k.state.written, i, i+1)
	}
	k.written = false
	k.state.reserved++
}

// End ends a ticket. refused means that its request was certainly not written.
func (t *ColdTable) End(now time.Duration, ticket *Ticket, refused bool) {
	if ticket == nil || ticket.written {
		return
	}
	s := ticket.state
	s.reserved--
	ticket.written, ticket.at = true, now
	if !refused {
		s.written = append(s.written, now)
	}
}

// forget drops the writes before the window.
func (s *coldState) forget(now time.Duration) {
	n := 0
	for n < len(s.written) && now-s.written[n] >= coldWindow {
		n++
	}
	s.written = slices.Delete(s.written, 0, n)
}

// shareOf returns the number of requests that this host may write to a cold endpoint within
// coldWindow. What is left over after the division goes to the first hosts in the order of
// rendezvous hashing.
func (t *ColdTable) shareOf(endpoint string, s *coldState) int {
	if s.shareKnown {
		return s.share
	}
	s.shareKnown, s.share = true, 0
	addresses, count := t.senders(endpoint)
	if !slices.Contains(addresses, t.self) {
		return 0
	}
	count = max(count, len(addresses))
	whole := max(int(s.Bound*(1-coldReserve)), min(int(s.Bound), 1))
	s.share = whole / count
	if rankOf(t.self, endpoint, addresses) < whole%count {
		s.share++
	}
	return s.share
}
