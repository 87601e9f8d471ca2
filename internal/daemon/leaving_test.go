package daemon_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

var _ = Describe("a leaving endpoint", func() {
	It("gets no work from any host 3 s after the first sign, alone and with another fault", func() {
		c := newCluster(4, trafficShapes()...)
		t := startTraffic(c)
		var leaving []*standin.Endpoint
		for i, fault := range []standin.Faults{
			{Leaving: true},
			{Leaving: true, MisleadingLoad: true},
			{Leaving: true, ConnectCost: 100 * time.Millisecond},
			{Leaving: true, DuplicatePerMille: 1000},
		} {
			for _, service := range []string{"search", "order"} {
				e := c.Replicas(service, i)[0]
				e.SetFaults(fault)
				leaving = append(leaving, e)
			}
		}
		c.Platform.SetFaults(standin.PlatformFaults{Unavailable: true})
		time.Sleep(standin.LeavingGrace + 2*time.Second)
		t.stop()
		for _, e := range leaving {
			Expect(e.Counts().AfterLeaving).To(BeZero(), e.ID())
		}
		Expect(t.faults).To(BeEmpty())
		Expect(len(t.told)).To(BeNumerically(">", 100))
	})

	It("gets no work from hosts that heard of it from one other host alone", func() {
		c := newCluster(3, standin.ServiceShape{Name: "search", Shards: 2, Replicas: 2, Preference: "coverage"})
		for _, h := range c.hosts {
			Expect(ask(h, "search", "warm").Code).To(Equal(result.Complete))
		}
		e := c.Replicas("search", 0)[0]
		e.SetFaults(standin.Faults{Leaving: true})
		Eventually(func() int64 {
			ask(c.hosts[0], "search", "gel")
			return e.Counts().Refused[result.EndpointLeaving]
		}, patience).Should(BeNumerically(">", 0))
		time.Sleep(standin.LeavingGrace)
		before := e.Counts().Requests
		for range 20 {
			for _, h := range c.hosts {
				Expect(ask(h, "search", "gel").Code).To(Equal(result.Complete))
			}
		}
		Expect(e.Counts().Requests).To(Equal(before))
	})
})
