// Package endpointapi defines the HTTP messages between hosts and endpoints.
// docs/ENDPOINTS.md describes the protocol.
//
// An endpoint that refuses a request before starting it replies with status
// [StatusRefused] and the reason in [Reply].Code. After any other reply, or if the
// connection fails after the first byte of the request was written, the request may
// have run.
package endpointapi

import (
	"net/http"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Paths of the endpoint protocol. The method is POST with a JSON body, except for
// PathStatus, where it is GET.
const (
	PathSearch = "/v1/search"
	PathSubmit = "/v1/submit"
	PathCancel = "/v1/cancel"
	PathStatus = "/v1/status"
)

// HTTP status codes of replies to a search or submit. The body is a Reply.
const (
	// StatusDone: the request ran.
	StatusDone = http.StatusOK
	// StatusRefused: the request was refused and did not run.
	StatusRefused = http.StatusServiceUnavailable
	// StatusFailed: the request was started and failed.
	StatusFailed = http.StatusInternalServerError
)

// MaxReplyBytes is the maximum size of the body of a reply.
const MaxReplyBytes = 8 << 20

// Request is the body of a search or a submit.
type Request struct {
	// ID identifies the request. For a search it is unique to the attempt; for a
	// submit it is the permit.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Snapshot is the ID of the snapshot to search.
	Snapshot uint64 `json:"snapshot,omitempty"`
	// Range is the range of keys to search.
	Range keyrange.Range `json:"range"`
	// Body is the query text of a search or the request that is submitted.
	Body string `json:"body"`
	// Limit bounds the hits of the reply.
	Limit int `json:"limit,omitempty"`
	// BudgetMS is the time left until the deadline, in milliseconds. The endpoint may
	// abandon the request after it.
	BudgetMS int64 `json:"budget_ms"`
}

// Reply is the body of every reply to a search or submit.
type Reply struct {
	// ID is the ID of the request.
	ID string `json:"id"`
	// Code is 0 for success, 331 to 335 for a refused request, 408 for one that was
	// abandoned after it started, or 500 for one that failed.
	Code result.Code `json:"code,omitempty"`
	// Snapshot is the ID of the snapshot that was searched.
	Snapshot uint64         `json:"snapshot,omitempty"`
	Hits     []dispatch.Hit `json:"hits,omitempty"`
	// Truncated means that the endpoint had more hits than the limit.
	Truncated bool `json:"truncated,omitempty"`
	// Outcome is the result of a submit.
	Outcome string `json:"outcome,omitempty"`
	// ServiceUS is the time that the endpoint spent on the request, in microseconds.
	ServiceUS int64         `json:"service_us"`
	Load      dispatch.Load `json:"load"`
}

// Cancel is the body of a cancellation.
type Cancel struct {
	// ID is the ID of the request to cancel.
	ID string `json:"id"`
}

// Status is the reply to a status request.
type Status struct {
	Endpoint string        `json:"endpoint"`
	Load     dispatch.Load `json:"load"`
	// Snapshots are the IDs of the snapshots that the endpoint holds.
	Snapshots []uint64 `json:"snapshots"`
	// Cold is set while the endpoint is starting up and may refuse requests
	// with code 333.
	Cold bool `json:"cold"`
}
