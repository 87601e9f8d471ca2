package forward_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/forward"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

const (
	// maxHeadRead and maxBodyRead bound the bytes that may be read of a response whose
	// head, or body, never ends: 64 KB and twice 4 MB, and a read buffer each.
	maxHeadRead = 66 << 10
	maxBodyRead = 8<<20 + maxHeadRead
	// maxAllocated bounds the memory for one such response. The smallest entry hosts
	// have 136 MB.
	maxAllocated = 32 << 20
)

// Guards against replicas that send bytes without end: an attempt must not use memory or
// time for them without bound, whether they come at once or one by one.
func TestEndlessResponseIsBounded(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: a\r\n"
	for name, tc := range map[string]struct {
		start, repeated string
		maxRead         int64
	}{
		"status line":             {"HTTP/1.1 200 ", strings.Repeat("x", 1000), maxHeadRead},
		"no response":             {"", strings.Repeat("\x00", 1000), maxHeadRead},
		"field":                   {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 1000), maxHeadRead},
		"fields":                  {"HTTP/1.1 200 OK\r\n", strings.Repeat("X: y\r\n", 100), maxHeadRead},
		"informational responses": {"", "HTTP/1.1 103 Early\r\n\r\n", maxHeadRead},
		"body without length":     {head + "\r\n", strings.Repeat("x", 1000), maxBodyRead},
		"body of huge length":     {head + "Content-Length: 9000000000000\r\n\r\n", strings.Repeat("x", 1000), maxBodyRead},
		"chunks":                  {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", maxBodyRead},
		"large chunks":            {head + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n", maxBodyRead},
		"chunk size":              {head + "Transfer-Encoding: chunked\r\n\r\n", "0", maxBodyRead},
		"trailer":                 {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X: y\r\n", 100), maxBodyRead},
	} {
		for speed, pause := range map[string]time.Duration{"at once": 0, "slowly": 50 * time.Millisecond} {
			t.Run(name+" "+speed, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					testEndlessResponse(t, tc.start, tc.repeated, pause, tc.maxRead)
				})
			})
		}
	}
}

func testEndlessResponse(t *testing.T, start, repeated string, pause time.Duration, maxRead int64) {
	g := NewWithT(t)
	const budget = 2 * time.Second
	var read atomic.Int64
	closed := make(chan struct{})
	openPipe := func(context.Context, string) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		go serveConn(serverEnd, func(w net.Conn, _ string, _ int) {
			defer close(closed)
			_, err := io.WriteString(w, start)
			for err == nil {
				time.Sleep(pause)
				_, err = io.WriteString(w, repeated)
			}
		})
		return testsuite.CountingConn{Conn: clientEnd, Received: &read}, nil
	}
	c := forward.New(testCodec{}, openPipe, &connectionCounter{}, nil)
	c.SetTargets([]forward.Target{{Key: "r", Address: "replica", MaxConnections: 1}})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	startedAt := time.Now()
	reply := sendAndWait(c, newRequest("a", budget))
	<-closed
	runtime.ReadMemStats(&after)
	g.Expect(reply.Outcome).To(Equal(dispatch.Unknown))
	g.Expect(read.Load()).To(BeNumerically("<=", maxRead))
	g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", maxAllocated))
	g.Expect(time.Since(startedAt)).To(BeNumerically("<=", budget+time.Second), "the connection is closed")
	c.SetTargets(nil)
	time.Sleep(time.Minute)
}
