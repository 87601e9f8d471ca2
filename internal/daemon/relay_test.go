package daemon

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpointhttp"
	"github.com/gypsumlug/gypsumlug/internal/relay"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
)

var _ = ginkgo.Describe("the relay loop", func() {
	ginkgo.It("tells the endpoints of a step before the next one begins", func() {
		l := newRelayLoop(newClock(), telemetry.NewCounters())
		l.endpoints = endpointhttp.New(endpointhttp.Options{})
		ginkgo.DeferCleanup(l.endpoints.Close)
		codes := make(chan result.Code, 1)
		nextTick := l.next
		l.next = func(now time.Duration) time.Duration { // runs before the step lets go of the machine
			probe := dispatch.Request{Key: dispatch.Key{Request: "q", Attempt: 1}, Endpoint: "e"}
			l.endpoints.Send(probe, func(r dispatch.Reply) { codes <- r.Code })
			return nextTick(now)
		}
		l.step(func(time.Duration) relay.Actions {
			return relay.Actions{Connections: []relay.ConnectionTarget{{Endpoint: "e", Address: "127.0.0.1:1", Max: 1}}}
		})
		Eventually(codes).WithTimeout(20 * time.Second).Should(Receive(Not(Equal(result.UnknownEndpoint))))
	})
})
