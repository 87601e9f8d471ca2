package dial

import (
	"net"

	"golang.org/x/sys/unix"
)

// Unacknowledged reports whether bytes that were written to a TCP connection have not
// been acknowledged by the other end. It reports false for a connection without a file
// descriptor, which it can't check.
func Unacknowledged(netConn net.Conn) bool {
	unacknowledged := false
	withDescriptor(netConn, func(fd int) {
		bytes, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		unacknowledged = err == nil && bytes > 0
	})
	return unacknowledged
}
