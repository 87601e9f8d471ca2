package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/gateway"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// stoppingRun is a host that stops while orders come at a steady rate.
type stoppingRun struct {
	sim     *replicaSimulator
	host    *gateway.Gateway
	mu      sync.Mutex
	running sync.WaitGroup
	answers map[string]gateway.Answer
}

// order sends an order of the given ID.
func (r *stoppingRun) order(id string) {
	r.running.Go(func() {
		a := r.host.Serve(context.Background(), &gateway.Request{Message: dispatch.Message{ID: id, Method: "POST", Host: "x", Target: "/order/a"}, Path: "/order/a"})
		r.mu.Lock()
		defer r.mu.Unlock()
		r.answers[id] = a
	})
}

// ranOrders returns the orders that reached a replica.
func (r *stoppingRun) ranOrders() map[string]bool {
	r.sim.mu.Lock()
	defer r.sim.mu.Unlock()
	out := map[string]bool{}
	for _, a := range r.sim.arrivals {
		out[a.request] = true
	}
	return out
}

// Guards against orders that are taken late in the grace period of a planned stop, run,
// and end with an outcome that their callers don't know: an order that can't end in time
// is refused at once, before it runs, and others are served until the end.
func TestOrdersThatCannotEndBeforeTheStopAreRefused(t *testing.T) {
	const grace, interval = 5200 * time.Millisecond, 20 * time.Millisecond
	for _, work := range []time.Duration{30 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second, 7 * time.Second} {
		t.Run(work.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := deployment{hosts: 1, dataCentres: 1, shards: 1, replicasPerShard: 3, attempts: 2, ratio: 0.2, slack: 100, target: 100 * time.Millisecond}
				run := &stoppingRun{sim: newReplicaSimulator(1), answers: map[string]gateway.Answer{}}
				view := d.view(run.sim)
				view.Config.Match("x", "/order/a").Timeout = 20 * time.Second
				run.host = d.startHosts(run.sim, view, 1)[0]
				for key := range view.Replicas {
					run.sim.behaviours[key] = behaviour{delay: work}
				}
				for n := range 20 {
					run.order(fmt.Sprint("earlier ", n))
				}
				run.running.Wait()

				stopAt := run.sim.now() + grace
				run.host.StopAt(stopAt)
				taken := 0
				for n := 0; run.sim.now() < stopAt; n++ {
					run.order(fmt.Sprint(n))
					time.Sleep(interval)
				}
				run.host.Stop()
				run.order("after the stop")
				run.running.Wait()
				ran := run.ranOrders()
				for id, a := range run.answers {
					switch {
					case a.Code == result.Complete:
						taken++
					case a.Code.Class() == result.ClassNotRun:
						g.Expect(ran[id]).To(BeFalse(), "order %s", id)
						g.Expect(a.RetryAfter).To(BeNumerically(">", 0))
						g.Expect(a.RetryAfter).To(BeNumerically("<", time.Second))
					default:
						t.Errorf("order %s ended with %s", id, a.Code)
					}
				}
				served := max(grace-work-100*time.Millisecond, 0)
				g.Expect(taken - 20).To(BeNumerically(">=", int(served/interval)))
				time.Sleep(drainTime)
			})
		})
	}
}

// Guards against orders that are taken late in the grace period on a route which has had no
// successful request on this host, and end with an outcome that their callers don't know:
// until one succeeds, the route is taken to need its target latency.
func TestOrdersOnUnusedRouteAreRefusedLateInTheGracePeriod(t *testing.T) {
	const target = time.Second
	for left, served := range map[time.Duration]bool{target + 100*time.Millisecond: true, target - 100*time.Millisecond: false} {
		t.Run(fmt.Sprint(left, " left"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := deployment{hosts: 1, dataCentres: 1, shards: 1, replicasPerShard: 3, attempts: 2, ratio: 0.2, slack: 100, target: target}
				run := &stoppingRun{sim: newReplicaSimulator(1), answers: map[string]gateway.Answer{}}
				view := d.view(run.sim)
				route := view.Config.Match("x", "/order/a")
				route.Timeout, route.Target = 20*time.Second, target
				run.host = d.startHosts(run.sim, view, 1)[0]
				for key := range view.Replicas {
					run.sim.behaviours[key] = behaviour{delay: target - 50*time.Millisecond}
				}
				run.host.StopAt(run.sim.now() + left)
				run.order("late")
				time.Sleep(left)
				run.host.Stop()
				run.running.Wait()
				g.Expect(run.answers["late"].Code == result.Complete).To(Equal(served))
				g.Expect(run.answers["late"].Code.Class()).NotTo(Equal(result.ClassUnknown))
				g.Expect(run.ranOrders()["late"]).To(Equal(served))
				time.Sleep(drainTime)
			})
		})
	}
}
