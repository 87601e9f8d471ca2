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
	// maxSuspects bounds the requests that are recorded because of a crash.
	maxSuspects = 512
	// maxHints bounds the suspects that are told in one heartbeat.
	maxHints = 3
)

// fingerprint identifies a message that comes again: with the same method, host,
// path and body from the same caller. The query part of its target may differ.
func fingerprint(m *dispatch.Message) view.Fingerprint {
	path, _, _ := strings.Cut(m.Target, "?")
	return quarantine.Fingerprint(m.Host+path, m.Method+" "+m.Caller+" "+string(m.Body))
}

// SuspectHints returns what other hosts are told of the requests that may crash
// replicas.
func (g *Gateway) SuspectHints() []peerwire.SuspectHint {
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	if g.shared.suspects.Len() == 0 {
		return nil
	}
	return g.shared.suspects.Hints(g.cfg.Now(), maxHints)
}

// MergeSuspectHints takes what another host tells of such requests.
func (g *Gateway) MergeSuspectHints(hints []peerwire.SuspectHint) {
	for i := range hints {
		if degree, changed := g.shared.mergeHint(g.cfg.Now(), hints[i]); changed {
			g.cfg.Recorder.SuspectChanged(SuspectChange{Fingerprint: hints[i].Fingerprint, Degree: degree})
		}
	}
}

// replicaCrashed notes that a replica went away while it had an attempt.
func (g *Gateway) replicaCrashed(now time.Duration, m *dispatch.Message, req *dispatch.Request) {
	fp := fingerprint(m)
	degree := g.shared.recordCrash(now, fp, req)
	g.cfg.Recorder.SuspectChanged(SuspectChange{Fingerprint: fp, Degree: degree, RequestID: m.ID, Replica: req.Endpoint})
}

func (s *sharedState) recordCrash(now time.Duration, fp view.Fingerprint, req *dispatch.Request) view.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordCrash(now, view.Crash{Endpoint: req.Endpoint, InFlight: []view.Fingerprint{fp}, Isolated: req.Suspect})
	return s.suspects.Degree(fp)
}

// clearSuspect notes that a suspect ran to its end alone.
func (s *sharedState) clearSuspect(now time.Duration, m *dispatch.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordRecovery(now, []view.Fingerprint{fingerprint(m)})
}

// suspicion returns what is known of a message when it comes.
func (s *sharedState) suspicion(now time.Duration, m *dispatch.Message) view.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspects.Len() == 0 {
		return view.NotSuspected
	}
	s.suspects.Tick(now)
	return s.suspects.Degree(fingerprint(m))
}

// mergeHint takes a hint of another host, and tells whether that changed the
// suspicion of its request.
func (s *sharedState) mergeHint(now time.Duration, h peerwire.SuspectHint) (degree view.Suspicion, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.suspects.Degree(h.Fingerprint)
	s.suspects.MergeHints(now, []peerwire.SuspectHint{h})
	degree = s.suspects.Degree(h.Fingerprint)
	return degree, degree != before
}
