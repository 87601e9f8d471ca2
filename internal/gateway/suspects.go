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

// replicaCrashed records that a replica crashed while it had an attempt of the
// request.
func (g *Gateway) replicaCrashed(now time.Duration, m *dispatch.Message, req *dispatch.Request) {
	fp := fingerprint(m)
	degree := g.shared.recordCrash(now, fp, req)
	g.cfg.Recorder.SuspectChanged(SuspectChange{
		Fingerprint: fp, Degree: degree, RequestID: m.ID, Replica: req.Endpoint,
		Host: m.Host, Path: targetPath(m), Caller: m.Caller, BodyBytes: len(m.Body),
	})
}

func (s *sharedState) recordCrash(now time.Duration, fp view.Fingerprint, req *dispatch.Request) view.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordCrash(now, view.Crash{Endpoint: req.Endpoint, InFlight: []view.Fingerprint{fp}, Isolated: req.Suspect})
	return s.suspects.Degree(fp)
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
