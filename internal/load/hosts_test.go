package load

import (
	"context"
	"net"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/settings"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

var _ = ginkgo.Describe("embedded hosts", func() {
	// freeAddresses closes its listeners, so that another process can take an
	// address before the daemon listens on it.
	ginkgo.It("start with new addresses when one has been taken", func() {
		d, err := standin.NewDeployment(standin.DeploymentOptions{Services: []standin.ServiceShape{{Name: "s"}}})
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(d.Close)
		options := HostOptions{Platform: d.Platform.Address(), DataCentres: []string{"Ruwi"}, Hosts: 1}
		attempts := 0
		fleet, err := startWithRetry(context.Background(), func() ([]settings.Settings, error) {
			all, err := options.newSettings()
			if attempts++; err == nil && attempts == 1 {
				listener, err := net.Listen("tcp", all[0].PeerAddress)
				Expect(err).NotTo(HaveOccurred())
				ginkgo.DeferCleanup(listener.Close)
			}
			return all, err
		})
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(fleet.Close)
		Expect(attempts).To(Equal(2))
		Expect(fleet.Addresses).To(HaveLen(1))
	})
})
