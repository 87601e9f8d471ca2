package balance

import "time"

// Allowance is the bound of extra attempts that all hosts share, for each
// service in any sliding window.
type Allowance struct {
	// Ratio is the share of the requests for the service.
	Ratio float64
	// Slack is the number of extra attempts besides, in a Window.
	Slack  float64
	Window time.Duration
}

// Shares of the allowance that hosts use up. The rest is room for error in what
// a host believes of the others.
const (
	ratioShare = 0.75
	// burstShare of the slack may be spent at once, and refillShare comes back
	// over a window.
	burstShare  = 0.25
	refillShare = 0.25
	// startShare is the part of its burst that a new host begins with, one attempt
	// at least, since the host before it may have spent the same.
	startShare = 0.25
)

// Budget is one host's share of the allowance of one service. Over any window,
// the successful Takes are at most the burst, the refill and the share of the
// requests.
type Budget struct {
	tokens float64
	burst  float64
	ratio  float64
	// refill is in attempts a second.
	refill     float64
	refilledAt time.Duration
}

// NewBudget returns the budget of one host among hosts.
func NewBudget(now time.Duration, a Allowance, hosts int) *Budget {
	b := &Budget{refilledAt: now}
	b.Resize(a, hosts)
	b.tokens = max(b.burst*startShare, 1)
	return b
}

// Resize follows a change of the allowance or of the number of hosts.
func (b *Budget) Resize(a Allowance, hosts int) {
	share := a.Slack / float64(max(hosts, 1))
	b.ratio = a.Ratio * ratioShare
	b.burst = max(share*burstShare, 1)
	b.refill = 0
	if a.Window > 0 {
		b.refill = share * refillShare / a.Window.Seconds()
	}
	b.tokens = min(b.tokens, b.burst)
}

// CountRequest counts a request for the service.
func (b *Budget) CountRequest() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// Take spends one extra attempt if there is one.
func (b *Budget) Take(now time.Duration) bool {
	b.tokens = min(b.tokens+b.refill*(now-b.refilledAt).Seconds(), b.burst)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
