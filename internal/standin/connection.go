package standin

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connection is an accepted connection that can be made silent: it stays open, but
// data that arrives is dropped and data that is written is not sent.
type connection struct {
	net.Conn
	silent        atomic.Bool
	duplicateNext atomic.Bool
	readDelay     time.Duration
	readDelayOnce sync.Once
	onClose       func()
	closeOnce     sync.Once
}

// Read delays the first read by readDelay and drops data while the connection is
// silent.
func (c *connection) Read(p []byte) (int, error) {
	c.readDelayOnce.Do(c.delayRead)
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write drops data while the connection is silent. If duplicateNext is set, it
// sends the next write that starts a reply twice. The HTTP server sends a reply that
// exceeds its buffer in several writes, of which only the first is duplicated.
func (c *connection) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	if bytes.HasPrefix(p, []byte("HTTP/")) && c.duplicateNext.CompareAndSwap(true, false) {
		if n, err := c.Conn.Write(p); err != nil {
			return n, err
		}
	}
	return c.Conn.Write(p)
}

// Close closes the connection and calls onClose once.
func (c *connection) Close() error {
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}

func (c *connection) delayRead() {
	if c.readDelay > 0 {
		time.Sleep(c.readDelay)
	}
}

// abort closes the connection with a TCP reset, as when a process crashes.
func (c *connection) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// connections is the set of an endpoint's open connections.
type connections struct {
	mu      sync.Mutex
	open    map[*connection]struct{}
	limit   int
	highest int
	refused int64
}

// add registers a connection. It returns false if that would exceed the limit.
func (s *connections) add(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit > 0 && len(s.open) >= s.limit {
		s.refused++
		return false
	}
	if s.open == nil {
		s.open = make(map[*connection]struct{})
	}
	s.open[c] = struct{}{}
	s.highest = max(s.highest, len(s.open))
	return true
}

func (s *connections) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// list returns the open connections.
func (s *connections) list() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*connection, 0, len(s.open))
	for c := range s.open {
		out = append(out, c)
	}
	return out
}

// listener wraps accepted connections and enforces the endpoint's connection limit.
type listener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept returns the next connection within the limit and closes those above it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.endpoint.admit(raw); c != nil {
			return c, nil
		}
	}
}
