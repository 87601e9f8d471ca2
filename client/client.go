// Package client calls gypsumlug's entry hosts from Go.
//
// Every call returns an answer and an error. The error is nil if the answer is
// complete or partial; otherwise it is an *api.Error, whose class tells whether the
// request ran. The answer is filled in in either case.
//
// A client sends a request to another host only if it is certain that the previous
// host did not run it: no connection could be opened, or the host refused it for a
// reason that concerns only that host. A submit may also be sent again with the same
// permit, since a permit runs at most once.
package client

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Defaults of Options.
const (
	DefaultTimeout            = 30 * time.Second
	DefaultDialTimeout        = time.Second
	DefaultConnectionsPerHost = 16
)

const (
	idleTimeout = time.Minute
	// maxReplyBytes bounds the part of a reply body that is read.
	maxReplyBytes = 64 << 20
)

// Options are the timeouts and limits of a client. Zero values mean the defaults.
type Options struct {
	// Timeout bounds calls whose context has no deadline.
	Timeout time.Duration
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// ConnectionsPerHost bounds the open connections to each host.
	ConnectionsPerHost int
}

// Client calls entry hosts. It is safe for use by many goroutines.
type Client struct {
	addresses []string
	options   Options
	http      *http.Client
	nextHost  atomic.Uint64
}

// New returns a client of the hosts whose caller APIs listen at addresses. Each address
// is an IP and port. The error is an *api.Error with code 302.
func New(addresses []string, o Options) (*Client, error) {
	if len(addresses) == 0 {
		return nil, result.FieldErrorf(result.InvalidValue, "addresses", "want at least one IP and port")
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, result.FieldErrorf(result.InvalidValue, "addresses", "got %q, want an IP and port", a)
		}
	}
	o = o.withDefaults()
	return &Client{addresses: addresses, options: o, http: newHTTPClient(o)}, nil
}

func (o Options) withDefaults() Options {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.ConnectionsPerHost == 0 {
		o.ConnectionsPerHost = DefaultConnectionsPerHost
	}
	return o
}

func newHTTPClient(o Options) *http.Client {
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     o.ConnectionsPerHost,
			MaxIdleConnsPerHost: o.ConnectionsPerHost,
			IdleConnTimeout:     idleTimeout,
		},
		// Following a redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Query sends a query to a service. The request's budget is reduced to the time left
// until the deadline of ctx.
func (c *Client) Query(ctx context.Context, q api.QueryRequest) (api.QueryAnswer, error) {
	ctx, cancel := c.withDefaultTimeout(ctx)
	defer cancel()
	q.RequestID = requestIDOrRandom(q.RequestID)
	budget := q.BudgetMS
	var a api.QueryAnswer
	err := c.tryHosts(func(address string) *api.Error {
		if q.BudgetMS = remainingBudgetMS(ctx, budget); q.BudgetMS < 0 {
			return errExpired()
		}
		a = api.QueryAnswer{}
		return c.post(ctx, address, api.PathQuery, q.RequestID, q, &a)
	}, tryNextHost)
	if err != nil && a.Code != err.Code {
		a = api.NewQueryErrorAnswer(q, err)
	}
	return a, asError(err)
}

// RequestPermit requests permits of a service whose requests may not be repeated. It
// sends nothing to an endpoint. Store the permit with the request's data before
// submitting.
func (c *Client) RequestPermit(ctx context.Context, p api.PermitRequest) (api.PermitAnswer, error) {
	ctx, cancel := c.withDefaultTimeout(ctx)
	defer cancel()
	p.RequestID = requestIDOrRandom(p.RequestID)
	var a api.PermitAnswer
	err := c.tryHosts(func(address string) *api.Error {
		a = api.PermitAnswer{}
		return c.post(ctx, address, api.PathPermit, p.RequestID, p, &a)
	}, tryNextHost)
	if err != nil && a.Code != err.Code {
		a = api.NewPermitErrorAnswer(p, err)
	}
	return a, asError(err)
}

// Submit runs a request at most once under the permit in s. If a host didn't run it for
// a reason that concerns only that host, or if the outcome is unknown but another host
// may learn it, Submit tries the next host with the same permit, until the deadline of
// ctx.
func (c *Client) Submit(ctx context.Context, s api.SubmitRequest) (api.SubmitAnswer, error) {
	ctx, cancel := c.withDefaultTimeout(ctx)
	defer cancel()
	s.RequestID = requestIDOrRandom(s.RequestID)
	budget := s.BudgetMS
	var outcome submitOutcome
	_ = c.tryHosts(func(address string) *api.Error {
		if s.BudgetMS = remainingBudgetMS(ctx, budget); s.BudgetMS < 0 {
			return outcome.addAttempt(api.SubmitAnswer{}, errExpired())
		}
		var a api.SubmitAnswer
		err := c.post(ctx, address, api.PathSubmit, s.RequestID, s, &a)
		return outcome.addAttempt(a, err)
	}, tryNextHostWithPermit)
	if outcome.err != nil && outcome.answer.Code != outcome.err.Code {
		outcome.answer = api.NewSubmitErrorAnswer(s, outcome.err)
	}
	return outcome.answer, asError(outcome.err)
}

// SubmitOnce requests a permit, passes it to store, and submits s with it. If store
// fails, nothing is submitted. The store function must save the permit durably with
// the request's data, so that Submit can be called with it again after a crash.
func (c *Client) SubmitOnce(ctx context.Context, s api.SubmitRequest, store func(permit string) error) (api.SubmitAnswer, error) {
	p, err := c.RequestPermit(ctx, api.PermitRequest{RequestID: s.RequestID, Service: s.Service, Caller: s.Caller})
	if err != nil {
		return api.SubmitAnswer{RequestID: p.RequestID, Code: p.Code, Name: p.Name, Class: p.Class, Field: p.Field, Reason: p.Reason}, err
	}
	if len(p.Permits) != 1 {
		e := result.Errorf(result.BadReply, "got %d permits, want 1", len(p.Permits))
		return api.NewSubmitErrorAnswer(s, e), e
	}
	if err := store(p.Permits[0]); err != nil {
		return api.SubmitAnswer{Permit: p.Permits[0]}, err
	}
	s.Permit = p.Permits[0]
	return c.Submit(ctx, s)
}

// Status returns the state of the host at address, which need not be one of
// Addresses.
func (c *Client) Status(ctx context.Context, address string) (api.StatusAnswer, error) {
	ctx, cancel := c.withDefaultTimeout(ctx)
	defer cancel()
	var a api.StatusAnswer
	err := c.get(ctx, address, api.PathStatus, &a)
	return a, asError(err)
}

// Addresses returns the addresses that the client was created with.
func (c *Client) Addresses() []string { return c.addresses }

// withDefaultTimeout limits ctx to Options.Timeout if it has no deadline.
func (c *Client) withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}

// tryHosts calls attempt with one host after another, each at most once, until it
// succeeds or retry rejects its error. Consecutive calls begin with different hosts, to
// spread the load.
func (c *Client) tryHosts(attempt func(address string) *api.Error, retry func(*api.Error) bool) *api.Error {
	first := c.nextHost.Add(1) - 1
	var err *api.Error
	for i := range c.addresses {
		n := uint64(len(c.addresses))
		err = attempt(c.addresses[(first+uint64(i))%n])
		if err == nil || !retry(err) {
			return err
		}
	}
	return err
}

// remainingBudgetMS returns the smaller of budgetMS and the time left until the deadline
// of ctx, in milliseconds, or -1 if no time is left. A budgetMS of zero means no limit
// but api.MaxBudgetMS.
func remainingBudgetMS(ctx context.Context, budgetMS int) int {
	deadline, _ := ctx.Deadline()
	left := int(time.Until(deadline).Milliseconds())
	if left < 1 || ctx.Err() != nil {
		return -1
	}
	left = min(left, api.MaxBudgetMS)
	if budgetMS == 0 {
		return left
	}
	return min(budgetMS, left)
}

// requestIDOrRandom returns id, or a random one if it is empty.
func requestIDOrRandom(id string) string {
	if id != "" {
		return id
	}
	return rand.Text()
}

// asError converts e to an error. It returns a nil interface for nil, not one that
// holds a nil pointer.
func asError(e *api.Error) error {
	if e == nil {
		return nil
	}
	return e
}
