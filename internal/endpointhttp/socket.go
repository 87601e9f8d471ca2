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
	// readAllowance is how many bytes of the reply may still be read.
	readAllowance int
	// progressAt is the Unix time in nanoseconds of the last byte written or read
	// for the attempt in flight, or zero.
	progressAt atomic.Int64
	// netErr is the error of the network, if there was one.
	netErr error

	idleChecker *dial.IdleChecker
}

func newSocket(c net.Conn) *socket {
	return &socket{Conn: c, idleChecker: dial.NewIdleChecker(c)}
}

// beginRoundTrip starts the exchange of a request and its reply.
func (s *socket) beginRoundTrip() {
	s.written = 0
	s.readAllowance = maxHeadBytes + endpointapi.MaxReplyBytes + 1
	s.netErr = nil
}

// Write implements io.Writer.
func (s *socket) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.written += n
	return n, err
}

// Read implements io.Reader.
func (s *socket) Read(p []byte) (int, error) {
	if s.readAllowance <= 0 {
		return 0, errReplyTooLarge
	}
	n, err := s.Conn.Read(p)
	s.readAllowance -= n
	if n > 0 && s.progressAt.Load() != 0 {
		s.progressAt.Store(time.Now().UnixNano())
	}
	if err != nil {
		s.netErr = err
	}
	return n, err
}

// reusable reports whether the connection is open and has no unread bytes, so that a
// request is not written to a connection that the endpoint has closed or whose
// replies are out of step.
func (s *socket) reusable() bool { return s.idleChecker.Reusable() }
