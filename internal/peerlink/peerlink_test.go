package peerlink_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/discovery"
	"github.com/gypsumlug/gypsumlug/internal/peerlink"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

type handler struct{ delay time.Duration }

func (h handler) ServeState(context.Context, *discovery.StateRequest) *peerlink.State {
	return &peerlink.State{Revision: 7}
}

func (h handler) ServePart(_ context.Context, r *split.Request) *split.Reply {
	time.Sleep(h.delay)
	return &split.Reply{Attempts: len(r.Shards)}
}

func serve(t *testing.T, h peerlink.Handler) (string, context.CancelFunc) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go peerlink.NewServer(h).Serve(ctx, l)
	return l.Addr().String(), cancel
}

func partRequest(shards ...int) *peerlink.Request {
	return &peerlink.Request{Format: discovery.FormatVersion, Part: &split.Request{Shards: shards}}
}

func TestRequestsReuseConnection(t *testing.T) {
	g := NewWithT(t)
	address, _ := serve(t, handler{})
	var dials atomic.Int32
	c := peerlink.NewClient(func(ctx context.Context, a string) (net.Conn, error) {
		dials.Add(1)
		return dial.TCP(ctx, a)
	})
	for range 5 {
		reply, err := c.Call(context.Background(), address, partRequest(1, 2, 3))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.Part.Attempts).To(Equal(3))
		reply, err = c.Call(context.Background(), address, &peerlink.Request{Format: discovery.FormatVersion, State: &discovery.StateRequest{}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.State.Revision).To(BeEquivalentTo(7))
	}
	g.Expect(dials.Load()).To(BeEquivalentTo(1))
}

// A reply that arrives after the caller's deadline is not taken as the reply to a later
// request.
func TestLateReplyIsDiscarded(t *testing.T) {
	g := NewWithT(t)
	address, _ := serve(t, handler{delay: 50 * time.Millisecond})
	c := peerlink.NewClient(dial.TCP)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err := c.Call(ctx, address, partRequest(1))
	g.Expect(err).To(HaveOccurred())
	reply, err := c.Call(context.Background(), address, partRequest(1, 2))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Part.Attempts).To(Equal(2))
}

// An idle connection to a host that has restarted is replaced by a new one.
func TestClosedConnectionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	address, stop := serve(t, handler{})
	c := peerlink.NewClient(dial.TCP)
	_, err := c.Call(context.Background(), address, partRequest(1))
	g.Expect(err).NotTo(HaveOccurred())
	stop()
	var l net.Listener
	g.Eventually(func() error {
		l, err = net.Listen("tcp", address)
		return err
	}).Should(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go peerlink.NewServer(handler{}).Serve(ctx, l)
	g.Eventually(func() error {
		_, err := c.Call(context.Background(), address, partRequest(1))
		return err
	}).Should(Succeed())
}

// Bytes that are not a request, requests of another format and oversized frames close
// their own connection and do not affect others.
func TestBadFrameClosesItsConnection(t *testing.T) {
	g := NewWithT(t)
	address, _ := serve(t, handler{})
	for _, bytes := range []string{"GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff", "\x00\x00\x00\x02\xc1\xc1", "\x00\x00\x00\x00"} {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = conn.Write([]byte(bytes))
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = conn.Read(make([]byte, 1))
		g.Expect(err).To(HaveOccurred())
		_ = conn.Close()
	}
	c := peerlink.NewClient(dial.TCP)
	_, err := c.Call(context.Background(), address, &peerlink.Request{Format: discovery.FormatVersion + 1, Part: &split.Request{}})
	g.Expect(err).To(HaveOccurred())
	_, err = c.Call(context.Background(), address, partRequest())
	g.Expect(err).NotTo(HaveOccurred())
}

// gatedHandler serves a part once its gate is open.
type gatedHandler struct {
	handler
	gate chan struct{}
}

func (h gatedHandler) ServePart(context.Context, *split.Request) *split.Reply {
	<-h.gate
	return &split.Reply{}
}

// Guards against a host that ends before the last reply to a part has been written: the
// part is in progress until then.
func TestPartIsInProgressUntilItsReplyIsWritten(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h := gatedHandler{gate: make(chan struct{})}
	server := peerlink.NewServer(h)
	go server.Serve(ctx, l)
	g.Expect(server.PartsInProgress()).To(BeZero())
	replies := make(chan error, 1)
	go func() {
		_, err := peerlink.NewClient(dial.TCP).Call(ctx, l.Addr().String(), partRequest(1))
		replies <- err
	}()
	g.Eventually(server.PartsInProgress, 10*time.Second).Should(Equal(1))
	close(h.gate)
	g.Eventually(server.PartsInProgress, 10*time.Second).Should(BeZero())
	g.Eventually(replies, 10*time.Second).Should(Receive(BeNil()))
}
