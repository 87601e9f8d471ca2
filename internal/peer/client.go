package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Client sends messages to peers. It is safe for concurrent use.
type Client struct {
	config   Config
	counters *counters
	onBroken func(peer string)
	nextID   atomic.Uint64

	mu      sync.Mutex
	links   map[string]*link
	closed  bool
	running sync.WaitGroup
}

// NewClient returns a client that sends as config.Self. OnBroken, which may be
// nil, is called each time that a connection over which messages were sent
// broke; what was sent over it and not answered is unknown. It is called before
// anything is sent over the connection's replacement and must not block.
func NewClient(config Config, onBroken func(peer string)) *Client {
	if onBroken == nil {
		onBroken = func(string) {}
	}
	config = config.withDefaults()
	return &Client{
		config:   config,
		counters: newCounters(config.Metrics, "client"),
		onBroken: onBroken,
		links:    make(map[string]*link),
	}
}

// Message is a one-way message to a peer.
type Message struct {
	To   string
	Kind peerwire.Kind
	// Body is the message of package peerwire that belongs to Kind.
	Body any
	// SendTimeout bounds the time until the first byte is written; a message that is
	// later is dropped as not run. Zero means no bound.
	SendTimeout time.Duration
	// Fresh sends the message only after the connection proved that it is alive.
	// Messages that may not be repeated ask for it.
	Fresh bool
	// Done, which may be nil, is called exactly once: with nil when the whole
	// frame was handed to the socket, and otherwise with a *result.Error that
	// [Undelivered] reads. It may be called before Post returns and must not
	// block.
	Done func(error)
}

// Post queues a one-way message and does not block.
func (c *Client) Post(m Message) {
	o := &outgoing{kind: m.Kind, within: m.SendTimeout, done: func(err error) { c.ended(m, err) }}
	if m.Fresh {
		go c.postFresh(m, o)
		return
	}
	c.post(m, o)
}

func (c *Client) post(m Message, o *outgoing) {
	if err := c.enqueue(m.To, o, m.Body); err != nil {
		o.fail(err)
	}
}

func (c *Client) ended(m Message, err error) {
	c.counters.refused(err)
	if m.Done != nil {
		m.Done(err)
	}
}

// postFresh posts a message after a probe, with what is left of its bound.
func (c *Client) postFresh(m Message, o *outgoing) {
	start := time.Now()
	if err := c.Probe(context.Background(), m.To); err != nil {
		o.fail(unreachable("%s was not sent: %v", m.Kind, err))
		return
	}
	if o.within > 0 {
		o.within = max(o.within-time.Since(start), 1)
	}
	c.post(m, o)
}

// Probe proves that the connection to a peer is alive. After an error, nothing
// but a ping was sent. The connection stays, since others may wait for answers
// over it, until it has been silent for the silence timeout.
func (c *Client) Probe(ctx context.Context, to string) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.ProbeTimeout)
	defer cancel()
	return c.call(ctx, to, peerwire.KindPing, nil, nil)
}

// Send sends a one-way message and waits until it is written or ctx ends.
func (c *Client) Send(ctx context.Context, to string, kind peerwire.Kind, message any) error {
	written := make(chan error, 1)
	o := &outgoing{kind: kind, done: func(err error) { written <- err }}
	var err error
	if refusal := c.enqueue(to, o, message); refusal != nil {
		o.fail(refusal)
	}
	select {
	case err = <-written:
	case <-ctx.Done():
		err = o.abandon(ctx)
	}
	c.counters.refused(err)
	return err
}

// Call sends a request and waits for its answer or the end of ctx. Reply points
// to the message of package peerwire that answers the request; nil drops the
// answer. A submit is sent only after the connection proved that it is alive.
func (c *Client) Call(ctx context.Context, to string, kind peerwire.Kind, message, reply any) error {
	err := c.prove(ctx, to, kind)
	if err == nil {
		err = c.call(ctx, to, kind, message, reply)
	}
	c.counters.refused(err)
	return err
}

// prove probes before a request that may not be repeated.
func (c *Client) prove(ctx context.Context, to string, kind peerwire.Kind) error {
	if kind != peerwire.KindSubmit {
		return nil
	}
	if err := c.Probe(ctx, to); err != nil {
		return unreachable("%s was not sent: %v", kind, err)
	}
	return nil
}

func (c *Client) call(ctx context.Context, to string, kind peerwire.Kind, message, reply any) error {
	o := &outgoing{kind: kind, id: c.nextID.Add(1), answer: make(chan answer, 1)}
	if err := c.enqueue(to, o, message); err != nil {
		return err
	}
	select {
	case a := <-o.answer:
		return finish(kind, a, reply)
	case <-ctx.Done():
		return o.abandon(ctx)
	}
}

// finish decodes an answer. An answer that cannot be decoded leaves the outcome
// of the request unknown, since the peer handled it.
func finish(kind peerwire.Kind, a answer, reply any) error {
	if a.err != nil {
		return a.err
	}
	if a.frame.Kind == peerwire.KindRefusal {
		var refusal peerwire.Refusal
		if err := a.frame.Decode(&refusal); err != nil {
			return unknown("the refusal of %s cannot be decoded", kind)
		}
		return result.Errorf(refusal.Code, "the peer refused the %s frame", kind)
	}
	if want := answerKinds[kind]; a.frame.Kind != want {
		return unknown("%s was answered by %s", kind, a.frame.Kind)
	}
	if reply == nil {
		return nil
	}
	if err := a.frame.Decode(reply); err != nil {
		return unknown("the answer to %s cannot be decoded: %v", kind, err)
	}
	return nil
}

var answerKinds = map[peerwire.Kind]peerwire.Kind{
	peerwire.KindPing:            peerwire.KindPong,
	peerwire.KindManifestRequest: peerwire.KindManifest,
	peerwire.KindDocumentRequest: peerwire.KindDocument,
	peerwire.KindSubmit:          peerwire.KindSubmitAnswer,
	peerwire.KindHandover:        peerwire.KindHandoverAnswer,
}

func (c *Client) enqueue(to string, o *outgoing, message any) *result.Error {
	data, err := AppendFrame(nil, peerwire.Version, o.kind, o.id, message)
	if err != nil {
		return err.(*result.Error)
	}
	o.data = data
	o.queuedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return unreachable("the client is closed")
	}
	l, ok := c.links[to]
	if !ok {
		l = newLink(c, to)
		c.links[to] = l
		c.running.Add(1)
		go l.run()
	}
	o.link = l
	select {
	case l.queue <- o:
		return nil
	default:
		return result.Errorf(result.PeerQueueFull, "%d messages wait for %s", cap(l.queue), to)
	}
}

// retire removes an unused link. It reports false if a message is waiting.
func (c *Client) retire(l *link) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(c.links, l.peer)
	return true
}

// Close writes what is queued on open connections, closes them and waits until
// all are closed. Requests that wait for an answer end as unknown.
func (c *Client) Close() {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		for _, l := range c.links {
			close(l.stop)
		}
	}
	c.mu.Unlock()
	c.running.Wait()
}
