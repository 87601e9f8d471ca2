package entryhost

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// headerCap bounds a request's header before the configured limit is looked at,
// in bytes.
const headerCap = 256 << 10

// unlimited is a wait that the server itself never ends. The connection puts the
// configured limits in its place.
const unlimited = 24 * time.Hour

// defaultLimits are in force while no configuration is known.
var defaultLimits = routing.Limits{HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}

// callerListener accepts callers' connections, whose waits follow the limits that
// are in force when they begin.
type callerListener struct {
	*net.TCPListener
	limits func() routing.Limits
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &callerConn{TCPConn: c, limits: l.limits}, nil
}

// callerConn is a caller's connection.
type callerConn struct {
	*net.TCPConn
	limits func() routing.Limits
	// used tells that a request was read, and idle that the connection waits for
	// the next one.
	used atomic.Bool
	idle atomic.Bool
	// unread tells that bytes came of which no request was made yet.
	unread atomic.Bool
}

// SetReadDeadline implements net.Conn. The server clears the deadline before it
// waits on an idle connection, and sets one in the future before it reads a header.
// One in the past ends a read, and stays.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	return c.TCPConn.SetReadDeadline(c.deadline(t, time.Now()))
}

// deadline returns the deadline that stands for one that the server sets now.
func (c *callerConn) deadline(t, now time.Time) time.Time {
	limits := c.limits()
	switch {
	case c.idle.Swap(false):
		return now.Add(limits.IdleTimeout)
	case !t.After(now):
		return t
	case c.used.Load():
		return now.Add(limits.HeaderTimeout)
	default:
		// Nothing tells whether the first request has begun to arrive.
		return now.Add(max(limits.HeaderTimeout, limits.IdleTimeout))
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// callers serves callers' connections.
type callers struct {
	limits func() routing.Limits
	// unreadable is told of connections that ended before the bytes that came made
	// a request.
	unreadable func()
}

// server returns the HTTP server of a handler. connContext gives each connection
// its context.
func (c *callers) server(handler http.Handler, connContext func(context.Context, net.Conn) context.Context) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
				conn.used.Store(true)
				conn.unread.Store(false)
			}
			handler.ServeHTTP(w, r)
		}),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(connContext(ctx, conn), connKey{}, conn)
		},
		ConnState:         c.changed,
		ReadHeaderTimeout: unlimited,
		MaxHeaderBytes:    headerCap,
	}
}

// listener returns the listener whose connections keep to the limits.
func (c *callers) listener(l net.Listener) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok {
		return callerListener{TCPListener: tcp, limits: c.limits}
	}
	return l
}

// changed follows the state of a connection.
func (c *callers) changed(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		caller.unread.Store(true)
	case http.StateIdle:
		caller.idle.Store(true)
	case http.StateClosed:
		if caller.unread.Load() {
			c.unreadable()
		}
	}
}
