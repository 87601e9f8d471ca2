package endpointhttp

import (
	"net"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// longBudget is a budget that is not used up while a test runs.
const longBudget = time.Hour

var _ = ginkgo.Describe("a silent connection", func() {
	const warmUpBody = "warm-up"
	// startSilentOn starts a fake endpoint that does not reply on the given
	// connections, except to the request with warmUpBody.
	startSilentOn := func(connections ...int) *fakeEndpoint {
		return startFakeEndpoint(func(x *exchange) bool {
			if x.request.Body != warmUpBody && slices.Contains(connections, x.number) {
				return true
			}
			return x.replyOK()
		})
	}
	// newWarmClient returns a client that has one open connection to f and has measured
	// a round trip on it.
	newWarmClient := func(o Options, f *fakeEndpoint) *Client {
		c := newTestClient(o, f.address(), 2)
		Expect(resultOf(sendSearch(c, warmUpBody))).To(Equal(succeeded))
		return c
	}

	ginkgo.It("ends its search long before the deadline if the endpoint replies to other attempts", func() {
		f := startSilentOn(1)
		c := newWarmClient(Options{MinSilence: 300 * time.Millisecond}, f)
		a := newAttempt("q", dispatch.Search, longBudget).sendTo(c)
		Eventually(func() int { return f.runCount(a.id()) }, waitTimeout, time.Millisecond).Should(Equal(1))
		Expect(resultOf(sendSearch(c, "other"))).To(Equal(succeeded))
		Expect(resultOf(a)).To(Equal(replyResult{dispatch.Unknown, result.ConnectionSilent}))
	})

	ginkgo.It("is attributed to the endpoint if the endpoint replies only to probes", func() {
		f := startSilentOn(1)
		c := newWarmClient(Options{MinSilence: 20 * time.Millisecond}, f)
		a := newAttempt("q", dispatch.Search, longBudget).sendTo(c)
		Expect(resultOf(a)).To(Equal(unknownOutcome))
		Expect(f.runCount(a.id())).To(Equal(1))
	})

	ginkgo.It("is closed to make room for a probe if all connections are silent", func() {
		f := startSilentOn(1, 2)
		c := newWarmClient(Options{MinSilence: 20 * time.Millisecond}, f)
		first := newAttempt("q", dispatch.Search, longBudget).sendTo(c)
		second := newAttempt("r", dispatch.Search, longBudget).sendTo(c)
		Expect([]replyResult{resultOf(first), resultOf(second)}).To(ConsistOf(
			BeElementOf(unknownOutcome, replyResult{dispatch.Unknown, result.ConnectionSilent}),
			BeElementOf(unknownOutcome, replyResult{dispatch.Unknown, result.ConnectionSilent}),
		))
		Expect(resultOf(sendSearch(c, "s"))).To(Equal(succeeded))
	})

	ginkgo.It("keeps its submit until the deadline", func() {
		f := startSilentOn(1)
		c := newWarmClient(Options{MinSilence: time.Millisecond, CancelGrace: time.Millisecond}, f)
		a := newAttempt("permit", dispatch.Submit, longBudget).sendTo(c)
		Eventually(func() int { return f.runCount(a.id()) }, waitTimeout, time.Millisecond).Should(Equal(1))
		for range 5 {
			c.pool("e").checkSilence(time.Now().Add(longBudget))
			Expect(resultOf(sendSearch(c, "other"))).To(Equal(succeeded))
		}
		Expect(c.Connections("e")).To(Equal(2))
		a.cancel(c)
		Expect(resultOf(a)).To(Equal(cancelled))
	})

	ginkgo.It("is not assumed while a reply is arriving", func() {
		clientEnd, serverEnd := net.Pipe()
		ginkgo.DeferCleanup(clientEnd.Close)
		c := newConn(&pool{}, clientEnd)
		c.sock.beginRoundTrip()
		c.sock.progressAt.Store(1)
		go func() { _, _ = serverEnd.Write([]byte("H")) }()
		_, err := c.sock.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(c.lastProgress())).To(BeNumerically("<", longBudget))
	})

	ginkgo.It("is distinguished from a slow endpoint by the average round trip", func() {
		c := &conn{pool: &pool{client: &Client{opts: Options{MinSilence: DefaultMinSilence}}}}
		c.halfBudget.Store(int64(time.Second))
		Expect(c.silenceLimit()).To(Equal(time.Second), "no round trip is known")
		c.pool.recordRoundTrip(10 * time.Millisecond)
		Expect(c.silenceLimit()).To(Equal(320 * time.Millisecond))
	})

	ginkgo.It("raises the limit of its endpoint with each search that it ends", func() {
		f := startSilentOn(1)
		c := newWarmClient(Options{MinSilence: time.Millisecond}, f)
		before := c.pool("e").averageRoundTrip.Load()
		a := newAttempt("q", dispatch.Search, longBudget).sendTo(c)
		Expect(resultOf(a).outcome).To(Equal(dispatch.Unknown))
		Expect(c.pool("e").averageRoundTrip.Load()).To(BeNumerically(">=", before+before/2))
	})

	ginkgo.It("makes all connections of the host suspect once several endpoints are affected", func() {
		c := newTestClient(Options{}, startSilentOn().address(), 1)
		other := startSilentOn()
		c.SetTarget(Target{Endpoint: "f", Address: other.address(), Max: 1})
		idle := &conn{pool: c.pool("f")}
		now := time.Now()
		c.pool("e").recordSilent(now)
		Expect(idle.isSuspect(now)).To(BeFalse())
		c.SetTarget(Target{Endpoint: "g", Address: other.address(), Max: 1})
		c.pool("g").recordSilent(now)
		Expect(idle.isSuspect(now)).To(BeTrue())
		Expect(idle.isSuspect(now.Add(suspicionPeriod))).To(BeFalse())
	})
})
