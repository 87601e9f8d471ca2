package peer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// session is one accepted connection.
type session struct {
	server  *Server
	conn    net.Conn
	reader  *bufio.Reader
	from    string
	version uint8
	// calls bounds the requests that run at once.
	calls   chan struct{}
	running sync.WaitGroup

	mu    sync.Mutex
	ready bool
	// parting tells that the goodbye was asked for.
	parting bool
}

func newSession(s *Server, conn net.Conn) *session {
	return &session{
		server: s,
		conn:   conn,
		reader: bufio.NewReader(conn),
		calls:  make(chan struct{}, s.config.CallLimit),
	}
}

// serve reads messages until the connection ends, and then waits for the
// requests that still run.
func (c *session) serve() {
	defer c.conn.Close()
	if err := c.greet(); err != nil {
		c.count(err)
		return
	}
	c.server.counters.opened()
	for {
		if err := c.next(); err != nil {
			c.count(err)
			break
		}
	}
	c.running.Wait()
	c.server.counters.broken(breakClosed)
}

// count counts why a connection ended, unless the peer closed it in order.
func (c *session) count(err error) {
	if !errors.Is(err, io.EOF) {
		c.server.counters.refused(err)
	}
}

// greet exchanges hellos.
func (c *session) greet() error {
	_ = c.conn.SetDeadline(time.Now().Add(c.server.config.DialTimeout))
	hello, err := readHello(c.reader)
	if err != nil {
		return err
	}
	c.from = hello.From
	c.version = min(hello.Version, peerwire.Version)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := sendHello(c.conn, c.server.config.Self); err != nil {
		return unreachable("answering the hello of %s: %v", c.from, err)
	}
	_ = c.conn.SetDeadline(time.Time{})
	c.ready = true
	if c.parting {
		c.writeLocked(peerwire.KindGoodbye, 0, nil)
	}
	return nil
}

// next reads and handles one frame.
func (c *session) next() error {
	silence := serverSilenceFactor * c.server.config.SilenceTimeout
	_ = c.conn.SetReadDeadline(time.Now().Add(silence))
	frame, err := ReadFrame(c.reader)
	if err != nil {
		return err
	}
	if !frame.Kind.Valid() {
		c.refuse(frame, result.Errorf(result.FrameVersion, "frame kind %d is not known", frame.Kind))
		return nil
	}
	c.server.counters.received[frame.Kind].Inc()
	err = c.handle(frame)
	if err != nil {
		c.write(peerwire.KindRefusal, frame.ID, peerwire.Refusal{Code: result.FrameInvalid})
	}
	return err
}

// refuse counts a frame that is skipped and tells a sender that waits.
func (c *session) refuse(frame Frame, err *result.Error) {
	c.server.counters.refused(err)
	if frame.ID != 0 {
		c.write(peerwire.KindRefusal, frame.ID, peerwire.Refusal{Code: err.Code})
	}
}

// goodbye tells the peer to send nothing more over this connection.
func (c *session) goodbye() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parting = true
	if c.ready {
		c.writeLocked(peerwire.KindGoodbye, 0, nil)
	}
}

func (c *session) write(kind peerwire.Kind, id uint64, message any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeLocked(kind, id, message)
}

// writeLocked writes an answer. If that fails the connection is closed, which
// tells the peer that the outcome is unknown.
func (c *session) writeLocked(kind peerwire.Kind, id uint64, message any) {
	data, err := AppendFrame(nil, c.version, kind, id, message)
	if err != nil {
		c.server.counters.refused(err)
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
