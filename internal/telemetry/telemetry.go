// Package telemetry holds the metrics and the log format of a host.
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

// init sets the time format of zerolog, which is a global variable shared by all
// loggers.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// NewLogger returns a logger that writes one line of key=value pairs for each
// event. An unknown or empty level means info.
func NewLogger(w io.Writer, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(keyValueWriter(w)).Level(parsed).With().Timestamp().Logger()
}

// Counter families. Each has one counter for each result code, with the code and
// its name as labels.
const (
	// FamilyAnswers counts answers to callers.
	FamilyAnswers = "gypsumlug_answers_total"
	// FamilyRefusals counts refused attempts, and refused input from peers and the
	// platform.
	FamilyRefusals = "gypsumlug_refusals_total"
	// FamilyRetries counts retries by the code that caused them.
	FamilyRetries = "gypsumlug_retries_total"
	// FamilyParts counts answers to the parts of divided queries. Parts are requests
	// from a host, not from a caller, and are not counted as answers.
	FamilyParts = "gypsumlug_parts_total"
	// FamilyAttempts counts completed attempts.
	FamilyAttempts = "gypsumlug_attempts_total"
	// FamilyConfiguration counts refused configuration revisions and documents.
	FamilyConfiguration = "gypsumlug_configuration_refusals_total"
)

// CodeMetricName returns the name, with labels, of the counter of a family and
// code.
func CodeMetricName(family string, code result.Code) string {
	return fmt.Sprintf(`%s{code="%d",reason="%s"}`, family, code, code)
}

// Counters holds the counters, gauges and histograms of one host. It is safe for
// concurrent use.
type Counters struct {
	set *metrics.Set

	mu     sync.RWMutex
	byCode map[codeKey]*metrics.Counter
	// histograms holds the time to answer by route and class of result code, and
	// the time to reach a stage by route and stage. routes holds the routes that
	// have histograms.
	histograms map[histogramKey]*metrics.Histogram
	routes     map[string]bool
}

type histogramKey struct {
	route string
	class result.Class
	// stage is empty in a histogram of the time to answer, and class is zero in one
	// of the time to reach a stage.
	stage string
}

type codeKey struct {
	family string
	code   result.Code
}

// NewCounters returns counters that are registered in a metric set of their own.
func NewCounters() *Counters {
	return &Counters{set: metrics.NewSet(), byCode: make(map[codeKey]*metrics.Counter), histograms: make(map[histogramKey]*metrics.Histogram), routes: make(map[string]bool)}
}

// IncCode increments the counter of a family and result code.
func (c *Counters) IncCode(family string, code result.Code) {
	key := codeKey{family: family, code: code}
	c.mu.RLock()
	counter := c.byCode[key]
	c.mu.RUnlock()
	if counter == nil {
		counter = c.addCodeCounter(key)
	}
	counter.Inc()
}

func (c *Counters) addCodeCounter(key codeKey) *metrics.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	counter := c.set.GetOrCreateCounter(CodeMetricName(key.family, key.code))
	c.byCode[key] = counter
	return counter
}

// CodeCount returns the value of the counter of a family and result code.
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

// Write writes all metrics of c and the metrics of the process in Prometheus text
// format.
func (c *Counters) Write(w io.Writer) {
	c.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Counters of the gateway.
const (
	Hedges        = "gypsumlug_hedges_total"
	HedgesDenied  = "gypsumlug_hedges_denied_total"
	RetriesDenied = "gypsumlug_retries_denied_total"
	// EarlyAnswers counts answers before the target without the shards that were unlikely to
	// be covered by it.
	EarlyAnswers = "gypsumlug_answers_early_total"
	StrayReplies = "gypsumlug_stray_replies_total"
	// ReplicaDifferences counts the times that this host had other replicas than a peer
	// at the same revision of the store, and fetched the peer's listing.
	ReplicaDifferences = "gypsumlug_replica_differences_total"
	// StoreEpochs counts the times that this host entered a new epoch of the store, which
	// had been restored from an older copy.
	StoreEpochs = "gypsumlug_store_epochs_total"
	Dials       = "gypsumlug_dials_total"
	DialsFailed = "gypsumlug_dials_failed_total"
	// ConnectionsAbandoned counts the connections to replicas that were closed while a
	// request on them had no response, and ConnectionsUnacknowledged those of them on
	// which the replica had not acknowledged the request.
	ConnectionsAbandoned      = "gypsumlug_connections_abandoned_total"
	ConnectionsUnacknowledged = "gypsumlug_connections_unacknowledged_total"
	// SummariesSkipped counts answers whose summary was not logged because of the
	// rate limit of the log.
	SummariesSkipped = "gypsumlug_log_stories_skipped_total"
	// SuspicionChanges counts changes in the degree to which requests are suspected
	// of crashing endpoints.
	SuspicionChanges = "gypsumlug_suspects_total"
	// RateLimitChanges counts changes of what is believed of the rate limits that
	// replicas name.
	RateLimitChanges = "gypsumlug_rate_limits_total"
	// LeavingAnnounced counts replicas that became known to leave from an answer of their
	// own or from another host; PausesRequested counts pauses that replicas asked for.
	LeavingAnnounced = "gypsumlug_replicas_leaving_total"
	PausesRequested  = "gypsumlug_replica_pauses_total"
	// Overloads counts the times that an index began to refuse queries for lack of
	// capacity.
	Overloads = "gypsumlug_overloads_total"
)

// FamilyCallerEvents counts, by event, the connections of callers that were refused or given
// up in favour of others.
const FamilyCallerEvents = "gypsumlug_caller_events_total"

// CallerEventName returns the name, with labels, of the counter of an event.
func CallerEventName(event string) string { return FamilyCallerEvents + `{event="` + event + `"}` }

// PeerEventName returns that name for the connections of other hosts.
func PeerEventName(event string) string {
	return `gypsumlug_peer_events_total{event="` + event + `"}`
}

// Gauges of what callers make a host hold: bytes charged, and connections.
const (
	CallerMemory      = "gypsumlug_caller_memory_bytes"
	CallerConnections = "gypsumlug_caller_connections"
)

// Metrics of the admission of an index. They have the label route, which is a route of the
// index.
const (
	// QueriesAdmitted and QueriesQueued count the queries that were admitted and those
	// that waited for it. Refused ones are in FamilyAnswers, by reason.
	QueriesAdmitted = "gypsumlug_queries_admitted_total"
	QueriesQueued   = "gypsumlug_queries_queued_total"
	// AdmissionLimit is the share of the queries that is admitted, QueriesInHand the
	// number of admitted ones that have not ended, and QueriesWaiting that of those that
	// wait.
	AdmissionLimit = "gypsumlug_admission_limit"
	QueriesInHand  = "gypsumlug_queries_in_hand"
	QueriesWaiting = "gypsumlug_queries_waiting"
)

// RouteMetricName returns the name of a metric with the label of a route.
func RouteMetricName(name, route string) string { return fmt.Sprintf("%s{route=%q}", name, route) }

// SetGauge sets a gauge, which is created on first use.
func (c *Counters) SetGauge(name string, value float64) { c.set.GetOrCreateGauge(name, nil).Set(value) }

// SetCounter sets a counter whose events are counted elsewhere.
func (c *Counters) SetCounter(name string, value uint64) { c.set.GetOrCreateCounter(name).Set(value) }

// Gauges of the configuration and the view of a host.
const (
	// ConfigurationVersion is the version in force, and ConfigurationAge the time
	// since it came into force.
	ConfigurationVersion = "gypsumlug_configuration_version"
	ConfigurationAge     = "gypsumlug_configuration_age_seconds"
	// ViewAge is the time since the known replicas were last confirmed by the store
	// or by a host that read it, and ViewReplicas is the number of known replicas.
	ViewAge      = "gypsumlug_view_age_seconds"
	ViewReplicas = "gypsumlug_view_replicas"
	// EvacuatedDataCentres is the number of data centres whose replicas get nothing, and
	// ColdReplicas the number of replicas that are cold and have a bound.
	EvacuatedDataCentres = "gypsumlug_evacuated_data_centres"
	ColdReplicas         = "gypsumlug_cold_replicas"
	// RampingReplicas is the number of replicas whose rate of attempts rises after a start or
	// failures.
	RampingReplicas = "gypsumlug_replicas_ramping"
	// DataCentresOutOfReach is the number of data centres whose replicas can't be reached.
	DataCentresOutOfReach = "gypsumlug_data_centres_out_of_reach"
	// LossyReplicas is the number of replicas that fail to answer some of their attempts.
	LossyReplicas = "gypsumlug_replicas_lossy"
	// ResponseMemory is what the responses of replicas are charged for their memory now,
	// in bytes.
	ResponseMemory = "gypsumlug_response_memory_bytes"
)

// maxLatencyRoutes bounds the number of routes with histograms of their own. All
// further routes are counted as route "other".
const maxLatencyRoutes = 64

// Stages of a request.
const (
	// StageWaiting ends when the first attempt is sent.
	StageWaiting = "waiting"
	// StageFirstReply ends with the first successful reply, and StageLastShard with
	// the last one.
	StageFirstReply = "first_reply"
	StageLastShard  = "last_shard"
	// StageMerge is the time that merging the replies takes.
	StageMerge = "merge"
)

// RegisterGauge adds a gauge whose value is read each time the metrics are written.
func (c *Counters) RegisterGauge(name string, read func() float64) { c.set.NewGauge(name, read) }

// ObserveStage records the time at which a request of a route completed a stage,
// counted from its arrival, or for StageMerge the duration of the merge.
func (c *Counters) ObserveStage(route, stage string, at time.Duration) {
	c.updateHistogram(histogramKey{route: route, stage: stage}, at)
}

// ObserveLatency records the time to answer a request, by route and class of the
// answer's code.
func (c *Counters) ObserveLatency(route string, code result.Code, took time.Duration) {
	c.updateHistogram(histogramKey{route: route, class: code.Class()}, took)
}

func (c *Counters) updateHistogram(key histogramKey, took time.Duration) {
	c.mu.Lock()
	if !c.routes[key.route] && len(c.routes) >= maxLatencyRoutes {
		key.route = "other"
	}
	c.routes[key.route] = true
	h := c.histograms[key]
	if h == nil {
		h = c.set.GetOrCreateHistogram(key.metricName())
		c.histograms[key] = h
	}
	c.mu.Unlock()
	h.Update(took.Seconds())
}

// metricName returns the name of the histogram, with labels.
func (k histogramKey) metricName() string {
	if k.stage != "" {
		return fmt.Sprintf(`gypsumlug_stage_seconds{route=%q,stage=%q}`, k.route, k.stage)
	}
	return fmt.Sprintf(`gypsumlug_answer_seconds{route=%q,class=%q}`, k.route, k.class)
}

// Inc increments the counter with the given name.
func (c *Counters) Inc(name string) { c.Counter(name).Inc() }
