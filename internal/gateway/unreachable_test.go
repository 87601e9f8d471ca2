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

// A host that cannot reach the replicas of too many shards refuses queries at
// once, without sending any of them, and serves again when it can.
func TestQueryThatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, queryThatCannotBeServedIsRefusedAtOnce)
}

func queryThatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	d := deployments[0]
	w := newWorld(1)
	host := d.start(w, d.view(w), 1)[0]
	ask := func(n int) gateway.Answer {
		return host.Serve(context.Background(), &gateway.Request{
			Message: dispatch.Message{ID: fmt.Sprint("q", n), Method: "GET", Host: "x", Target: "/index/a"}, Path: "/index/a",
		})
	}
	cut := func(t trouble) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for key := range w.service {
			if strings.HasPrefix(key, "s0") {
				w.troubles[key] = t
			}
		}
	}
	g.Expect(ask(0).Code).To(Equal(result.Complete))

	cut(trouble{cut: true})
	for n := 1; n < 20; n++ {
		ask(n)
		time.Sleep(50 * time.Millisecond)
	}
	synctest.Wait()
	arrived, began := len(w.arrivals), w.now()
	refused := ask(20)
	g.Expect(refused.Code).To(Equal(result.NoReplica))
	g.Expect(refused.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(w.arrivals).To(HaveLen(arrived))
	g.Expect(w.now()).To(Equal(began))

	cut(trouble{})
	time.Sleep(3 * time.Second)
	g.Expect(ask(21).Code).To(Equal(result.Complete))
}
