package gateway_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/gateway"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// A host refuses a query immediately, and sends no attempts, when the replicas
// of too many shards are unreachable. It serves queries again once they are
// reachable.
func TestUnservableQueryIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, testUnservableQueryIsRefusedImmediately)
}

func testUnservableQueryIsRefusedImmediately(t *testing.T) {
	g := NewWithT(t)
	d := deployments[0]
	sim := newReplicaSimulator(1)
	host := d.startHosts(sim, d.view(sim), 1)[0]
	sendQuery := func(n int) gateway.Answer {
		return host.Serve(context.Background(), &gateway.Request{
			Message: dispatch.Message{ID: fmt.Sprint("q", n), Method: "GET", Host: "x", Target: "/index/a"}, Path: "/index/a",
		})
	}
	// partition sets the behaviour of the replicas of the first ten shards. The
	// zero behaviour ends a partition.
	partition := func(b behaviour) {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		for key := range sim.serviceByReplica {
			if strings.HasPrefix(key, "s0") {
				sim.behaviours[key] = b
			}
		}
	}
	g.Expect(sendQuery(0).Code).To(Equal(result.Complete))

	partition(behaviour{partition: true})
	for n := 1; n < 20; n++ {
		sendQuery(n)
		time.Sleep(50 * time.Millisecond)
	}
	synctest.Wait()
	arrivalsBefore, startedAt := len(sim.arrivals), sim.now()
	refused := sendQuery(20)
	g.Expect(refused.Code).To(Equal(result.NoReplica))
	g.Expect(refused.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(sim.arrivals).To(HaveLen(arrivalsBefore))
	g.Expect(sim.now()).To(Equal(startedAt))

	partition(behaviour{})
	time.Sleep(3 * time.Second)
	g.Expect(sendQuery(21).Code).To(Equal(result.Complete))
}
