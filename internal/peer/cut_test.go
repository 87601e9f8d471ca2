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

// cuttingProxy forwards connections to a server and closes each after a given number
// of bytes in one of the directions.
type cuttingProxy struct {
	listener net.Listener
	server   string
	mu       sync.Mutex
	limits   []byteLimits
}

type byteLimits struct {
	toServer, toClient int64
	reset              bool
}

func (c *cuttingProxy) nextLimits() byteLimits {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.limits) == 0 {
		return byteLimits{toServer: 1 << 30, toClient: 1 << 30}
	}
	limit := c.limits[0]
	c.limits = c.limits[1:]
	return limit
}

func (c *cuttingProxy) run() {
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
		go forwardUntilLimit(client.(*net.TCPConn), server.(*net.TCPConn), c.nextLimits())
	}
}

func forwardUntilLimit(client, server *net.TCPConn, limit byteLimits) {
	var copying sync.WaitGroup
	copyBytes := func(to, from *net.TCPConn, bytes int64) {
		n, _ := io.CopyN(to, from, bytes)
		if n < bytes { // The sender closed its side normally.
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
	copying.Go(func() { copyBytes(server, client, limit.toServer) })
	copying.Go(func() { copyBytes(client, server, limit.toClient) })
	copying.Wait()
	client.Close()
	server.Close()
}

// Wherever a connection is cut, no submit is handled twice, and a submit that is
// reported as undelivered is never handled.
func TestUndeliveredSubmitIsNotHandled(t *testing.T) {
	testsuite.Check(t, func(t *rapid.T) {
		handler := &fakeHandler{}
		server, address := serveOnLoopback(t, handler)
		proxy := &cuttingProxy{listener: listenOnLoopback(t), server: address, limits: rapid.SliceOfN(rapid.Custom(drawLimits), 0, 6).Draw(t, "limits")}
		go proxy.run()
		client := NewClient(testConfig("10.0.0.1:7000"), nil)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		results := submitConcurrently(ctx, client, proxy.listener.Addr().String(), rapid.IntRange(1, 20).Draw(t, "submits"))
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
			consistent := handled[permit] == 1 || (handled[permit] == 0 && err != nil)
			if !consistent || (Undelivered(err) && handled[permit] > 0) {
				t.Fatalf("%s got result %v and was handled %d times", permit, err, handled[permit])
			}
		}
	})
}

// submitConcurrently sends n submits from each of several goroutines.
func submitConcurrently(ctx context.Context, client *Client, to string, n int) map[string]error {
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

func drawLimits(t *rapid.T) byteLimits {
	return byteLimits{
		toServer: int64(rapid.IntRange(0, 3000).Draw(t, "to server")),
		toClient: int64(rapid.SampledFrom([]int{0, 10, 1 << 20}).Draw(t, "to client")),
		reset:    rapid.Bool().Draw(t, "reset"),
	}
}

func listenOnLoopback(t *rapid.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func serveOnLoopback(t *rapid.T, handler Handler) (*Server, string) {
	listener := listenOnLoopback(t)
	server := NewServer(testConfig("server"), handler)
	go server.Serve(listener)
	return server, listener.Addr().String()
}
