package peerlink

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/callerconn"
	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/discovery"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// partialWriteTimeout limits the time to write a reply that is not the last one, since
// the part waits for it. It fits into the connection's buffer unless the client does not
// read.
const partialWriteTimeout = 50 * time.Millisecond

// Handler serves the requests of other hosts.
type Handler interface {
	ServeState(ctx context.Context, r *discovery.StateRequest) *State
	// ServePart serves a part and returns the last reply to it. ctx ends when the other
	// host closes the connection or stops the part.
	ServePart(ctx context.Context, r *split.Request) *split.Reply
}

// Server answers the requests of other hosts. It is safe for concurrent use.
type Server struct {
	handler Handler
	guard   *callerconn.Guard
	// parts is the number of parts in progress.
	parts atomic.Int64
}

// NewServer returns a server whose requests h answers.
func NewServer(h Handler) *Server { return &Server{handler: h} }

// NewGuardedServer returns a server whose connections are bounded together by a guard; nil
// means no bounds.
func NewGuardedServer(h Handler, guard *callerconn.Guard) *Server {
	return &Server{handler: h, guard: guard}
}

// PartsInProgress returns the number of parts whose request has been read, and whose last
// reply has not been written yet.
func (s *Server) PartsInProgress() int { return int(s.parts.Load()) }

// Serve accepts connections and answers their requests until ctx is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	context.AfterFunc(ctx, func() { _ = l.Close() })
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if guarded, ok := s.wrap(conn); ok {
			go s.serveConnection(ctx, conn, guarded)
		}
	}
}

// wrap returns the connection as subject to the guard, nil if there is none. It reports false
// if there is no room for the connection, which is closed.
func (s *Server) wrap(conn net.Conn) (guarded *callerconn.Conn, ok bool) {
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP || s.guard == nil {
		return nil, true
	}
	guarded = s.guard.Wrap(tcp, nil)
	return guarded, guarded != nil
}

// serverConn is a connection on which requests arrive.
type serverConn struct {
	net.Conn
	// guarded is the connection if it is subject to a guard, or nil.
	guarded *callerconn.Conn
	reader  *bufio.Reader
	// interruptedFlag is set once the watch of the current part has seen the client close
	// the connection or send something.
	interruptedFlag atomic.Bool
}

func (s *Server) serveConnection(ctx context.Context, netConn net.Conn, guarded *callerconn.Conn) {
	defer guarded.Closed()
	defer netConn.Close()
	stop := context.AfterFunc(ctx, func() { _ = netConn.Close() })
	defer stop()
	conn := &serverConn{Conn: netConn, guarded: guarded}
	if guarded != nil {
		conn.Conn = guarded
	}
	conn.reader = bufio.NewReaderSize(conn.Conn, readBufferBytes)
	for {
		_ = conn.SetDeadline(time.Now().Add(idleTimeout))
		var request Request
		if readGuardedFrame(conn.reader, &request, conn.guarded) != nil || request.Format != discovery.FormatVersion {
			return
		}
		if request.Stop {
			conn.guarded.BecomeIdle()
			continue // The part has ended meanwhile.
		}
		if !s.answer(ctx, conn, &request) {
			return
		}
		conn.guarded.BecomeIdle()
	}
}

// answer answers a request. It reports whether the connection can carry another one.
func (s *Server) answer(ctx context.Context, conn *serverConn, r *Request) bool {
	if r.Part != nil {
		s.parts.Add(1)
		defer s.parts.Add(-1)
	}
	reply := conn.handleRequest(ctx, r, s.handler)
	if reply == nil {
		return false
	}
	frame, err := encodeFrame(reply)
	if err != nil {
		return false
	}
	conn.guarded.BeginAnswer(len(frame))
	_ = conn.SetDeadline(time.Now().Add(replyTimeout))
	_, err = conn.Write(frame)
	return err == nil
}

// handleRequest returns the last reply to a request, or nil if the client has closed the
// connection.
func (c *serverConn) handleRequest(ctx context.Context, r *Request, h Handler) *Reply {
	switch {
	case r.State != nil:
		return &Reply{State: h.ServeState(ctx, r.State)}
	case r.Part != nil:
		return c.servePart(ctx, r.Part, h)
	default:
		return &Reply{}
	}
}

// servePart serves a part as long as the client wants it. It returns nil if the client
// has closed the connection or does not read from it.
func (c *serverConn) servePart(ctx context.Context, r *split.Request, h Handler) *Reply {
	c.interruptedFlag.Store(false)
	r.Departed = c.interrupted
	if r.Departed() {
		return c.stoppedReply()
	}
	ctx, cancel := context.WithTimeout(ctx, max(replyTimeout, r.TimeLimit))
	defer cancel()
	failed := false
	r.OnPartial = func(partial *split.Reply) {
		_ = c.SetWriteDeadline(time.Now().Add(partialWriteTimeout))
		if writeFrame(c, &Reply{Part: partial}) != nil {
			failed = true
			cancel()
		}
	}
	endWatch := c.watch(cancel)
	part := h.ServePart(ctx, r)
	interrupted := endWatch()
	switch {
	case failed:
		return nil
	case interrupted:
		return c.stoppedReply()
	default:
		return &Reply{Part: part}
	}
}

// stoppedReply returns the last reply to a part that the client has stopped. It is nil if
// the client has closed the connection.
func (c *serverConn) stoppedReply() *Reply {
	_ = c.SetReadDeadline(time.Now().Add(partialWriteTimeout))
	if _, err := c.reader.Peek(1); err != nil {
		return nil
	}
	return &Reply{Part: &split.Reply{}}
}

// interrupted reports whether the client has closed the connection or sent something
// since the part began.
func (c *serverConn) interrupted() bool {
	return c.interruptedFlag.Load() || dial.Interrupted(c.Conn)
}

// watch calls onInterrupt when the client closes the connection or stops its request, the
// only thing that it may send meanwhile. The returned function ends the watch and reports
// whether either has happened.
func (c *serverConn) watch(onInterrupt func()) (end func() (interrupted bool)) {
	_ = c.SetReadDeadline(time.Time{})
	ended := make(chan bool, 1)
	go func() {
		_, err := c.reader.Peek(1)
		interrupted := !errors.Is(err, os.ErrDeadlineExceeded)
		if interrupted {
			c.interruptedFlag.Store(true)
			onInterrupt()
		}
		ended <- interrupted
	}()
	return func() bool {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return <-ended
	}
}
