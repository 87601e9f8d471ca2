package daemon

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/control"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

var _ = Describe("a pause that the control goroutine has not noticed yet", func() {
	It("makes the host not ready although the view from before it says ready", func() {
		c := newClock()
		d := &Daemon{clock: c, control: newControlLoop(c, view.Host{}, nil, time.Second)}
		d.control.publishView = d.view.Store
		d.control.step(func(time.Duration) control.Actions { return control.Actions{View: &view.View{Ready: true}} })
		Expect(d.Status().Ready).To(BeTrue())

		d.clock.start = c.start.Add(-control.PauseThreshold - time.Millisecond)

		status := d.Status()
		Expect(status.Ready).To(BeFalse())
		Expect(status.Code).To(Equal(result.StaleBelief))
	})
})
