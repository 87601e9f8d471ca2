package standin

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/configstore"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/platform"
)

// platformCase is a set of platform faults and what a reader gets under them.
type platformCase struct {
	faults                              PlatformFaults
	readFails, oversized, validManifest bool
	// revision is the revision of a valid manifest.
	revision config.Revision
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
	// newReader returns a client that reads the configuration like a host.
	newReader := func(d *Deployment) platform.ConfigStore {
		store := platform.NewStore(d.Platform.Address(), func() time.Duration { return 0 }, nil)
		DeferCleanup(platform.NewConfigStore(store).Close)
		return platform.NewConfigStore(store)
	}

	DescribeTable("serves the newest manifest or injects the selected fault",
		func(c platformCase) {
			d := newDeployment()
			Expect(d.Publish()).To(Succeed())
			d.Platform.SetFaults(c.faults)
			value, err := newReader(d).Value(context.Background(), configstore.ManifestName)
			Expect(err != nil).To(Equal(c.readFails))
			Expect(len(value.Data) > config.MaxValueBytes).To(Equal(c.oversized))
			m, parseErr := config.ParseManifest(value.Data)
			Expect(parseErr == nil).To(Equal(c.validManifest))
			if c.validManifest {
				Expect(m.Revision).To(Equal(c.revision))
			}
		},
		Entry("newest", platformCase{validManifest: true, revision: 2}),
		Entry("stale", platformCase{faults: PlatformFaults{StaleRevision: 1}, validManifest: true, revision: 1}),
		Entry("slow", platformCase{faults: PlatformFaults{Slow: time.Millisecond}, validManifest: true, revision: 2}),
		Entry("unavailable", platformCase{faults: PlatformFaults{Unavailable: true}, readFails: true}),
		Entry("flapping", platformCase{faults: PlatformFaults{Flap: true}, readFails: true}),
		Entry("torn", platformCase{faults: PlatformFaults{Torn: true}, readFails: true}),
		Entry("oversized", platformCase{faults: PlatformFaults{Oversized: true}, oversized: true}),
	)

	It("completes a watch when a snapshot is published and removes the old one", func() {
		d := newDeployment()
		store := newReader(d)
		current, err := store.Value(context.Background(), configstore.ManifestName)
		Expect(err).NotTo(HaveOccurred())
		manifests := make(chan []byte, 1)
		go func() {
			defer GinkgoRecover()
			value, err := store.Await(context.Background(), configstore.ManifestName, current.Version, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			manifests <- value.Data
		}()
		Eventually(func() int { return d.Platform.Calls().Watch }).Should(Equal(1))
		Expect(d.PublishSnapshot(service, 1)).To(Equal(uint64(2)))
		var body []byte
		Eventually(manifests).Should(Receive(&body))
		m, err := config.ParseManifest(body)
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Revision).To(Equal(config.Revision(2)))
		for _, e := range d.Replicas(service, 0) {
			Expect(e.HeldSnapshots()).To(HaveLen(1))
			Expect(e.HeldSnapshots()[0].Snapshot).To(Equal(uint64(2)))
		}
		for _, ref := range m.Documents {
			document, err := store.Value(context.Background(), configstore.DocumentPrefix+ref.Hash)
			Expect(err).NotTo(HaveOccurred())
			Expect(config.CheckDocument(ref, document.Data)).To(Succeed())
		}
	})

	It("moves a shard without publishing a revision", func() {
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
