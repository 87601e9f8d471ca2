package dial

import (
	"net"
	"syscall"
)

// IdleChecker tells whether an idle connection is open and has nothing to read.
type IdleChecker struct {
	raw  syscall.RawConn
	peek func(fd uintptr) bool
	open bool
}

// NewIdleChecker returns the look at a connection.
func NewIdleChecker(c net.Conn) *IdleChecker {
	l := &IdleChecker{}
	if tcp, ok := c.(syscall.Conn); ok {
		l.raw, _ = tcp.SyscallConn()
	}
	l.peek = l.look
	return l
}

// Reusable reports whether the connection is open and has no unread bytes. It does
// not block and consumes nothing. The connection's deadline must not have passed.
func (l *IdleChecker) Reusable() bool {
	if l.raw == nil {
		return true
	}
	l.open = false
	err := l.raw.Read(l.peek)
	return err == nil && l.open
}

func (l *IdleChecker) look(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	l.open = err == syscall.EAGAIN
	return true
}
