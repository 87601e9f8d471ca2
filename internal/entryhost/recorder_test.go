package entryhost

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/gateway"
	"github.com/gypsumlug/gypsumlug/internal/quarantine"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Log lines about requests for unknown routes must not use up the limit of the lines
// about other requests.
func TestBadInputDoesNotExhaustLogLimit(t *testing.T) {
	g := NewWithT(t)
	log := &testsuite.SyncBuffer{}
	counters := telemetry.NewCounters()
	r := newRecorder(telemetry.NewLogger(log, "info"), counters, func() time.Duration { return 0 })
	ended := uint64(0)
	for range 200 {
		r.RequestEnded(gateway.RequestSummary{RequestID: "unknown", Code: result.NotFound})
		ended++
		g.Eventually(func() uint64 {
			return uint64(strings.Count(log.String(), "not-found")) + counters.Counter(telemetry.SummariesSkipped).Get()
		}, testTimeout, time.Millisecond).Should(Equal(ended))
	}
	r.RequestEnded(gateway.RequestSummary{RequestID: "late", Code: result.OutcomeUnknown})
	g.Eventually(log.String, testTimeout).Should(ContainSubstring("request=late"))
	g.Expect(counters.CodeCount(telemetry.FamilyAnswers, result.NotFound)).To(BeEquivalentTo(200))
}

// Parts of divided queries have their own metric and log message, and an answer records
// the latency of each stage.
func TestPartsAreCountedApartFromAnswers(t *testing.T) {
	g := NewWithT(t)
	log := &testsuite.SyncBuffer{}
	counters := telemetry.NewCounters()
	r := newRecorder(telemetry.NewLogger(log, "info"), counters, func() time.Duration { return 0 })
	r.RequestEnded(gateway.RequestSummary{RequestID: "a", Code: result.Partial, Part: true})
	r.RequestEnded(gateway.RequestSummary{
		RequestID: "b", Route: "r", Code: result.Partial,
		Steps:  []gateway.Step{{Kind: gateway.StepPart, Replica: "10.0.0.1:1", Shard: 3, Code: result.PeerUnreachable}},
		Stages: gateway.Stages{FirstReply: 20 * time.Millisecond, LastShard: 40 * time.Millisecond, Merge: time.Millisecond},
	})
	g.Eventually(log.String, testTimeout).Should(And(
		ContainSubstring(`message="part answered"`),
		ContainSubstring("by=10.0.0.1:1 code=340"),
		ContainSubstring("message=answered"),
	))
	g.Expect(counters.CodeCount(telemetry.FamilyParts, result.Partial)).To(BeEquivalentTo(1))
	g.Expect(counters.CodeCount(telemetry.FamilyAnswers, result.Partial)).To(BeEquivalentTo(1))
	var metrics bytes.Buffer
	counters.Write(&metrics)
	for _, stage := range []string{"waiting", "first_reply", "last_shard", "merge"} {
		g.Expect(metrics.String()).To(ContainSubstring(`gypsumlug_stage_seconds_count{route="r",stage="` + stage + `"} 1`))
	}
}

// The gauges show the current view, and 0 before there is one.
func TestViewGauges(t *testing.T) {
	g := NewWithT(t)
	s, err := ParseSettings([]byte(settingsText))
	g.Expect(err).NotTo(HaveOccurred())
	counters := telemetry.NewCounters()
	h, err := New(s, telemetry.NewLogger(&bytes.Buffer{}, "info"), counters)
	g.Expect(err).NotTo(HaveOccurred())
	text := func() string {
		var out bytes.Buffer
		counters.Write(&out)
		return out.String()
	}
	g.Expect(text()).To(ContainSubstring(telemetry.ConfigurationVersion + " 0\n"))
	config := &routing.Config{Version: 7}
	config.IndexRoutes()
	h.publish(routing.NewView(config, []*routing.Replica{{ID: "i", Service: "s", Address: "127.0.0.1:9"}}, h.now()), 1)
	g.Expect(text()).To(And(ContainSubstring(telemetry.ConfigurationVersion+" 7\n"), ContainSubstring(telemetry.ViewReplicas+" 1\n")))
}

// The line about a request that may crash replicas names what repeats of it have in
// common, unless another host told of it.
func TestSuspectLineNamesTheRequest(t *testing.T) {
	g := NewWithT(t)
	log := &testsuite.SyncBuffer{}
	r := newRecorder(telemetry.NewLogger(log, "info"), telemetry.NewCounters(), func() time.Duration { return 0 })
	r.SuspectChanged(gateway.SuspectChange{
		Fingerprint: 7, Degree: view.Suspected, Replica: "r1",
		Request: &quarantine.Request{ID: "a", Host: "x.example", Path: "/p/1", Caller: "100.64.0.7", BodyBytes: 12},
	})
	g.Expect(log.String()).To(And(
		ContainSubstring("to=x.example"), ContainSubstring("path=/p/1"), ContainSubstring("from=100.64.0.7"), ContainSubstring("body_bytes=12"),
	))
	r.SuspectChanged(gateway.SuspectChange{Fingerprint: 8, Degree: view.Suspected})
	g.Expect(strings.Count(log.String(), "from=")).To(Equal(1))
}
