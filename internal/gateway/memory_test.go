package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/bodymemory"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/gateway"
)

// largeResponses is a sender whose responses are charged as large ones.
type largeResponses struct {
	*replicaSimulator
	budget *bodymemory.Budget
}

func (s *largeResponses) Send(req dispatch.Request, done func(dispatch.Reply)) {
	s.replicaSimulator.Send(req, func(r dispatch.Reply) {
		charge := s.budget.NewCharge()
		charge.Grow(100_000)
		r.Charge = charge
		done(r)
	})
}

// Guards against memory that stays charged, so that in time all large responses are given
// up: each charge is released once its answer was written, whichever replies came late,
// twice or as failures, on whole, divided and single requests, and of callers that left.
func TestMemoryOfResponsesIsReleased(t *testing.T) {
	d := deployment{hosts: 2, dataCentres: 1, shards: 12, replicasPerShard: 2, attempts: 2, ratio: 1, slack: 1000, target: 50 * time.Millisecond}
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			sim := newReplicaSimulator(seed)
			sender := &largeResponses{sim, bodymemory.NewBudget(1 << 40)}
			hosts := d.startHostsWithSender(sim, d.view(sim), seed, sender)
			var running sync.WaitGroup
			var mu sync.Mutex
			var answers []gateway.Answer
			for n := range 300 {
				sim.randomizeBehaviours()
				path := []string{"/index/a", "/safe/b", "/order/c"}[n%3]
				running.Go(func() {
					ctx, leave := context.WithCancel(context.Background())
					defer leave()
					if n%10 == 0 {
						time.AfterFunc(10*time.Millisecond, leave)
					}
					a := hosts[n%2].Serve(ctx, &gateway.Request{Message: dispatch.Message{ID: fmt.Sprint(n), Method: "GET", Host: "x", Target: path}, Path: path})
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
				})
				time.Sleep(5 * time.Millisecond)
			}
			running.Wait()
			time.Sleep(drainTime)
			g.Expect(sender.budget.Used()).To(BeNumerically(">", 0), "answers that are not yet written")
			for _, a := range answers {
				a.Release()
			}
			g.Expect(sender.budget.Used()).To(BeZero())
		})
	}
}
