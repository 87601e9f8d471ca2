package bodymemory_test

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/bodymemory"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

// The charges of all responses never exceed the budget, whatever their sizes and ends, and
// nothing is left once all have been released. A response of up to FreeBytes is never
// given up.
func TestChargesStayWithinBudget(t *testing.T) {
	testsuite.Check(t, func(t *rapid.T) {
		limit := int64(rapid.IntRange(0, 1<<20).Draw(t, "limit"))
		budget := bodymemory.NewBudget(limit)
		var charges []*bodymemory.Charge
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				charges = append(charges, budget.NewCharge())
			case 1:
				if len(charges) == 0 {
					continue
				}
				size := int64(rapid.IntRange(0, 400_000).Draw(t, "size"))
				if !rapid.SampledFrom(charges).Draw(t, "charge").Grow(size) && size <= bodymemory.FreeBytes {
					t.Fatalf("response of %d bytes given up", size)
				}
			case 2:
				if len(charges) > 0 {
					charges[0].Release()
					charges = charges[1:]
				}
			}
			if budget.Used() > limit {
				t.Fatalf("%d of %d bytes charged", budget.Used(), limit)
			}
		}
		for _, c := range charges {
			c.Release()
			c.Release()
		}
		if budget.Used() != 0 {
			t.Fatalf("%d bytes left", budget.Used())
		}
	})
}

// A charge is released once, whether it is held before or after the request has ended, by
// any number of attempts.
func TestHolderReleasesEachCharge(t *testing.T) {
	g := NewWithT(t)
	budget := bodymemory.NewBudget(1 << 30)
	var h bodymemory.Holder
	var attempts sync.WaitGroup
	for n := range 50 {
		attempts.Go(func() {
			c := budget.NewCharge()
			c.Grow(100_000)
			h.Hold(c)
		})
		if n == 25 {
			attempts.Go(h.Release)
		}
	}
	attempts.Wait()
	g.Expect(budget.Used()).To(BeZero())
	(*bodymemory.Holder)(nil).Release()
}
