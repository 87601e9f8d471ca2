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
)

// Budget is the memory for responses, in bytes. It is safe for concurrent use. A nil
// Budget has no bound.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of the given size in bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes that are charged now.
func (b *Budget) Used() int64 { return b.used.Load() }

// take charges n bytes, unless the budget is spent.
func (b *Budget) take(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
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
	if c.budget != nil {
		c.budget.used.Add(-c.charged)
	}
	c.charged = 0
}
