package daemon

import (
	"net"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpointhttp"
	"github.com/gypsumlug/gypsumlug/internal/relay"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
	"github.com/gypsumlug/gypsumlug/internal/view"
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

	ginkgo.It("ends the searches of a peer whose connection is lost", func() {
		l := newRelayLoop(newClock(), telemetry.NewCounters())
		l.endpoints = endpointhttp.New(endpointhttp.Options{})
		ginkgo.DeferCleanup(l.endpoints.Close)
		l.deliverReplies = func(string, []dispatch.Reply) {}
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(silent.Close)
		l.setView(&view.View{
			Bundle: testsuite.NewBundle(ginkgo.GinkgoTB(), []config.Service{testsuite.NewService("desk")}, map[string][]config.Endpoint{
				"desk": {{ID: "e0", Address: silent.Addr().String(), Slots: 1, MaxConnections: 1}},
			}),
			Self:   view.Host{Incarnation: view.Incarnation{Address: "self"}},
			Relays: map[string][]string{"e0": {"self"}}, ConnectionShares: map[string]int{"e0": 1},
		})
		l.dispatch("peer", []dispatch.Request{
			{Key: dispatch.Key{Request: "running", Attempt: 1}, Endpoint: "e0", Service: "desk", Budget: time.Hour},
			{Key: dispatch.Key{Request: "waiting", Attempt: 1}, Endpoint: "e0", Service: "desk", Budget: time.Hour},
		})
		Expect(l.idle()).To(BeFalse())
		peerHandler{&Daemon{relay: l}}.ConnectionLost("peer")
		Eventually(l.idle).WithTimeout(20 * time.Second).Should(BeTrue())
	})
})
