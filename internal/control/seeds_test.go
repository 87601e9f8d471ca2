package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/controlfleet"
)

// acquainted tells whether each running host believes all others to be alive.
func acquainted(f *controlfleet.Fleet) bool {
	running := 0
	for _, h := range f.Hosts {
		if h.Alive {
			running++
		}
	}
	for _, h := range f.Hosts {
		if h.Alive && (h.View == nil || len(h.View.Hosts) != running-1) {
			return false
		}
	}
	return true
}

var _ = Describe("a fleet that knows only its seeds", func() {
	It("finds itself though two of three are stale", func() {
		f := controlfleet.New(24, 3, 1)
		f.Seeds = []string{"10.9.9.1:7000", "10.9.9.2:7000", f.Hosts[0].Address}
		f.Platform.Publish(shape.Build(1, 0))
		f.StartAll(time.Second)
		Expect(f.Run(30*time.Second, func() bool { return acquainted(f) })).To(BeTrue())
	})

	It("finds itself again after an hour in two parts, with its seeds gone", func() {
		f := controlfleet.New(9, 3, 1)
		f.Platform.Publish(shape.Build(1, 0))
		f.StartAll(time.Second)
		f.Run(time.Minute, nil)
		for _, h := range f.Hosts[:len(f.Seeds)] {
			f.Stop(h)
		}
		f.Cut = isolate(controlfleet.Centre(1))
		f.Run(time.Hour, nil)
		f.Cut = nil
		Expect(f.Run(time.Minute, func() bool { return acquainted(f) })).To(BeTrue())
	})
})
