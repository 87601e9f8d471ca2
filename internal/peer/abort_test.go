package peer

import (
	"io"
	"net"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against the delivery of messages, by the kernel, after their loss was reported:
// a connection that may have lost messages is reset.
func TestConnectionWithLostMessagesIsReset(t *testing.T) {
	for reason, want := range map[endReason]error{
		endClosed: syscall.ECONNRESET, endSilent: syscall.ECONNRESET, endWriteFailed: syscall.ECONNRESET,
		endGoodbye: io.EOF, endIdle: io.EOF, endStopped: io.EOF,
	} {
		t.Run(string(reason), func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			clientEnd, err := net.Dial("tcp", l.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			serverEnd, err := l.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			defer serverEnd.Close()
			(&connection{conn: clientEnd}).close(reason)
			_, err = serverEnd.Read(make([]byte, 1))
			g.Expect(err).To(MatchError(want))
		})
	}
}
