package dial

import (
	"net"
	"syscall"
)

// IdleChecker checks whether an idle connection can carry another request.
type IdleChecker struct {
	// rawConn is nil if the connection has no file descriptor.
	rawConn syscall.RawConn
	// peekFunc is the method value of peek, kept so that Reusable does not allocate one
	// for each call.
	peekFunc func(fd uintptr) bool
	// wouldBlock is the result of the last peek: the connection is open and has no
	// unread bytes.
	wouldBlock bool
}

// NewIdleChecker returns a checker of a connection.
func NewIdleChecker(netConn net.Conn) *IdleChecker {
	checker := &IdleChecker{}
	if sysConn, ok := netConn.(syscall.Conn); ok {
		checker.rawConn, _ = sysConn.SyscallConn()
	}
	checker.peekFunc = checker.peek
	return checker
}

// Reusable reports whether the connection is open and has no unread bytes. It
// neither blocks nor consumes bytes. It reports false if the read deadline of the
// connection has passed, and true for a connection without a file descriptor, which
// it can't check.
func (c *IdleChecker) Reusable() bool {
	if c.rawConn == nil {
		return true
	}
	c.wouldBlock = false
	err := c.rawConn.Read(c.peekFunc)
	return err == nil && c.wouldBlock
}

// peek reads one byte without consuming it and without blocking. It returns true so
// that rawConn.Read does not wait for the connection to become readable.
func (c *IdleChecker) peek(fd uintptr) bool {
	var buf [1]byte
	_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.wouldBlock = err == syscall.EAGAIN
	return true
}
