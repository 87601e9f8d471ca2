package endpoint

// Budget bounds hedges or retries to a share of the primary dispatches. Over
// any run, the number of successful Takes is at most the share times the number
// of Primary calls, plus the burst.
type Budget struct {
	perMille int
	// tokens and limit count thousandths of a dispatch.
	tokens int
	limit  int
	// reserve is shared with other budgets; it may be nil.
	reserve *SharedBurst
}

const tokensPerDispatch = 1000

// NewBudget returns a full budget of perMille thousandths of the primary
// dispatches that saves up at most burst dispatches.
func NewBudget(perMille, burst int) *Budget {
	return &Budget{perMille: perMille, tokens: burst * tokensPerDispatch, limit: burst * tokensPerDispatch}
}

// SetShare changes the share and keeps what was saved up.
func (b *Budget) SetShare(perMille int) { b.perMille = perMille }

// RecordPrimary counts a primary dispatch.
func (b *Budget) RecordPrimary() {
	b.tokens += b.perMille
	if surplus := b.tokens - b.limit; surplus > 0 {
		b.tokens = b.limit
		b.reserve.add(surplus)
	}
}

// TryTake spends one dispatch if there is one, of the budget's own first.
func (b *Budget) TryTake() bool {
	if b.tokens < tokensPerDispatch {
		return b.reserve.take()
	}
	b.tokens -= tokensPerDispatch
	return true
}

// SharedBurst is a burst that the budgets of several services share, so that many
// services with little traffic do not add up to many bursts. Over any run, the
// successful Takes of all its budgets are at most their shares of the Primary
// calls, plus the burst of the reserve.
type SharedBurst struct {
	tokens int
	limit  int
}

// NewSharedBurst returns a full reserve of burst dispatches.
func NewSharedBurst(burst int) *SharedBurst {
	return &SharedBurst{tokens: burst * tokensPerDispatch, limit: burst * tokensPerDispatch}
}

// NewBudget returns an empty budget that saves up at most burst dispatches of its
// own, gives its surplus to the reserve, and falls back on it.
func (r *SharedBurst) NewBudget(perMille, burst int) *Budget {
	return &Budget{perMille: perMille, limit: burst * tokensPerDispatch, reserve: r}
}

// Grow raises the burst to the given number of dispatches.
func (r *SharedBurst) Grow(burst int) {
	if more := burst*tokensPerDispatch - r.limit; more > 0 {
		r.limit += more
		r.tokens += more
	}
}

func (r *SharedBurst) add(tokens int) {
	if r != nil {
		r.tokens = min(r.tokens+tokens, r.limit)
	}
}

func (r *SharedBurst) take() bool {
	if r == nil || r.tokens < tokensPerDispatch {
		return false
	}
	r.tokens -= tokensPerDispatch
	return true
}
