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

// testCodec sends the message's ID in a header field, which the response repeats;
// status 503 means refused.
type testCodec struct{}

func (testCodec) Encode(buf []byte, req *dispatch.Request, _ time.Duration) []byte {
	return append(buf, "GET / HTTP/1.1\r\nHost: x\r\nId: "+req.Message.ID+"\r\n\r\n"...)
}

func (testCodec) Decode(req *dispatch.Request, resp *http.Response, body []byte) (dispatch.Reply, forward.Owner) {
	owner := forward.OwnerThis
	switch resp.Header.Get("Id") {
	case req.Message.ID:
	case "":
		owner = forward.OwnerUnnamed
	default:
		return dispatch.Reply{}, forward.OwnerOther
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return req.RefusedReply(result.EndpointShed), owner
	}
	return dispatch.Reply{Key: req.Key, Endpoint: req.Endpoint, Outcome: dispatch.OK, Response: &dispatch.Response{Status: resp.StatusCode, Body: body}}, owner
}

// connectionCounter counts the connections that were opened, and those that were
// abandoned.
type connectionCounter struct{ count, abandoned, unacknowledged atomic.Int32 }

func (cc *connectionCounter) Abandoned(_ string, unacknowledged bool) {
	cc.abandoned.Add(1)
	if unacknowledged {
		cc.unacknowledged.Add(1)
	}
}

func (cc *connectionCounter) Dialed(_ string, err error) {
	if err == nil {
		cc.count.Add(1)
	}
}

// startReplica starts a server that calls answer for each request, with the ID of
// the request and the number of earlier requests on its connection. It returns the
// server's address.
func startReplica(t *testing.T, answer func(c net.Conn, id string, n int)) string {
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
			go serveConn(c, answer)
		}
	}()
	return l.Addr().String()
}

func serveConn(c net.Conn, answer func(net.Conn, string, int)) {
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

func writeResponse(w io.Writer, id, body string) {
	_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

func newClient(address string, maxConnections int) (*forward.Client, *connectionCounter) {
	counter := &connectionCounter{}
	c := forward.New(testCodec{}, dial.TCP, counter, nil)
	c.SetTargets([]forward.Target{{Key: "r", Address: address, MaxConnections: maxConnections, KeepIdle: true}})
	return c, counter
}

func newRequest(id string, budget time.Duration) dispatch.Request {
	return dispatch.Request{Key: dispatch.Key{Request: id, Attempt: 1}, Endpoint: "r", Budget: budget, Message: &dispatch.Message{ID: id, Method: "GET"}}
}

// sendAndWait sends a request and returns the reply.
func sendAndWait(c *forward.Client, req dispatch.Request) dispatch.Reply {
	replies := make(chan dispatch.Reply, 1)
	c.Send(req, func(r dispatch.Reply) { replies <- r })
	return <-replies
}

// Guards against closing an idle connection because the deadline of its last
// request, which is still set on the socket, has passed.
func TestConnectionIsReusedAfterLastDeadline(t *testing.T) {
	g := NewWithT(t)
	c, counter := newClient(startReplica(t, func(w net.Conn, id string, _ int) { writeResponse(w, id, "x") }), 1)
	g.Expect(sendAndWait(c, newRequest("a", 50*time.Millisecond)).Outcome).To(Equal(dispatch.OK))
	time.Sleep(80 * time.Millisecond)
	g.Expect(sendAndWait(c, newRequest("b", time.Second)).Outcome).To(Equal(dispatch.OK))
	g.Expect(counter.count.Load()).To(BeEquivalentTo(1))
}

// The outcome of an attempt is unknown unless its own response arrives completely.
func TestOutcomePerResponse(t *testing.T) {
	for name, tc := range map[string]struct {
		answer  func(w net.Conn, id string, n int)
		outcome dispatch.Outcome
		body    string
	}{
		"complete": {func(w net.Conn, id string, _ int) { writeResponse(w, id, "x") }, dispatch.OK, "x"},
		"after a response to another request": {func(w net.Conn, id string, _ int) {
			writeResponse(w, "other", "old")
			writeResponse(w, id, "own")
		}, dispatch.OK, "own"},
		"only responses to other requests": {func(w net.Conn, _ string, _ int) {
			for range 4 {
				writeResponse(w, "other", "old")
			}
		}, dispatch.Unknown, ""},
		"truncated": {func(w net.Conn, id string, _ int) {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 9\r\n\r\nx")
			_ = w.Close()
		}, dispatch.Unknown, ""},
		"no length, closed": {func(w net.Conn, id string, _ int) {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nxyz")
			_ = w.Close()
		}, dispatch.OK, "xyz"},
		"no length, reset": {func(w net.Conn, id string, _ int) {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nxyz")
			time.Sleep(20 * time.Millisecond)
			_ = w.(*net.TCPConn).SetLinger(0)
			_ = w.Close()
		}, dispatch.Unknown, ""},
		"not an HTTP response": {func(w net.Conn, _ string, _ int) {
			_, _ = io.WriteString(w, "hello\r\n\r\n")
		}, dispatch.Unknown, ""},
		"closed without a response": {func(w net.Conn, _ string, _ int) { _ = w.Close() }, dispatch.Unknown, ""},
		"refused": {func(w net.Conn, id string, _ int) {
			_, _ = io.WriteString(w, "HTTP/1.1 503 Busy\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		}, dispatch.Refused, ""},
		"no response": {func(net.Conn, string, int) {}, dispatch.Unknown, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, _ := newClient(startReplica(t, tc.answer), 1)
			reply := sendAndWait(c, newRequest("a", 300*time.Millisecond))
			g.Expect(reply.Outcome).To(Equal(tc.outcome))
			if tc.body != "" {
				g.Expect(string(reply.Response.Body)).To(Equal(tc.body))
			}
		})
	}
}

// Guards against taking surplus bytes after one response for the response to the
// next request on the connection: the connection must be closed.
func TestExtraBytesAreNotReadAsNextResponse(t *testing.T) {
	g := NewWithT(t)
	c, _ := newClient(startReplica(t, func(w net.Conn, id string, n int) {
		writeResponse(w, id, "own-"+id)
		if n == 0 {
			writeResponse(w, "b", "forged")
		}
	}), 1)
	g.Expect(string(sendAndWait(c, newRequest("a", time.Second)).Response.Body)).To(Equal("own-a"))
	time.Sleep(20 * time.Millisecond)
	g.Expect(string(sendAndWait(c, newRequest("b", time.Second)).Response.Body)).To(Equal("own-b"))
}

// A replica may close an idle connection at any time. The next request must be
// sent over a new connection, and only once.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	var served atomic.Int32
	c, counter := newClient(startReplica(t, func(w net.Conn, id string, _ int) {
		served.Add(1)
		writeResponse(w, id, "x")
		_ = w.Close()
	}), 1)
	g.Expect(sendAndWait(c, newRequest("a", time.Second)).Outcome).To(Equal(dispatch.OK))
	time.Sleep(20 * time.Millisecond)
	g.Expect(sendAndWait(c, newRequest("b", time.Second)).Outcome).To(Equal(dispatch.OK))
	g.Expect(served.Load()).To(BeEquivalentTo(2))
	g.Expect(counter.count.Load()).To(BeEquivalentTo(2))
}

// The client opens at most MaxConnections, and every attempt that waits for one
// is sent in the end.
func TestConnectionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	c, counter := newClient(startReplica(t, func(w net.Conn, id string, _ int) {
		time.Sleep(5 * time.Millisecond)
		writeResponse(w, id, "x")
	}), 2)
	var wg sync.WaitGroup
	var succeeded atomic.Int32
	for i := range 20 {
		wg.Go(func() {
			if sendAndWait(c, newRequest(strconv.Itoa(i), 5*time.Second)).Outcome == dispatch.OK {
				succeeded.Add(1)
			}
		})
	}
	wg.Wait()
	g.Expect(succeeded.Load()).To(BeEquivalentTo(20))
	g.Expect(counter.count.Load()).To(BeNumerically("<=", 2))
}

// An attempt of which no byte was written is reported as refused, not as unknown,
// so that it can be retried.
func TestUnwrittenAttemptIsRefused(t *testing.T) {
	g := NewWithT(t)
	failingDial := func(context.Context, string) (net.Conn, error) { return nil, io.ErrUnexpectedEOF }
	c := forward.New(testCodec{}, failingDial, &connectionCounter{}, nil)
	c.SetTargets([]forward.Target{{Key: "r", Address: "127.0.0.1:1", MaxConnections: 1, KeepIdle: true}})
	reply := sendAndWait(c, newRequest("a", time.Second))
	g.Expect(reply.Outcome).To(Equal(dispatch.Refused))
	g.Expect(reply.Code).To(Equal(result.ConnectFailed))
	reply = sendAndWait(c, dispatch.Request{Endpoint: "gone", Message: &dispatch.Message{}})
	g.Expect(reply.Code).To(Equal(result.UnknownEndpoint))
}

// A cancelled attempt ends after a short grace period although the replica does
// not respond.
func TestCancelEndsUnansweredAttempt(t *testing.T) {
	g := NewWithT(t)
	arrived := make(chan struct{}, 1)
	c, _ := newClient(startReplica(t, func(net.Conn, string, int) { arrived <- struct{}{} }), 1)
	replies := make(chan dispatch.Reply, 1)
	req := newRequest("a", time.Minute)
	c.Send(req, func(r dispatch.Reply) { replies <- r })
	g.Eventually(arrived, 5*time.Second).Should(Receive())
	c.Cancel(req.Key)
	g.Eventually(replies, 5*time.Second).Should(Receive(HaveField("Code", result.Cancelled)))
}

// Without KeepIdle, connections are closed after use, so that idle ones don't count
// towards the replica's maximum number of connections.
func TestIdleConnectionsAreClosedWithoutKeepIdle(t *testing.T) {
	for _, keepIdle := range []bool{true, false} {
		g := NewWithT(t)
		address := startReplica(t, func(w net.Conn, id string, _ int) { writeResponse(w, id, "x") })
		counter := &connectionCounter{}
		c := forward.New(testCodec{}, dial.TCP, counter, nil)
		target := forward.Target{Key: "r", Address: address, MaxConnections: 1, KeepIdle: keepIdle}
		c.SetTargets([]forward.Target{target})
		for i := range 4 {
			g.Expect(sendAndWait(c, newRequest(strconv.Itoa(i), time.Second)).Outcome).To(Equal(dispatch.OK))
		}
		if keepIdle {
			g.Expect(counter.count.Load()).To(BeEquivalentTo(1))
			target.KeepIdle = false
			c.SetTargets([]forward.Target{target})
			g.Expect(sendAndWait(c, newRequest("later", time.Second)).Outcome).To(Equal(dispatch.OK))
			g.Expect(counter.count.Load()).To(BeEquivalentTo(2), "the idle connection was closed")
		} else {
			g.Expect(counter.count.Load()).To(BeEquivalentTo(4))
		}
	}
}

// Guards against attempts that wait until their deadline for a connection to a replica that
// has been taken away: they did not run, and are refused at once.
func TestWaitingAttemptsAreRefusedWhenTheReplicaIsTakenAway(t *testing.T) {
	g := NewWithT(t)
	const waiting = 5
	begun, end := make(chan struct{}, 1), make(chan struct{})
	c, _ := newClient(startReplica(t, func(w net.Conn, id string, _ int) {
		begun <- struct{}{}
		<-end
		writeResponse(w, id, "x")
	}), 1)
	replies := make(chan dispatch.Reply, waiting+1)
	send := func(id string) { c.Send(newRequest(id, time.Minute), func(r dispatch.Reply) { replies <- r }) }
	send("running")
	<-begun
	for n := range waiting {
		send(strconv.Itoa(n))
	}
	time.Sleep(50 * time.Millisecond)
	c.SetTargets(nil)
	for range waiting {
		var reply dispatch.Reply
		g.Eventually(replies, 10*time.Second).Should(Receive(&reply))
		g.Expect(reply.Outcome).To(Equal(dispatch.Refused))
		g.Expect(reply.Code).To(Equal(result.UnknownEndpoint))
	}
	close(end)
	g.Eventually(replies, 10*time.Second).Should(Receive(HaveField("Outcome", dispatch.OK)))
}
