package callerconn

import (
	"context"
	"net"
	"net/http"
)

// listener accepts connections that are subject to a guard.
type listener struct {
	*net.TCPListener
	guard     *Guard
	headLimit func() int
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if c := l.guard.Wrap(tcp, l.headLimit); c != nil {
			return c, nil
		}
	}
}

// Listen returns a listener whose connections are subject to the guard. headLimit is the limit
// of a head in bytes.
func (g *Guard) Listen(l net.Listener, headLimit int) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok {
		return listener{TCPListener: tcp, guard: g, headLimit: func() int { return headLimit }}
	}
	return l
}

// Install makes a server follow the connections of a listener from Listen.
func Install(server *http.Server) {
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := FromContext(r.Context())
		if !conn.BeginRequest() {
			panic(http.ErrAbortHandler) // The connection was given up.
		}
		handler.ServeHTTP(w, r)
		conn.EndRequest(w)
	})
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c, ok := conn.(*Conn); ok {
			return WithConn(ctx, c)
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		c, _ := conn.(*Conn)
		switch state {
		case http.StateIdle:
			c.BecomeIdle()
		case http.StateClosed:
			c.Closed()
		}
	}
}
