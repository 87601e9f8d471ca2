package testsuite

import (
	"net"
	"sync/atomic"
)

// CountingConn counts the bytes that are read from a connection.
type CountingConn struct {
	net.Conn
	// Received is the number of bytes.
	Received *atomic.Int64
}

// Read implements net.Conn.
func (c CountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Received.Add(int64(n))
	return n, err
}
