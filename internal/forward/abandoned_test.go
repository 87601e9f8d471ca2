package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/forward"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// bodyCodec is a testCodec that sends the body of the message.
type bodyCodec struct{ testCodec }

func (bodyCodec) Encode(buf []byte, req *dispatch.Request, _ time.Duration) []byte {
	buf = fmt.Appendf(buf, "POST / HTTP/1.1\r\nHost: x\r\nId: %s\r\nContent-Length: %d\r\n\r\n", req.Message.ID, len(req.Message.Body))
	return append(buf, req.Message.Body...)
}

const (
	// smallReceiveBuffer is the receive buffer of a replica that can take only the
	// beginning of a request. largeRequest exceeds it but fits a send buffer.
	smallReceiveBuffer = 4 << 10
	largeRequest       = 256 << 10
)

// listenWithSmallBuffer returns a listener whose connections take few bytes until they
// are read.
func listenWithSmallBuffer(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Guards against the delivery of a request, by the kernel, after its attempt was given
// up: the replica would work for a caller that has left.
func TestAbandonedRequestIsNotDeliveredLater(t *testing.T) {
	g := NewWithT(t)
	l := listenWithSmallBuffer(t)
	arrived, resume := make(chan struct{}), make(chan struct{})
	delivered := make(chan bool, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r := bufio.NewReaderSize(c, 16)
		_, _ = r.Peek(1)
		close(arrived)
		<-resume
		req, err := http.ReadRequest(r)
		if err == nil {
			_, err = io.ReadAll(req.Body)
		}
		delivered <- err == nil
	}()
	counter := &connectionCounter{}
	c := forward.New(bodyCodec{}, dial.TCP, counter)
	c.SetTargets([]forward.Target{{Key: "r", Address: l.Addr().String(), MaxConnections: 1}})
	req := newRequest("a", time.Minute)
	req.Message.Body = bytes.Repeat([]byte("x"), largeRequest)
	replies := make(chan dispatch.Reply, 1)
	c.Send(req, func(r dispatch.Reply) { replies <- r })
	g.Eventually(arrived, 10*time.Second).Should(BeClosed())
	c.Cancel(req.Key)
	g.Eventually(replies, 10*time.Second).Should(Receive(HaveField("Code", result.Cancelled)))
	close(resume)
	g.Eventually(delivered, 10*time.Second).Should(Receive(BeFalse()))
	g.Expect(counter.abandoned.Load()).To(BeEquivalentTo(1))
	g.Expect(counter.unacknowledged.Load()).To(BeEquivalentTo(1))
}
