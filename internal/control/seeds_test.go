package control_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/controlfleet"
)

// allKnown reports whether each running host considers all other running hosts
// alive.
func allKnown(f *controlfleet.Fleet) bool {
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

var _ = Describe("a fleet that starts from seeds", func() {
	It("discovers all hosts although two of three seeds are stale", func() {
		f := controlfleet.New(24, 3, 1)
		f.Seeds = []string{"10.9.9.1:7000", "10.9.9.2:7000", f.Hosts[0].Address}
		f.Platform.Publish(shape.Build(1, 0))
		f.StartAll(time.Second)
		Expect(f.Run(30*time.Second, func() bool { return allKnown(f) })).To(BeTrue())
	})

	It("discovers all hosts again after a partition of one hour, with the seed hosts stopped", func() {
		f := controlfleet.New(9, 3, 1)
		f.Platform.Publish(shape.Build(1, 0))
		f.StartAll(time.Second)
		f.Run(time.Minute, nil)
		for _, h := range f.Hosts[:len(f.Seeds)] {
			f.Crash(h)
		}
		f.Partitioned = isolate(controlfleet.DataCentreName(1))
		f.Run(time.Hour, nil)
		f.Partitioned = nil
		Expect(f.Run(time.Minute, func() bool { return allKnown(f) })).To(BeTrue())
	})
})
