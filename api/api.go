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
	// PathReady answers 200 while the host takes requests, else 503.
	PathReady = "/ready"
)

// Headers of the caller API.
const (
	// HeaderRequestID gives the request ID when the body has none; every answer
	// has it.
	HeaderRequestID = "X-Request-ID"
	// HeaderCode repeats the result code of the answer.
	HeaderCode = "X-Result-Code"
)

// Bounds of the caller API.
const (
	// MaxBodyBytes is the largest body of a request.
	MaxBodyBytes = 1 << 20
	// MaxAnswerBytes bounds the hits of an answer; what it cuts is reported.
	MaxAnswerBytes = 8 << 20
	// MaxNameBytes bounds request IDs and the names of services and callers.
	MaxNameBytes = 128
	// MaxPermits bounds the permits of one request.
	MaxPermits = 1000
	// MaxBudgetMS is the longest budget that can be asked for, in milliseconds.
	MaxBudgetMS = 600_000
)

// Code is a numbered result; docs/RESULT-CODES.md lists them.
type Code = result.Code

// Range is a half-open range of index keys.
type Range = keyrange.Range

// Hit is one document of an answer.
type Hit = dispatch.Hit

// QueryRequest asks for the documents of a service that match Query.
type QueryRequest struct {
	// RequestID is chosen by the caller and echoed; it may be empty.
	RequestID string `json:"request_id,omitempty"`
	Service   string `json:"service"`
	Caller    string `json:"caller"`
	Query     string `json:"query"`
	// Limit bounds the hits; zero means the service's bound.
	Limit int `json:"limit,omitempty"`
	// BudgetMS is the time left for the answer in milliseconds; zero means the
	// service's deadline.
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
	// Snapshot is the one snapshot that every hit is from.
	Snapshot uint64 `json:"snapshot,omitempty"`
	// Revision is the configuration that the query ran under.
	Revision uint64   `json:"revision,omitempty"`
	Coverage Coverage `json:"coverage"`
	// Truncated tells that documents were cut by the caller's limit or by the
	// service's bound; only the latter makes an answer partial.
	Truncated bool  `json:"truncated,omitempty"`
	Hits      []Hit `json:"hits"`
}

// Coverage states which keys of the snapshot an answer covers.
type Coverage struct {
	// Fraction is the covered share of the key space, from 0 to 1.
	Fraction float64 `json:"fraction"`
	// Shards and Covered count the shards of the snapshot.
	Shards  int       `json:"shards"`
	Covered int       `json:"covered"`
	Missing []Missing `json:"missing,omitempty"`
}

// Missing is a range that an answer does not cover, and why.
type Missing struct {
	Range Range  `json:"range"`
	Code  Code   `json:"code"`
	Name  string `json:"name"`
}

// PermitRequest asks for permits of a service that is not repeatable.
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
	// LifetimeMS is how long each may be submitted for the first time.
	LifetimeMS int `json:"lifetime_ms,omitempty"`
}

// SubmitRequest runs a request at most once.
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
	// Outcome is the endpoint's result.
	Outcome string `json:"outcome,omitempty"`
	// Replayed tells that the outcome is that of an earlier submit.
	Replayed bool `json:"replayed,omitempty"`
}

// StatusAnswer tells the state of the host.
type StatusAnswer struct {
	Ready    bool   `json:"ready"`
	Code     Code   `json:"code,omitempty"`
	Name     string `json:"name,omitempty"`
	Revision uint64 `json:"revision"`
	// DataCentre is where the host runs.
	DataCentre string `json:"data_centre"`
	Version    string `json:"version"`
}
