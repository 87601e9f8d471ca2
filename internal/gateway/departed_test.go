package gateway_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/gateway"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Guards against attempts for callers that have already left, in divided queries and
// in whole ones.
func TestDepartedCallerCausesNoAttempt(t *testing.T) {
	for name, hosts := range map[string]int{"divided": 24, "whole": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f, sender, all := newFleet(hosts, 100)
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				a := all[0].Serve(ctx, &gateway.Request{Message: dispatch.Message{ID: "q", Method: "GET", Host: "x", Target: "/"}, Path: "/"})
				synctest.Wait()
				g.Expect(a.Code).To(Equal(result.CallerGone))
				g.Expect(sender.sent).To(BeEmpty())
				g.Expect(f.requested).To(BeEmpty())
			})
		})
	}
}

// Guards against taking the queries of callers that left for failures of the replicas:
// the throttle would then refuse callers that are still there.
func TestDepartedCallersDoNotEngageThrottle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, sender, hosts := newFleet(24, 100)
		sender.refuse = func(string) bool { return true }
		// The parts that this host serves end at the target of 2 s; the others don't end
		// before the caller leaves.
		f.unresponsive = func(string) bool { return true }
		var queries sync.WaitGroup
		for range 20 {
			queries.Go(func() {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				time.AfterFunc(2500*time.Millisecond, cancel)
				hosts[0].Serve(ctx, &gateway.Request{Message: dispatch.Message{ID: "q", Method: "GET", Host: "x", Target: "/"}, Path: "/"})
			})
		}
		queries.Wait()
		synctest.Wait() // The parts end after their query.
		sender.refuse, f.unresponsive = nil, nil
		for range 20 {
			expectComplete(g, sendQuery(hosts[0]))
		}
	})
}
