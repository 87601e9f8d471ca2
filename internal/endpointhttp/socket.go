package endpointhttp

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/bodymemory"
	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
)

// maxHeadBytes bounds the status line and header of a reply.
const maxHeadBytes = 64 << 10

// errReplyTooLarge is returned for a reply of more than maxHeadBytes plus
// endpointapi.MaxReplyBytes.
var errReplyTooLarge = errors.New("reply over the size limit")

// errMemorySpent is returned for a reply that needs memory when the replies of all connections
// have taken what they may.
var errMemorySpent = errors.New("memory for replies is spent")

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
	// memory bounds the replies of all connections. size is the memory that the current reply
	// takes, and charge what it is charged, or nil.
	memory *bodymemory.Budget
	size   int64
	charge *bodymemory.Charge
	// memorySpent is set once there was no memory for the current reply. The parser of heads may
	// report another error.
	memorySpent bool
	// inHead is set while a head arrives, whose lines are counted.
	inHead bool
	lines  bodymemory.Lines

	idleChecker *dial.IdleChecker
}

func newSocket(c net.Conn) *socket {
	return &socket{Conn: c, idleChecker: dial.NewIdleChecker(c)}
}

// beginRoundTrip resets the counters and netErr before a request is written.
func (s *socket) beginRoundTrip() {
	s.written = 0
	s.readAllowance = maxHeadBytes
	s.netErr = nil
	s.size = 0
	s.inHead, s.lines = true, bodymemory.Lines{}
	s.memorySpent = false
	s.charge = s.memory.NewCharge()
}

// beginBody is called when the head of a reply has been read.
func (s *socket) beginBody() {
	s.readAllowance += endpointapi.MaxReplyBytes + 1
	s.inHead = false
}

// takeCharge returns the charge of the current reply, which the caller takes over.
func (s *socket) takeCharge() *bodymemory.Charge {
	charge := s.charge
	s.charge = nil
	return charge
}

// endRoundTrip releases the charge of the current reply, unless it was taken over.
func (s *socket) endRoundTrip() { s.takeCharge().Release() }

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
	n, err := s.Conn.Read(p[:min(len(p), s.readAllowance)])
	s.readAllowance -= n
	s.size += int64(n)
	if s.inHead {
		s.size += s.lines.Arrived(p[:n])
	}
	if n > 0 && s.progressAt.Load() != 0 {
		s.progressAt.Store(time.Now().UnixNano())
	}
	if err != nil {
		s.netErr = err
	}
	if !s.charge.Grow(s.size) {
		s.memorySpent = true
		return 0, errMemorySpent
	}
	return n, err
}

// reusable reports whether the connection is open and has no unread bytes. Unread
// bytes would be taken for the reply to the next request.
func (s *socket) reusable() bool { return s.idleChecker.Reusable() }
