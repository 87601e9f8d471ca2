package endpointhttp

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

// Guards against the delivery of a request, by the kernel, after its attempt was given
// up: the endpoint would work for a caller that has left.
func TestAbandonedRequestIsNotDeliveredLater(t *testing.T) {
	g := NewWithT(t)
	receiver := testsuite.NewStalledReceiver(t)
	c := New(Options{ProbeInterval: time.Hour, DialTimeout: waitTimeout, CancelGrace: time.Millisecond})
	defer c.Close()
	c.SetTarget(Target{Endpoint: "e", Address: receiver.Address, Max: 1})
	a := newAttempt("a", dispatch.Search, time.Minute)
	a.req.Body = strings.Repeat("x", testsuite.StalledMessageBytes)
	replies := make(chan dispatch.Reply, 1)
	c.Send(a.req, func(r dispatch.Reply) { replies <- r })
	g.Eventually(receiver.Arrived, waitTimeout).Should(BeClosed())
	a.cancel(c)
	g.Eventually(replies, waitTimeout).Should(Receive(HaveField("Code", result.Cancelled)))
	g.Expect(receiver.Resume()).To(BeNumerically("<", testsuite.StalledMessageBytes))
}
