package dial

import (
	"net"
	"syscall"
)

// Abort closes a connection with a reset. Unlike Close, it makes the kernel discard the
// bytes that the other end has not acknowledged, so that they are not delivered later.
func Abort(netConn net.Conn) {
	if c, ok := netConn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0)
	}
	_ = netConn.Close()
}

// ClosedByPeer reports whether the other end has closed or reset a connection. It
// neither blocks nor consumes bytes, and may be called during a Read. It reports false
// while unread bytes precede the end, and for a connection without a file descriptor,
// which it can't check.
func ClosedByPeer(netConn net.Conn) bool {
	n, err := peek(netConn)
	return err == nil && n == 0 || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
}

// Interrupted reports whether the other end has closed or reset a connection, or has
// sent bytes that are not read yet. Otherwise it is like ClosedByPeer.
func Interrupted(netConn net.Conn) bool {
	_, err := peek(netConn)
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// peek reads one byte without consuming it and without blocking. For a connection that
// has no open file descriptor it returns EAGAIN, as for an idle connection.
func peek(netConn net.Conn) (n int, err error) {
	err = syscall.EAGAIN
	withDescriptor(netConn, func(fd int) {
		var buf [1]byte
		n, _, err = syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, err
}

// withDescriptor calls f with the file descriptor of a connection, if it has one that is
// open.
func withDescriptor(netConn net.Conn, f func(fd int)) {
	sysConn, ok := netConn.(syscall.Conn)
	if !ok {
		return
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return
	}
	_ = rawConn.Control(func(fd uintptr) { f(int(fd)) })
}
