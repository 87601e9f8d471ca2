package endpoint

// Budget bounds hedges or retries to a share of the primary dispatches. Over
// any run, the number of successful Takes is at most the share times the number
// of Primary calls, plus the burst.
type Budget struct {
	perMille int
	// tokens and limit count thousandths of a dispatch.
	tokens int
	limit  int
}

const tokensPerDispatch = 1000

// NewBudget returns a full budget of perMille thousandths of the primary
// dispatches that saves up at most burst dispatches.
func NewBudget(perMille, burst int) *Budget {
	return &Budget{perMille: perMille, tokens: burst * tokensPerDispatch, limit: burst * tokensPerDispatch}
}

// SetShare changes the share and keeps what was saved up.
func (b *Budget) SetShare(perMille int) { b.perMille = perMille }

// Primary counts a primary dispatch.
func (b *Budget) Primary() { b.tokens = min(b.tokens+b.perMille, b.limit) }

// Take spends one dispatch if there is one.
func (b *Budget) Take() bool {
	if b.tokens < tokensPerDispatch {
		return false
	}
	b.tokens -= tokensPerDispatch
	return true
}
