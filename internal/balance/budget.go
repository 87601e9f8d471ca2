package balance

import "time"

// Allowance is the limit on extra attempts that all hosts share. It applies to
// each service, in any sliding window of length Window.
type Allowance struct {
	// Ratio is the number of extra attempts allowed per request for the
	// service.
	Ratio float64
	// Slack is the number of extra attempts allowed in a Window in addition to
	// the ratio.
	Slack  float64
	Window time.Duration
}

// The shares of the allowance that budgets use. The rest is a margin for
// differences between the hosts' knowledge of each other.
const (
	ratioShare = 0.9
	// burstShare is the share of the slack that can be spent at once.
	// refillShare is the share that is refilled over a window.
	burstShare  = 0.4
	refillShare = 0.4
	// retryReserve is the share of the burst, beyond one attempt, that hedges leave to
	// retries: a retry decides whether a query is served, and a hedge when.
	retryReserve = 0.5
	// coverageReserve is the share that is left by hedges of queries over many shards that
	// only add coverage.
	coverageReserve = 0.75
	// lateReserve is the share that is left by extra attempts that decide whether a query
	// over many shards has an answer, but come too late for one on time. It is below the
	// reserves of hedges: those would otherwise keep the budget at their reserve, and a query
	// with one lost answer would get none until its deadline.
	lateReserve = 0.25
	// startShare is the share of the burst that a new budget starts with, at
	// least one attempt. It is low because the process that ran on this host
	// before may have just spent its burst.
	startShare = 0.125
)

// Budget is a token bucket that holds one host's share of the allowance of one
// service. Over any window, the successful calls of Take and its variants are at most
// the burst, plus the refill, plus ratio times the number of requests.
type Budget struct {
	tokens float64
	burst  float64
	// ratio is the number of attempts added for each request.
	ratio float64
	// refill is the number of attempts refilled per second.
	refill     float64
	refilledAt time.Duration
}

// NewBudget returns the budget of one host out of the given number.
func NewBudget(now time.Duration, a Allowance, hosts int) *Budget {
	b := &Budget{refilledAt: now}
	b.Resize(a, hosts)
	b.tokens = max(b.burst*startShare, 1)
	return b
}

// Resize adjusts the budget to a new allowance or number of hosts.
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

// CountRequest adds to the budget what one request for the service allows.
func (b *Budget) CountRequest() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// Take spends one extra attempt. It returns false if none is left.
func (b *Budget) Take(now time.Duration) bool { return b.take(now, 0) }

// TakeHedge spends one extra attempt on a hedge. It returns false if none is left beyond
// the reserve for retries.
func (b *Budget) TakeHedge(now time.Duration) bool { return b.take(now, retryReserve*(b.burst-1)) }

// TakeForCoverage spends one extra attempt that only adds coverage to an answer. It returns
// false if none is left beyond the reserve for those that decide whether there is one.
func (b *Budget) TakeForCoverage(now time.Duration) bool {
	return b.take(now, coverageReserve*(b.burst-1))
}

// TakeLate spends one extra attempt that decides whether there is an answer, but not one on
// time. It returns false if none is left beyond the reserve for those that decide about
// answers on time.
func (b *Budget) TakeLate(now time.Duration) bool { return b.take(now, lateReserve*(b.burst-1)) }

// take spends one extra attempt if that leaves the reserve.
func (b *Budget) take(now time.Duration, reserve float64) bool {
	b.tokens = min(b.tokens+b.refill*(now-b.refilledAt).Seconds(), b.burst)
	b.refilledAt = now
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}
