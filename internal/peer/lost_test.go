package peer

import (
	"bufio"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
)

// connectedPeer opens a connection as the peer with the address, exchanges hellos and
// sends a dispatch.
func connectedPeer(server, self string) *net.TCPConn {
	conn, err := net.Dial("tcp", server)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(sendHello(conn, self)).To(Succeed())
	hello, err := readHello(bufio.NewReader(conn))
	Expect(err).NotTo(HaveOccurred())
	frame, err := AppendFrame(nil, min(hello.Version, peerwire.Version), peerwire.KindDispatch, 0, peerwire.Dispatch{})
	Expect(err).NotTo(HaveOccurred())
	_, err = conn.Write(frame)
	Expect(err).NotTo(HaveOccurred())
	return conn.(*net.TCPConn)
}

func reset(conn *net.TCPConn) {
	Expect(conn.SetLinger(0)).To(Succeed())
	Expect(conn.Close()).To(Succeed())
}

// Guards against attempts that go on after their origin has given them up, because the
// cancellation was lost with the connection.
var _ = Describe("a connection that ends at the server", func() {
	var handler *fakeHandler
	var server *Server
	var address string
	BeforeEach(func() {
		handler = &fakeHandler{}
		server, address = startServer(handler, testConfig("server"))
	})
	connected := func(sessions int) {
		GinkgoHelper()
		Eventually(func() int {
			server.mu.Lock()
			defer server.mu.Unlock()
			return server.sessionsByPeer["peer"]
		}).Should(Equal(sessions))
	}

	It("is reported as lost if the peer resets it", func() {
		conn := connectedPeer(address, "peer")
		Eventually(handler.messages).Should(HaveLen(1))
		reset(conn)
		Eventually(handler.lostPeers).Should(Equal([]string{"peer"}))
	})

	It("is not reported if the peer closes it", func() {
		conn := connectedPeer(address, "peer")
		connected(1)
		Expect(conn.Close()).To(Succeed())
		connected(0)
		Expect(handler.lostPeers()).To(BeEmpty())
	})

	It("is reported only with the last connection of the peer", func() {
		first, second := connectedPeer(address, "peer"), connectedPeer(address, "peer")
		connected(2)
		reset(first)
		connected(1)
		Expect(handler.lostPeers()).To(BeEmpty())
		reset(second)
		Eventually(handler.lostPeers).Should(Equal([]string{"peer"}))
	})
})
