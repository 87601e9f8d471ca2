package entryhost

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/gateway"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
)

// logBuffer is a log that goroutines share.
type logBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.String()
}

// Requests for routes that do not exist take none of the lines of others.
func TestBadInputLeavesOthersTheirLines(t *testing.T) {
	g := NewWithT(t)
	log := &logBuffer{}
	counters := telemetry.NewCounters()
	r := newRecorder(telemetry.NewLogger(log, "info"), counters, func() time.Duration { return 0 })
	unknown := uint64(0)
	for range 200 {
		r.Answered(gateway.Ended{RequestID: "unknown", Code: result.NotFound})
		unknown++
		g.Eventually(func() uint64 {
			return uint64(strings.Count(log.String(), "not-found")) + counters.Counter(telemetry.StoriesSkipped).Get()
		}, patience, time.Millisecond).Should(Equal(unknown))
	}
	r.Answered(gateway.Ended{RequestID: "late", Code: result.OutcomeUnknown})
	g.Eventually(log.String, patience).Should(ContainSubstring("request=late"))
	g.Expect(counters.Value(telemetry.FamilyAnswers, result.NotFound)).To(BeEquivalentTo(200))
}
