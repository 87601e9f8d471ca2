package endpointhttp

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestEndpointHTTP(t *testing.T) { testsuite.RunSpecs(t, "endpointhttp") }

// newTestClient returns a client with the endpoint "e" as its target. Unless opts set
// other times, it sends no periodic probes, and dials time out after waitTimeout.
func newTestClient(opts Options, address string, limit int) *Client {
	if opts.ProbeInterval == 0 {
		opts.ProbeInterval = time.Hour
	}
	if opts.DialTimeout == 0 {
		opts.DialTimeout = waitTimeout
	}
	c := New(opts)
	ginkgo.DeferCleanup(c.Close)
	c.SetTarget(Target{Endpoint: "e", Address: address, Max: limit})
	return c
}

// startFakeEndpoint starts a fake endpoint that replies to probes and calls serve
// for other requests.
func startFakeEndpoint(serve func(*exchange) bool) *fakeEndpoint {
	f := newFakeEndpoint(func(x *exchange) bool {
		if x.isProbe() {
			return x.replyStatus()
		}
		return serve(x)
	})
	ginkgo.DeferCleanup(f.close)
	return f
}

// replyResult is the outcome and code of a reply.
type replyResult struct {
	outcome dispatch.Outcome
	code    result.Code
}

// resultOf waits for the reply to an attempt and returns its result.
func resultOf(a *attempt) replyResult {
	r := a.reply()
	return replyResult{r.Outcome, r.Code}
}

var (
	succeeded           = replyResult{dispatch.OK, 0}
	crashed             = replyResult{dispatch.Unknown, result.EndpointCrashed}
	unknownOutcome      = replyResult{dispatch.Unknown, result.OutcomeUnknown}
	badReply            = replyResult{dispatch.Failed, result.BadReply}
	cancelledBeforeSend = replyResult{dispatch.Refused, result.CancelledBeforeSend}
	cancelled           = replyResult{dispatch.Unknown, result.Cancelled}
	shed                = replyResult{dispatch.Refused, result.EndpointShed}
	failed              = replyResult{dispatch.Failed, result.EndpointFailed}
	expired             = replyResult{dispatch.Refused, result.ExpiredBeforeSend}
	connectFailed       = replyResult{dispatch.Refused, result.ConnectFailed}
)

var _ = ginkgo.DescribeTable("an attempt is written once, and the response determines its outcome",
	func(serve func(*exchange) bool, search, submit replyResult) {
		f := startFakeEndpoint(serve)
		c := newTestClient(Options{}, f.address(), 2)
		first := newAttempt("search", dispatch.Search, waitTimeout).sendTo(c)
		second := newAttempt("submit", dispatch.Submit, waitTimeout).sendTo(c)
		Expect([]replyResult{resultOf(first), resultOf(second)}).To(Equal([]replyResult{search, submit}))
		Expect([]int{f.runCount(first.id()), f.runCount(second.id())}).To(Equal([]int{1, 1}))
	},
	ginkgo.Entry("complete reply", (*exchange).replyOK, succeeded, succeeded),
	ginkgo.Entry("closed before the reply", func(*exchange) bool { return false }, crashed, crashed),
	ginkgo.Entry("reset before the reply", func(x *exchange) bool {
		_ = x.Conn.(*net.TCPConn).SetLinger(0)
		return false
	}, crashed, crashed),
	ginkgo.Entry("truncated reply", func(x *exchange) bool {
		x.writeRaw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
		return false
	}, crashed, crashed),
	ginkgo.Entry("not an HTTP response", func(x *exchange) bool { return x.writeRaw("garbage\r\n\r\n") }, badReply, unknownOutcome),
	ginkgo.Entry("reply to another request", func(x *exchange) bool {
		return x.reply(endpointapi.StatusDone, endpointapi.Reply{ID: "other"})
	}, badReply, unknownOutcome),
	ginkgo.Entry("reply over the size limit", func(x *exchange) bool {
		return x.reply(endpointapi.StatusDone, endpointapi.Reply{Outcome: oversizedText()})
	}, badReply, unknownOutcome),
	ginkgo.Entry("header over the size limit", func(x *exchange) bool {
		return x.writeRaw("HTTP/1.1 200 OK\r\nX: %s%s\r\n\r\n", oversizedText(), oversizedText())
	}, badReply, unknownOutcome),
	ginkgo.Entry("refusal", func(x *exchange) bool {
		return x.reply(endpointapi.StatusRefused, endpointapi.Reply{Code: result.EndpointShed})
	}, shed, shed),
	ginkgo.Entry("503 without a body", func(x *exchange) bool { return x.writeJSON(endpointapi.StatusRefused, nil) }, badReply, unknownOutcome),
	ginkgo.Entry("503 from a proxy", func(x *exchange) bool {
		return x.writeRaw("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy")
	}, badReply, unknownOutcome),
	ginkgo.Entry("503 for another request", func(x *exchange) bool {
		return x.reply(endpointapi.StatusRefused, endpointapi.Reply{ID: "other", Code: result.EndpointShed})
	}, badReply, unknownOutcome),
	ginkgo.Entry("503 with a code that is not a refusal", func(x *exchange) bool {
		return x.reply(endpointapi.StatusRefused, endpointapi.Reply{Code: result.EndpointFailed})
	}, badReply, unknownOutcome),
	ginkgo.Entry("200 with a refusal code", func(x *exchange) bool {
		return x.reply(endpointapi.StatusDone, endpointapi.Reply{Code: result.EndpointShed})
	}, badReply, unknownOutcome),
	ginkgo.Entry("failure", func(x *exchange) bool {
		return x.reply(endpointapi.StatusFailed, endpointapi.Reply{Code: result.EndpointFailed})
	}, failed, failed),
	ginkgo.Entry("abandoned by the endpoint", func(x *exchange) bool {
		return x.reply(endpointapi.StatusFailed, endpointapi.Reply{Code: result.Cancelled})
	}, cancelled, cancelled),
)

var _ = ginkgo.DescribeTable("the outcome of an attempt without a complete reply by its deadline is unknown",
	func(serve func(*exchange) bool) {
		f := startFakeEndpoint(serve)
		c := newTestClient(Options{}, f.address(), 2)
		got, budget := expired, 200*time.Millisecond
		for got == expired { // on a busy machine the deadline may pass before the write
			a := newAttempt(budget.String(), dispatch.Submit, budget).sendTo(c)
			got = resultOf(a)
			budget *= 2
		}
		Expect(got).To(Equal(unknownOutcome))
	},
	ginkgo.Entry("no reply", func(*exchange) bool { return true }),
	ginkgo.Entry("incomplete reply", func(x *exchange) bool {
		return x.writeRaw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
	}),
)

var _ = ginkgo.Describe("an attempt that was not written", func() {
	// blockedDial returns options whose dials block until release is closed. They
	// ignore the context, as if the process were suspended.
	blockedDial := func() (Options, chan struct{}) {
		release := make(chan struct{})
		return Options{Dial: func(_ context.Context, address string) (net.Conn, error) {
			<-release
			return dial.TCP(context.Background(), address)
		}}, release
	}

	ginkgo.It("is refused if the endpoint refuses connections", func() {
		f := startFakeEndpoint((*exchange).replyOK)
		_ = f.listener.Close()
		c := newTestClient(Options{}, f.address(), 2)
		Expect(resultOf(sendSearch(c, "q"))).To(Equal(connectFailed))
	})
	ginkgo.It("is refused if the dial times out", func() {
		c := newTestClient(Options{
			DialTimeout: time.Millisecond,
			Dial: func(ctx context.Context, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
		}, "192.0.2.1:1", 2)
		Expect(resultOf(sendSearch(c, "q"))).To(Equal(connectFailed))
	})
	ginkgo.It("is refused if every new connection is closed at once", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(l.Close)
		c := newTestClient(Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dial.TCP(ctx, address)
			if err == nil {
				accepted, _ := l.Accept()
				_ = accepted.Close()
			}
			return conn, err
		}}, l.Addr().String(), 2)
		Expect(resultOf(sendSearch(c, "q"))).To(Equal(connectFailed))
	})
	ginkgo.It("is refused for an unknown endpoint and for a maximum of zero connections", func() {
		f := startFakeEndpoint((*exchange).replyOK)
		c := newTestClient(Options{}, f.address(), 0)
		Expect(resultOf(sendSearch(c, "q"))).To(Equal(replyResult{dispatch.Refused, result.ConnectionLimit}))
		c.RemoveTarget("e")
		Expect(resultOf(sendSearch(c, "r"))).To(Equal(replyResult{dispatch.Refused, result.UnknownEndpoint}))
	})
	ginkgo.It("is not written to a connection that opens after its deadline", func() {
		f := startFakeEndpoint((*exchange).replyOK)
		opts, release := blockedDial()
		c := newTestClient(opts, f.address(), 1)
		a := newAttempt("q", dispatch.Submit, 20*time.Millisecond).sendTo(c)
		Expect(resultOf(a)).To(Equal(expired))
		close(release)
		Expect(resultOf(sendSearch(c, "r"))).To(Equal(succeeded))
		Expect(f.runCount(a.id())).To(BeZero())
	})
	ginkgo.It("is not written to an idle connection after its deadline", func() {
		f := startFakeEndpoint((*exchange).replyOK)
		c := newTestClient(Options{}, f.address(), 1)
		Expect(resultOf(sendSearch(c, "warm"))).To(Equal(succeeded))
		Eventually(func() int { return idleCount(c) }, waitTimeout, time.Millisecond).Should(Equal(1))
		a := newAttempt("q", dispatch.Submit, -time.Second).sendTo(c)
		Expect(resultOf(a)).To(Equal(expired))
		Expect(f.runCount(a.id())).To(BeZero())
		Expect(f.acceptedCount()).To(Equal(1))
	})
	ginkgo.It("is refused if it is cancelled while it waits for a connection", func() {
		f := startFakeEndpoint((*exchange).replyOK)
		opts, release := blockedDial()
		c := newTestClient(opts, f.address(), 1)
		a := newAttempt("q", dispatch.Submit, waitTimeout).sendTo(c)
		a.cancel(c)
		Expect(resultOf(a)).To(Equal(cancelledBeforeSend))
		close(release)
		Expect(resultOf(sendSearch(c, "r"))).To(Equal(succeeded))
		Expect(f.runCount(a.id())).To(BeZero())
	})
	ginkgo.It("is written to an open connection if the endpoint closed the idle ones", func() {
		closed := make(chan struct{}, 3)
		var arrived atomic.Int32
		f := startFakeEndpoint(func(x *exchange) bool {
			for arrived.Add(1); arrived.Load() < 3; time.Sleep(time.Millisecond) {
			}
			x.replyOK()
			if x.number > 3 {
				return true
			}
			_ = x.Close()
			closed <- struct{}{}
			return false
		})
		c := newTestClient(Options{}, f.address(), 3)
		for _, a := range []*attempt{sendSearch(c, "1"), sendSearch(c, "2"), sendSearch(c, "3")} {
			Expect(resultOf(a)).To(Equal(succeeded))
			Eventually(closed, waitTimeout).Should(Receive())
		}
		a := newAttempt("q", dispatch.Submit, waitTimeout).sendTo(c)
		Expect(resultOf(a)).To(Equal(succeeded))
		Expect(f.runCount(a.id())).To(Equal(1))
	})
})

var _ = ginkgo.It("reports the outcome of a partly written request as unknown", func() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(l.Close)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1000))
		_ = conn.Close()
	}()
	c := newTestClient(Options{}, l.Addr().String(), 1)
	a := newAttempt("q", dispatch.Submit, waitTimeout)
	a.req.Body = strings.Repeat("x", 32<<20)
	Expect(resultOf(a.sendTo(c))).To(Equal(unknownOutcome))
})

var _ = ginkgo.It("reports a second attempt with the same key as unknown and does not write it", func() {
	release := make(chan struct{})
	f := startFakeEndpoint(func(x *exchange) bool {
		<-release
		return x.replyOK()
	})
	c := newTestClient(Options{}, f.address(), 2)
	first := sendSearch(c, "q")
	Expect(resultOf(sendSearch(c, "q"))).To(Equal(unknownOutcome))
	close(release)
	Expect(resultOf(first)).To(Equal(succeeded))
	Expect(f.runCount(first.id())).To(Equal(1))
})

// idleCount returns the number of idle connections to the endpoint "e".
func idleCount(c *Client) int {
	p := c.pool("e")
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}
