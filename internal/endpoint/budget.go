package endpoint

// Budget is a token bucket that limits hedges or retries to a share of the
// primary dispatches. The number of successful TryTake calls never exceeds the
// share times the number of RecordPrimary calls, plus the burst.
type Budget struct {
	perMille int
	// tokens and limit are in thousandths of a dispatch.
	tokens int
	limit  int
	// shared backs several budgets; it may be nil.
	shared *SharedBurst
}

const tokensPerDispatch = 1000

// NewBudget returns a full bucket that earns perMille thousandths of a dispatch
// for each primary dispatch and holds at most burst dispatches.
func NewBudget(perMille, burst int) *Budget {
	return &Budget{perMille: perMille, tokens: burst * tokensPerDispatch, limit: burst * tokensPerDispatch}
}

// SetShare changes the share and keeps the tokens.
func (b *Budget) SetShare(perMille int) { b.perMille = perMille }

// RecordPrimary adds the tokens earned by one primary dispatch. Tokens above the
// limit go to the shared burst.
func (b *Budget) RecordPrimary() {
	b.tokens += b.perMille
	if surplus := b.tokens - b.limit; surplus > 0 {
		b.tokens = b.limit
		b.shared.add(surplus)
	}
}

// TryTake spends the tokens of one dispatch, from the budget itself or else from
// the shared burst. It reports whether there were enough tokens.
func (b *Budget) TryTake() bool {
	if b.tokens < tokensPerDispatch {
		return b.shared.tryTake()
	}
	b.tokens -= tokensPerDispatch
	return true
}

// SharedBurst is a burst that the budgets of several services share, so that
// many services with little traffic do not add up to many bursts. The successful
// TryTake calls of all its budgets together never exceed the sum of their shares
// of the RecordPrimary calls, plus this burst.
type SharedBurst struct {
	tokens int
	limit  int
}

// NewSharedBurst returns a full shared burst of the given number of dispatches.
func NewSharedBurst(burst int) *SharedBurst {
	return &SharedBurst{tokens: burst * tokensPerDispatch, limit: burst * tokensPerDispatch}
}

// NewBudget returns an empty budget that holds at most burst dispatches of its
// own. It adds its surplus tokens to the shared burst, and draws from the shared
// burst when it is out of tokens.
func (s *SharedBurst) NewBudget(perMille, burst int) *Budget {
	return &Budget{perMille: perMille, limit: burst * tokensPerDispatch, shared: s}
}

// Grow raises the burst to the given number of dispatches and adds the
// difference in tokens. It never lowers the burst.
func (s *SharedBurst) Grow(burst int) {
	if increase := burst*tokensPerDispatch - s.limit; increase > 0 {
		s.limit += increase
		s.tokens += increase
	}
}

func (s *SharedBurst) add(tokens int) {
	if s != nil {
		s.tokens = min(s.tokens+tokens, s.limit)
	}
}

func (s *SharedBurst) tryTake() bool {
	if s == nil || s.tokens < tokensPerDispatch {
		return false
	}
	s.tokens -= tokensPerDispatch
	return true
}
