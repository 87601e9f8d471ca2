package dial

import "net"

// Abort closes a connection with a reset. Unlike Close, it makes the kernel discard the
// bytes that the other end has not acknowledged, so that they are not delivered later.
func Abort(netConn net.Conn) {
	if c, ok := netConn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0)
	}
	_ = netConn.Close()
}
