package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/telemetry"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

var _ = Describe("a new view", func() {
	It("is not shown in the status before the coordinator uses it", func() {
		c := newClock()
		counters := telemetry.NewCounters()
		d := &Daemon{clock: c, control: newControlLoop(c, view.Host{}, nil, time.Second)}
		d.relay = newRelayLoop(c, counters)
		d.coordinator = newCoordinatorLoop(c, view.Incarnation{}, counters)
		d.view.Store(&view.View{})
		published := make(chan struct{})
		d.coordinator.withLock(func(time.Duration) {
			go func() {
				defer close(published)
				d.publishView(&view.View{Ready: true})
			}()
			Consistently(func() bool { return d.view.Load().Ready }).Should(BeFalse())
		})
		Eventually(published).Should(BeClosed())
		Expect(d.view.Load().Ready).To(BeTrue())
	})
})
