package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gypsumlug/gypsumlug/api"
)

const (
	maxAnswerBytes         = 64 << 20
	callerIdleConnections  = 1024
	callerIdleConnectionsS = 90 * time.Second
)

// Target takes a caller's requests. An error means that no answer arrived.
type Target interface {
	Query(context.Context, *api.QueryRequest) (*api.QueryAnswer, error)
	Permit(context.Context, *api.PermitRequest) (*api.PermitAnswer, error)
	Submit(context.Context, *api.SubmitRequest) (*api.SubmitAnswer, error)
}

// HTTPTarget is a running daemon.
type HTTPTarget struct {
	base   string
	client *http.Client
}

// NewHTTPTarget returns the target at an IP address and port.
func NewHTTPTarget(address string) *HTTPTarget {
	transport := &http.Transport{
		MaxIdleConns:        callerIdleConnections,
		MaxIdleConnsPerHost: callerIdleConnections,
		IdleConnTimeout:     callerIdleConnectionsS,
	}
	return &HTTPTarget{base: "http://" + address, client: &http.Client{Transport: transport}}
}

// Query sends a query.
func (t *HTTPTarget) Query(ctx context.Context, r *api.QueryRequest) (*api.QueryAnswer, error) {
	answer := &api.QueryAnswer{}
	return answer, t.call(ctx, api.PathQuery, r, answer)
}

// Permit asks for permits.
func (t *HTTPTarget) Permit(ctx context.Context, r *api.PermitRequest) (*api.PermitAnswer, error) {
	answer := &api.PermitAnswer{}
	return answer, t.call(ctx, api.PathPermit, r, answer)
}

// Submit sends a request that may not be repeated.
func (t *HTTPTarget) Submit(ctx context.Context, r *api.SubmitRequest) (*api.SubmitAnswer, error) {
	answer := &api.SubmitAnswer{}
	return answer, t.call(ctx, api.PathSubmit, r, answer)
}

func (t *HTTPTarget) call(ctx context.Context, path string, request, answer any) error {
	data, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(err, "request cannot be encoded")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, t.base+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "request cannot be made")
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := t.client.Do(httpRequest)
	if err != nil {
		return eris.Wrap(err, "no answer")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return eris.Wrap(err, "answer cut short")
	}
	return eris.Wrap(json.Unmarshal(body, answer), "answer cannot be decoded")
}
