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

// Suspects returns what other hosts are told of the requests that may crash
// replicas.
func (g *Gateway) Suspects() []peerwire.SuspectHint {
	g.beliefs.mu.Lock()
	defer g.beliefs.mu.Unlock()
	if g.beliefs.suspects.Len() == 0 {
		return nil
	}
	return g.beliefs.suspects.Hints(g.cfg.Now(), maxHints)
}

// TakeSuspects takes what another host tells of such requests.
func (g *Gateway) TakeSuspects(hints []peerwire.SuspectHint) {
	for i := range hints {
		if degree, changed := g.beliefs.takeHint(g.cfg.Now(), hints[i]); changed {
			g.cfg.Recorder.Suspect(Suspect{Fingerprint: hints[i].Fingerprint, Degree: degree})
		}
	}
}

// crashed notes that a replica went away while it had an attempt.
func (g *Gateway) crashed(now time.Duration, m *dispatch.Message, req *dispatch.Request) {
	fp := fingerprint(m)
	degree := g.beliefs.crashed(now, fp, req)
	g.cfg.Recorder.Suspect(Suspect{Fingerprint: fp, Degree: degree, RequestID: m.ID, Replica: req.Endpoint})
}

func (b *beliefs) crashed(now time.Duration, fp view.Fingerprint, req *dispatch.Request) view.Suspicion {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.RecordCrash(now, view.Crash{Endpoint: req.Endpoint, InFlight: []view.Fingerprint{fp}, Alone: req.Suspect})
	return b.suspects.Degree(fp)
}

// cleared notes that a suspect ran to its end alone.
func (b *beliefs) cleared(now time.Duration, m *dispatch.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.RecordRecovery(now, []view.Fingerprint{fingerprint(m)})
}

// suspicion returns what is known of a message when it comes.
func (b *beliefs) suspicion(now time.Duration, m *dispatch.Message) view.Suspicion {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspects.Len() == 0 {
		return view.Innocent
	}
	b.suspects.Tick(now)
	return b.suspects.Degree(fingerprint(m))
}

// takeHint takes a hint of another host, and tells whether that changed the
// suspicion of its request.
func (b *beliefs) takeHint(now time.Duration, h peerwire.SuspectHint) (degree view.Suspicion, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.suspects.Degree(h.Fingerprint)
	b.suspects.MergeHints(now, []peerwire.SuspectHint{h})
	degree = b.suspects.Degree(h.Fingerprint)
	return degree, degree != before
}
