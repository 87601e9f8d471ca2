// Package telemetry holds the counters and the log format of a host.
package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// init sets the library's format of times once, since it is shared by all loggers.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// NewLogger returns a logger that writes one line of key=value pairs an event.
// An unknown level means info.
func NewLogger(w io.Writer, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(keyValueWriter(w)).Level(parsed).With().Timestamp().Logger()
}

// Counter families; each is labelled with the name of a result code.
const (
	// FamilyAnswers counts answers to callers.
	FamilyAnswers = "gypsumlug_answers_total"
	// FamilyRefusals counts refused attempts and peer or platform inputs.
	FamilyRefusals = "gypsumlug_refusals_total"
	// FamilyRetries counts retries by the code that caused them.
	FamilyRetries = "gypsumlug_retries_total"
	// FamilyParts counts parts of divided queries.
	FamilyParts = "gypsumlug_parts_total"
	// FamilyAttempts counts ended attempts.
	FamilyAttempts = "gypsumlug_attempts_total"
	// FamilyConfiguration counts refused revisions and documents.
	FamilyConfiguration = "gypsumlug_configuration_refusals_total"
)

// CodeMetricName returns the name of the counter of a family and code.
func CodeMetricName(family string, code result.Code) string {
	return fmt.Sprintf(`%s{code="%d",reason="%s"}`, family, code, code)
}

// Counters are the counters of one host. It is safe for concurrent use.
type Counters struct {
	set *metrics.Set

	mu     sync.RWMutex
	byCode map[codeKey]*metrics.Counter
	// latencies are by route and class of code or stage, routes those that have
	// some.
	latencies map[latencyKey]*metrics.Histogram
	routes    map[string]bool
}

type latencyKey struct {
	route string
	class result.Class
	// stage is empty for the time of the answer.
	stage string
}

type codeKey struct {
	family string
	code   result.Code
}

// NewCounters returns counters in a set of their own.
func NewCounters() *Counters {
	return &Counters{set: metrics.NewSet(), byCode: make(map[codeKey]*metrics.Counter), latencies: make(map[latencyKey]*metrics.Histogram), routes: make(map[string]bool)}
}

// IncCode counts one event of a family by its result code.
func (c *Counters) IncCode(family string, code result.Code) {
	key := codeKey{family: family, code: code}
	c.mu.RLock()
	counter := c.byCode[key]
	c.mu.RUnlock()
	if counter == nil {
		counter = c.addCode(key)
	}
	counter.Inc()
}

func (c *Counters) addCode(key codeKey) *metrics.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	counter := c.set.GetOrCreateCounter(CodeMetricName(key.family, key.code))
	c.byCode[key] = counter
	return counter
}

// CodeCount returns the count of a family and code.
func (c *Counters) CodeCount(family string, code result.Code) uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if counter := c.byCode[codeKey{family: family, code: code}]; counter != nil {
		return counter.Get()
	}
	return 0
}

// Counter returns the counter with the given name, created on first use.
func (c *Counters) Counter(name string) *metrics.Counter { return c.set.GetOrCreateCounter(name) }

// Write writes the counters and the process metrics in Prometheus text format.
func (c *Counters) Write(w io.Writer) {
	c.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Counters of the gateway.
const (
	Hedges        = "gypsumlug_hedges_total"
	HedgesDenied  = "gypsumlug_hedges_denied_total"
	RetriesDenied = "gypsumlug_retries_denied_total"
	StrayReplies  = "gypsumlug_stray_replies_total"
	Dials         = "gypsumlug_dials_total"
	DialsFailed   = "gypsumlug_dials_failed_total"
	// SummariesSkipped counts answers whose story was over the log's rate.
	SummariesSkipped = "gypsumlug_log_stories_skipped_total"
	// SuspicionChanges counts changes of what is believed of requests that may crash
	// endpoints.
	SuspicionChanges = "gypsumlug_suspects_total"
)

// Gauges of what a host believes.
const (
	// ConfigurationVersion is the version in force, and ConfigurationAge how long it
	// has been.
	ConfigurationVersion = "gypsumlug_configuration_version"
	ConfigurationAge     = "gypsumlug_configuration_age_seconds"
	// ViewAge is how long ago the store, or a host that asked it, last confirmed the
	// replicas, of which there are ViewReplicas.
	ViewAge      = "gypsumlug_view_age_seconds"
	ViewReplicas = "gypsumlug_view_replicas"
)

// maxLatencyRoutes bounds the routes with a histogram of their own; further ones
// share one without a name.
const maxLatencyRoutes = 64

// Stages of a request.
const (
	// StageWaiting ends when the first attempt is sent.
	StageWaiting = "waiting"
	// StageFirstReply and StageLastShard end with the first and the last good reply.
	StageFirstReply = "first_reply"
	StageLastShard  = "last_shard"
	// StageMerge is the merge of the replies alone.
	StageMerge = "merge"
)

// RegisterGauge serves a value that is read when the metrics are.
func (c *Counters) RegisterGauge(name string, read func() float64) { c.set.NewGauge(name, read) }

// ObserveStage records when a request of a route got to a stage.
func (c *Counters) ObserveStage(route, stage string, at time.Duration) {
	c.observe(latencyKey{route: route, stage: stage}, at)
}

// ObserveLatency records the time of an answer by route and class of its code.
func (c *Counters) ObserveLatency(route string, code result.Code, took time.Duration) {
	c.observe(latencyKey{route: route, class: code.Class()}, took)
}

func (c *Counters) observe(key latencyKey, took time.Duration) {
	c.mu.Lock()
	if !c.routes[key.route] && len(c.routes) >= maxLatencyRoutes {
		key.route = "other"
	}
	c.routes[key.route] = true
	h := c.latencies[key]
	if h == nil {
		h = c.set.GetOrCreateHistogram(key.name())
		c.latencies[key] = h
	}
	c.mu.Unlock()
	h.Update(took.Seconds())
}

// name returns the name of a histogram.
func (k latencyKey) name() string {
	if k.stage != "" {
		return fmt.Sprintf(`gypsumlug_stage_seconds{route=%q,stage=%q}`, k.route, k.stage)
	}
	return fmt.Sprintf(`gypsumlug_answer_seconds{route=%q,class=%q}`, k.route, k.class)
}

// Inc counts one event of a counter.
func (c *Counters) Inc(name string) { c.Counter(name).Inc() }
