package telemetry_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/telemetry"
)

// stalled blocks its writer until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// A reader of the log that stops reading blocks nobody; what it missed is counted
// and said once it reads again.
func TestStalledLogBlocksNobody(t *testing.T) {
	g := NewWithT(t)
	counters := telemetry.NewCounters()
	sink := &stalled{release: make(chan struct{})}
	w := telemetry.NewWriter(sink, counters.Counter(telemetry.LinesDropped))
	const lines = 5000
	for range lines {
		n, err := w.Write([]byte("message=x\n"))
		g.Expect(n).To(Equal(10))
		g.Expect(err).NotTo(HaveOccurred())
	}
	dropped := counters.Counter(telemetry.LinesDropped).Get()
	g.Expect(dropped).To(BeNumerically(">", 0))
	close(sink.release)
	w.Close(10 * time.Second)
	written := strings.Count(sink.out.String(), "message=x\n")
	g.Expect(written + int(dropped)).To(Equal(lines))
	g.Expect(sink.out.String()).To(ContainSubstring("log lines dropped"))
}
