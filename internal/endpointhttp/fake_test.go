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

// mustCome is a generous wait for what has to come; no verdict rests on it.
const mustCome = 20 * time.Second

// exchange is one request on one connection of a fake endpoint.
type exchange struct {
	net.Conn
	// number counts the connections of the fake from 1.
	number  int
	path    string
	request endpointapi.Request
}

func (x *exchange) reply(status int, r endpointapi.Reply) bool {
	if r.ID == "" {
		r.ID = x.request.ID
	}
	return x.body(status, r)
}

func (x *exchange) body(status int, message any) bool {
	data, err := json.Marshal(message)
	if err != nil {
		return false
	}
	return x.raw("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(data), data)
}

func (x *exchange) raw(format string, args ...any) bool {
	_, err := fmt.Fprintf(x, format, args...)
	return err == nil
}

func (x *exchange) ok() bool { return x.reply(endpointapi.StatusDone, endpointapi.Reply{}) }

// fake is a raw TCP server. serve answers one request and reports whether the
// connection goes on.
type fake struct {
	listener net.Listener
	serve    func(*exchange) bool

	mu      sync.Mutex
	conns   []net.Conn
	runs    map[string]int
	cancels map[string]int
}

func newFake(serve func(*exchange) bool) *fake {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &fake{listener: l, serve: serve, runs: make(map[string]int), cancels: make(map[string]int)}
	go f.accept()
	return f
}

func (f *fake) address() string { return f.listener.Addr().String() }

func (f *fake) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns = append(f.conns, c)
		number := len(f.conns)
		f.mu.Unlock()
		go f.carry(&exchange{Conn: c, number: number})
	}
}

func (f *fake) carry(x *exchange) {
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
		f.count(x)
		if !f.answer(x) {
			return
		}
	}
}

func (f *fake) count(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch x.path {
	case endpointapi.PathCancel:
		f.cancels[x.request.ID]++
	case endpointapi.PathSearch, endpointapi.PathSubmit:
		f.runs[x.request.ID]++
	}
}

func (f *fake) answer(x *exchange) bool {
	if x.path == endpointapi.PathCancel {
		return x.raw("HTTP/1.1 204 No Content\r\n\r\n")
	}
	return f.serve(x)
}

func (x *exchange) isProbe() bool { return x.path == endpointapi.PathStatus }

func (x *exchange) status() bool {
	return x.body(endpointapi.StatusDone, endpointapi.Status{Endpoint: "e"})
}

func (f *fake) ran(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

func (f *fake) cancelled(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancels[id]
}

func (f *fake) accepted() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

func (f *fake) cutConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		_ = c.Close()
	}
}

func (f *fake) close() {
	_ = f.listener.Close()
	f.cutConnections()
}

// dialer counts the open connections to each address.
type dialer struct {
	mu      sync.Mutex
	open    map[string]int
	highest map[string]int
}

func newDialer() *dialer {
	return &dialer{open: make(map[string]int), highest: make(map[string]int)}
}

func (d *dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	d.add(address, 1)
	c, err := dial.TCP(ctx, address)
	if err != nil {
		d.add(address, -1)
		return nil, err
	}
	return &countedConn{TCPConn: c.(*net.TCPConn), closed: func() { d.add(address, -1) }}, nil
}

func (d *dialer) add(address string, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open[address] += n
	d.highest[address] = max(d.highest[address], d.open[address])
}

func (d *dialer) mostOpen(address string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.highest[address]
}

func (d *dialer) nowOpen(address string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open[address]
}

type countedConn struct {
	*net.TCPConn
	once   sync.Once
	closed func()
}

func (c *countedConn) Close() error {
	err := c.TCPConn.Close()
	c.once.Do(c.closed)
	return err
}

// attempt is a request that was sent and what came of it.
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

func (a *attempt) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.replies)
}

func (a *attempt) id() string { return requestID(&a.req) }

// reply waits for the reply and expects it to be the only one.
func (a *attempt) reply() dispatch.Reply {
	Eventually(a.count, mustCome, time.Millisecond).Should(Equal(1))
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

func send(c *Client, name string) *attempt {
	return newAttempt(name, dispatch.Search, mustCome).sendTo(c)
}

func large() string { return strings.Repeat("x", endpointapi.MaxReplyBytes+1) }
