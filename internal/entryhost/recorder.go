package entryhost

import (
	"hash/fnv"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/gypsumlug/gypsumlug/internal/callerconn"
	"github.com/gypsumlug/gypsumlug/internal/gateway"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
)

// Log messages about a request.
const (
	eventAnswered = "answered"
	eventPart     = "part answered"
	eventStep     = "step"
	eventSuspect  = "request may crash replicas"
	eventLimit    = "rate limit of replica changed"
	eventLeaving  = "replica leaves"
	eventPause    = "replica wants a pause"
	eventCaller   = "caller outside the limits"
	eventOverload = "queries are refused for lack of capacity"
	eventRelief   = "all queries are admitted again"
)

// eventBelief is the value of the field event on log lines about a change in what the
// host assumes, such as a request that may crash replicas.
const eventBelief = "belief"

// eventLoad is that value on log lines about a decision under load.
const eventLoad = "load"

const (
	// summaryLinesPerSecond and summaryLineBurst limit the rate and the burst of the
	// log lines about requests. Summaries that are not logged are counted.
	summaryLinesPerSecond = 25
	summaryLineBurst      = 60
	// inputLinesPerSecond and inputLineBurst limit the log lines about requests with
	// invalid input, and separately those about suspects, so that these lines do not
	// use up the limit of the others.
	inputLinesPerSecond = 2
	inputLineBurst      = 10
	// maxLoggedSteps limits the steps that are logged for one request; only the last
	// steps are logged.
	maxLoggedSteps = 8
	// summaryQueueLength limits the summaries that are queued for logging.
	summaryQueueLength = 32
	// sampleEvery is the sampling divisor: one in this many ordinary requests is
	// logged. Sampling hashes the request ID, so that all hosts select the same
	// requests.
	sampleEvery = 256
)

// recorder counts the events of requests. It logs the summaries and steps of requests
// that were refused, failed, partial or late, and of a sample of the others.
type recorder struct {
	log      zerolog.Logger
	counters *telemetry.Counters
	now      func() time.Duration

	// summaries is read by a separate goroutine, so that answers do not wait for the
	// log.
	summaries chan gateway.RequestSummary

	// ordinaryLines and inputLines are used only by that goroutine.
	ordinaryLines, inputLines lineLimiter

	// mu guards the fields below.
	mu                       sync.Mutex
	suspectLines, limitLines lineLimiter
	callerLines              lineLimiter
}

func newRecorder(log zerolog.Logger, counters *telemetry.Counters, now func() time.Duration) *recorder {
	r := &recorder{log: log, counters: counters, now: now, summaries: make(chan gateway.RequestSummary, summaryQueueLength)}
	r.ordinaryLines = lineLimiter{perSecond: summaryLinesPerSecond, burst: summaryLineBurst, tokens: summaryLineBurst}
	r.inputLines = lineLimiter{perSecond: inputLinesPerSecond, burst: inputLineBurst, tokens: inputLineBurst}
	r.suspectLines = lineLimiter{perSecond: inputLinesPerSecond, burst: inputLineBurst, tokens: inputLineBurst}
	r.limitLines = lineLimiter{perSecond: inputLinesPerSecond, burst: inputLineBurst, tokens: inputLineBurst}
	r.callerLines = lineLimiter{perSecond: inputLinesPerSecond, burst: inputLineBurst, tokens: inputLineBurst}
	go r.logSummaries()
	return r
}

// logSummaries logs the queued summaries within the rate limits.
func (r *recorder) logSummaries() {
	for e := range r.summaries {
		if !r.limiterFor(e.Code).allow(r.now(), min(len(e.Steps), maxLoggedSteps)+1) {
			r.counters.Inc(telemetry.SummariesSkipped)
			continue
		}
		for i := max(len(e.Steps)-maxLoggedSteps, 0); i < len(e.Steps); i++ {
			r.logStep(&e, &e.Steps[i])
		}
		r.logAnswer(&e)
	}
}

// RequestEnded implements gateway.Recorder.
func (r *recorder) RequestEnded(e gateway.RequestSummary) {
	r.countAnswer(&e)
	late := e.Target > 0 && e.Took > e.Target && !e.Part
	if e.Code.Class() == result.ClassComplete && !late && !sampled(e.RequestID) {
		return
	}
	select {
	case r.summaries <- e:
	default:
		r.counters.Inc(telemetry.SummariesSkipped)
	}
}

// countAnswer counts an answer and records its latency and stages.
func (r *recorder) countAnswer(e *gateway.RequestSummary) {
	if e.Part {
		r.counters.IncCode(telemetry.FamilyParts, e.Code)
		return
	}
	r.counters.IncCode(telemetry.FamilyAnswers, e.Code)
	r.counters.ObserveLatency(e.Route, e.Code, e.Took)
	for _, s := range []struct {
		name string
		at   time.Duration
	}{
		{telemetry.StageWaiting, e.Stages.Sent},
		{telemetry.StageFirstReply, e.Stages.FirstReply},
		{telemetry.StageLastShard, e.Stages.LastShard},
		{telemetry.StageMerge, e.Stages.Merge},
	} {
		if e.Stages.FirstReply > 0 {
			r.counters.ObserveStage(e.Route, s.name, s.at)
		}
	}
}

func (r *recorder) logAnswer(e *gateway.RequestSummary) {
	line := r.log.Info().Str("request", e.RequestID).Str("route", e.Route).Uint64("version", e.Version).
		Int("code", int(e.Code)).Stringer("reason", e.Code).Dur("took_ms", e.Took).Dur("target_ms", e.Target).Dur("left_ms", e.TimeLimit).
		Int("shards", e.Shards).Int("covered", e.Covered).Int("attempts", e.Attempts).Int("hosts", e.Hosts).Dur("view_age_ms", e.ViewAge)
	for _, m := range e.Missing {
		line.Stringer("missing_"+strconv.Itoa(int(m.Range.Start)), m.Code)
	}
	if e.Part {
		line.Msg(eventPart)
		return
	}
	line.Msg(eventAnswered)
}

func (r *recorder) logStep(e *gateway.RequestSummary, s *gateway.Step) {
	line := r.log.Info().Str("request", e.RequestID).Stringer("kind", s.Kind).Dur("at_ms", s.At).Int("shard", s.Shard)
	if s.Replica != "" {
		line.Str(targetField(s.Kind), s.Replica).Uint32("attempt", s.Attempt)
	}
	if s.Kind == gateway.StepReply || s.Kind == gateway.StepPart {
		line.Dur("took_ms", s.Took)
	}
	if s.Code != 0 {
		line.Int("code", int(s.Code)).Stringer("reason", s.Code)
	}
	line.Bool("hedge", s.Hedge).Bool("retry", s.Retry).Msg(eventStep)
}

// targetField returns the name of the log field for the replica or host of a step.
func targetField(kind gateway.StepKind) string {
	if kind == gateway.StepPart {
		return "by"
	}
	return "replica"
}

// sampled reports whether an ordinary request is logged.
func sampled(id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()%sampleEvery == 0
}

// limiterFor returns the limiter of the log lines about an answer with this code.
func (r *recorder) limiterFor(code result.Code) *lineLimiter {
	switch code {
	case result.NotFound, result.BodyTooLarge, result.HeaderTooLarge, result.RequestUnreadable, result.CallerMemory:
		return &r.inputLines
	}
	return &r.ordinaryLines
}

// lineLimiter limits the rate of log lines with a token bucket.
type lineLimiter struct {
	perSecond, burst, tokens float64
	last                     time.Duration
}

// allow reports whether lines more log lines are within the limit, and if so takes
// their tokens.
func (b *lineLimiter) allow(now time.Duration, lines int) bool {
	b.tokens = min(b.tokens+b.perSecond*(now-b.last).Seconds(), b.burst)
	b.last = now
	if b.tokens < float64(lines) {
		return false
	}
	b.tokens -= float64(lines)
	return true
}

// AttemptEnded implements gateway.Recorder.
func (r *recorder) AttemptEnded(code result.Code) { r.counters.IncCode(telemetry.FamilyAttempts, code) }

// QueryEvent implements gateway.Recorder.
func (r *recorder) QueryEvent(e query.Event) {
	switch e.Kind {
	case query.EventRetry:
		r.counters.IncCode(telemetry.FamilyRetries, e.Code)
	case query.EventHedge:
		r.counters.Inc(telemetry.Hedges)
	case query.EventHedgeDenied:
		r.counters.Inc(telemetry.HedgesDenied)
	case query.EventRetryDenied:
		r.counters.Inc(telemetry.RetriesDenied)
	case query.EventEarlyAnswer:
		r.counters.Inc(telemetry.EarlyAnswers)
	case query.EventStrayReply:
		r.counters.Inc(telemetry.StrayReplies)
	}
}

// allowLine reports whether one more line is within a limit that mu guards. A line that
// is not is counted.
func (r *recorder) allowLine(l *lineLimiter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.allow(r.now(), 1) {
		return true
	}
	r.counters.Inc(telemetry.SummariesSkipped)
	return false
}

// SuspectChanged implements gateway.Recorder.
func (r *recorder) SuspectChanged(s gateway.SuspectChange) {
	r.counters.Inc(telemetry.SuspicionChanges)
	if !r.allowLine(&r.suspectLines) {
		return
	}
	line := r.log.Info().Str("event", eventBelief).Uint64("fingerprint", uint64(s.Fingerprint)).Stringer("degree", s.Degree)
	if r := s.Request; r != nil {
		line.Str("request", r.ID).Str("replica", s.Replica).
			Str("to", r.Host).Str("path", r.Path).Str("from", r.Caller).Int("body_bytes", r.BodyBytes)
	}
	line.Msg(eventSuspect)
}

// LimitChanged implements gateway.Recorder.
func (r *recorder) LimitChanged(l gateway.LimitChange) {
	r.counters.Inc(telemetry.RateLimitChanges)
	if !r.allowLine(&r.limitLines) {
		return
	}
	r.log.Info().Str("event", eventBelief).Str("replica", l.Replica).Float64("per_s", l.PerSecond).Bool("from_peer", l.FromPeer).Msg(eventLimit)
}

// EndpointAnnounced implements gateway.Recorder.
func (r *recorder) EndpointAnnounced(a gateway.Announcement) {
	message := eventPause
	if a.Leaving {
		message = eventLeaving
		r.counters.Inc(telemetry.LeavingAnnounced)
	}
	if a.Pause > 0 {
		r.counters.Inc(telemetry.PausesRequested)
	}
	if !r.allowLine(&r.limitLines) {
		return
	}
	r.log.Info().Str("event", eventBelief).Str("replica", a.Replica).Dur("pause_ms", a.Pause).Bool("from_peer", a.FromPeer).Msg(message)
}

// callerEvent counts and logs that a connection was refused or given up.
func (r *recorder) callerEvent(e callerconn.Event) {
	r.counters.Inc(telemetry.CallerEventName(string(e)))
	if r.allowLine(&r.callerLines) {
		r.log.Info().Str("event", eventLoad).Str("decision", string(e)).Msg(eventCaller)
	}
}

// AdmissionChanged implements gateway.Recorder.
func (r *recorder) AdmissionChanged(c gateway.AdmissionChange) {
	message := eventRelief
	if c.Limited {
		message = eventOverload
		r.counters.Inc(telemetry.Overloads)
	}
	if !r.allowLine(&r.limitLines) {
		return
	}
	r.log.Info().Str("event", eventBelief).Str("route", c.Route).Float64("admitted", c.Admitted).
		Int("in_hand", c.InHand).Int("waiting", c.Waiting).Msg(message)
}

// Abandoned implements forward.Observer.
func (r *recorder) Abandoned(_ string, unacknowledged bool) {
	r.counters.Inc(telemetry.ConnectionsAbandoned)
	if unacknowledged {
		r.counters.Inc(telemetry.ConnectionsUnacknowledged)
	}
}

// Dialed implements forward.Observer.
func (r *recorder) Dialed(_ string, err error) {
	if err != nil {
		r.counters.Inc(telemetry.DialsFailed)
		return
	}
	r.counters.Inc(telemetry.Dials)
}
