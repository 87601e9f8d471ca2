package forward_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/forward"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// plain is a dialect for tests: the message's ID in a header, 503 for refused.
type plain struct{}

func (plain) Encode(buf []byte, req *dispatch.Request, _ time.Duration) []byte {
	return append(buf, "GET / HTTP/1.1\r\nHost: x\r\nId: "+req.Message.ID+"\r\n\r\n"...)
}

func (plain) Decode(req *dispatch.Request, head *http.Response, body []byte) (dispatch.Reply, bool) {
	if head.Header.Get("Id") != req.Message.ID {
		return dispatch.Reply{}, false
	}
	if head.StatusCode == http.StatusServiceUnavailable {
		return req.RefusedReply(result.EndpointShed), true
	}
	return dispatch.Reply{Key: req.Key, Endpoint: req.Endpoint, Outcome: dispatch.OK, Response: &dispatch.Response{Status: head.StatusCode, Body: body}}, true
}

// opened counts connections.
type opened struct{ n atomic.Int32 }

func (o *opened) Dialed(_ string, err error) {
	if err == nil {
		o.n.Add(1)
	}
}

// replica answers each request on a connection as answer says.
func replica(t *testing.T, answer func(c net.Conn, id string, n int)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, answer)
		}
	}()
	return l.Addr().String()
}

func serve(c net.Conn, answer func(net.Conn, string, int)) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer(c, req.Header.Get("Id"), n)
	}
}

func respond(w io.Writer, id, body string) {
	_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

func newClient(address string, connections int) (*forward.Client, *opened) {
	o := &opened{}
	c := forward.New(plain{}, dial.TCP, o)
	c.SetTargets([]forward.Target{{Key: "r", Address: address, MaxConnections: connections, KeepIdle: true}})
	return c, o
}

func request(id string, budget time.Duration) dispatch.Request {
	return dispatch.Request{Key: dispatch.Key{Request: id, Attempt: 1}, Endpoint: "r", Budget: budget, Message: &dispatch.Message{ID: id, Method: "GET"}}
}

func send(c *forward.Client, req dispatch.Request) dispatch.Reply {
	out := make(chan dispatch.Reply, 1)
	c.Send(req, func(r dispatch.Reply) { out <- r })
	return <-out
}

// A connection is kept when the deadline of its last request has passed
// meanwhile.
func TestKeepsConnectionPastLastDeadline(t *testing.T) {
	g := NewWithT(t)
	c, o := newClient(replica(t, func(w net.Conn, id string, _ int) { respond(w, id, "x") }), 1)
	g.Expect(send(c, request("a", 50*time.Millisecond)).Outcome).To(Equal(dispatch.OK))
	time.Sleep(80 * time.Millisecond)
	g.Expect(send(c, request("b", time.Second)).Outcome).To(Equal(dispatch.OK))
	g.Expect(o.n.Load()).To(BeEquivalentTo(1))
}

func TestFaultyResponses(t *testing.T) {
	for name, tc := range map[string]struct {
		answer  func(w net.Conn, id string, n int)
		outcome dispatch.Outcome
		body    string
	}{
		"whole": {func(w net.Conn, id string, _ int) { respond(w, id, "x") }, dispatch.OK, "x"},
		"after a response to another request": {func(w net.Conn, id string, _ int) {
			respond(w, "other", "old")
			respond(w, id, "own")
		}, dispatch.OK, "own"},
		"only responses to other requests": {func(w net.Conn, _ string, _ int) {
			for range 4 {
				respond(w, "other", "old")
			}
		}, dispatch.Unknown, ""},
		"cut short": {func(w net.Conn, id string, _ int) {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 9\r\n\r\nx")
			_ = w.Close()
		}, dispatch.Unknown, ""},
		"no length, ended": {func(w net.Conn, id string, _ int) {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nxyz")
			_ = w.Close()
		}, dispatch.OK, "xyz"},
		"no length, reset": {func(w net.Conn, id string, _ int) {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nxyz")
			time.Sleep(20 * time.Millisecond)
			_ = w.(*net.TCPConn).SetLinger(0)
			_ = w.Close()
		}, dispatch.Unknown, ""},
		"no response": {func(w net.Conn, _ string, _ int) {
			_, _ = io.WriteString(w, "hello\r\n\r\n")
		}, dispatch.Unknown, ""},
		"closed": {func(w net.Conn, _ string, _ int) { _ = w.Close() }, dispatch.Unknown, ""},
		"refused": {func(w net.Conn, id string, _ int) {
			_, _ = io.WriteString(w, "HTTP/1.1 503 Busy\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		}, dispatch.Refused, ""},
		"silent": {func(net.Conn, string, int) {}, dispatch.Unknown, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, _ := newClient(replica(t, tc.answer), 1)
			reply := send(c, request("a", 300*time.Millisecond))
			g.Expect(reply.Outcome).To(Equal(tc.outcome))
			if tc.body != "" {
				g.Expect(string(reply.Response.Body)).To(Equal(tc.body))
			}
		})
	}
}

// Bytes after a response end the connection, so that no later request reads
// them.
func TestBytesAfterResponseReachNoOtherRequest(t *testing.T) {
	g := NewWithT(t)
	c, _ := newClient(replica(t, func(w net.Conn, id string, n int) {
		respond(w, id, "own-"+id)
		if n == 0 {
			respond(w, "b", "forged")
		}
	}), 1)
	g.Expect(string(send(c, request("a", time.Second)).Response.Body)).To(Equal("own-a"))
	time.Sleep(20 * time.Millisecond)
	g.Expect(string(send(c, request("b", time.Second)).Response.Body)).To(Equal("own-b"))
}

// A request to a connection that the replica has closed meanwhile goes out on a
// new one, and is written once.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	var served atomic.Int32
	c, o := newClient(replica(t, func(w net.Conn, id string, _ int) {
		served.Add(1)
		respond(w, id, "x")
		_ = w.Close()
	}), 1)
	g.Expect(send(c, request("a", time.Second)).Outcome).To(Equal(dispatch.OK))
	time.Sleep(20 * time.Millisecond)
	g.Expect(send(c, request("b", time.Second)).Outcome).To(Equal(dispatch.OK))
	g.Expect(served.Load()).To(BeEquivalentTo(2))
	g.Expect(o.n.Load()).To(BeEquivalentTo(2))
}

// No more connections are open than allowed, and what waits for one is served
// in turn.
func TestConnectionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	c, o := newClient(replica(t, func(w net.Conn, id string, _ int) {
		time.Sleep(5 * time.Millisecond)
		respond(w, id, "x")
	}), 2)
	var wg sync.WaitGroup
	var ok atomic.Int32
	for i := range 20 {
		wg.Go(func() {
			if send(c, request(strconv.Itoa(i), 5*time.Second)).Outcome == dispatch.OK {
				ok.Add(1)
			}
		})
	}
	wg.Wait()
	g.Expect(ok.Load()).To(BeEquivalentTo(20))
	g.Expect(o.n.Load()).To(BeNumerically("<=", 2))
}

// An attempt that provably wrote nothing is refused and not unknown.
func TestNothingWrittenIsRefused(t *testing.T) {
	g := NewWithT(t)
	failing := func(context.Context, string) (net.Conn, error) { return nil, io.ErrUnexpectedEOF }
	c := forward.New(plain{}, failing, &opened{})
	c.SetTargets([]forward.Target{{Key: "r", Address: "127.0.0.1:1", MaxConnections: 1, KeepIdle: true}})
	reply := send(c, request("a", time.Second))
	g.Expect(reply.Outcome).To(Equal(dispatch.Refused))
	g.Expect(reply.Code).To(Equal(result.ConnectFailed))
	reply = send(c, dispatch.Request{Endpoint: "gone", Message: &dispatch.Message{}})
	g.Expect(reply.Code).To(Equal(result.UnknownEndpoint))
}

// A cancelled attempt ends soon and frees its connection.
func TestCancelEndsSilentAttempt(t *testing.T) {
	g := NewWithT(t)
	c, _ := newClient(replica(t, func(net.Conn, string, int) {}), 1)
	out := make(chan dispatch.Reply, 1)
	req := request("a", time.Minute)
	c.Send(req, func(r dispatch.Reply) { out <- r })
	time.Sleep(20 * time.Millisecond)
	c.Cancel(req.Key)
	g.Eventually(out, 5*time.Second).Should(Receive(HaveField("Code", result.Cancelled)))
}

// A host that does not keep connections to a replica closes them after use, so
// that they don't count towards its cap.
func TestConnectionIsNotKept(t *testing.T) {
	for _, keep := range []bool{true, false} {
		g := NewWithT(t)
		address := replica(t, func(w net.Conn, id string, _ int) { respond(w, id, "x") })
		o := &opened{}
		c := forward.New(plain{}, dial.TCP, o)
		target := forward.Target{Key: "r", Address: address, MaxConnections: 1, KeepIdle: keep}
		c.SetTargets([]forward.Target{target})
		for i := range 4 {
			g.Expect(send(c, request(strconv.Itoa(i), time.Second)).Outcome).To(Equal(dispatch.OK))
		}
		if keep {
			g.Expect(o.n.Load()).To(BeEquivalentTo(1))
			target.KeepIdle = false
			c.SetTargets([]forward.Target{target})
			g.Expect(send(c, request("later", time.Second)).Outcome).To(Equal(dispatch.OK))
			g.Expect(o.n.Load()).To(BeEquivalentTo(2), "the idle one was closed")
		} else {
			g.Expect(o.n.Load()).To(BeEquivalentTo(4))
		}
	}
}
