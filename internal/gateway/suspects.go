package gateway

import (
	"strings"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/quarantine"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	// maxSuspects bounds the number of suspect requests that are remembered.
	maxSuspects = 512
	// maxHintsPerHeartbeat bounds the number of suspects sent in one heartbeat.
	maxHintsPerHeartbeat = 3
)

// fingerprint identifies repeats of a request: same method, host, path and body.
// The query string may differ, and so may the address of the caller, since what
// crashes a replica is the content.
func fingerprint(m *dispatch.Message) view.Fingerprint {
	return quarantine.Fingerprint(m.Host+targetPath(m), m.Method+" "+string(m.Body))
}

// targetPath returns the message's target without its query.
func targetPath(m *dispatch.Message) string {
	path, _, _ := strings.Cut(m.Target, "?")
	return path
}

// SuspectHints returns the suspect requests to report to other hosts.
func (g *Gateway) SuspectHints() []peerwire.SuspectHint {
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	if g.shared.suspects.Len() == 0 {
		return nil
	}
	return g.shared.suspects.Hints(g.cfg.Now(), maxHintsPerHeartbeat)
}

// MergeSuspectHints merges the suspect requests that another host reported.
func (g *Gateway) MergeSuspectHints(hints []peerwire.SuspectHint) {
	for i := range hints {
		if degree, changed := g.shared.mergeHint(g.cfg.Now(), hints[i]); changed {
			g.cfg.Recorder.SuspectChanged(SuspectChange{Fingerprint: hints[i].Fingerprint, Degree: degree})
		}
	}
}

// recordCrashes records that replicas crashed while they had these attempts.
func (g *Gateway) recordCrashes(now time.Duration, blamed []*quarantine.Attempt) {
	for _, a := range blamed {
		m := a.Message
		fp := fingerprint(m)
		degree := g.shared.recordCrash(now, fp, a)
		g.cfg.Recorder.SuspectChanged(SuspectChange{
			Fingerprint: fp, Degree: degree, RequestID: m.ID, Replica: a.Endpoint,
			Host: m.Host, Path: targetPath(m), Caller: m.Caller, BodyBytes: len(m.Body),
		})
	}
}

func (s *sharedState) recordCrash(now time.Duration, fp view.Fingerprint, a *quarantine.Attempt) view.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordCrash(now, view.Crash{Endpoint: a.Endpoint, InFlight: []view.Fingerprint{fp}, Isolated: a.Isolated})
	return s.suspects.Degree(fp)
}

// requestCompleted records that a request completed, and no replica ended under it.
func (s *sharedState) requestCompleted(now time.Duration, m *dispatch.Message) {
	fp := fingerprint(m)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordCompletion(now, fp)
}

// clearSuspect records that a suspect request completed while it ran alone on a
// replica.
func (s *sharedState) clearSuspect(now time.Duration, m *dispatch.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordRecovery(now, []view.Fingerprint{fingerprint(m)})
}

// suspicion returns the current suspicion of a message.
func (s *sharedState) suspicion(now time.Duration, m *dispatch.Message) view.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspects.Len() == 0 {
		return view.NotSuspected
	}
	s.suspects.Tick(now)
	return s.suspects.Degree(fingerprint(m))
}

// mergeHint merges a hint from another host. It returns the suspicion of the
// request and whether the hint changed it.
func (s *sharedState) mergeHint(now time.Duration, h peerwire.SuspectHint) (degree view.Suspicion, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.suspects.Degree(h.Fingerprint)
	s.suspects.MergeHints(now, []peerwire.SuspectHint{h})
	degree = s.suspects.Degree(h.Fingerprint)
	return degree, degree != before
}
