package entryhost

import (
	"hash/fnv"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/gypsumlug/gypsumlug/internal/gateway"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
)

// Names of the events of a request in the log.
const (
	eventAnswered = "answered"
	eventPart     = "part answered"
	eventStep     = "step"
	eventSuspect  = "request may crash replicas"
)

// eventBelief marks the lines that tell what the host believes.
const eventBelief = "belief"

const (
	// linesPerSecond bounds the lines of stories, and lineBurst those at once.
	// Answers without a story are counted.
	linesPerSecond = 25
	lineBurst      = 60
	// inputsPerSecond and inputBurst bound the lines about requests that are refused
	// for what their callers sent, and those about suspects, so that they leave the
	// others theirs.
	inputsPerSecond = 2
	inputBurst      = 10
	// stepsPerStory bounds the steps of one story; the last ones are written.
	stepsPerStory = 8
	// storyQueue is the number of stories that may wait to be written.
	storyQueue = 32
	// sampleEvery is the share of ordinary requests whose story is written, as a
	// divisor. It goes by the request's ID, so that every host picks the same.
	sampleEvery = 256
)

// recorder counts what happens to requests and writes the stories of those that
// were refused, failed, partial or late, and of a sample of the others.
type recorder struct {
	log      zerolog.Logger
	counters *telemetry.Counters
	now      func() time.Duration

	// stories are written by a goroutine of their own, so that no answer waits
	// for the log.
	stories chan gateway.RequestSummary

	// lines and inputs belong to that goroutine.
	lines, inputs lineBudget

	// mu guards the budget of the lines about suspects.
	mu       sync.Mutex
	suspects lineBudget
}

func newRecorder(log zerolog.Logger, counters *telemetry.Counters, now func() time.Duration) *recorder {
	r := &recorder{log: log, counters: counters, now: now, stories: make(chan gateway.RequestSummary, storyQueue)}
	r.lines = lineBudget{perSecond: linesPerSecond, burst: lineBurst, tokens: lineBurst}
	r.inputs = lineBudget{perSecond: inputsPerSecond, burst: inputBurst, tokens: inputBurst}
	r.suspects = lineBudget{perSecond: inputsPerSecond, burst: inputBurst, tokens: inputBurst}
	go r.write()
	return r
}

// write writes stories while they keep within the rate.
func (r *recorder) write() {
	for e := range r.stories {
		if !r.budget(e.Code).take(r.now(), min(len(e.Steps), stepsPerStory)+1) {
			r.counters.Inc(telemetry.SummariesSkipped)
			continue
		}
		for i := max(len(e.Steps)-stepsPerStory, 0); i < len(e.Steps); i++ {
			r.step(&e, &e.Steps[i])
		}
		r.answer(&e)
	}
}

// RequestEnded implements gateway.Recorder.
func (r *recorder) RequestEnded(e gateway.RequestSummary) {
	r.count(&e)
	late := e.Target > 0 && e.Took > e.Target && !e.Part
	if e.Code.Class() == result.ClassComplete && !late && !sampled(e.RequestID) {
		return
	}
	select {
	case r.stories <- e:
	default:
		r.counters.Inc(telemetry.SummariesSkipped)
	}
}

// count counts an answer and its times.
func (r *recorder) count(e *gateway.RequestSummary) {
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

func (r *recorder) answer(e *gateway.RequestSummary) {
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

func (r *recorder) step(e *gateway.RequestSummary, s *gateway.Step) {
	line := r.log.Info().Str("request", e.RequestID).Stringer("kind", s.Kind).Dur("at_ms", s.At).Int("shard", s.Shard)
	if s.Replica != "" {
		line.Str(peerField(s.Kind), s.Replica).Uint32("attempt", s.Attempt)
	}
	if s.Kind == gateway.StepReply || s.Kind == gateway.StepPart {
		line.Dur("took_ms", s.Took)
	}
	if s.Code != 0 {
		line.Int("code", int(s.Code)).Stringer("reason", s.Code)
	}
	line.Bool("hedge", s.Hedge).Bool("retry", s.Retry).Msg(eventStep)
}

// peerField returns the name of the field that holds whom a step concerns.
func peerField(kind gateway.StepKind) string {
	if kind == gateway.StepPart {
		return "by"
	}
	return "replica"
}

// sampled reports whether the story of an ordinary request is written.
func sampled(id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()%sampleEvery == 0
}

// budget returns the budget of the lines about an answer.
func (r *recorder) budget(code result.Code) *lineBudget {
	switch code {
	case result.NotFound, result.BodyTooLarge, result.HeaderTooLarge, result.RequestUnreadable:
		return &r.inputs
	}
	return &r.lines
}

// lineBudget bounds the rate of log lines.
type lineBudget struct {
	perSecond, burst, tokens float64
	last                     time.Duration
}

// take reports whether some lines keep within the rate.
func (b *lineBudget) take(now time.Duration, lines int) bool {
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
	case query.EventStrayReply:
		r.counters.Inc(telemetry.StrayReplies)
	}
}

// SuspectChanged implements gateway.Recorder.
func (r *recorder) SuspectChanged(s gateway.SuspectChange) {
	r.counters.Inc(telemetry.SuspicionChanges)
	r.mu.Lock()
	told := r.suspects.take(r.now(), 1)
	r.mu.Unlock()
	if !told {
		r.counters.Inc(telemetry.SummariesSkipped)
		return
	}
	line := r.log.Info().Str("event", eventBelief).Uint64("fingerprint", uint64(s.Fingerprint)).Stringer("degree", s.Degree)
	if s.RequestID != "" {
		line.Str("request", s.RequestID).Str("replica", s.Replica)
	}
	line.Msg(eventSuspect)
}

// Dialed implements forward.Observer.
func (r *recorder) Dialed(_ string, err error) {
	if err != nil {
		r.counters.Inc(telemetry.DialsFailed)
		return
	}
	r.counters.Inc(telemetry.Dials)
}
