package peer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/callerconn"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// session serves one accepted connection.
type session struct {
	server *Server
	conn   net.Conn
	// guarded is the connection if it is subject to a guard, or nil.
	guarded *callerconn.Conn
	reader  *bufio.Reader
	from    string
	version uint8
	// requestSlots has one entry for each request that is being handled; its capacity
	// is the call limit.
	requestSlots chan struct{}
	running      sync.WaitGroup

	mu              sync.Mutex
	hellosExchanged bool
	// goodbyeRequested is true once sendGoodbye was called. Before the hello, the
	// goodbye itself is delayed until the hello is sent.
	goodbyeRequested bool
}

// newSession returns the session of a connection, or nil if there is no room for it.
func newSession(s *Server, conn net.Conn) *session {
	c := &session{server: s, conn: conn, requestSlots: make(chan struct{}, s.config.CallLimit)}
	if tcp, ok := conn.(*net.TCPConn); ok && s.config.Guard != nil {
		if c.guarded = s.config.Guard.Wrap(tcp, nil); c.guarded == nil {
			return nil
		}
		c.conn = c.guarded
	}
	c.reader = bufio.NewReader(c.conn)
	return c
}

// serve reads messages until the connection ends, and then waits for the requests
// that are still being handled.
func (c *session) serve() {
	defer c.guarded.Closed()
	defer c.conn.Close()
	if err := c.exchangeHellos(); err != nil {
		c.countError(err)
		return
	}
	c.server.counters.connectionOpened()
	c.server.peerConnected(c.from)
	err := c.handleFrames()
	c.countError(err)
	// A peer that may have lost messages resets the connection; otherwise it closes it.
	c.server.peerDisconnected(c.from, !errors.Is(err, io.EOF))
	c.running.Wait()
	c.server.counters.connectionEnded(endClosed)
}

// handleFrames handles frames until the connection ends, and returns the reason.
func (c *session) handleFrames() error {
	for {
		if err := c.handleNextFrame(); err != nil {
			return err
		}
	}
}

// countError counts the error that ended a connection, unless the peer closed it
// normally.
func (c *session) countError(err error) {
	if !errors.Is(err, io.EOF) {
		c.server.counters.countRefusal(err)
	}
}

// exchangeHellos reads the peer's hello and answers it.
func (c *session) exchangeHellos() error {
	_ = c.conn.SetDeadline(time.Now().Add(c.server.config.DialTimeout))
	hello, err := readGuardedHello(c.reader, c.guarded)
	if err != nil {
		return err
	}
	c.from = hello.From
	c.version = min(hello.Version, peerwire.Version)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := sendHello(c.conn, c.server.config.Self); err != nil {
		return peerUnreachable("answering the hello of %s: %v", c.from, err)
	}
	_ = c.conn.SetDeadline(time.Time{})
	c.hellosExchanged = true
	if c.goodbyeRequested {
		c.writeFrameLocked(peerwire.KindGoodbye, 0, nil)
	}
	return nil
}

// handleNextFrame reads and handles one frame. After an error the connection cannot be
// used any longer.
func (c *session) handleNextFrame() error {
	silence := serverSilenceFactor * c.server.config.SilenceTimeout
	_ = c.conn.SetReadDeadline(time.Now().Add(silence))
	c.guarded.FrameHandled() // The connection is kept, since requests may run.
	frame, err := readGuardedFrame(c.reader, c.guarded)
	if err != nil {
		return err
	}
	if !frame.Kind.Valid() {
		c.refuseFrame(frame, result.Errorf(result.FrameVersion, "unknown frame kind %d", frame.Kind))
		return nil
	}
	c.server.counters.received[frame.Kind].Inc()
	err = c.handleFrame(frame)
	if err != nil {
		c.writeFrame(peerwire.KindRefusal, frame.ID, peerwire.Refusal{Code: result.FrameInvalid})
	}
	return err
}

// refuseFrame counts a frame that is not handled. If it is a request, it answers with a
// refusal.
func (c *session) refuseFrame(frame Frame, err *result.Error) {
	c.server.counters.countRefusal(err)
	if frame.ID != 0 {
		c.writeFrame(peerwire.KindRefusal, frame.ID, peerwire.Refusal{Code: err.Code})
	}
}

// sendGoodbye tells the peer to send nothing more over this connection.
func (c *session) sendGoodbye() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.goodbyeRequested = true
	if c.hellosExchanged {
		c.writeFrameLocked(peerwire.KindGoodbye, 0, nil)
	}
}

func (c *session) writeFrame(kind peerwire.Kind, id uint64, message any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeFrameLocked(kind, id, message)
}

// writeFrameLocked writes a frame; the caller holds mu. If that fails, it closes the
// connection, so that the outcome of unanswered requests is unknown to the peer.
func (c *session) writeFrameLocked(kind peerwire.Kind, id uint64, message any) {
	data, err := AppendFrame(nil, c.version, kind, id, message)
	if err != nil {
		c.server.counters.countRefusal(err)
		c.conn.Close()
		return
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.server.config.WriteTimeout))
	if _, err := c.conn.Write(data); err != nil {
		c.conn.Close()
		return
	}
	c.server.counters.sent[kind].Inc()
}
