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
