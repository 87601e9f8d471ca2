// Package endpointapi defines the HTTP messages between hosts and endpoints.
// docs/ENDPOINTS.md describes the protocol.
//
// A request that an endpoint refuses before it starts gets a status of
// [StatusRefused] with the reason in [Reply].Code. Any other answer, and any
// broken connection after the first byte, means that it may have run.
package endpointapi

import (
	"net/http"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Paths of the endpoint protocol. All take POST with a JSON body, but
// PathStatus, which takes GET.
const (
	PathSearch = "/v1/search"
	PathSubmit = "/v1/submit"
	PathCancel = "/v1/cancel"
	PathStatus = "/v1/status"
)

// Statuses of replies.
const (
	// StatusDone: the request ran; the body is a Reply.
	StatusDone = http.StatusOK
	// StatusRefused: the request was refused and never started.
	StatusRefused = http.StatusServiceUnavailable
	// StatusFailed: the request ran and failed.
	StatusFailed = http.StatusInternalServerError
)

// MaxReplyBytes bounds the body of a reply.
const MaxReplyBytes = 8 << 20

// Request is the body of a search or a submit.
type Request struct {
	// ID is unique over all requests and attempts of a search; for a submit it
	// is the permit.
	ID       string         `json:"id"`
	Service  string         `json:"service"`
	Snapshot uint64         `json:"snapshot,omitempty"`
	Range    keyrange.Range `json:"range"`
	Body     string         `json:"body"`
	Limit    int            `json:"limit,omitempty"`
	// BudgetMS is the time left in milliseconds; the endpoint may give up after.
	BudgetMS int64 `json:"budget_ms"`
}

// Reply is the body of every reply to a search or submit.
type Reply struct {
	ID string `json:"id"`
	// Code is 0 for success, or one of 331 to 335, 408, 500.
	Code      result.Code    `json:"code,omitempty"`
	Snapshot  uint64         `json:"snapshot,omitempty"`
	Hits      []dispatch.Hit `json:"hits,omitempty"`
	Truncated bool           `json:"truncated,omitempty"`
	Outcome   string         `json:"outcome,omitempty"`
	// ServiceUS is the time that the endpoint spent, in microseconds.
	ServiceUS int64         `json:"service_us"`
	Load      dispatch.Load `json:"load"`
}

// Cancel is the body of a cancellation.
type Cancel struct {
	ID string `json:"id"`
}

// Status is the reply to a status request.
type Status struct {
	Endpoint string        `json:"endpoint"`
	Load     dispatch.Load `json:"load"`
	// Snapshots are the IDs of the snapshots held.
	Snapshots []uint64 `json:"snapshots"`
	// Cold tells that the endpoint is still starting.
	Cold bool `json:"cold"`
}
