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

const crashingQuery = "gel " + standin.CrashMarker

// suspicionDegree returns the degree of suspicion, by a host's admin API, of the one
// request that crashes endpoints, or "" if the host doesn't suspect it.
func suspicionDegree(h *daemon.Daemon) string {
	GinkgoHelper()
	response, err := http.Get("http://" + h.AdminAddress() + admin.PathQuarantine)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var q admin.Quarantine
	Expect(json.NewDecoder(response.Body).Decode(&q)).To(Succeed())
	degree := ""
	for _, r := range q.Requests {
		degree = max(degree, r.Degree)
	}
	return degree
}

// sendCrashingQuery sends the query that crashes endpoints. Its budget is short
// because a host that prefers coverage waits for a missing shard until the budget
// ends.
func sendCrashingQuery(h *daemon.Daemon) api.QueryAnswer {
	GinkgoHelper()
	return postJSON[api.QueryAnswer](h, api.PathQuery, api.QueryRequest{
		Service: "search", Caller: standin.DefaultCaller, Query: crashingQuery, BudgetMS: 300,
	})
}

// crashOnMarker makes every endpoint crash for 200 ms when it gets crashingQuery.
func (c *cluster) crashOnMarker() {
	for _, e := range c.Endpoints() {
		e.SetFaults(standin.Faults{CrashFor: 200 * time.Millisecond})
	}
}

var _ = Describe("a request that crashes endpoints", func() {
	It("is quarantined on all hosts, and other requests succeed again", func() {
		c := newCluster(3, trafficShapes()...)
		c.crashOnMarker()
		t := startTraffic(c)
		for _, h := range c.hosts {
			Eventually(func() string {
				sendCrashingQuery(c.hosts[0])
				return suspicionDegree(h)
			}, waitTimeout, "100ms").Should(Equal("quarantined"))
		}
		runs := c.Recorder.BodyRuns(crashingQuery)
		for range 5 {
			for _, h := range c.hosts {
				a := sendCrashingQuery(h)
				Expect(a.Hits).To(BeEmpty())
				Expect(a.Code).To(BeElementOf(result.Quarantined, result.Partial), "%+v", a)
				for _, m := range a.Coverage.Missing {
					Expect(m.Code).To(Equal(result.MissingQuarantined))
				}
			}
		}
		Expect(c.Recorder.BodyRuns(crashingQuery)).To(Equal(runs))
		for _, h := range c.hosts {
			Eventually(func() api.Code { return sendQuery(h, "search", "gel").Code }, waitTimeout).Should(Equal(result.Complete))
		}
		t.stop()
		t.expectConsistentResults(t.results())
	})

	It("does not crash the last replica of a shard again once it is suspected", func() {
		c := newCluster(3, standin.ServiceShape{Name: "search", Shards: 1, Replicas: 1, Preference: config.PreferCoverage})
		c.crashOnMarker()
		sendCrashingQuery(c.hosts[0])
		runs := c.Recorder.BodyRuns(crashingQuery)
		Expect(runs).To(BeNumerically(">", 0))
		for _, h := range c.hosts {
			Eventually(func() string { return suspicionDegree(h) }, waitTimeout, "20ms").Should(Equal("suspected"))
			Eventually(func() api.Code { return sendQuery(h, "search", "gel").Code }, waitTimeout).Should(Equal(result.Complete))
		}
		for range 2 {
			for _, h := range c.hosts {
				a := sendCrashingQuery(h)
				Expect(a.Hits).To(BeEmpty())
				Expect(findMismatch("search", crashingQuery, &a)).To(BeEmpty())
			}
		}
		Expect(c.Recorder.BodyRuns(crashingQuery)).To(Equal(runs))
	})
})
