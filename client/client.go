// Package client calls gypsumlug's entry hosts from Go.
//
// Every call returns an answer and an error. The error is nil if the answer is
// complete or partial; else it is an *api.Error whose class tells whether the
// request ran. The answer is filled in either case.
//
// A client sends a request to another host only if the last one provably did
// not run it: no connection could be opened, or the host refused it for a reason
// of its own. A submit may be sent again with the same permit, since a permit
// runs at most once.
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
	// maxReplyBytes bounds the reply that is read.
	maxReplyBytes = 64 << 20
)

// Options bound what a client uses. Zero values mean the defaults.
type Options struct {
	// Timeout bounds calls whose context has no deadline.
	Timeout time.Duration
	// DialTimeout bounds the opening of a connection.
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

// New returns a client of the hosts whose caller APIs listen at addresses, each
// an IP and port. The error is an *api.Error with code 302.
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
		// A redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Query asks a service. The deadline of ctx lowers the request's budget.
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

// RequestPermit asks for permits of a service whose requests may not be
// repeated. No endpoint is touched. Store the permit with the order before
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

// Submit runs a request at most once under the permit in s. If no reply comes it
// submits the same permit through another host to learn the outcome, while the
// deadline of ctx allows.
func (c *Client) Submit(ctx context.Context, s api.SubmitRequest) (api.SubmitAnswer, error) {
	ctx, cancel := c.withDefaultTimeout(ctx)
	defer cancel()
	s.RequestID = requestIDOrRandom(s.RequestID)
	budget := s.BudgetMS
	var known submitOutcome
	_ = c.tryHosts(func(address string) *api.Error {
		if s.BudgetMS = remainingBudgetMS(ctx, budget); s.BudgetMS < 0 {
			return known.addAttempt(api.SubmitAnswer{}, errExpired())
		}
		var a api.SubmitAnswer
		err := c.post(ctx, address, api.PathSubmit, s.RequestID, s, &a)
		return known.addAttempt(a, err)
	}, tryNextHostWithPermit)
	if known.err != nil && known.answer.Code != known.err.Code {
		known.answer = api.NewSubmitErrorAnswer(s, known.err)
	}
	return known.answer, asError(known.err)
}

// SubmitOnce requests a permit, passes it to store, and submits s with it. If
// store fails nothing is submitted. Store must keep the permit with the order,
// so that Submit can be called with it again after a crash.
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

// Status tells the state of the host at address, which need not be one that the
// client was made with.
func (c *Client) Status(ctx context.Context, address string) (api.StatusAnswer, error) {
	ctx, cancel := c.withDefaultTimeout(ctx)
	defer cancel()
	var a api.StatusAnswer
	err := c.get(ctx, address, api.PathStatus, &a)
	return a, asError(err)
}

// Addresses returns the hosts of the client.
func (c *Client) Addresses() []string { return c.addresses }

func (c *Client) withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.Timeout)
}

// tryHosts calls attempt with tryHosts host at most once, beginning with another host at
// tryHosts call, until again says no.
func (c *Client) tryHosts(attempt func(address string) *api.Error, again func(*api.Error) bool) *api.Error {
	first := c.nextHost.Add(1) - 1
	var err *api.Error
	for i := range c.addresses {
		n := uint64(len(c.addresses))
		err = attempt(c.addresses[(first+uint64(i))%n])
		if err == nil || !again(err) {
			return err
		}
	}
	return err
}

// remainingBudgetMS returns the smaller of the budget and the time left until the
// deadline of ctx, in milliseconds, or -1 if there is none.
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

func requestIDOrRandom(id string) string {
	if id != "" {
		return id
	}
	return rand.Text()
}

// asError avoids a non-nil error interface that holds a nil pointer.
func asError(e *api.Error) error {
	if e == nil {
		return nil
	}
	return e
}
