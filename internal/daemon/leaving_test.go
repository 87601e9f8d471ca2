package daemon_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/api/admin"
	"github.com/gypsumlug/gypsumlug/internal/daemon"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

var _ = Describe("a leaving endpoint", func() {
	It("gets no work from any host 3 s after its first announcement, also with another fault", func() {
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
		Expect(t.failures).To(BeEmpty())
		Expect(len(t.submitResults)).To(BeNumerically(">", 100))
	})

	It("gets no work from hosts that learned of it only from another host", func() {
		c := newCluster(3, standin.ServiceShape{Name: "search", Shards: 2, Replicas: 2, Preference: "coverage"})
		for _, h := range c.hosts {
			Expect(sendQuery(h, "search", "warm").Code).To(Equal(result.Complete))
		}
		e := c.Replicas("search", 0)[0]
		e.SetFaults(standin.Faults{Leaving: true})
		Eventually(func() []string {
			sendQuery(c.hosts[0], "search", "gel")
			return leavingEndpoints(c.hosts[0])
		}, waitTimeout, "10ms").Should(ContainElement(e.ID()), "by a refusal, or by the probe of an idle connection")
		time.Sleep(standin.LeavingGrace)
		requestsBefore := e.Counts().Requests
		for range 20 {
			for _, h := range c.hosts {
				Expect(sendQuery(h, "search", "gel").Code).To(Equal(result.Complete))
			}
		}
		Expect(e.Counts().Requests).To(Equal(requestsBefore))
	})
})

// leavingEndpoints returns the IDs of the endpoints that are leaving according to a
// host's admin API.
func leavingEndpoints(h *daemon.Daemon) []string {
	GinkgoHelper()
	response, err := http.Get("http://" + h.AdminAddress() + admin.PathEndpoints)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var all admin.Endpoints
	Expect(json.NewDecoder(response.Body).Decode(&all)).To(Succeed())
	var out []string
	for _, e := range all.Endpoints {
		if slices.ContainsFunc(e.Out, func(o admin.Out) bool { return o.Code == int(result.EndpointLeaving) }) {
			out = append(out, e.ID)
		}
	}
	return out
}
