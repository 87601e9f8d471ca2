package quarantine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// prove records that a request crashed two endpoints.
func prove(t *Tracker, now time.Duration, fp view.Fingerprint) {
	t.MergeHints(now, []peerwire.SuspectHint{{Fingerprint: fp, Endpoints: []string{"a", "b"}, Proven: true, TTL: time.Hour}})
}

// Guards against crashing requests that other hosts are never told of, because more of them
// are known than fit into a heartbeat (review, case 3).
func TestHintsTakeTurns(t *testing.T) {
	g := NewWithT(t)
	const proven, perHeartbeat = 16, 3
	for _, suspects := range []int{0, 40} {
		tracker := New(testConfig(512))
		for fp := range view.Fingerprint(proven) {
			prove(tracker, 0, fp)
		}
		for n := range suspects {
			tracker.RecordCrash(0, crashOf("c", false, view.Fingerprint(1000+n)))
		}
		told := map[view.Fingerprint]int{}
		for range proven {
			for _, h := range tracker.Hints(0, perHeartbeat) {
				told[h.Fingerprint]++
			}
		}
		for fp := range view.Fingerprint(proven) {
			g.Expect(told[fp]).To(BeNumerically(">=", 2), "%d of %d", fp, suspects)
		}
		prove(tracker, 0, 99)
		g.Expect(tracker.Hints(0, perHeartbeat)[0].Fingerprint).To(BeEquivalentTo(99), "what is new comes first")
		g.Expect(tracker.AllHints(0)).To(HaveLen(proven + 1 + suspects))
	}
}
