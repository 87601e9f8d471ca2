// Package dial opens the connections of a host to others.
package dial

import (
	"context"
	"net"
)

// Func opens a connection to an address, IP and port.
type Func = func(ctx context.Context, address string) (net.Conn, error)

// TCP is the Func that opens a TCP connection.
func TCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
