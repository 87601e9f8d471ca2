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

// partitionableNetwork is a network with two sides. While it is partitioned, bytes
// between the sides are dropped and connections between them cannot be opened, as
// after the failure of a link.
type partitionableNetwork struct {
	partitioned atomic.Bool

	mu    sync.Mutex
	sides map[string]string
}

// dialer returns the dial function for a process on the given side.
func (n *partitionableNetwork) dialer(side string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		crossesSides := n.sideOf(address) != side
		if crossesSides && n.partitioned.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil || !crossesSides {
			return conn, err
		}
		return &crossSideConn{Conn: conn, network: n}, nil
	}
}

func (n *partitionableNetwork) assignSide(address, side string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sides[address] = side
}

func (n *partitionableNetwork) sideOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sides[address]
}

// crossSideConn is a connection between the sides. While the network is
// partitioned, it drops what is written and read.
type crossSideConn struct {
	net.Conn
	network *partitionableNetwork
}

func (c *crossSideConn) Write(p []byte) (int, error) {
	if c.network.partitioned.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *crossSideConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.network.partitioned.Load() {
			return n, err
		}
	}
}

// newPartitionableCluster starts two hosts in each of two data centres, one data
// centre a side. The platform is on the first side.
func newPartitionableCluster(network *partitionableNetwork, services ...standin.ServiceShape) *cluster {
	GinkgoHelper()
	sides := []string{"north", "south"}
	d, err := standin.NewDeployment(standin.DeploymentOptions{Services: services, DataCentres: sides, Seed: 1, RecordBodies: true})
	Expect(err).NotTo(HaveOccurred())
	c := &cluster{Deployment: d}
	DeferCleanup(c.close)
	network.assignSide(d.Platform.Address(), sides[0])
	for i := range 4 {
		side := sides[i/2]
		h, err := daemon.StartWith(settings.Settings{
			PeerAddress: "127.0.0.1:0", CallerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0", DataCentre: side,
			Platform: []string{"http://" + d.Platform.Address()}, StartWaitMS: 1000, Peers: c.peers(),
		}, zerolog.New(GinkgoWriter), daemon.Options{Dial: network.dialer(side)})
		Expect(err).NotTo(HaveOccurred())
		network.assignSide(h.PeerAddress(), side)
		c.hosts = append(c.hosts, h)
	}
	c.waitReady()
	return c
}

// expectCompleteAnswer queries a host and checks that the answer is complete and has
// the hits of the snapshot that it names.
func expectCompleteAnswer(h *daemon.Daemon, text string) api.QueryAnswer {
	GinkgoHelper()
	a := sendQuery(h, "search", text)
	Expect(a.Code).To(Equal(result.Complete), "%+v", a)
	want, _ := standin.ExpectedHits("search", a.Snapshot, api.Range{End: 1 << 32}, text, 2000)
	Expect(a.Hits).To(Equal(want))
	return a
}

var _ = Describe("a partition", func() {
	It("leaves each side serving what it can, and heals without losing revisions or outcomes", func() {
		network := &partitionableNetwork{sides: make(map[string]string)}
		c := newPartitionableCluster(network,
			standin.ServiceShape{Name: "search", Shards: 8, Replicas: 2, DeadlineMS: 4000},
			standin.ServiceShape{Name: "order", Shards: 2, Replicas: 2, NotRepeatable: true})
		north, south := c.hosts[:2], c.hosts[2:]
		northSubmit := c.newSubmit(north[0], "issued in the north")
		network.partitioned.Store(true)
		_, err := c.PublishSnapshot("search", 2)
		Expect(err).NotTo(HaveOccurred())
		for _, h := range north {
			Eventually(func() uint64 { return h.Status().Revision }, waitTimeout, "20ms").Should(BeEquivalentTo(c.Revision()))
		}
		for _, h := range c.hosts {
			expectCompleteAnswer(h, "during the partition")
			Expect(submit(h, c.newSubmit(h, "ran on "+h.PeerAddress())).Code).To(Equal(result.Done))
		}
		for _, h := range south {
			Expect(h.Status().Revision).To(BeEquivalentTo(c.Revision() - 1))
			answer := submit(h, northSubmit)
			Expect(answer.Code.Class()).To(Equal(result.ClassUnknown), "%+v", answer)
		}
		Expect(submit(north[1], northSubmit).Code).To(Equal(result.Done))

		network.partitioned.Store(false)
		healedAt := time.Now()
		for _, h := range south {
			Eventually(func() uint64 { return h.Status().Revision }, convergenceDeadline-time.Since(healedAt), "20ms").Should(BeEquivalentTo(c.Revision()))
			Eventually(func() result.Code { return submit(h, northSubmit).Code }, waitTimeout, "50ms").Should(Equal(result.Replayed))
			Expect(expectCompleteAnswer(h, "after it").Snapshot).To(BeEquivalentTo(2))
		}
		Expect(c.Recorder.BodyRuns("issued in the north")).To(Equal(1))
		Expect(c.Recorder.RepeatedSubmits()).To(BeEmpty())
	})
})

// convergenceDeadline bounds the time after a partition until all hosts have the
// newest configuration. Users require 15 s.
const convergenceDeadline = 15 * time.Second

// newSubmit gets a permit from a host and returns a submit of body with it.
func (c *cluster) newSubmit(h *daemon.Daemon, body string) api.SubmitRequest {
	GinkgoHelper()
	p := postJSON[api.PermitAnswer](h, api.PathPermit, api.PermitRequest{Service: "order", Caller: standin.DefaultCaller})
	Expect(p.Code).To(Equal(result.PermitIssued), "%+v", p)
	return api.SubmitRequest{Service: "order", Caller: standin.DefaultCaller, Permit: p.Permits[0], Body: body}
}

func submit(h *daemon.Daemon, s api.SubmitRequest) api.SubmitAnswer {
	GinkgoHelper()
	return postJSON[api.SubmitAnswer](h, api.PathSubmit, s)
}
