package balance

// Allowance is the bound of extra attempts that all hosts share, for each
// service in any sliding window.
type Allowance struct {
	// Ratio is the share of the requests for the service.
	Ratio float64
	// Slack is the number of extra attempts besides.
	Slack float64
}

// Shares of the allowance that hosts use up. The rest is room for error in what
// a host believes of the others.
const (
	ratioShare = 0.75
	slackShare = 0.5
	// startShare is the part of its burst that a new host begins with, one attempt
	// at least, since the host before it may have spent the same.
	startShare = 0.25
)

// Budget is one host's share of the allowance of one service. Over any window,
// the successful Takes are at most the burst plus the share of the requests.
type Budget struct {
	tokens float64
	burst  float64
	ratio  float64
}

// NewBudget returns the budget of one host among hosts.
func NewBudget(a Allowance, hosts int) *Budget {
	b := &Budget{}
	b.Resize(a, hosts)
	b.tokens = max(b.burst*startShare, 1)
	return b
}

// Resize follows a change of the allowance or of the number of hosts.
func (b *Budget) Resize(a Allowance, hosts int) {
	b.ratio = a.Ratio * ratioShare
	b.burst = max(a.Slack*slackShare/float64(max(hosts, 1)), 1)
	b.tokens = min(b.tokens, b.burst)
}

// Primary counts a request for the service.
func (b *Budget) Primary() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// Take spends one extra attempt if there is one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns an extra attempt that did not reach the replica.
func (b *Budget) Refund() { b.tokens = min(b.tokens+1, b.burst) }
