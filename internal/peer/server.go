package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// Server accepts connections from peers and passes their messages to a Handler.
type Server struct {
	config   Config
	handler  Handler
	counters *counters
	// ctx is the context of request handlers. It is cancelled when the server is closed
	// or has shut down.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	listener net.Listener
	sessions map[*session]struct{}
	// sessionsByPeer counts the sessions of each peer that have exchanged hellos.
	sessionsByPeer map[string]int
	stopping       bool
	running        sync.WaitGroup
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

		sessionsByPeer: make(map[string]int),
	}
}

// Serve accepts connections until Shutdown or Close is called, and then returns nil.
// It closes the listener.
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
			return eris.Wrap(err, "accept peer connection")
		}
		if err != nil {
			time.Sleep(acceptRetryDelay) // The process may be out of file descriptors, for example.
			continue
		}
		s.startSession(conn)
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

func (s *Server) startSession(conn net.Conn) {
	c := newSession(s, conn)
	if c == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		conn.Close()
		c.guarded.Closed()
		return
	}
	s.sessions[c] = struct{}{}
	s.running.Add(1)
	go s.runSession(c)
}

func (s *Server) runSession(c *session) {
	defer s.running.Done()
	c.serve()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, c)
}

// peerConnected counts a session that has exchanged hellos with a peer.
func (s *Server) peerConnected(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessionsByPeer[peer]++
}

// peerDisconnected ends the count of a session. If it was the last one of the peer, and
// messages may have been lost with it, the handler is told. mu is held meanwhile, so
// that the messages of a new session come later.
func (s *Server) peerDisconnected(peer string, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessionsByPeer[peer]--
	if s.sessionsByPeer[peer] > 0 {
		return
	}
	delete(s.sessionsByPeer, peer)
	if lost && s.ctx.Err() == nil {
		s.handler.ConnectionLost(peer)
	}
}

// Shutdown stops accepting connections and sends a goodbye to every connected peer. It
// handles the messages that peers sent before they received the goodbye, and waits
// until all requests are answered. If ctx is done first, it closes the remaining
// connections and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.sessions {
		go c.sendGoodbye()
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

// Close closes every connection without a goodbye, so that the outcome of unanswered
// messages is unknown to the peers.
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
