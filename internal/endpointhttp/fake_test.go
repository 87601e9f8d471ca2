package endpointhttp

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
)

// waitTimeout bounds the wait for an event that always occurs, and is the budget of
// attempts that must not expire. It is long enough for a busy machine, and no test
// depends on its exact length.
const waitTimeout = 20 * time.Second

// exchange is a request that a fake endpoint received, with its connection.
type exchange struct {
	net.Conn
	// number is the number of the connection, in the order of acceptance from 1.
	number  int
	path    string
	request endpointapi.Request
}

// reply writes a reply, with the ID of the request unless another one is set. Like
// the methods below it reports whether the write succeeded.
func (x *exchange) reply(status int, r endpointapi.Reply) bool {
	if r.ID == "" {
		r.ID = x.request.ID
	}
	return x.writeJSON(status, r)
}

func (x *exchange) writeJSON(status int, message any) bool {
	data, err := json.Marshal(message)
	if err != nil {
		return false
	}
	return x.writeRaw("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(data), data)
}

func (x *exchange) writeRaw(format string, args ...any) bool {
	_, err := fmt.Fprintf(x, format, args...)
	return err == nil
}

func (x *exchange) replyOK() bool { return x.reply(endpointapi.StatusDone, endpointapi.Reply{}) }

// fakeEndpoint is a TCP server whose replies a test chooses. It closes a connection
// when serve returns false.
type fakeEndpoint struct {
	listener net.Listener
	serve    func(*exchange) bool

	mu    sync.Mutex
	conns []net.Conn
	// runs and cancels count the requests and cancellations by request ID.
	runs    map[string]int
	cancels map[string]int
}

func newFakeEndpoint(serve func(*exchange) bool) *fakeEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &fakeEndpoint{listener: l, serve: serve, runs: make(map[string]int), cancels: make(map[string]int)}
	go f.acceptLoop()
	return f
}

func (f *fakeEndpoint) address() string { return f.listener.Addr().String() }

func (f *fakeEndpoint) acceptLoop() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns = append(f.conns, c)
		number := len(f.conns)
		f.mu.Unlock()
		go f.serveConn(&exchange{Conn: c, number: number})
	}
}

func (f *fakeEndpoint) serveConn(x *exchange) {
	defer func() { _ = x.Close() }()
	r := bufio.NewReader(x)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		x.path = request.URL.Path
		x.request = endpointapi.Request{}
		if request.Method == http.MethodPost && json.NewDecoder(request.Body).Decode(&x.request) != nil {
			return
		}
		f.countRequest(x)
		if !f.respond(x) {
			return
		}
	}
}

func (f *fakeEndpoint) countRequest(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch x.path {
	case endpointapi.PathCancel:
		f.cancels[x.request.ID]++
	case endpointapi.PathSearch, endpointapi.PathSubmit:
		f.runs[x.request.ID]++
	}
}

func (f *fakeEndpoint) respond(x *exchange) bool {
	if x.path == endpointapi.PathCancel {
		return x.writeRaw("HTTP/1.1 204 No Content\r\n\r\n")
	}
	return f.serve(x)
}

func (x *exchange) isProbe() bool { return x.path == endpointapi.PathStatus }

func (x *exchange) replyStatus() bool {
	return x.writeJSON(endpointapi.StatusDone, endpointapi.Status{Endpoint: "e"})
}

// runCount returns how often the search or submit with the ID was received.
func (f *fakeEndpoint) runCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

func (f *fakeEndpoint) cancelCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancels[id]
}

func (f *fakeEndpoint) acceptedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

func (f *fakeEndpoint) closeConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
}

func (f *fakeEndpoint) close() {
	_ = f.listener.Close()
	f.closeConnections()
}

// countingDialer counts the open connections to each address.
type countingDialer struct {
	mu   sync.Mutex
	open map[string]int
	peak map[string]int
}

func newCountingDialer() *countingDialer {
	return &countingDialer{open: make(map[string]int), peak: make(map[string]int)}
}

func (d *countingDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	d.add(address, 1)
	c, err := dial.TCP(ctx, address)
	if err != nil {
		d.add(address, -1)
		return nil, err
	}
	return &countedConn{TCPConn: c.(*net.TCPConn), onClose: func() { d.add(address, -1) }}, nil
}

func (d *countingDialer) add(address string, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open[address] += n
	d.peak[address] = max(d.peak[address], d.open[address])
}

func (d *countingDialer) peakOpen(address string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peak[address]
}

func (d *countingDialer) openNow(address string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open[address]
}

type countedConn struct {
	*net.TCPConn
	once    sync.Once
	onClose func()
}

func (c *countedConn) Close() error {
	err := c.TCPConn.Close()
	c.once.Do(c.onClose)
	return err
}

// attempt is a request with the replies that were delivered for it.
type attempt struct {
	req     dispatch.Request
	mu      sync.Mutex
	replies []dispatch.Reply
}

func (a *attempt) done(r dispatch.Reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.replies = append(a.replies, r)
}

func (a *attempt) replyCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.replies)
}

func (a *attempt) id() string { return requestID(&a.req) }

// reply waits for the reply and checks that it is the only one.
func (a *attempt) reply() dispatch.Reply {
	Eventually(a.replyCount, waitTimeout, time.Millisecond).Should(Equal(1))
	a.mu.Lock()
	defer a.mu.Unlock()
	Expect(a.replies[0].Key).To(Equal(a.req.Key))
	return a.replies[0]
}

func (a *attempt) cancel(c *Client) {
	c.Cancel(dispatch.Cancel{Key: a.req.Key, Endpoint: a.req.Endpoint})
}

func newAttempt(name string, op dispatch.Operation, budget time.Duration) *attempt {
	return &attempt{req: dispatch.Request{
		Key: dispatch.Key{Request: name, Attempt: 1}, Operation: op, Endpoint: "e", Service: "s", Body: name, Budget: budget,
	}}
}

func (a *attempt) sendTo(c *Client) *attempt {
	c.Send(a.req, a.done)
	return a
}

// sendSearch sends a search whose key and body are name.
func sendSearch(c *Client, name string) *attempt {
	return newAttempt(name, dispatch.Search, waitTimeout).sendTo(c)
}

func oversizedText() string { return strings.Repeat("x", endpointapi.MaxReplyBytes+1) }
