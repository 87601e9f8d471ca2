// Package peerlink sends requests between entry hosts as msgpack in length-prefixed TCP
// frames. A connection carries one request and its reply at a time; idle connections
// are kept and reused.
package peerlink

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/discovery"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

const (
	// maxFrameBytes limits the size of the message in a frame.
	maxFrameBytes = 8 << 20
	// idleTimeout is how long the server keeps a connection on which no request
	// arrives. The client stops using an idle connection earlier, by idleReserve, so
	// that it does not send a request while the server closes the connection.
	idleTimeout = 30 * time.Second
	idleReserve = 10 * time.Second
	// maxIdlePerPeer limits the idle connections that a client keeps to one host.
	maxIdlePerPeer = 4
	// replyTimeout limits the time for a reply: on the server from the arrival of the
	// request, on the client for calls whose context has no deadline.
	replyTimeout = 5 * time.Second
)

var errFrameTooLarge = errors.New("frame over the size limit")

// Request is a request between hosts. Exactly one field besides Format is set.
type Request struct {
	Format int                     `msgpack:"f"`
	State  *discovery.StateRequest `msgpack:"s"`
	Part   *split.Request          `msgpack:"p"`
}

// departed reports whether the caller of a part has disconnected.
func (r *Request) departed() bool {
	return r.Part != nil && r.Part.Departed != nil && r.Part.Departed()
}

// Reply answers a Request. The field with the same name as in the request is set.
type Reply struct {
	State *State       `msgpack:"s"`
	Part  *split.Reply `msgpack:"p"`
}

// Handler serves the requests of other hosts.
type Handler interface {
	ServeState(ctx context.Context, r *discovery.StateRequest) *State
	// ServePart serves a part. ctx ends when the other host closes the connection.
	ServePart(ctx context.Context, r *split.Request) *split.Reply
}

// Serve accepts connections and answers their requests until ctx is done.
func Serve(ctx context.Context, l net.Listener, h Handler) {
	context.AfterFunc(ctx, func() { _ = l.Close() })
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go serveConnection(ctx, conn, h)
		}
	}
}

func serveConnection(ctx context.Context, conn net.Conn, h Handler) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	for {
		_ = conn.SetDeadline(time.Now().Add(idleTimeout))
		var request Request
		if readFrame(conn, &request) != nil || request.Format != discovery.FormatVersion {
			return
		}
		reply := handleRequest(ctx, conn, &request, h)
		if reply == nil {
			return
		}
		_ = conn.SetDeadline(time.Now().Add(replyTimeout))
		if writeFrame(conn, reply) != nil {
			return
		}
	}
}

// handleRequest returns the reply to a request, or nil if the client has closed the
// connection.
func handleRequest(ctx context.Context, conn net.Conn, r *Request, h Handler) *Reply {
	switch {
	case r.State != nil:
		return &Reply{State: h.ServeState(ctx, r.State)}
	case r.Part != nil:
		return servePart(ctx, conn, r.Part, h)
	default:
		return &Reply{}
	}
}

// servePart serves a part as long as the client keeps the connection open. It returns
// nil if the client has closed it.
func servePart(ctx context.Context, conn net.Conn, r *split.Request, h Handler) *Reply {
	r.Departed = func() bool { return dial.ClosedByPeer(conn) }
	if r.Departed() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	stopWatch := watchClose(conn, cancel)
	part := h.ServePart(ctx, r)
	if stopWatch() {
		return nil
	}
	return &Reply{Part: part}
}

// watchClose calls onClose when the other end closes the connection, on which it must
// send nothing meanwhile. The returned function ends the watch and reports whether the
// connection was closed; it can be used again only if it was not.
func watchClose(conn net.Conn, onClose func()) (stop func() (closed bool)) {
	_ = conn.SetReadDeadline(time.Time{})
	ended := make(chan bool, 1)
	go func() {
		var buf [1]byte
		_, err := conn.Read(buf[:])
		closed := !errors.Is(err, os.ErrDeadlineExceeded)
		if closed {
			onClose()
		}
		ended <- closed
	}()
	return func() bool {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		return <-ended
	}
}

// Client sends requests to other hosts. It is safe for concurrent use.
type Client struct {
	dial dial.Func

	mu   sync.Mutex
	idle map[string][]idleConn
}

type idleConn struct {
	net.Conn
	since time.Time
}

// NewClient returns a client that opens connections with open.
func NewClient(open dial.Func) *Client {
	return &Client{dial: open, idle: make(map[string][]idleConn)}
}

// ErrNotSent means that a request certainly did not reach the host.
var ErrNotSent = errors.New("peer not reached")

// Call sends a request to a host and returns its reply. It does not retry. The error
// wraps ErrNotSent if no connection could be opened, or if the caller of a part has
// disconnected by then.
func (c *Client) Call(ctx context.Context, address string, r *Request) (*Reply, error) {
	conn := c.takeIdle(address)
	if conn == nil {
		var err error
		if conn, err = c.dial(ctx, address); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrNotSent, err)
		}
	}
	if r.departed() {
		c.putIdle(address, conn)
		return nil, ErrNotSent
	}
	return c.exchange(ctx, address, conn, r)
}

func (c *Client) exchange(ctx context.Context, address string, conn net.Conn, r *Request) (*Reply, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(replyTimeout)
	}
	_ = conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	var reply Reply
	err := writeFrame(conn, r)
	if err == nil {
		err = readFrame(conn, &reply)
	}
	if err != nil {
		// The host must not receive the request after the call has ended.
		dial.Abort(conn)
		return nil, err
	}
	c.putIdle(address, conn)
	return &reply, nil
}

func (c *Client) takeIdle(address string) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conns := c.idle[address]; len(conns) > 0; conns = c.idle[address] {
		last := conns[len(conns)-1]
		c.idle[address] = conns[:len(conns)-1]
		_ = last.SetDeadline(time.Time{})
		if time.Since(last.since) < idleTimeout-idleReserve && dial.NewIdleChecker(last.Conn).Reusable() {
			return last.Conn
		}
		_ = last.Close()
	}
	delete(c.idle, address)
	return nil
}

func (c *Client) putIdle(address string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= maxIdlePerPeer {
		_ = conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], idleConn{Conn: conn, since: time.Now()})
}

// writeFrame writes a message as msgpack, preceded by its length in 4 bytes,
// big-endian.
func writeFrame(w io.Writer, message any) error {
	data, err := msgpack.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode frame")
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+4), uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

func readFrame(r io.Reader, message any) error {
	var prefix [4]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > maxFrameBytes {
		return errFrameTooLarge
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, message)
}
