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
	ginkgo.It("carries out the actions for endpoints before the next step begins", func() {
		l := newRelayLoop(newClock(), telemetry.NewCounters())
		l.endpoints = endpointhttp.New(endpointhttp.Options{})
		ginkgo.DeferCleanup(l.endpoints.Close)
		codes := make(chan result.Code, 1)
		nextTick := l.nextTickTime
		l.nextTickTime = func(now time.Duration) time.Duration { // Runs before the step unlocks the machine.
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
