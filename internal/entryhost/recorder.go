package entryhost

import (
	"github.com/rs/zerolog"

	"github.com/gypsumlug/gypsumlug/internal/gateway"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
)

// recorder counts what happens to requests and logs those that did not end well.
type recorder struct {
	log      zerolog.Logger
	counters *telemetry.Counters
}

// Answered implements gateway.Recorder.
func (r *recorder) Answered(e gateway.Ended) {
	r.counters.Code(telemetry.FamilyAnswers, e.Code)
	if e.Code.Class() == result.ClassComplete {
		return
	}
	line := r.log.Info().Str("request", e.RequestID).Str("route", e.Route).Int("code", int(e.Code)).Stringer("reason", e.Code).
		Dur("took_ms", e.Took).Dur("left_ms", e.Left).Int("shards", e.Shards).Int("covered", e.Covered).Int("attempts", e.Attempts).
		Uint64("version", e.Version).Dur("view_age_ms", e.ViewAge)
	for _, m := range e.Missing {
		line.Str("missing_"+m.Range.String(), m.Code.String())
	}
	line.Msg("answered")
}

// Attempt implements gateway.Recorder.
func (r *recorder) Attempt(code result.Code) { r.counters.Code(telemetry.FamilyAttempts, code) }

// Event implements gateway.Recorder.
func (r *recorder) Event(e query.Event) {
	switch e.Kind {
	case query.EventRetry:
		r.counters.Code(telemetry.FamilyRetries, e.Code)
	case query.EventHedge:
		r.counters.Inc(telemetry.Hedges)
	case query.EventHedgeDenied:
		r.counters.Inc(telemetry.HedgesDenied)
	case query.EventRetryDenied:
		r.counters.Inc(telemetry.RetriesDenied)
	case query.EventStray:
		r.counters.Inc(telemetry.StrayReplies)
	}
}

// Opened implements forward.Observer.
func (r *recorder) Opened(_ string, err error) {
	if err != nil {
		r.counters.Inc(telemetry.DialsFailed)
		return
	}
	r.counters.Inc(telemetry.Dials)
}
