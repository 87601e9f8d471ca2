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

// describe returns the description of a message for the quarantine. Repeats of a
// request have the same method, host, path and body. The query string may differ, and
// so may the address of the caller, since what crashes a replica is the content.
func describe(m *dispatch.Message) *quarantine.Request {
	path, _, _ := strings.Cut(m.Target, "?")
	return &quarantine.Request{
		Fingerprint: quarantine.Fingerprint(m.Host+path, m.Method+" "+string(m.Body)),
		ID:          m.ID, Host: m.Host, Path: path, Caller: m.Caller, BodyBytes: len(m.Body),
	}
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
		degree := g.shared.recordCrash(now, a)
		g.cfg.Recorder.SuspectChanged(SuspectChange{Fingerprint: a.Request.Fingerprint, Degree: degree, Request: a.Request, Replica: a.Endpoint})
	}
}

func (s *sharedState) recordCrash(now time.Duration, a *quarantine.Attempt) view.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	fp := a.Request.Fingerprint
	s.suspects.RecordCrash(now, view.Crash{Endpoint: a.Endpoint, InFlight: []view.Fingerprint{fp}, Isolated: a.Isolated})
	return s.suspects.Degree(fp)
}

// requestCompleted records that a request completed, and no replica ended under it.
func (s *sharedState) requestCompleted(now time.Duration, r *quarantine.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordCompletion(now, r.Fingerprint)
}

// clearSuspect records that a suspect request completed while it ran alone on a
// replica.
func (s *sharedState) clearSuspect(now time.Duration, r *quarantine.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordRecovery(now, []view.Fingerprint{r.Fingerprint})
}

// suspicion returns the current suspicion of a request.
func (s *sharedState) suspicion(now time.Duration, r *quarantine.Request) view.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspects.Len() == 0 {
		return view.NotSuspected
	}
	s.suspects.Tick(now)
	return s.suspects.Degree(r.Fingerprint)
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
