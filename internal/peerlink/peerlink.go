// Package peerlink sends requests between entry hosts as msgpack in length-prefixed TCP
// frames. A connection carries one request and its replies at a time; idle connections
// are kept and reused.
//
// A request for a part of a query may get several replies. Once it has got the first one,
// a client that wants no more sends a stop and reads the last reply, so that the
// connection stays in use. Before that it resets the connection.
package peerlink

import (
	"bytes"
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

	"github.com/gypsumlug/gypsumlug/internal/callerconn"
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
	// stopTimeout limits the time until the last reply to a part that was stopped.
	stopTimeout = 500 * time.Millisecond
	// readBufferBytes is the size of the read buffer of a server's connection.
	readBufferBytes = 4 << 10
	// lengthBytes is the size of the length before a message, and smallRequestBytes about that
	// of a request without its body.
	lengthBytes       = 4
	smallRequestBytes = 1 << 10
)

var errFrameTooLarge = errors.New("frame over the size limit")

// Request is a request between hosts. Exactly one field besides Format is set.
type Request struct {
	Format int                     `msgpack:"f"`
	State  *discovery.StateRequest `msgpack:"s"`
	Part   *split.Request          `msgpack:"p"`
	// Stop ends the part that the connection carries. It has no reply of its own, and is
	// ignored if the part has ended.
	Stop bool `msgpack:"x,omitempty"`
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

// Client sends requests to other hosts. It is safe for concurrent use.
type Client struct {
	dial     dial.Func
	outgoing outgoing
	// OnTransfer is called after each request that was sent, with the bytes of the request
	// and of its replies. reply is the last one, or nil. It may be nil, and is set before
	// the first request.
	OnTransfer func(address string, r *Request, reply *Reply, sent, received int)

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
// wraps ErrNotSent if no connection could be opened, if the caller of a part has
// disconnected by then, or if too many large requests are being written.
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
	if !c.outgoing.acquire(r) {
		c.putIdle(address, conn)
		return nil, fmt.Errorf("%w: too many large requests are being written", ErrNotSent)
	}
	return c.exchange(ctx, address, conn, r)
}

// exchange writes a request and reads its replies. It returns the last one and passes
// those before it to the part's OnPartial.
func (c *Client) exchange(ctx context.Context, address string, conn net.Conn, r *Request) (*Reply, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(replyTimeout)
	}
	_ = conn.SetDeadline(deadline)
	release := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	counted := &countedStream{ReadWriter: conn}
	var last *Reply
	defer func() { c.reportTransfer(address, r, last, counted) }()
	err := writeFrame(counted, r)
	c.outgoing.release(r)
	for replies := 0; err == nil; replies++ {
		var reply Reply
		err = readFrame(counted, &reply)
		switch {
		case err == nil && reply.Part != nil && reply.Part.More:
			if r.Part != nil && r.Part.OnPartial != nil {
				r.Part.OnPartial(reply.Part)
			}
		case err == nil:
			if release() {
				c.putIdle(address, conn)
			} else { // The end of ctx may change the deadline of the connection at any time.
				_ = conn.Close()
			}
			last = &reply
			return last, nil
		case replies > 0 && errors.Is(err, errNoFrame):
			release()
			go c.stopPart(address, conn)
			return nil, err
		}
	}
	release()
	// The host must not receive the request after the call has ended.
	dial.Abort(conn)
	return nil, err
}

// countedStream counts the bytes that are read and written.
type countedStream struct {
	io.ReadWriter
	read, written int
}

// Read implements io.Reader.
func (s *countedStream) Read(p []byte) (int, error) {
	n, err := s.ReadWriter.Read(p)
	s.read += n
	return n, err
}

// Write implements io.Writer.
func (s *countedStream) Write(p []byte) (int, error) {
	n, err := s.ReadWriter.Write(p)
	s.written += n
	return n, err
}

// reportTransfer reports the bytes of a request and its replies.
func (c *Client) reportTransfer(address string, r *Request, reply *Reply, s *countedStream) {
	if c.OnTransfer != nil && s.written > 0 {
		c.OnTransfer(address, r, reply, s.written, s.read)
	}
}

// stopPart stops the part that a connection carries, and keeps the connection once the
// last reply has come.
func (c *Client) stopPart(address string, conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(stopTimeout))
	err := writeFrame(conn, &Request{Format: discovery.FormatVersion, Stop: true})
	for err == nil {
		var reply Reply
		if err = readFrame(conn, &reply); err == nil && (reply.Part == nil || !reply.Part.More) {
			c.putIdle(address, conn)
			return
		}
	}
	dial.Abort(conn)
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
	frame, err := encodeFrame(message)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}

func encodeFrame(message any) ([]byte, error) {
	var frame bytes.Buffer
	if r, ok := message.(*Request); ok {
		frame.Grow(r.bodyBytes() + smallRequestBytes)
	}
	frame.Write(make([]byte, lengthBytes))
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&frame)
	if err := encoder.Encode(message); err != nil {
		return nil, eris.Wrap(err, "encode frame")
	}
	binary.BigEndian.PutUint32(frame.Bytes(), uint32(frame.Len()-lengthBytes))
	return frame.Bytes(), nil
}

// errNoFrame means that the deadline passed before the first byte of a frame.
var errNoFrame = errors.New("no frame before the deadline")

func readFrame(r io.Reader, message any) error { return readGuardedFrame(r, message, nil) }

// readGuardedFrame reads a frame whose memory is charged to a connection, which may be nil.
func readGuardedFrame(r io.Reader, message any, conn *callerconn.Conn) error {
	var prefix [4]byte
	if n, err := io.ReadFull(r, prefix[:]); err != nil {
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			return fmt.Errorf("%w: %w", errNoFrame, err)
		}
		return err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > maxFrameBytes {
		return errFrameTooLarge
	}
	// The message takes memory as it arrives, whatever its size is said to be.
	data, err := conn.ReadBody(io.LimitReader(r, int64(size)), int64(size))
	if err == nil && len(data) < int(size) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(data, message)
}
