package query_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// refill is a bench whose budgets are empty until a time; denied counts the
// hedges that were refused.
type refill struct {
	*bench
	after  time.Duration
	denied int
}

func (r *refill) TakeHedge(int) bool {
	if r.now >= r.after {
		return true
	}
	r.denied++
	return false
}

func (r *refill) TakeRetry(int) bool { return r.now >= r.after }

// run is bench.run with these budgets.
func (r *refill) run() *query.Answer {
	r.budgets = r
	return r.bench.run()
}

var _ = Describe("spent budgets", func() {
	const after = 60 * time.Millisecond

	It("hedges later when a hedge was denied", func() {
		r := &refill{bench: newBench(), after: after}
		r.behaviours["e1"] = silent
		Expect(r.run().Code).To(Equal(result.Complete))
		Expect(r.denied).To(BeNumerically(">", 0))
		Expect(r.answered).To(BeNumerically("<", after+4*replyTime+2*r.HedgeDelay(nil)))
	})

	It("retries at once what reached no endpoint", func() {
		r := &refill{bench: newBench(), after: time.Hour}
		r.behaviours["e1"] = refusing(result.ConnectFailed)
		Expect(r.run().Code).To(Equal(result.Complete))
		Expect(r.answered).To(Equal(2 * replyTime))
	})

	It("leaves out what endpoints refused", func() {
		r := &refill{bench: newBench(), after: time.Hour}
		r.behaviours["e1"] = refusing(result.EndpointShed)
		Expect(r.run().Code).To(Equal(result.Partial))
	})
})
