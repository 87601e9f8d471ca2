package daemon_test

import (
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/api/admin"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/daemon"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

const crashing = "gel " + standin.CrashMarker

// degree returns what a host holds against the one crashing request, or "".
func degree(h *daemon.Daemon) string {
	GinkgoHelper()
	response, err := http.Get("http://" + h.AdminAddress() + admin.PathQuarantine)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var q admin.Quarantine
	Expect(json.NewDecoder(response.Body).Decode(&q)).To(Succeed())
	degrees := ""
	for _, r := range q.Requests {
		degrees = max(degrees, r.Degree)
	}
	return degrees
}

// askCrashing asks with a budget that is short, since a host that cares for
// coverage waits for a missing shard as long as it may.
func askCrashing(h *daemon.Daemon) api.QueryAnswer {
	GinkgoHelper()
	return post[api.QueryAnswer](h, api.PathQuery, api.QueryRequest{
		Service: "search", Caller: standin.DefaultCaller, Query: crashing, BudgetMS: 300,
	})
}

func (c *cluster) crashOnMarker() {
	for _, e := range c.Endpoints() {
		e.SetFaults(standin.Faults{CrashDuration: 200 * time.Millisecond})
	}
}

var _ = Describe("a request that crashes endpoints", func() {
	It("is quarantined on all hosts, and the requests of others recover", func() {
		c := newCluster(3, trafficShapes()...)
		c.crashOnMarker()
		t := startTraffic(c)
		for _, h := range c.hosts {
			Eventually(func() string {
				askCrashing(c.hosts[0])
				return degree(h)
			}, patience, "100ms").Should(Equal("quarantined"))
		}
		runs := c.Recorder.BodyRuns(crashing)
		for range 5 {
			for _, h := range c.hosts {
				a := askCrashing(h)
				Expect(a.Hits).To(BeEmpty())
				Expect(a.Code).To(BeElementOf(result.Quarantined, result.Partial), "%+v", a)
				for _, m := range a.Coverage.Missing {
					Expect(m.Code).To(Equal(result.MissingQuarantined))
				}
			}
		}
		Expect(c.Recorder.BodyRuns(crashing)).To(Equal(runs))
		for _, h := range c.hosts {
			Eventually(func() api.Code { return ask(h, "search", "gel").Code }, patience).Should(Equal(result.Complete))
		}
		t.stop()
		t.expectTruth(t.answered())
	})

	It("does not take down the last replica of a shard once it is known", func() {
		c := newCluster(3, standin.ServiceShape{Name: "search", Shards: 1, Replicas: 1, Preference: config.PreferCoverage})
		c.crashOnMarker()
		askCrashing(c.hosts[0])
		runs := c.Recorder.BodyRuns(crashing)
		Expect(runs).To(BeNumerically(">", 0))
		for _, h := range c.hosts {
			Eventually(func() string { return degree(h) }, patience, "20ms").Should(Equal("suspected"))
			Eventually(func() api.Code { return ask(h, "search", "gel").Code }, patience).Should(Equal(result.Complete))
		}
		for range 2 {
			for _, h := range c.hosts {
				a := askCrashing(h)
				Expect(a.Hits).To(BeEmpty())
				Expect(untrue("search", crashing, &a)).To(BeEmpty())
			}
		}
		Expect(c.Recorder.BodyRuns(crashing)).To(Equal(runs))
	})
})
