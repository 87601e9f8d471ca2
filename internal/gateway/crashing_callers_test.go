package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/gateway"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// maxCrashesOfOneRequest is the number of replicas of one service that a request
// may crash before it is withheld, if hints spread between repeats.
const maxCrashesOfOneRequest = 3

// A request that crashed three replicas by way of three hosts, before any of them heard of
// the others, is withheld by all hosts as soon as they hear of it.
func TestCrashesAtHostsThatDoNotKnowOfEachOtherAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deployments[3]
		c := &crashingSender{replicaSimulator: newReplicaSimulator(1), crashTarget: "/order/crash"}
		hosts := d.startHostsWithSender(c.replicaSimulator, d.view(c.replicaSimulator), 1, c)
		ended := map[string]bool{}
		for _, host := range hosts {
			if len(ended) < maxCrashesOfOneRequest {
				serveAndWait(host, c.crashTarget, "first")
				ended[c.crashed[len(c.crashed)-1]] = true
			}
		}
		g.Expect(ended).To(HaveLen(maxCrashesOfOneRequest), "replicas that ended")
		for range 2 {
			exchangeHints(hosts)
			time.Sleep(500 * time.Millisecond)
		}
		exchangeHints(hosts)
		before := c.crashes()
		for _, host := range hosts {
			g.Expect(serveAndWait(host, c.crashTarget, "again").Code).To(Equal(result.Quarantined))
		}
		g.Expect(c.crashes()).To(Equal(before))
	})
}

// A request that crashes replicas is withheld although each repeat has the address of
// another caller and arrives at another host.
func TestCrashingRequestFromManyAddressesIsWithheld(t *testing.T) {
	for _, path := range []string{"/order/crash", "/safe/crash"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := deployments[3]
				c := &crashingSender{replicaSimulator: newReplicaSimulator(1), crashTarget: path}
				hosts := d.startHostsWithSender(c.replicaSimulator, d.view(c.replicaSimulator), 1, c)
				var last gateway.Answer
				for n := range 20 {
					last = hosts[n%len(hosts)].Serve(context.Background(), &gateway.Request{
						Message: dispatch.Message{ID: fmt.Sprint(n), Method: "POST", Host: "x", Target: path, Body: []byte("b"), Caller: fmt.Sprintf("100.64.0.%d", n)},
						Path:    path, CallerTimeout: time.Second,
					})
					synctest.Wait()
					exchangeHints(hosts)
				}
				g.Expect(c.crashes()).To(BeNumerically("<=", maxCrashesOfOneRequest))
				g.Expect(last.Code).To(Equal(result.Quarantined))
			})
		})
	}
}
