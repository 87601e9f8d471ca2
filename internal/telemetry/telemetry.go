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
	// FamilyAttempts counts ended attempts.
	FamilyAttempts = "gypsumlug_attempts_total"
	// FamilyConfiguration counts refused revisions and documents.
	FamilyConfiguration = "gypsumlug_configuration_refusals_total"
)

// CodeName returns the name of the counter of a family and code.
func CodeName(family string, code result.Code) string {
	return fmt.Sprintf(`%s{code="%d",reason="%s"}`, family, code, code)
}

// Counters are the counters of one host. It is safe for concurrent use.
type Counters struct {
	set *metrics.Set

	mu     sync.RWMutex
	byCode map[codeKey]*metrics.Counter
	// latencies are by route and class of code.
	latencies map[latencyKey]*metrics.Histogram
}

type latencyKey struct {
	route string
	class result.Class
}

type codeKey struct {
	family string
	code   result.Code
}

// NewCounters returns counters in a set of their own.
func NewCounters() *Counters {
	return &Counters{set: metrics.NewSet(), byCode: make(map[codeKey]*metrics.Counter), latencies: make(map[latencyKey]*metrics.Histogram)}
}

// Code counts one event of a family by its result code.
func (c *Counters) Code(family string, code result.Code) {
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
	counter := c.set.GetOrCreateCounter(CodeName(key.family, key.code))
	c.byCode[key] = counter
	return counter
}

// Value returns the count of a family and code.
func (c *Counters) Value(family string, code result.Code) uint64 {
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
	// StoriesSkipped counts answers whose story was over the log's rate.
	StoriesSkipped = "gypsumlug_log_stories_skipped_total"
)

// maxLatencyRoutes bounds the routes with a histogram of their own; further ones
// share one without a name.
const maxLatencyRoutes = 64

// Latency records the time of an answer by route and class of its code.
func (c *Counters) Latency(route string, code result.Code, took time.Duration) {
	key := latencyKey{route: route, class: code.Class()}
	c.mu.Lock()
	h := c.latencies[key]
	if h == nil {
		if len(c.latencies) >= maxLatencyRoutes {
			key.route = "other"
		}
		h = c.set.GetOrCreateHistogram(fmt.Sprintf(`gypsumlug_answer_seconds{route=%q,class=%q}`, key.route, key.class))
		c.latencies[key] = h
	}
	c.mu.Unlock()
	h.Update(took.Seconds())
}

// Inc counts one event of a counter.
func (c *Counters) Inc(name string) { c.Counter(name).Inc() }
