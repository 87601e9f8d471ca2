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

// stalledWriter is an io.Writer whose Write blocks until release is closed.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// When the reader of the log stops reading, Write must not block. The dropped lines
// must be counted, and their number logged once the reader continues.
func TestStalledLogDoesNotBlockWriters(t *testing.T) {
	g := NewWithT(t)
	counters := telemetry.NewCounters()
	sink := &stalledWriter{release: make(chan struct{})}
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
