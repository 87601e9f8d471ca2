package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

// script is what a fake peer does after the hellos.
type script func(net.Conn, *bufio.Reader)

func closeAtOnce(net.Conn, *bufio.Reader) {}

func closeAfterRequest(conn net.Conn, reader *bufio.Reader) { readRequest(conn, reader) }

func goSilent(conn net.Conn, reader *bufio.Reader) {
	readRequest(conn, reader)
	staySilent(conn, reader)
}

func stayAliveWithoutAnswer(conn net.Conn, reader *bufio.Reader) {
	for readRequest(conn, reader).Kind != 0 {
	}
}

func staySilent(_ net.Conn, reader *bufio.Reader) {
	for {
		if _, err := ReadFrame(reader); err != nil {
			return
		}
	}
}

func answerWith(kind peerwire.Kind, message any) script {
	return func(conn net.Conn, reader *bufio.Reader) {
		request := readRequest(conn, reader)
		conn.Write(mustFrame(1, kind, request.ID, message))
		staySilent(conn, reader)
	}
}

func answerTorn(conn net.Conn, reader *bufio.Reader) {
	request := readRequest(conn, reader)
	answer := mustFrame(1, peerwire.KindSubmitAnswer, request.ID, peerwire.SubmitAnswer{})
	conn.Write(answer[:len(answer)-1])
}

func sayGoodbye(conn net.Conn, reader *bufio.Reader) {
	request := readRequest(conn, reader)
	conn.Write(mustFrame(1, peerwire.KindGoodbye, 0, nil))
	conn.Write(mustFrame(1, peerwire.KindSubmitAnswer, request.ID, peerwire.SubmitAnswer{}))
	staySilent(conn, reader)
}

// readRequest answers pings until another frame comes. Its kind is zero at the
// end of the stream.
func readRequest(conn net.Conn, reader *bufio.Reader) Frame {
	for {
		frame, err := ReadFrame(reader)
		if err != nil {
			return Frame{}
		}
		if frame.Kind != peerwire.KindPing {
			return frame
		}
		conn.Write(mustFrame(1, peerwire.KindPong, frame.ID, nil))
	}
}

var _ = DescribeTable("a call ends truthfully",
	func(version uint8, does script, code result.Code, undelivered, breaks bool) {
		address := fakePeer(version, does)
		var broken atomic.Int32
		client := NewClient(testConfig("10.0.0.1:7000"), func(peer string) {
			defer GinkgoRecover()
			Expect(peer).To(Equal(address))
			broken.Add(1)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		var reply peerwire.SubmitAnswer
		err := client.Call(ctx, address, peerwire.KindSubmit, peerwire.Submit{}, &reply)
		if code == 0 {
			Expect(err).NotTo(HaveOccurred())
		} else {
			var e *result.Error
			Expect(errors.As(err, &e)).To(BeTrue())
			Expect(e.Code).To(Equal(code), e.Error())
		}
		Expect(Undelivered(err)).To(Equal(undelivered))
		client.Close()
		Expect(broken.Load() > 0).To(Equal(breaks))
	},
	Entry("the hello is of an unknown version", uint8(9), script(staySilent), result.PeerUnreachable, true, false),
	Entry("the peer closes after it read the request", uint8(1), script(closeAfterRequest), result.OutcomeUnknown, false, true),
	Entry("the peer is silent before the request", uint8(1), script(staySilent), result.PeerUnreachable, true, true),
	Entry("the peer goes silent after the request", uint8(1), script(goSilent), result.OutcomeUnknown, false, true),
	Entry("the peer lives and does not answer", uint8(1), script(stayAliveWithoutAnswer), result.OutcomeUnknown, false, false),
	Entry("the peer refuses the kind", uint8(1), answerWith(peerwire.KindRefusal, peerwire.Refusal{Code: result.FrameVersion}), result.FrameVersion, true, false),
	Entry("the answer is of another kind", uint8(1), answerWith(peerwire.KindManifest, peerwire.Manifest{}), result.OutcomeUnknown, false, false),
	Entry("the answer cannot be decoded", uint8(1), answerWith(peerwire.KindSubmitAnswer, "text"), result.OutcomeUnknown, false, false),
	Entry("the answer is torn", uint8(1), script(answerTorn), result.OutcomeUnknown, false, true),
	Entry("the peer says goodbye and answers", uint8(1), script(sayGoodbye), result.Code(0), false, false),
	Entry("the peer is one version newer", uint8(2), answerWith(peerwire.KindSubmitAnswer, peerwire.SubmitAnswer{}), result.Code(0), false, false),
)

var _ = Describe("the client", func() {
	It("refuses as not run when nothing listens or a peer says no hello", func(ctx context.Context) {
		listener := listen()
		client := NewClient(testConfig("10.0.0.1:7000"), nil)
		defer client.Close()
		err := client.Call(ctx, listener.Addr().String(), peerwire.KindSubmit, peerwire.Submit{}, nil)
		Expect(err).To(MatchError(ContainSubstring("peer-unreachable")))
		listener.Close()
		err = client.Send(ctx, listener.Addr().String(), peerwire.KindDispatch, peerwire.Dispatch{})
		Expect(err).To(MatchError(ContainSubstring("peer-unreachable")))
	}, SpecTimeout(10*time.Second))

	DescribeTable("replaces a connection", func(ctx context.Context, first script) {
		var connections atomic.Int32
		address := fakePeer(1, func(conn net.Conn, reader *bufio.Reader) {
			if connections.Add(1) == 1 {
				first(conn, reader)
				return
			}
			answerWith(peerwire.KindSubmitAnswer, peerwire.SubmitAnswer{})(conn, reader)
		})
		client := NewClient(testConfig("10.0.0.1:7000"), nil)
		defer client.Close()
		var reply peerwire.SubmitAnswer
		Expect(client.Call(ctx, address, peerwire.KindSubmit, peerwire.Submit{}, &reply)).NotTo(Succeed())
		Expect(client.Call(ctx, address, peerwire.KindSubmit, peerwire.Submit{}, &reply)).To(Succeed())
	},
		Entry("that is silent", SpecTimeout(10*time.Second), script(goSilent)),
		Entry("that was closed before the request", SpecTimeout(10*time.Second), script(closeAtOnce)),
		Entry("that was closed after the request", SpecTimeout(10*time.Second), script(closeAfterRequest)),
	)

	It("tells of a connection that is silent after one-way messages", func(ctx context.Context) {
		broken := make(chan string, 1)
		client := NewClient(testConfig("10.0.0.1:7000"), func(peer string) { broken <- peer })
		defer client.Close()
		address := fakePeer(1, staySilent)
		Expect(client.Send(ctx, address, peerwire.KindDispatch, peerwire.Dispatch{})).To(Succeed())
		Eventually(ctx, broken).Should(Receive(Equal(address)))
	}, SpecTimeout(10*time.Second))

	It("ends each message once when the queue is full, late or the client closed", func() {
		config := testConfig("10.0.0.1:7000")
		config.QueueLength = 2
		listener := listen() // No hello comes, so that messages stay queued.
		defer listener.Close()
		client := NewClient(config, nil)
		done := make(chan error, 100)
		message := Message{To: listener.Addr().String(), Kind: peerwire.KindDispatch, Body: peerwire.Dispatch{}, Done: func(err error) { done <- err }}
		for range 10 {
			client.Post(message)
		}
		client.Close()
		client.Post(message)
		Expect(done).To(HaveLen(11))
		for range 11 {
			Expect(Undelivered(<-done)).To(BeTrue())
		}

		address := fakePeer(1, staySilent)
		client = NewClient(config, nil)
		message.To = address
		message.SendTimeout = 1
		client.Post(message)
		Expect(<-done).To(MatchError(ContainSubstring("expired-before-send")))
		message.Fresh = true
		client.Post(message)
		Expect(<-done).To(MatchError(ContainSubstring("peer-unreachable")))
		client.Close()
	})
})

// shortConn takes the first bytes of a write and then fails.
type shortConn struct {
	net.Conn
	takes int
}

func (c shortConn) SetWriteDeadline(time.Time) error { return nil }

func (c shortConn) Write(b []byte) (int, error) {
	if c.takes >= len(b) {
		return len(b), nil
	}
	return c.takes, errors.New("reset")
}

// A failed write refuses as not run exactly the messages of which no byte was
// taken, and reports as written exactly those of which every byte was.
func TestFailedWriteIsAttributed(t *testing.T) {
	testsuite.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(headerBytes, 60), 1, 8).Draw(t, "sizes")
		takes := rapid.IntRange(0, 500).Draw(t, "takes")
		client := NewClient(Config{}, nil)
		l := newLink(client, "peer")
		c := &connection{link: l, conn: shortConn{takes: takes}, version: 1}
		results := make([]error, len(sizes))
		for i, size := range sizes {
			o := &outgoing{kind: peerwire.KindDispatch, data: make([]byte, size), link: l, done: func(err error) { results[i] = err }}
			c.add(o)
		}
		c.writeBatch()
		start := 0
		for i, size := range sizes {
			whole, none := takes >= start+size, takes <= start
			if (results[i] == nil) != whole || Undelivered(results[i]) != (none && !whole) {
				t.Fatalf("message %d at [%d,%d) with %d bytes taken: %v", i, start, start+size, takes, results[i])
			}
			start += size
		}
	})
}

// BenchmarkCall measures requests over loopback, from many callers over one
// connection.
func BenchmarkCall(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := NewServer(Config{Self: "server"}, &fakeHandler{})
	go server.Serve(listener)
	client := NewClient(Config{Self: "10.0.0.1:7000"}, nil)
	to := listener.Addr().String()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			var answer peerwire.HandoverAnswer
			if err := client.Call(context.Background(), to, peerwire.KindHandover, peerwire.Handover{}, &answer); err != nil {
				b.Error(err)
			}
		}
	})
	client.Close()
	if err := server.Shutdown(context.Background()); err != nil {
		b.Error(err)
	}
}
