// Package bodymemory bounds the memory that the responses of replicas occupy on a host,
// all connections together.
//
// A response is charged for what it holds beyond [FreeBytes], from its first such byte
// until it has been passed on or dropped. When the [Budget] is spent, a response that
// needs more is given up at once: it is not made to wait, since the responses that hold
// the memory may never end. Responses of up to FreeBytes do not depend on the budget.
package bodymemory

import "sync/atomic"

const (
	// FreeBytes is the part of a response that is not charged.
	FreeBytes = 16 << 10
	// stepBytes is the unit of charges.
	stepBytes = 16 << 10
	// memoryDivisor is the fraction of a process's memory that responses may take: a long
	// response occupies twice what it is charged while it is copied or decoded.
	// defaultMemoryMB is assumed if the memory is unknown.
	memoryDivisor   = 8
	defaultMemoryMB = 256
)

// Account is told what all responses together are charged.
type Account interface {
	// ChargeResponses adds n bytes, or returns them if n is negative.
	ChargeResponses(n int64)
}

// Budget is the memory for responses, in bytes. It is safe for concurrent use. A nil
// Budget has no bound.
type Budget struct {
	limit   int64
	used    atomic.Int64
	account Account
}

// NewBudget returns a budget of the given size in bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// BudgetFor returns the budget of a process with the given memory in MB, zero if unknown. Each
// charge is also made to the account, which may be nil.
func BudgetFor(memoryMB int, account Account) *Budget {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return &Budget{limit: int64(memoryMB) << 20 / memoryDivisor, account: account}
}

// Used returns the number of bytes that are charged now.
func (b *Budget) Used() int64 { return b.used.Load() }

// take charges n bytes, unless the budget is spent.
func (b *Budget) take(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	if b.account != nil {
		b.account.ChargeResponses(n)
	}
	return true
}

// release returns n bytes.
func (b *Budget) release(n int64) {
	if b == nil {
		return
	}
	b.used.Add(-n)
	if b.account != nil {
		b.account.ChargeResponses(-n)
	}
}

// Charge is what one response has been charged. Its owner grows and releases it; it is
// passed from owner to owner, and not safe for concurrent use. A nil Charge is empty.
type Charge struct {
	budget  *Budget
	charged int64
}

// NewCharge returns an empty charge against a budget.
func (b *Budget) NewCharge() *Charge { return &Charge{budget: b} }

// Grow charges a response that has size bytes now. It reports false if the budget is
// spent. A nil Charge has no bound.
func (c *Charge) Grow(size int64) bool {
	for c != nil && c.charged+FreeBytes < size {
		if !c.budget.take(stepBytes) {
			return false
		}
		c.charged += stepBytes
	}
	return true
}

// Bytes returns the number of bytes charged.
func (c *Charge) Bytes() int64 {
	if c == nil {
		return 0
	}
	return c.charged
}

// Release returns what was charged.
func (c *Charge) Release() {
	if c == nil || c.charged == 0 {
		return
	}
	c.budget.release(c.charged)
	c.charged = 0
}
