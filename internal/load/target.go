package load

import (
	"context"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/client"
)

// Limits of the clients' connections to a host or an endpoint.
const (
	callerConnections = 4096
	idleConnections   = 1024
	idleTimeout       = 90 * time.Second
)

// Target answers the requests of a caller. An error means that no answer arrived.
type Target interface {
	Query(context.Context, *api.QueryRequest) (*api.QueryAnswer, error)
	Permit(context.Context, *api.PermitRequest) (*api.PermitAnswer, error)
	Submit(context.Context, *api.SubmitRequest) (*api.SubmitAnswer, error)
}

// hostTarget sends requests to a running daemon with the public client. It ignores
// the client's errors because the answer has the same code.
type hostTarget struct{ client *client.Client }

func newHostTarget(address string) (hostTarget, error) {
	c, err := client.New([]string{address}, client.Options{ConnectionsPerHost: callerConnections})
	return hostTarget{c}, err
}

func (t hostTarget) Query(ctx context.Context, r *api.QueryRequest) (*api.QueryAnswer, error) {
	answer, _ := t.client.Query(ctx, *r)
	return &answer, nil
}

func (t hostTarget) Permit(ctx context.Context, r *api.PermitRequest) (*api.PermitAnswer, error) {
	answer, _ := t.client.RequestPermit(ctx, *r)
	return &answer, nil
}

func (t hostTarget) Submit(ctx context.Context, r *api.SubmitRequest) (*api.SubmitAnswer, error) {
	answer, _ := t.client.Submit(ctx, *r)
	return &answer, nil
}
