// Package config defines the configuration that the platform publishes and
// that hosts take whole.
//
// A revision is a [Manifest] and the documents that it lists: for each service
// one [Service] document, which the questionnaire generates, and one [Index]
// document, which says what endpoints hold which snapshots of its index. A
// [Bundle] is a manifest with all its documents, parsed and validated; it is
// immutable, and running queries keep the one they began with.
package config

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/keyrange"
)

// FormatVersion is the format of manifests and documents that this version
// reads. A manifest of a newer format is refused whole.
const FormatVersion = 1

// Limits of the platform's values.
const (
	// MaxValueBytes is the largest value that the platform holds.
	MaxValueBytes = 1 << 20
	// MaxDocuments bounds the documents of a manifest.
	MaxDocuments = 8192
)

// Revision numbers configurations; it only grows.
type Revision uint64

// Kind tells what a document holds.
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

// DocumentRef names a document by its content.
type DocumentRef struct {
	Kind Kind   `json:"kind" msgpack:"k"`
	Name string `json:"name" msgpack:"n"`
	// Hash is the SHA-256 of the document's bytes in lower-case hexadecimal.
	Hash string `json:"hash" msgpack:"h"`
	// Size is the length of the document in bytes.
	Size int `json:"size" msgpack:"s"`
}

// Urgency orders requests that wait for the same endpoint.
type Urgency uint8

// The urgency classes, most urgent first.
const (
	Urgent Urgency = iota
	Normal
	Archive
	// UrgencyCount is the number of classes.
	UrgencyCount
)

// Preference says what a query gives up first.
type Preference string

const (
	// PreferLatency answers at the latency target with what has arrived.
	PreferLatency Preference = "latency"
	// PreferCoverage waits for missing shards until the hard deadline.
	PreferCoverage Preference = "coverage"
)

// Service is the configuration of one service.
type Service struct {
	Format     int        `json:"format"`
	Name       string     `json:"name"`
	Urgency    Urgency    `json:"urgency"`
	Preference Preference `json:"preference"`
	// Repeatable is false for services whose requests run at most once; they
	// take submits with permits and no queries.
	Repeatable bool `json:"repeatable"`
	// LatencyTargetMS is when a query of a latency-first service is answered
	// with what has arrived, in milliseconds.
	LatencyTargetMS int `json:"latency_target_ms"`
	// DeadlineMS is the hard deadline of a request in milliseconds; callers may
	// ask for less.
	DeadlineMS int `json:"deadline_ms"`
	// MaxHits bounds the documents of an answer.
	MaxHits int `json:"max_hits"`
	// FreshSnapshots is the number of newest snapshots that a query may be
	// answered from; zero means any.
	FreshSnapshots int `json:"fresh_snapshots,omitempty"`
	// QueueLimit bounds the requests waiting for admission on one host.
	QueueLimit int `json:"queue_limit"`
	// InFlightLimit bounds the admitted requests of the service on one host.
	InFlightLimit int      `json:"in_flight_limit"`
	Hedge         Hedge    `json:"hedge"`
	Retry         Retry    `json:"retry"`
	Permit        Permit   `json:"permit"`
	Callers       []Caller `json:"callers"`
}

// Hedge limits duplicate dispatches against stragglers.
type Hedge struct {
	// PercentilePerMille is the observed latency percentile, in thousandths,
	// after which a hedge is sent.
	PercentilePerMille int `json:"percentile_per_mille"`
	// Max is the largest number of hedges of one shard.
	Max int `json:"max"`
	// BudgetPerMille bounds hedges to a share of primary dispatches, in
	// thousandths.
	BudgetPerMille int `json:"budget_per_mille"`
}

// Retry limits repeated dispatches after refusals and failures.
type Retry struct {
	// BudgetPerMille bounds retries to a share of primary dispatches, in
	// thousandths.
	BudgetPerMille int `json:"budget_per_mille"`
	// Max is the largest number of retries of one shard.
	Max int `json:"max"`
}

// Permit limits the permits of a service that is not repeatable.
type Permit struct {
	// LifetimeMS is how long a permit may be submitted for the first time.
	LifetimeMS int `json:"lifetime_ms"`
	// RetentionMS is how long an outcome is kept after the permit ended.
	RetentionMS int `json:"retention_ms"`
	// Limit bounds the permits that one host holds for the service.
	Limit int `json:"limit"`
}

// Caller limits one caller of a service, on each host.
type Caller struct {
	Name string `json:"name"`
	// RatePerSecond is the sustained request rate; zero means no limit.
	RatePerSecond int `json:"rate_per_second"`
	// Burst is the number of requests above the rate that may come at once.
	Burst int `json:"burst"`
	// InFlight bounds the requests in flight; zero means no limit.
	InFlight int `json:"in_flight"`
}

// Index says what the endpoints of a service hold.
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
	// Slots is the number of requests that the endpoint runs at once.
	Slots int `json:"slots"`
	// MaxConnections is the cap of open connections over all hosts.
	MaxConnections int `json:"max_connections"`
	// ConnectCostMS is the time a new connection costs in milliseconds.
	ConnectCostMS int `json:"connect_cost_ms"`
}

// Snapshot is one immutable version of an index.
type Snapshot struct {
	ID uint64 `json:"id"`
	// Shards cover the key space without overlap.
	Shards []Shard `json:"shards"`
}

// Shard is a key range of a snapshot and the endpoints that hold it.
type Shard struct {
	Range keyrange.Range `json:"range"`
	// Replicas are endpoint IDs.
	Replicas []string `json:"replicas"`
}

// LatencyTarget returns the latency target as a duration.
func (s *Service) LatencyTarget() time.Duration {
	return time.Duration(s.LatencyTargetMS) * time.Millisecond
}

// Deadline returns the hard deadline as a duration.
func (s *Service) Deadline() time.Duration {
	return time.Duration(s.DeadlineMS) * time.Millisecond
}
