package entryhost

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/callerconn"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// maxRequestHeaderBytes is the server's limit for the header of a request. It applies
// before the configured limit is checked.
const maxRequestHeaderBytes = 256 << 10

// serverHeaderTimeout is so long that it never passes in practice. It makes the server
// set read deadlines, which callerConn replaces by the configured timeouts.
const serverHeaderTimeout = 24 * time.Hour

// defaultLimits are the limits as long as the host has no configuration. The timeouts
// also apply if the configuration sets none.
var defaultLimits = routing.Limits{HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}

// callerListener accepts connections from callers. Their read deadlines follow the
// limits that apply at the time when the deadline is set.
type callerListener struct {
	*net.TCPListener
	limits func() routing.Limits
	guard  *callerconn.Guard
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if conn := l.guard.Wrap(c, l.headLimit); conn != nil {
			return &callerConn{Conn: conn, limits: l.limits}, nil
		}
	}
}

// headLimit returns the limit of a head that applies now.
func (l callerListener) headLimit() int {
	if limit := l.limits().HeaderBytes; limit > 0 {
		return limit
	}
	return maxRequestHeaderBytes
}

// callerConn is a connection from a caller.
type callerConn struct {
	*callerconn.Conn
	limits func() routing.Limits
	// requestRead is true once a request was read. awaitingRequest is true when the
	// server is about to wait for the next request.
	requestRead     atomic.Bool
	awaitingRequest atomic.Bool
	// partialRequest is true from the arrival of bytes until a request was read from
	// them.
	partialRequest atomic.Bool
}

// SetReadDeadline implements net.Conn. The server clears the deadline before it waits
// on an idle connection, and sets a future deadline before it reads a header. A
// deadline in the past aborts a read and is set unchanged.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	return c.Conn.SetReadDeadline(c.deadline(t, time.Now()))
}

// deadline returns the deadline that replaces t, which the server sets at time now.
func (c *callerConn) deadline(t, now time.Time) time.Time {
	limits := c.limits()
	switch {
	case c.awaitingRequest.Swap(false):
		return now.Add(limits.IdleTimeout)
	case !t.After(now):
		return t
	case c.requestRead.Load():
		return now.Add(limits.HeaderTimeout)
	default:
		// Before the first request, waiting for it and reading its header cannot be told
		// apart.
		return now.Add(max(limits.HeaderTimeout, limits.IdleTimeout))
	}
}

// connContextKey is the context key of the connection of a request.
type connContextKey struct{}

// callerServer serves connections from callers.
type callerServer struct {
	limits func() routing.Limits
	// guard bounds the connections together; nil means no bounds.
	guard *callerconn.Guard
	// onUnreadable is called for each connection that is closed while it has a partial
	// request, with the code of the refusal.
	onUnreadable func(result.Code)
}

// newHTTPServer returns an HTTP server for a handler. connContext returns the context
// of a connection.
func (c *callerServer) newHTTPServer(handler http.Handler, connContext func(context.Context, net.Conn) context.Context) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if conn, ok := r.Context().Value(connContextKey{}).(*callerConn); ok {
				conn.requestRead.Store(true)
				conn.partialRequest.Store(false)
				if !conn.BeginRequest() {
					panic(http.ErrAbortHandler) // The connection was given up.
				}
			}
			handler.ServeHTTP(w, r)
			callerconn.FromContext(r.Context()).EndRequest(w)
		}),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			if caller, ok := conn.(*callerConn); ok {
				ctx = callerconn.WithConn(ctx, caller.Conn)
			}
			return context.WithValue(connContext(ctx, conn), connContextKey{}, conn)
		},
		ConnState:         c.onConnState,
		ReadHeaderTimeout: serverHeaderTimeout,
		MaxHeaderBytes:    maxRequestHeaderBytes,
	}
}

// wrapListener returns a listener whose connections are subject to the limits.
func (c *callerServer) wrapListener(l net.Listener) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok {
		return callerListener{TCPListener: tcp, limits: c.limits, guard: c.guard}
	}
	return l
}

// onConnState is called by the HTTP server when the state of a connection changes.
func (c *callerServer) onConnState(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		caller.partialRequest.Store(true)
	case http.StateIdle:
		caller.awaitingRequest.Store(true)
		caller.BecomeIdle()
	case http.StateClosed:
		caller.Closed()
		if caller.partialRequest.Load() {
			c.onUnreadable(caller.unreadableCode())
		}
	}
}

// unreadableCode returns the code for a connection that is closed while it has a partial
// request.
func (c *callerConn) unreadableCode() result.Code {
	if code := c.Refusal(); code != 0 {
		return code
	}
	return result.RequestUnreadable
}
