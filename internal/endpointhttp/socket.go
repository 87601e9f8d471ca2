package endpointhttp

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
)

// maxHeadBytes bounds the status line and header of a reply.
const maxHeadBytes = 64 << 10

// errReplyTooLarge is returned for a reply of more than maxHeadBytes plus
// endpointapi.MaxReplyBytes.
var errReplyTooLarge = errors.New("reply over the size limit")

// socket is a connection that counts the bytes written for the current request,
// limits the size of the reply, and records network errors, so that they can be told
// apart from errors in the reply.
type socket struct {
	net.Conn
	// written counts the bytes of the request that the kernel accepted.
	written int
	// readAllowance is the number of bytes of the reply that may still be read.
	readAllowance int
	// progressAt is the Unix time in nanoseconds at which the attempt in flight was
	// started or a byte of its reply was last read, or zero without an attempt.
	progressAt atomic.Int64
	// netErr is the error of the last failed read from the network, or nil.
	netErr error

	idleChecker *dial.IdleChecker
}

func newSocket(c net.Conn) *socket {
	return &socket{Conn: c, idleChecker: dial.NewIdleChecker(c)}
}

// beginRoundTrip resets the counters and netErr before a request is written.
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

// reusable reports whether the connection is open and has no unread bytes. Unread
// bytes would be taken for the reply to the next request.
func (s *socket) reusable() bool { return s.idleChecker.Reusable() }
