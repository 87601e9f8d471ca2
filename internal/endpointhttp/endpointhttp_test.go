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

// newTestClient returns a client of one endpoint.
func newTestClient(opts Options, address string, limit int) *Client {
	if opts.ProbeInterval == 0 {
		opts.ProbeInterval = time.Hour
	}
	if opts.DialTimeout == 0 {
		opts.DialTimeout = mustCome
	}
	c := New(opts)
	ginkgo.DeferCleanup(c.Close)
	c.SetTarget(Target{Endpoint: "e", Address: address, Max: limit})
	return c
}

// startFake starts a fake endpoint that answers probes by itself.
func startFake(serve func(*exchange) bool) *fake {
	f := newFake(func(x *exchange) bool {
		if x.isProbe() {
			return x.status()
		}
		return serve(x)
	})
	ginkgo.DeferCleanup(f.close)
	return f
}

// known is the outcome and code of a reply.
type known struct {
	outcome dispatch.Outcome
	code    result.Code
}

func knownOf(a *attempt) known {
	r := a.reply()
	return known{r.Outcome, r.Code}
}

var (
	succeeded    = known{dispatch.OK, 0}
	crashed      = known{dispatch.Unknown, result.EndpointCrashed}
	unknown      = known{dispatch.Unknown, result.OutcomeUnknown}
	badReply     = known{dispatch.Failed, result.BadReply}
	withdrawn    = known{dispatch.Refused, result.CancelledBeforeSend}
	cancelled    = known{dispatch.Unknown, result.Cancelled}
	shed         = known{dispatch.Refused, result.EndpointShed}
	failed       = known{dispatch.Failed, result.EndpointFailed}
	expired      = known{dispatch.Refused, result.ExpiredBeforeSend}
	connectFails = known{dispatch.Refused, result.ConnectFailed}
)

var _ = ginkgo.DescribeTable("an attempt is written once and its outcome is what is known",
	func(serve func(*exchange) bool, search, submit known) {
		f := startFake(serve)
		c := newTestClient(Options{}, f.address(), 2)
		first := newAttempt("search", dispatch.Search, mustCome).sendTo(c)
		second := newAttempt("submit", dispatch.Submit, mustCome).sendTo(c)
		Expect([]known{knownOf(first), knownOf(second)}).To(Equal([]known{search, submit}))
		Expect([]int{f.ran(first.id()), f.ran(second.id())}).To(Equal([]int{1, 1}))
	},
	ginkgo.Entry("whole reply", (*exchange).ok, succeeded, succeeded),
	ginkgo.Entry("closed before the reply", func(*exchange) bool { return false }, crashed, crashed),
	ginkgo.Entry("reset before the reply", func(x *exchange) bool {
		_ = x.Conn.(*net.TCPConn).SetLinger(0)
		return false
	}, crashed, crashed),
	ginkgo.Entry("half a reply", func(x *exchange) bool {
		x.raw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
		return false
	}, crashed, crashed),
	ginkgo.Entry("garbage", func(x *exchange) bool { return x.raw("garbage\r\n\r\n") }, badReply, unknown),
	ginkgo.Entry("reply to another request", func(x *exchange) bool {
		return x.reply(endpointapi.StatusDone, endpointapi.Reply{ID: "other"})
	}, badReply, unknown),
	ginkgo.Entry("reply over the size limit", func(x *exchange) bool {
		return x.reply(endpointapi.StatusDone, endpointapi.Reply{Outcome: large()})
	}, badReply, unknown),
	ginkgo.Entry("head over the size limit", func(x *exchange) bool {
		return x.raw("HTTP/1.1 200 OK\r\nX: %s%s\r\n\r\n", large(), large())
	}, badReply, unknown),
	ginkgo.Entry("refusal", func(x *exchange) bool {
		return x.reply(endpointapi.StatusRefused, endpointapi.Reply{Code: result.EndpointShed})
	}, shed, shed),
	ginkgo.Entry("503 without a body", func(x *exchange) bool { return x.body(endpointapi.StatusRefused, nil) }, badReply, unknown),
	ginkgo.Entry("503 of a proxy", func(x *exchange) bool {
		return x.raw("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy")
	}, badReply, unknown),
	ginkgo.Entry("503 to another request", func(x *exchange) bool {
		return x.reply(endpointapi.StatusRefused, endpointapi.Reply{ID: "other", Code: result.EndpointShed})
	}, badReply, unknown),
	ginkgo.Entry("503 with a code that is no refusal", func(x *exchange) bool {
		return x.reply(endpointapi.StatusRefused, endpointapi.Reply{Code: result.EndpointFailed})
	}, badReply, unknown),
	ginkgo.Entry("200 with the code of a refusal", func(x *exchange) bool {
		return x.reply(endpointapi.StatusDone, endpointapi.Reply{Code: result.EndpointShed})
	}, badReply, unknown),
	ginkgo.Entry("failure", func(x *exchange) bool {
		return x.reply(endpointapi.StatusFailed, endpointapi.Reply{Code: result.EndpointFailed})
	}, failed, failed),
	ginkgo.Entry("gave up", func(x *exchange) bool {
		return x.reply(endpointapi.StatusFailed, endpointapi.Reply{Code: result.Cancelled})
	}, cancelled, cancelled),
)

var _ = ginkgo.DescribeTable("an attempt without a whole reply ends as unknown at its deadline",
	func(serve func(*exchange) bool) {
		f := startFake(serve)
		c := newTestClient(Options{}, f.address(), 2)
		got, budget := expired, 200*time.Millisecond
		for got == expired { // a busy machine may not write it in time
			a := newAttempt(budget.String(), dispatch.Submit, budget).sendTo(c)
			got = knownOf(a)
			budget *= 2
		}
		Expect(got).To(Equal(unknown))
	},
	ginkgo.Entry("no reply", func(*exchange) bool { return true }),
	ginkgo.Entry("half a reply", func(x *exchange) bool {
		return x.raw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
	}),
)

var _ = ginkgo.Describe("an attempt that was not written", func() {
	// heldDial holds dials until release is closed and ignores their context, as
	// a paused process does.
	heldDial := func() (Options, chan struct{}) {
		release := make(chan struct{})
		return Options{Dial: func(_ context.Context, address string) (net.Conn, error) {
			<-release
			return dial.TCP(context.Background(), address)
		}}, release
	}

	ginkgo.It("is refused if the endpoint refuses connections", func() {
		f := startFake((*exchange).ok)
		_ = f.listener.Close()
		c := newTestClient(Options{}, f.address(), 2)
		Expect(knownOf(send(c, "q"))).To(Equal(connectFails))
	})
	ginkgo.It("is refused if the dial times out", func() {
		c := newTestClient(Options{
			DialTimeout: time.Millisecond,
			Dial: func(ctx context.Context, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			},
		}, "192.0.2.1:1", 2)
		Expect(knownOf(send(c, "q"))).To(Equal(connectFails))
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
		Expect(knownOf(send(c, "q"))).To(Equal(connectFails))
	})
	ginkgo.It("is refused for an unknown endpoint and for a limit of zero", func() {
		f := startFake((*exchange).ok)
		c := newTestClient(Options{}, f.address(), 0)
		Expect(knownOf(send(c, "q"))).To(Equal(known{dispatch.Refused, result.ConnectionLimit}))
		c.RemoveTarget("e")
		Expect(knownOf(send(c, "r"))).To(Equal(known{dispatch.Refused, result.UnknownEndpoint}))
	})
	ginkgo.It("is never written after its deadline", func() {
		f := startFake((*exchange).ok)
		opts, release := heldDial()
		c := newTestClient(opts, f.address(), 1)
		a := newAttempt("q", dispatch.Submit, 20*time.Millisecond).sendTo(c)
		Expect(knownOf(a)).To(Equal(expired))
		close(release)
		Expect(knownOf(send(c, "r"))).To(Equal(succeeded))
		Expect(f.ran(a.id())).To(BeZero())
	})
	ginkgo.It("is not written by a connection that gets it late", func() {
		f := startFake((*exchange).ok)
		c := newTestClient(Options{}, f.address(), 1)
		Expect(knownOf(send(c, "warm"))).To(Equal(succeeded))
		Eventually(func() int { return idleOf(c) }, mustCome, time.Millisecond).Should(Equal(1))
		a := newAttempt("q", dispatch.Submit, -time.Second).sendTo(c)
		Expect(knownOf(a)).To(Equal(expired))
		Expect(f.ran(a.id())).To(BeZero())
		Expect(f.accepted()).To(Equal(1))
	})
	ginkgo.It("is refused when cancelled while it waits", func() {
		f := startFake((*exchange).ok)
		opts, release := heldDial()
		c := newTestClient(opts, f.address(), 1)
		a := newAttempt("q", dispatch.Submit, mustCome).sendTo(c)
		a.cancel(c)
		Expect(knownOf(a)).To(Equal(withdrawn))
		close(release)
		Expect(knownOf(send(c, "r"))).To(Equal(succeeded))
		Expect(f.ran(a.id())).To(BeZero())
	})
	ginkgo.It("goes over a live connection when idle ones were closed", func() {
		closed := make(chan struct{}, 3)
		var together atomic.Int32
		f := startFake(func(x *exchange) bool {
			for together.Add(1); together.Load() < 3; time.Sleep(time.Millisecond) {
			}
			x.ok()
			if x.number > 3 {
				return true
			}
			_ = x.Close()
			closed <- struct{}{}
			return false
		})
		c := newTestClient(Options{}, f.address(), 3)
		for _, a := range []*attempt{send(c, "1"), send(c, "2"), send(c, "3")} {
			Expect(knownOf(a)).To(Equal(succeeded))
			Eventually(closed, mustCome).Should(Receive())
		}
		a := newAttempt("q", dispatch.Submit, mustCome).sendTo(c)
		Expect(knownOf(a)).To(Equal(succeeded))
		Expect(f.ran(a.id())).To(Equal(1))
	})
})

var _ = ginkgo.It("reports a request that was written in part as unknown", func() {
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
	a := newAttempt("q", dispatch.Submit, mustCome)
	a.req.Body = strings.Repeat("x", 32<<20)
	Expect(knownOf(a.sendTo(c))).To(Equal(unknown))
})

var _ = ginkgo.It("does not tell two attempts of one key apart", func() {
	release := make(chan struct{})
	f := startFake(func(x *exchange) bool {
		<-release
		return x.ok()
	})
	c := newTestClient(Options{}, f.address(), 2)
	first := send(c, "q")
	Expect(knownOf(send(c, "q"))).To(Equal(unknown))
	close(release)
	Expect(knownOf(first)).To(Equal(succeeded))
	Expect(f.ran(first.id())).To(Equal(1))
})

func idleOf(c *Client) int {
	p := c.pool("e")
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}
