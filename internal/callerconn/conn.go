package callerconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/callerbudget"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	// headSlack is what may arrive beyond the limit of a head: what else the server's buffer
	// of 4 KB takes in, and the spaces and line ends that the limit does not count.
	headSlack = 5 << 10
	// lingerTime is how long a refused connection stays open for its caller to read the
	// refusal; closed at once, unread bytes would make the system reset it.
	lingerTime = 500 * time.Millisecond
	// refusalTimeout bounds the time to write a refusal.
	refusalTimeout = 100 * time.Millisecond
)

// The refusals that are written without the HTTP server, which has no request yet.
const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	noRoom       = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// ErrGivenUp is returned for a request that was given up in favour of others. It has not run.
var ErrGivenUp = errors.New("given up for the memory or the connections of other callers")

// Conn is a connection of a caller. Its methods may be called on a nil Conn, which has no
// bounds.
type Conn struct {
	*net.TCPConn
	guard *Guard
	// headLimit returns the limit of a head in bytes, zero for none. It is nil for a
	// connection that does not carry HTTP.
	headLimit func() int
	// entry and state are guarded by guard.mu. state is the last one that was entered.
	entry *callerbudget.Conn
	state callerbudget.State
	// headBytes and headLines are the size of the head that arrives, and headCharge is what it
	// has been charged. Only the reader uses them.
	headBytes, headLines int
	headCharge           int64
	// givenUp is set once the connection was given up, and lingers if it may stay open for a
	// while.
	givenUp, lingers atomic.Bool
	// refusal is the code with which a head was refused.
	refusal atomic.Int32
}

// Wrap returns a connection that is subject to a guard, or nil after closing it if there is
// no room. headLimit returns the limit of a head in bytes, zero for none; it is nil for a
// connection that does not carry HTTP.
func (g *Guard) Wrap(tcp *net.TCPConn, headLimit func() int) *Conn {
	c := &Conn{TCPConn: tcp, guard: g, headLimit: headLimit}
	if g != nil && !g.open(c) {
		_ = tcp.Close()
		return nil
	}
	return c
}

var lineEnd = []byte{'\n'}

type contextKey struct{}

// WithConn adds the connection of a request to its context.
func WithConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the connection of a request, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// bounded reports whether the connection is subject to a guard.
func (c *Conn) bounded() bool { return c != nil && c.guard != nil }

// Refusal returns the code with which the head that arrived last was refused, or zero.
func (c *Conn) Refusal() result.Code { return result.Code(c.refusal.Load()) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.guard == nil {
		return n, err
	}
	if n > 0 && !c.arrived(p[:n]) || c.givenUp.Load() && c.readsHead() {
		c.refuseHead()
		return 0, io.EOF
	}
	return n, err
}

// readsHead reports whether no request has been read since the connection was idle.
func (c *Conn) readsHead() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.state == callerbudget.Idle || c.state == callerbudget.Head
}

// arrived accounts for bytes that have arrived. It reports false if the head of which they are
// part is to be refused.
func (c *Conn) arrived(p []byte) bool {
	if !c.headArrived(p) {
		return true
	}
	if c.givenUp.Load() {
		return false
	}
	if c.headTooLarge() {
		c.cutHead()
		return false
	}
	charge := callerbudget.HeadCharge(c.headBytes, c.headLines)
	growth := charge - c.headCharge
	c.headCharge = charge
	return growth == 0 || c.guard.grow(c, growth)
}

func (c *Conn) headTooLarge() bool {
	if c.headLimit == nil {
		return false
	}
	limit := c.headLimit()
	return limit > 0 && c.headBytes > limit+headSlack
}

// headArrived reports whether bytes that have arrived are part of a head, and counts them.
func (c *Conn) headArrived(p []byte) bool {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.entry == nil || c.state != callerbudget.Idle && c.state != callerbudget.Head {
		return false
	}
	if c.state == callerbudget.Idle {
		c.headBytes, c.headLines, c.headCharge = 0, 0, 0
		if g.table.Enter(c.entry, callerbudget.Head, g.now()) {
			c.state = callerbudget.Head
		}
	}
	c.headBytes += len(p)
	c.headLines += bytes.Count(p, lineEnd)
	g.table.Progress(c.entry, len(p), g.now())
	return true
}

// cutHead gives a connection up whose head is over its limit.
func (c *Conn) cutHead() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.entry == nil || c.givenUp.Load() {
		return
	}
	c.refusal.Store(int32(result.HeaderTooLarge))
	g.onEvent(HeadCut)
	g.table.Release(c.entry)
	g.table.GiveUp(c.entry)
	c.lingers.Store(g.table.MayLinger())
	c.givenUp.Store(true)
	g.released.Broadcast()
}

// refuseHead writes the refusal of a head, of which no request was read.
func (c *Conn) refuseHead() {
	if c.headBytes == 0 || c.entry == nil {
		return // Nothing has arrived.
	}
	c.guard.release(c)
	if c.headLimit == nil {
		_ = c.TCPConn.Close()
		return
	}
	answer := headTooLarge
	if c.refusal.CompareAndSwap(0, int32(result.CallerMemory)) {
		answer = noRoom
	}
	_ = c.TCPConn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.TCPConn, answer)
	if !c.lingers.Load() {
		_ = c.TCPConn.Close()
		return
	}
	_ = c.TCPConn.CloseWrite()
	time.Sleep(lingerTime)
}

// CloseWrite ends the writing direction, after which the HTTP server waits for a while. If too
// many connections wait, the descriptor is closed at once.
func (c *Conn) CloseWrite() error {
	if c.givenUp.Load() && !c.lingers.Load() {
		return c.TCPConn.Close()
	}
	return c.TCPConn.CloseWrite()
}

// SetReadDeadline implements net.Conn. A connection that was given up keeps a deadline in the
// past.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if c.givenUp.Load() {
		return c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

func (c *Conn) progress(n int) {
	if !c.bounded() {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.entry != nil {
		c.guard.table.Progress(c.entry, n, c.guard.now())
	}
}

// BeginRequest is called when a request has been read, without its body. It reports false if
// the connection was given up: the request must not run.
func (c *Conn) BeginRequest() bool {
	return !c.bounded() || c.guard.enter(c, callerbudget.Running)
}

// BecomeIdle is called when an answer has been written, and the next request is awaited.
func (c *Conn) BecomeIdle() {
	if c.bounded() {
		c.guard.enter(c, callerbudget.Idle)
	}
}

// FrameHandled is called when a message has been handled that ReadBody has read, and the
// connection must be kept although nothing may run.
func (c *Conn) FrameHandled() {
	if c.bounded() {
		c.guard.enter(c, callerbudget.Running)
		c.guard.release(c)
	}
}

// Closed is called when the server has ended the connection.
func (c *Conn) Closed() {
	if c.bounded() {
		c.guard.close(c)
	}
}
