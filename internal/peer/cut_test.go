package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

// cut forwards connections to a server and cuts each after a number of bytes
// in one of the directions.
type cut struct {
	listener net.Listener
	server   string
	mu       sync.Mutex
	limits   []cutLimit
}

type cutLimit struct {
	toServer, toClient int64
	reset              bool
}

func (c *cut) next() cutLimit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.limits) == 0 {
		return cutLimit{toServer: 1 << 30, toClient: 1 << 30}
	}
	limit := c.limits[0]
	c.limits = c.limits[1:]
	return limit
}

func (c *cut) run() {
	for {
		client, err := c.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", c.server)
		if err != nil {
			client.Close()
			continue
		}
		go forward(client.(*net.TCPConn), server.(*net.TCPConn), c.next())
	}
}

func forward(client, server *net.TCPConn, limit cutLimit) {
	var passing sync.WaitGroup
	pass := func(to, from *net.TCPConn, bytes int64) {
		n, _ := io.CopyN(to, from, bytes)
		if n < bytes { // The sender closed in order.
			to.CloseWrite()
			return
		}
		if limit.reset {
			client.SetLinger(0)
			server.SetLinger(0)
		}
		client.Close()
		server.Close()
	}
	passing.Go(func() { pass(server, client, limit.toServer) })
	passing.Go(func() { pass(client, server, limit.toClient) })
	passing.Wait()
	client.Close()
	server.Close()
}

// Whatever is cut, a submit that is reported as undelivered was not and will not
// be handled, and none is handled twice.
func TestUndeliveredWasNotHandled(t *testing.T) {
	testsuite.Check(t, func(t *rapid.T) {
		handler := &fakeHandler{}
		server, address := serve(t, handler)
		proxy := &cut{listener: listenOn(t), server: address, limits: rapid.SliceOfN(rapid.Custom(drawLimit), 0, 6).Draw(t, "limits")}
		go proxy.run()
		client := NewClient(testConfig("10.0.0.1:7000"), nil)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		results := submitAll(ctx, client, proxy.listener.Addr().String(), rapid.IntRange(1, 20).Draw(t, "submits"))
		client.Close()
		proxy.listener.Close()
		if err := server.Shutdown(ctx); err != nil {
			t.Fatalf("shutdown: %v", err)
		}
		handled := make(map[string]int)
		for _, m := range handler.messages() {
			handled[m.(peerwire.Submit).Request.Permit]++
		}
		for permit, err := range results {
			truthful := handled[permit] == 1 || (handled[permit] == 0 && err != nil)
			if !truthful || (Undelivered(err) && handled[permit] > 0) {
				t.Fatalf("%s ended with %v and was handled %d times", permit, err, handled[permit])
			}
		}
	})
}

// submitAll submits from several callers, n times each.
func submitAll(ctx context.Context, client *Client, to string, n int) map[string]error {
	const callers = 4
	var mu sync.Mutex
	var running sync.WaitGroup
	results := make(map[string]error)
	for c := range callers {
		running.Go(func() {
			for i := range n {
				permit := fmt.Sprintf("%d-%d", c, i)
				err := submit(ctx, client, to, permit)
				mu.Lock()
				results[permit] = err
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return results
}

func drawLimit(t *rapid.T) cutLimit {
	return cutLimit{
		toServer: int64(rapid.IntRange(0, 3000).Draw(t, "to server")),
		toClient: int64(rapid.SampledFrom([]int{0, 10, 1 << 20}).Draw(t, "to client")),
		reset:    rapid.Bool().Draw(t, "reset"),
	}
}

func listenOn(t *rapid.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func serve(t *rapid.T, handler Handler) (*Server, string) {
	listener := listenOn(t)
	server := NewServer(testConfig("server"), handler)
	go server.Serve(listener)
	return server, listener.Addr().String()
}
