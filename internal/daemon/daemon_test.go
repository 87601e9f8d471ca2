package daemon_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

var _ = Describe("hosts", func() {
	It("answer a query completely, from one snapshot", func() {
		c := newCluster(3, standin.ServiceShape{Name: "search", Shards: 8, Replicas: 2})
		for _, h := range c.hosts {
			a := sendQuery(h, "search", "gel")
			want, _ := standin.ExpectedHits("search", 1, keyrange.All(), "gel", 2000)
			Expect(a.Code).To(Equal(result.Complete), "%+v", a.Coverage)
			Expect(a.Hits).To(Equal(want))
		}
	})

	It("run a submit once and replay its outcome through any host", func() {
		c := newCluster(3, standin.ServiceShape{Name: "order", Shards: 2, Replicas: 2, NotRepeatable: true})
		p := postJSON[api.PermitAnswer](c.hosts[0], api.PathPermit, api.PermitRequest{Service: "order", Caller: standin.DefaultCaller})
		Expect(p.Code).To(Equal(result.PermitIssued), "%+v", p)
		s := api.SubmitRequest{Service: "order", Caller: standin.DefaultCaller, Permit: p.Permits[0], Body: "one carton"}
		first := postJSON[api.SubmitAnswer](c.hosts[1], api.PathSubmit, s)
		Expect(first.Code).To(Equal(result.Done), "%+v", first)
		for _, h := range c.hosts {
			again := postJSON[api.SubmitAnswer](h, api.PathSubmit, s)
			Expect(again.Replayed).To(BeTrue(), "%+v", again)
			Expect(again.Outcome).To(Equal(first.Outcome))
		}
		Expect(c.Recorder.BodyRuns("one carton")).To(Equal(1))
	})
})
