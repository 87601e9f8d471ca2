package testsuite

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
)

const (
	// stalledReceiveBuffer is the size in bytes of the receive buffer of a
	// StalledReceiver.
	stalledReceiveBuffer = 4 << 10
	// StalledMessageBytes is the size of a message that exceeds the receive buffer of a
	// StalledReceiver but fits into a send buffer.
	StalledMessageBytes = 256 << 10
)

// StalledReceiver accepts one TCP connection and reads nothing of it but the first byte
// until Resume is called. Its small receive buffer keeps most of a message in the send
// buffer of the sender, without an acknowledgement.
type StalledReceiver struct {
	// Address is the address that it listens on.
	Address string
	// Arrived is closed when the first byte has arrived.
	Arrived chan struct{}

	resume chan struct{}
	total  chan int64
}

// NewStalledReceiver returns a receiver that listens on loopback until the test ends.
func NewStalledReceiver(t testing.TB) *StalledReceiver {
	t.Helper()
	config := net.ListenConfig{Control: setReceiveBuffer}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	r := &StalledReceiver{Address: l.Addr().String(), Arrived: make(chan struct{}), resume: make(chan struct{}), total: make(chan int64, 1)}
	go r.receive(l)
	return r
}

func setReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, stalledReceiveBuffer)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

func (r *StalledReceiver) receive(l net.Listener) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.ReadFull(conn, make([]byte, 1))
	close(r.Arrived)
	<-r.resume
	n, _ := io.Copy(io.Discard, conn)
	r.total <- n + 1
}

// Resume reads the connection to its end and returns the number of bytes that it
// delivered in all.
func (r *StalledReceiver) Resume() int64 {
	close(r.resume)
	return <-r.total
}
