package gateway_test

import (
	"context"
	"testing"
	"testing/synctest"

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
