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
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/peerlink"
	"github.com/gypsumlug/gypsumlug/internal/split"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

// patience bounds the waits for events that come at once on correct code.
const patience = 10 * time.Second

// blockingHandler serves a part until its context ends.
type blockingHandler struct{ started, ended chan struct{} }

func newBlockingHandler() blockingHandler {
	return blockingHandler{started: make(chan struct{}, 1), ended: make(chan struct{}, 1)}
}

func (h blockingHandler) ServeState(context.Context, *discovery.StateRequest) *peerlink.State {
	return &peerlink.State{}
}

func (h blockingHandler) ServePart(ctx context.Context, _ *split.Request) *split.Reply {
	h.started <- struct{}{}
	<-ctx.Done()
	h.ended <- struct{}{}
	return nil
}

// startServer serves the requests of other hosts with h until the test ends, and returns
// its address.
func startServer(t *testing.T, h peerlink.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go peerlink.NewServer(h).Serve(ctx, l)
	return l.Addr().String()
}

// Guards against work that goes on for a caller that has left: the host that serves a
// part must end it when the host that asked for it gives up.
func TestPartEndsWhenAskingHostCancels(t *testing.T) {
	g := NewWithT(t)
	h := newBlockingHandler()
	address := startServer(t, h)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := peerlink.NewClient(dial.TCP).Call(ctx, address, partRequest(1))
		failed <- err
	}()
	g.Eventually(h.started, patience).Should(Receive())
	cancel()
	g.Eventually(failed, patience).Should(Receive(HaveOccurred()))
	g.Eventually(h.ended, patience).Should(Receive())
}

// Guards against starting a part that nobody waits for: a host that was suspended finds
// the request and the end of its connection together.
func TestRequestOnClosedConnectionIsNotServed(t *testing.T) {
	g := NewWithT(t)
	h := newBlockingHandler()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	c := peerlink.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial.TCP(ctx, address)
		return cancelOnRead{Conn: conn, cancel: cancel}, err
	})
	_, err = c.Call(ctx, l.Addr().String(), partRequest(1))
	g.Expect(err).To(HaveOccurred())
	serveCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go peerlink.NewServer(h).Serve(serveCtx, l)
	served := newBlockingHandler()
	go func() {
		// A connection that is accepted after the first one shows that the first one
		// was handled.
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte("not a request"))
		_, _ = conn.Read(make([]byte, 1))
		served.ended <- struct{}{}
	}()
	g.Eventually(served.ended, patience).Should(Receive())
	g.Consistently(h.started).ShouldNot(Receive())
}

// cancelOnRead cancels a call once its request has been written.
type cancelOnRead struct {
	net.Conn
	cancel context.CancelFunc
}

func (c cancelOnRead) Read(p []byte) (int, error) {
	c.cancel()
	return c.Conn.Read(p)
}

// Guards against the delivery of a request, by the kernel, after the asking host has
// cancelled it.
func TestCancelledRequestIsNotDeliveredLater(t *testing.T) {
	g := NewWithT(t)
	receiver := testsuite.NewStalledReceiver(t)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		request := partRequest(1)
		request.Part.Message = dispatch.Message{Body: make([]byte, testsuite.StalledMessageBytes)}
		_, err := peerlink.NewClient(dial.TCP).Call(ctx, receiver.Address, request)
		failed <- err
	}()
	g.Eventually(receiver.Arrived, patience).Should(BeClosed())
	cancel()
	g.Eventually(failed, patience).Should(Receive(HaveOccurred()))
	g.Expect(receiver.Resume()).To(BeNumerically("<", testsuite.StalledMessageBytes))
}

// Guards against a part that is sent although its caller left while the connection to
// the host was opened.
func TestCallerThatLeftDuringDialCausesNoPart(t *testing.T) {
	g := NewWithT(t)
	h := newBlockingHandler()
	address := startServer(t, h)
	var left atomic.Bool
	c := peerlink.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial.TCP(ctx, address)
		left.Store(true)
		return conn, err
	})
	request := partRequest(1)
	request.Part.Departed = left.Load
	_, err := c.Call(context.Background(), address, request)
	g.Expect(err).To(MatchError(peerlink.ErrNotSent))
	// The connection is still good: the next part on it is served.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _, _ = c.Call(ctx, address, partRequest(1)) }()
	g.Eventually(h.started, patience).Should(Receive())
	g.Expect(h.started).NotTo(Receive())
}

// departureHandler reports, for a part that goes on, when the host that asked for it is
// found to have closed the connection.
type departureHandler struct {
	blockingHandler
	present, departed chan struct{}
}

func (h departureHandler) ServePart(_ context.Context, r *split.Request) *split.Reply {
	if !r.Departed() {
		h.present <- struct{}{}
	}
	for !r.Departed() {
		time.Sleep(time.Millisecond)
	}
	h.departed <- struct{}{}
	return nil
}

// Guards against attempts of a part whose asking host has closed the connection, before
// the context of the part has ended: they are written after a look at the connection.
func TestPartTellsWhetherAskingHostHasDeparted(t *testing.T) {
	g := NewWithT(t)
	h := departureHandler{present: make(chan struct{}, 1), departed: make(chan struct{}, 1)}
	address := startServer(t, h)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _, _ = peerlink.NewClient(dial.TCP).Call(ctx, address, partRequest(1)) }()
	g.Eventually(h.present, patience).Should(Receive())
	g.Consistently(h.departed).ShouldNot(Receive())
	cancel()
	g.Eventually(h.departed, patience).Should(Receive())
}
