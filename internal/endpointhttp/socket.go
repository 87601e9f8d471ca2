package endpointhttp

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
)

// maxHeadBytes bounds the head of a reply.
const maxHeadBytes = 64 << 10

// errReplyTooLarge ends the reading of a reply that is over the bounds.
var errReplyTooLarge = errors.New("reply over the size limit")

// socket is a connection that knows what was written to it for the request at
// hand, and whether a failed read was the network's fault or the reply's.
type socket struct {
	net.Conn
	// written counts the bytes that the kernel took.
	written int
	// allowance is how many bytes of the reply may still be read.
	allowance int
	// busySince is the Unix time in nanoseconds of the last byte written or read
	// for the attempt in flight, or zero.
	busySince atomic.Int64
	// readErr is the error of the network, if there was one.
	readErr error

	look *dial.IdleChecker
}

func newSocket(c net.Conn) *socket {
	return &socket{Conn: c, look: dial.NewIdleChecker(c)}
}

// begin starts the exchange of a request and its reply.
func (s *socket) begin() {
	s.written = 0
	s.allowance = maxHeadBytes + endpointapi.MaxReplyBytes + 1
	s.readErr = nil
}

// Write implements io.Writer.
func (s *socket) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.written += n
	return n, err
}

// Read implements io.Reader.
func (s *socket) Read(p []byte) (int, error) {
	if s.allowance <= 0 {
		return 0, errReplyTooLarge
	}
	n, err := s.Conn.Read(p)
	s.allowance -= n
	if n > 0 && s.busySince.Load() != 0 {
		s.busySince.Store(time.Now().UnixNano())
	}
	if err != nil {
		s.readErr = err
	}
	return n, err
}

// quiet reports whether the connection is open and has no unread bytes, so that a
// request is not written to a connection that the endpoint has closed or whose
// replies are out of step.
func (s *socket) quiet() bool { return s.look.Reusable() }
