package daemon_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/daemon"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/settings"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

// split is a network of two sides that can lose each other. While it is cut,
// bytes between the sides vanish and new connections do not open, as behind a
// failed link.
type split struct {
	cut atomic.Bool

	mu   sync.Mutex
	side map[string]string
}

// dialer returns the dial function of a process on a side.
func (s *split) dialer(side string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		across := s.sideOf(address) != side
		if across && s.cut.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil || !across {
			return conn, err
		}
		return &lossyConn{Conn: conn, network: s}, nil
	}
}

func (s *split) place(address, side string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.side[address] = side
}

func (s *split) sideOf(address string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.side[address]
}

// lossyConn is a connection between the sides.
type lossyConn struct {
	net.Conn
	network *split
}

func (c *lossyConn) Write(p []byte) (int, error) {
	if c.network.cut.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *lossyConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.network.cut.Load() {
			return n, err
		}
	}
}

// newSplitCluster starts two hosts in each of two data centres. The platform is
// on the side of the first.
func newSplitCluster(network *split, services ...standin.ServiceShape) *cluster {
	GinkgoHelper()
	sides := []string{"north", "south"}
	d, err := standin.NewDeployment(standin.DeploymentOptions{Services: services, DataCentres: sides, Seed: 1, RecordBodies: true})
	Expect(err).NotTo(HaveOccurred())
	c := &cluster{Deployment: d}
	DeferCleanup(c.close)
	network.place(d.Platform.Address(), sides[0])
	for i := range 4 {
		side := sides[i/2]
		h, err := daemon.StartWith(settings.Settings{
			PeerAddress: "127.0.0.1:0", CallerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0", DataCentre: side,
			Platform: []string{"http://" + d.Platform.Address()}, StartWaitMS: 1000, Peers: c.peers(),
		}, zerolog.New(GinkgoWriter), daemon.Options{Dial: network.dialer(side)})
		Expect(err).NotTo(HaveOccurred())
		network.place(h.PeerAddress(), side)
		c.hosts = append(c.hosts, h)
	}
	c.waitReady()
	return c
}

// answerTruly queries a host and holds the answer against its own snapshot.
func answerTruly(h *daemon.Daemon, text string) api.QueryAnswer {
	GinkgoHelper()
	a := ask(h, "search", text)
	Expect(a.Code).To(Equal(result.Complete), "%+v", a)
	want, _ := standin.ExpectedHits("search", a.Snapshot, api.Range{End: 1 << 32}, text, 2000)
	Expect(a.Hits).To(Equal(want))
	return a
}

var _ = Describe("a partition", func() {
	It("leaves each side serving what it can, and heals without a step back", func() {
		network := &split{side: make(map[string]string)}
		c := newSplitCluster(network,
			standin.ServiceShape{Name: "search", Shards: 8, Replicas: 2, DeadlineMS: 4000},
			standin.ServiceShape{Name: "order", Shards: 2, Replicas: 2, NotRepeatable: true})
		north, south := c.hosts[:2], c.hosts[2:]
		across := c.permit(north[0], "issued in the north")
		network.cut.Store(true)
		_, err := c.PublishSnapshot("search", 2)
		Expect(err).NotTo(HaveOccurred())
		for _, h := range north {
			Eventually(func() uint64 { return h.Status().Revision }, patience, "20ms").Should(BeEquivalentTo(c.Revision()))
		}
		for _, h := range c.hosts {
			answerTruly(h, "during the partition")
			Expect(submit(h, c.permit(h, "ran on "+h.PeerAddress())).Code).To(Equal(result.Done))
		}
		for _, h := range south {
			Expect(h.Status().Revision).To(BeEquivalentTo(c.Revision() - 1))
			told := submit(h, across)
			Expect(told.Code.Class()).To(Equal(result.ClassUnknown), "%+v", told)
		}
		Expect(submit(north[1], across).Code).To(Equal(result.Done))

		network.cut.Store(false)
		healed := time.Now()
		for _, h := range south {
			Eventually(func() uint64 { return h.Status().Revision }, inForceWithin-time.Since(healed), "20ms").Should(BeEquivalentTo(c.Revision()))
			Eventually(func() result.Code { return submit(h, across).Code }, patience, "50ms").Should(Equal(result.Replayed))
			Expect(answerTruly(h, "after it").Snapshot).To(BeEquivalentTo(2))
		}
		Expect(c.Recorder.BodyRuns("issued in the north")).To(Equal(1))
		Expect(c.Recorder.RepeatedSubmits()).To(BeEmpty())
	})
})

// inForceWithin is the users' bound on the spread of a configuration.
const inForceWithin = 15 * time.Second

// permit returns a submit of a body under a permit of a host.
func (c *cluster) permit(h *daemon.Daemon, body string) api.SubmitRequest {
	GinkgoHelper()
	p := post[api.PermitAnswer](h, api.PathPermit, api.PermitRequest{Service: "order", Caller: standin.DefaultCaller})
	Expect(p.Code).To(Equal(result.PermitIssued), "%+v", p)
	return api.SubmitRequest{Service: "order", Caller: standin.DefaultCaller, Permit: p.Permits[0], Body: body}
}

func submit(h *daemon.Daemon, s api.SubmitRequest) api.SubmitAnswer {
	GinkgoHelper()
	return post[api.SubmitAnswer](h, api.PathSubmit, s)
}
