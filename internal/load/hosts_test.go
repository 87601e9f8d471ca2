package load

import (
	"context"
	"net"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/platformapi"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

var _ = ginkgo.Describe("embedded hosts", func() {
	ginkgo.It("start anew when an address was taken meanwhile", func() {
		d, err := standin.NewDeployment(standin.DeploymentOptions{Services: []standin.ServiceShape{{Name: "s"}}})
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(d.Close)
		lists := 0
		fleet, err := StartHostsAt(context.Background(), HostOptions{
			Platform: d.Platform.Address(), DataCentres: []string{"Ruwi"}, Hosts: 1,
			List: func(hosts []platformapi.HostEntry) {
				if lists++; lists == 1 {
					thief, err := net.Listen("tcp", hosts[0].Address)
					Expect(err).NotTo(HaveOccurred())
					ginkgo.DeferCleanup(thief.Close)
				}
				d.Platform.SetHosts(hosts)
			},
		})
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(fleet.Close)
		Expect(lists).To(Equal(2))
		Expect(fleet.Addresses).To(HaveLen(1))
	})
})
