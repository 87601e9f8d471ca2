// Package config defines the configuration that is published on the platform.
// A host applies a revision completely or not at all.
//
// A revision consists of a [Manifest] and the documents that it lists. Each
// service has one [Service] document, which is generated from the questionnaire,
// and one [Index] document, which lists the endpoints of the service and the
// snapshots of its index that they hold. A [Bundle] is a parsed and validated
// manifest with all of its documents. Bundles are immutable: a running query
// keeps using the bundle that it started with, except that it looks for replicas
// and snapshots to retry with in the newest index.
package config

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/keyrange"
)

// FormatVersion is the supported format of manifests and documents. A manifest
// or document with any other format is rejected, and with it the revision.
const FormatVersion = 1

// Size limits of manifests and documents.
const (
	// MaxValueBytes is the largest value that the platform can store.
	MaxValueBytes = 1 << 20
	// MaxDocuments is the maximum number of documents in a manifest.
	MaxDocuments = 8192
)

// Revision is the number of a published configuration. It increases with each
// publication.
type Revision uint64

// Kind is the type of a document.
type Kind string

// The kinds of documents.
const (
	KindService Kind = "service"
	KindIndex   Kind = "index"
)

// Manifest lists the documents of a revision.
type Manifest struct {
	Format    int           `json:"format" msgpack:"f"`
	Revision  Revision      `json:"revision" msgpack:"r"`
	Documents []DocumentRef `json:"documents" msgpack:"d"`
}

// DocumentRef identifies a document by kind, name and content hash.
type DocumentRef struct {
	Kind Kind   `json:"kind" msgpack:"k"`
	Name string `json:"name" msgpack:"n"`
	// Hash is the SHA-256 of the document's bytes in lower-case hexadecimal.
	Hash string `json:"hash" msgpack:"h"`
	// Size is the length of the document in bytes.
	Size int `json:"size" msgpack:"s"`
}

// Urgency is the priority class of requests that wait for admission on a host or
// for an endpoint.
type Urgency uint8

// The urgency classes, most urgent first.
const (
	Urgent Urgency = iota
	Normal
	Archive
	// UrgencyCount is the number of classes.
	UrgencyCount
)

// Preference selects what a query prioritizes when not all shards reply in time.
type Preference string

const (
	// PreferLatency returns the replies received by the latency target. If there is
	// none yet, the query waits for one until the deadline.
	PreferLatency Preference = "latency"
	// PreferCoverage waits for missing shards until the deadline.
	PreferCoverage Preference = "coverage"
)

// Service is the configuration of one service.
type Service struct {
	Format     int        `json:"format"`
	Name       string     `json:"name"`
	Urgency    Urgency    `json:"urgency"`
	Preference Preference `json:"preference"`
	// Repeatable is false for services whose requests must run at most once. Such
	// services accept submits with permits, but no queries.
	Repeatable bool `json:"repeatable"`
	// LatencyTargetMS is the time in milliseconds after which a query of a service
	// with PreferLatency is answered with the replies received so far.
	LatencyTargetMS int `json:"latency_target_ms"`
	// DeadlineMS is the deadline of a request in milliseconds. A caller may set a
	// shorter one.
	DeadlineMS int `json:"deadline_ms"`
	// MaxHits is the maximum number of hits in an answer.
	MaxHits int `json:"max_hits"`
	// FreshSnapshots is the number of most recent snapshots that a query may be
	// answered from; zero means all snapshots.
	FreshSnapshots int `json:"fresh_snapshots,omitempty"`
	// QueueLimit is the maximum number of requests of the service that wait for
	// admission on one host.
	QueueLimit int `json:"queue_limit"`
	// InFlightLimit is the maximum number of admitted requests of the service on
	// one host.
	InFlightLimit int      `json:"in_flight_limit"`
	Hedge         Hedge    `json:"hedge"`
	Retry         Retry    `json:"retry"`
	Permit        Permit   `json:"permit"`
	Callers       []Caller `json:"callers"`
}

// Hedge limits hedged requests, the duplicate dispatches for slow shards.
type Hedge struct {
	// PercentilePerMille is a percentile of the observed latencies, in thousandths.
	// A hedge is sent for a shard that takes longer than that.
	PercentilePerMille int `json:"percentile_per_mille"`
	// Max is the maximum number of hedges per shard of a query.
	Max int `json:"max"`
	// BudgetPerMille is the maximum ratio of hedges to primary dispatches, in
	// thousandths. A limited burst may exceed it.
	BudgetPerMille int `json:"budget_per_mille"`
}

// Retry limits dispatches that are repeated after a refusal or failure.
type Retry struct {
	// BudgetPerMille is the maximum ratio of retries to primary dispatches, in
	// thousandths. A limited burst may exceed it. Retries of a query do not count if
	// the failed attempt is no sign of load, such as a failed connection.
	BudgetPerMille int `json:"budget_per_mille"`
	// Max is the maximum number of retries of a submit and of each shard of a query
	// with PreferLatency. Queries with PreferCoverage and forwarded requests with
	// unlimited retries have no maximum.
	Max int `json:"max"`
}

// Permit limits the permits of a service that is not repeatable.
type Permit struct {
	// LifetimeMS is how long after its issue a permit may first be submitted, in
	// milliseconds.
	LifetimeMS int `json:"lifetime_ms"`
	// RetentionMS is how long the outcome of a permit is retained after the permit
	// ended, in milliseconds.
	RetentionMS int `json:"retention_ms"`
	// Limit is the maximum number of permits that one host stores for the service.
	Limit int `json:"limit"`
}

// Caller holds the limits of one caller of a service. They apply to each host
// separately.
type Caller struct {
	Name string `json:"name"`
	// RatePerSecond is the sustained request rate; zero means no limit.
	RatePerSecond int `json:"rate_per_second"`
	// Burst is the number of requests that may exceed the sustained rate at once.
	Burst int `json:"burst"`
	// InFlight is the maximum number of waiting and admitted requests; zero means no
	// limit.
	InFlight int `json:"in_flight"`
}

// Index lists the endpoints of a service and the snapshots that they hold.
type Index struct {
	Format    int        `json:"format"`
	Service   string     `json:"service"`
	Endpoints []Endpoint `json:"endpoints"`
	// Snapshots are in ascending order of ID.
	Snapshots []Snapshot `json:"snapshots"`
}

// Endpoint is one replica process of a service.
type Endpoint struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int `json:"slots"`
	// MaxConnections is the maximum number of open connections from all hosts
	// together.
	MaxConnections int `json:"max_connections"`
	// ConnectCostMS is the time that a new connection to the endpoint takes, in
	// milliseconds.
	ConnectCostMS int `json:"connect_cost_ms"`
}

// Snapshot is one immutable version of an index.
type Snapshot struct {
	ID uint64 `json:"id"`
	// Shards cover the whole key space without overlap.
	Shards []Shard `json:"shards"`
}

// Shard is a key range of a snapshot and the endpoints that serve it.
type Shard struct {
	Range keyrange.Range `json:"range"`
	// Replicas are the IDs of these endpoints.
	Replicas []string `json:"replicas"`
}

// LatencyTarget returns the latency target as a duration.
func (s *Service) LatencyTarget() time.Duration {
	return time.Duration(s.LatencyTargetMS) * time.Millisecond
}

// Deadline returns the deadline as a duration.
func (s *Service) Deadline() time.Duration {
	return time.Duration(s.DeadlineMS) * time.Millisecond
}
