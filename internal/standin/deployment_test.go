package standin

import (
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/platformapi"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

type platformCase struct {
	faults  PlatformFaults
	status  int
	valid   bool
	torn    bool
	content config.Revision
}

var _ = Describe("deployment and platform", func() {
	newDeployment := func() *Deployment {
		d, err := NewDeployment(DeploymentOptions{
			Services:    []ServiceShape{{Name: service, Shards: 4, Replicas: 2}, {Name: "orders", NotRepeatable: true}},
			DataCentres: []string{"Ruwi", "Seeb"},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		return d
	}
	get := func(d *Deployment, path string) (int, []byte, error) {
		response, err := newClient().Get("http://" + d.Platform.Address() + path)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		return response.StatusCode, body, err
	}

	DescribeTable("serves the manifest in force or fails as told",
		func(c platformCase) {
			d := newDeployment()
			Expect(d.Publish()).To(Succeed())
			d.Platform.SetFaults(c.faults)
			status, body, err := get(d, platformapi.PathManifest)
			Expect(status).To(Equal(c.status))
			Expect(err != nil).To(Equal(c.torn))
			m, parseErr := config.ParseManifest(body)
			Expect(parseErr == nil).To(Equal(c.valid))
			if c.valid {
				Expect(m.Revision).To(Equal(c.content))
			}
		},
		Entry("newest", platformCase{status: 200, valid: true, content: 2}),
		Entry("stale", platformCase{faults: PlatformFaults{StaleRevision: 1}, status: 200, valid: true, content: 1}),
		Entry("slow", platformCase{faults: PlatformFaults{Slow: time.Millisecond}, status: 200, valid: true, content: 2}),
		Entry("unavailable", platformCase{faults: PlatformFaults{Unavailable: true}, status: 503}),
		Entry("flapping", platformCase{faults: PlatformFaults{Flap: true}, status: 503}),
		Entry("torn", platformCase{faults: PlatformFaults{Torn: true}, status: 200, torn: true}),
		Entry("oversized", platformCase{faults: PlatformFaults{Oversized: true}, status: 200}),
	)

	It("wakes a watch when a snapshot is published and drops the old one", func() {
		d := newDeployment()
		manifests := make(chan []byte, 1)
		go func() {
			defer GinkgoRecover()
			_, body, err := get(d, platformapi.PathWatch+"?after=1&wait_ms=60000")
			Expect(err).NotTo(HaveOccurred())
			manifests <- body
		}()
		Eventually(func() int64 { return d.Platform.Calls().Watch }).Should(Equal(int64(1)))
		Expect(d.PublishSnapshot(service, 1)).To(Equal(uint64(2)))
		var body []byte
		Eventually(manifests).Should(Receive(&body))
		m, err := config.ParseManifest(body)
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Revision).To(Equal(config.Revision(2)))
		for _, e := range d.Replicas(service, 0) {
			Expect(e.Held()).To(HaveLen(1))
			Expect(e.Held()[0].Snapshot).To(Equal(uint64(2)))
		}
		for _, ref := range m.Documents {
			_, document, err := get(d, platformapi.PathDocument+ref.Hash)
			Expect(err).NotTo(HaveOccurred())
			Expect(config.CheckDocument(ref, document)).To(Succeed())
		}
	})

	It("moves a shard before hosts can know of it", func() {
		d := newDeployment()
		old := d.Replicas(service, 0)[0]
		target := d.Replicas(service, 3)[0]
		Expect(d.MoveShard(service, 0, []string{target.ID()}, false)).To(Succeed())
		request := searchRequest("a")
		request.Snapshot = 1
		request.Range = keyrange.Split(4)[0]
		_, reply, err := post(newClient(), old, endpointapi.PathSearch, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Code).To(Equal(result.RangeNotHeld))
		_, reply, err = post(newClient(), target, endpointapi.PathSearch, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Code).To(BeZero())
		Expect(d.Revision()).To(Equal(config.Revision(1)))
	})
})
