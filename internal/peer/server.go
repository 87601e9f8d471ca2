package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// acceptRetryDelay is the wait after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// Server accepts connections of peers and passes their messages to a Handler.
type Server struct {
	config   Config
	handler  Handler
	counters *counters
	// ctx ends when the server is closed without waiting for requests.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	listener net.Listener
	sessions map[*session]struct{}
	stopping bool
	running  sync.WaitGroup
}

// NewServer returns a server that is not yet listening.
func NewServer(config Config, handler Handler) *Server {
	config = config.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		config:   config,
		handler:  handler,
		counters: newCounters(config.Metrics, "server"),
		ctx:      ctx,
		cancel:   cancel,
		sessions: make(map[*session]struct{}),
	}
}

// Serve accepts connections until Shutdown, after which it returns nil. It
// closes the listener.
func (s *Server) Serve(listener net.Listener) error {
	defer listener.Close()
	if !s.setListener(listener) {
		return nil
	}
	for {
		conn, err := listener.Accept()
		if s.isStopping() {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return eris.Wrap(err, "accepting a peer")
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // For want of descriptors, say.
			continue
		}
		s.start(conn)
	}
}

func (s *Server) setListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = listener
	return !s.stopping
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) start(conn net.Conn) {
	c := newSession(s, conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		conn.Close()
		return
	}
	s.sessions[c] = struct{}{}
	s.running.Add(1)
	go s.run(c)
}

func (s *Server) run(c *session) {
	defer s.running.Done()
	c.serve()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, c)
}

// Shutdown stops accepting, says goodbye to the peers, handles what they had
// sent before they heard it, and answers every request. When ctx ends first, it
// closes what is left and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.sessions {
		go c.goodbye()
	}
	s.mu.Unlock()
	defer s.cancel()
	drained := make(chan struct{})
	go func() {
		s.running.Wait()
		close(drained)
	}()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		s.closeSessions()
		return ctx.Err()
	}
}

// Close cuts every connection without a goodbye, so that peers take what has no
// answer for unknown.
func (s *Server) Close() {
	s.mu.Lock()
	s.stopping = true
	if s.listener != nil {
		s.listener.Close()
	}
	s.mu.Unlock()
	s.closeSessions()
	s.running.Wait()
}

func (s *Server) closeSessions() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sessions {
		c.conn.Close()
	}
}
