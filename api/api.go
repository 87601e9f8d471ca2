// Package api defines the JSON messages of the caller API, version 1.
// docs/API.md describes the paths and the meaning of each field.
package api

import (
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Paths of the caller API.
const (
	PathQuery  = "/v1/query"
	PathPermit = "/v1/permit"
	PathSubmit = "/v1/submit"
	PathStatus = "/v1/status"
	// PathLive answers 200 while the process runs.
	PathLive = "/live"
	// PathReady answers 200 while the host accepts requests, and 503 otherwise.
	PathReady = "/ready"
)

// Headers of the caller API.
const (
	// HeaderRequestID carries the request ID if the body of the request has none. The
	// answer repeats the request ID, from either place, in this header.
	HeaderRequestID = "X-Request-ID"
	// HeaderCode repeats the result code of the answer.
	HeaderCode = "X-Result-Code"
)

// Bounds of the caller API.
const (
	// MaxBodyBytes is the largest body of a request.
	MaxBodyBytes = 1 << 20
	// MaxAnswerBytes bounds the total size of an answer's hits. Hits beyond it are
	// omitted, and the answer is marked as truncated and partial.
	MaxAnswerBytes = 8 << 20
	// MaxNameBytes bounds request IDs and the names of services and callers.
	MaxNameBytes = 128
	// MaxPermits bounds the number of permits of one request.
	MaxPermits = 1000
	// MaxBudgetMS is the longest budget that a request may have, in milliseconds.
	MaxBudgetMS = 600_000
)

// Code is a result code; docs/RESULT-CODES.md lists them.
type Code = result.Code

// Range is a half-open range of index keys.
type Range = keyrange.Range

// Hit is one document of an answer.
type Hit = dispatch.Hit

// QueryRequest asks for the documents of a service that match Query.
type QueryRequest struct {
	// RequestID is chosen by the caller and returned in the answer; it may be empty.
	RequestID string `json:"request_id,omitempty"`
	Service   string `json:"service"`
	Caller    string `json:"caller"`
	Query     string `json:"query"`
	// Limit is the maximum number of hits; zero means the service's limit.
	Limit int `json:"limit,omitempty"`
	// BudgetMS is the time within which the caller needs the answer, in milliseconds;
	// zero means the service's deadline.
	BudgetMS int `json:"budget_ms,omitempty"`
}

// QueryAnswer is the answer to a QueryRequest.
type QueryAnswer struct {
	RequestID string `json:"request_id,omitempty"`
	Code      Code   `json:"code"`
	Name      string `json:"name"`
	Class     string `json:"class"`
	// Field and Reason explain a refusal.
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Snapshot is the index snapshot that all hits come from.
	Snapshot uint64 `json:"snapshot,omitempty"`
	// Revision is the revision of the configuration that the query ran under.
	Revision uint64   `json:"revision,omitempty"`
	Coverage Coverage `json:"coverage"`
	// Truncated is true if hits were omitted because of the caller's limit, the
	// service's limit or MaxAnswerBytes. Only the last two make an answer partial.
	Truncated bool  `json:"truncated,omitempty"`
	Hits      []Hit `json:"hits"`
}

// Coverage states which part of the snapshot's key space an answer covers.
type Coverage struct {
	// Fraction is the covered fraction of the key space, from 0 to 1.
	Fraction float64 `json:"fraction"`
	// Shards is the number of shards of the snapshot, Covered the number of those that
	// the answer covers.
	Shards  int       `json:"shards"`
	Covered int       `json:"covered"`
	Missing []Missing `json:"missing,omitempty"`
}

// Missing is a range that an answer does not cover, with the result code that says why.
type Missing struct {
	Range Range  `json:"range"`
	Code  Code   `json:"code"`
	Name  string `json:"name"`
}

// PermitRequest requests permits for a service whose requests may not be repeated.
type PermitRequest struct {
	RequestID string `json:"request_id,omitempty"`
	Service   string `json:"service"`
	Caller    string `json:"caller"`
	// Count is the number of permits; zero means one.
	Count int `json:"count,omitempty"`
}

// PermitAnswer is the answer to a PermitRequest.
type PermitAnswer struct {
	RequestID string   `json:"request_id,omitempty"`
	Code      Code     `json:"code"`
	Name      string   `json:"name"`
	Class     string   `json:"class"`
	Field     string   `json:"field,omitempty"`
	Reason    string   `json:"reason,omitempty"`
	Permits   []string `json:"permits,omitempty"`
	// LifetimeMS is the time within which each permit must be submitted for the first
	// time, in milliseconds.
	LifetimeMS int `json:"lifetime_ms,omitempty"`
}

// SubmitRequest submits a request that runs at most once, under a permit.
type SubmitRequest struct {
	RequestID string `json:"request_id,omitempty"`
	Service   string `json:"service"`
	Caller    string `json:"caller"`
	Permit    string `json:"permit"`
	Body      string `json:"body"`
	// Key selects the shard that runs the request.
	Key      keyrange.Key `json:"key,omitempty"`
	BudgetMS int          `json:"budget_ms,omitempty"`
}

// SubmitAnswer is the answer to a SubmitRequest.
type SubmitAnswer struct {
	RequestID string `json:"request_id,omitempty"`
	Permit    string `json:"permit,omitempty"`
	Code      Code   `json:"code"`
	Name      string `json:"name"`
	Class     string `json:"class"`
	Field     string `json:"field,omitempty"`
	Reason    string `json:"reason,omitempty"`
	// Outcome is the result that the endpoint returned.
	Outcome string `json:"outcome,omitempty"`
	// Replayed is true if the outcome is that of an earlier submit with the permit.
	Replayed bool `json:"replayed,omitempty"`
}

// StatusAnswer is the state of a host.
type StatusAnswer struct {
	Ready bool `json:"ready"`
	// Code and Name say why the host is not ready.
	Code     Code   `json:"code,omitempty"`
	Name     string `json:"name,omitempty"`
	Revision uint64 `json:"revision"`
	// DataCentre is the data centre that the host runs in.
	DataCentre string `json:"data_centre"`
	Version    string `json:"version"`
}
