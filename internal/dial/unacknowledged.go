package dial

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged reports whether bytes that were written to a TCP connection have not
// been acknowledged by the other end. It reports false for a connection without a file
// descriptor, which it can't check.
func Unacknowledged(netConn net.Conn) bool {
	sysConn, ok := netConn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	bytes := 0
	_ = rawConn.Control(func(fd uintptr) { bytes, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err == nil && bytes > 0
}
