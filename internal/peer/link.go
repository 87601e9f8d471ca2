package peer

import (
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// link sends to one peer over one connection at a time. Its goroutine owns the
// connection; others reach it by the queue.
type link struct {
	client  *Client
	peer    string
	queue   chan *outgoing
	stop    chan struct{}
	pending *pending
}

func newLink(c *Client, peer string) *link {
	return &link{
		client:  c,
		peer:    peer,
		queue:   make(chan *outgoing, c.config.QueueLength),
		stop:    make(chan struct{}),
		pending: &pending{requests: make(map[uint64]*outgoing)},
	}
}

// run connects when a message waits and retires when none came for the idle
// timeout.
func (l *link) run() {
	defer l.client.running.Done()
	for {
		select {
		case o := <-l.queue:
			l.connectAndServe(o)
		case <-l.stop:
			l.refuseQueued(unreachable("the client is closed"))
			return
		case <-time.After(l.client.config.IdleTimeout):
			if l.client.retire(l) {
				return
			}
		}
	}
}

func (l *link) connectAndServe(first *outgoing) {
	conn, err := l.dial()
	if err != nil {
		refusal := unreachable("connecting to %s: %v", l.peer, err)
		l.refuse(first, refusal)
		l.refuseQueued(refusal)
		l.waitRedial(refusal)
		return
	}
	conn.serve(first)
}

// waitRedial refuses messages until the peer may be dialled again.
func (l *link) waitRedial(refusal *result.Error) {
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

// refuse ends a message of which nothing was written.
func (l *link) refuse(o *outgoing, err *result.Error) {
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

// pending holds the requests of a link that wait for an answer.
type pending struct {
	mu       sync.Mutex
	requests map[uint64]*outgoing
}

func (p *pending) add(o *outgoing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[o.id] = o
}

// take removes and returns a request, or returns nil. Whoever took a request
// ends it, so that it ends once.
func (p *pending) take(id uint64) *outgoing {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.requests[id]
	delete(p.requests, id)
	return o
}

func (p *pending) takeAll() []*outgoing {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*outgoing, 0, len(p.requests))
	for id, o := range p.requests {
		all = append(all, o)
		delete(p.requests, id)
	}
	return all
}

func (p *pending) empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.requests) == 0
}
