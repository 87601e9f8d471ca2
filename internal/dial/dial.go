// Package dial opens TCP connections and checks whether idle ones can be reused.
package dial

import (
	"context"
	"net"
)

// Func opens a connection to an address of the form IP:port.
type Func = func(ctx context.Context, address string) (net.Conn, error)

// TCP is a Func that opens TCP connections.
func TCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
