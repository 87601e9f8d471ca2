package peer

import (
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// link sends messages to one peer over one connection at a time. The goroutine of run
// owns the connection; other goroutines pass messages to it through the queue.
type link struct {
	client  *Client
	peer    string
	queue   chan *outgoingMessage
	stop    chan struct{}
	pending *pendingRequests
}

func newLink(c *Client, peer string) *link {
	return &link{
		client:  c,
		peer:    peer,
		queue:   make(chan *outgoingMessage, c.config.QueueLength),
		stop:    make(chan struct{}),
		pending: &pendingRequests{requests: make(map[uint64]*outgoingMessage)},
	}
}

// run connects when a message is queued, and returns when none has been queued for
// the idle timeout or the client is closed.
func (l *link) run() {
	defer l.client.running.Done()
	for {
		select {
		case o := <-l.queue:
			l.connectAndServe(o)
		case <-l.stop:
			l.refuseQueued(peerUnreachable("the client is closed"))
			return
		case <-time.After(l.client.config.IdleTimeout):
			if l.client.removeIdle(l) {
				return
			}
		}
	}
}

func (l *link) connectAndServe(first *outgoingMessage) {
	conn, err := l.dial()
	if err != nil {
		refusal := peerUnreachable("connecting to %s: %v", l.peer, err)
		l.refuse(first, refusal)
		l.refuseQueued(refusal)
		l.refuseUntilRedial(refusal)
		return
	}
	conn.serve(first)
}

// refuseUntilRedial refuses messages until the redial delay has passed.
func (l *link) refuseUntilRedial(refusal *result.Error) {
	timer := time.NewTimer(l.client.config.RedialDelay)
	defer timer.Stop()
	for {
		select {
		case o := <-l.queue:
			l.refuse(o, refusal)
		case <-timer.C:
			return
		case <-l.stop:
			return
		}
	}
}

// refuse fails a message of which nothing was written, unless its sender has withdrawn
// it.
func (l *link) refuse(o *outgoingMessage, err *result.Error) {
	if o.claim() {
		o.fail(err)
	}
}

func (l *link) refuseQueued(err *result.Error) {
	for {
		select {
		case o := <-l.queue:
			l.refuse(o, err)
		default:
			return
		}
	}
}

// pendingRequests holds the requests of a link that have no answer yet.
type pendingRequests struct {
	mu       sync.Mutex
	requests map[uint64]*outgoingMessage
}

func (p *pendingRequests) add(o *outgoingMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[o.id] = o
}

// take removes and returns a request, or returns nil if there is none. Only the caller
// that took a request may set its result, so that it gets exactly one.
func (p *pendingRequests) take(id uint64) *outgoingMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.requests[id]
	delete(p.requests, id)
	return o
}

func (p *pendingRequests) takeAll() []*outgoingMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*outgoingMessage, 0, len(p.requests))
	for id, o := range p.requests {
		all = append(all, o)
		delete(p.requests, id)
	}
	return all
}

func (p *pendingRequests) empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.requests) == 0
}
