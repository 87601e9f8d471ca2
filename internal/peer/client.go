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
	config           Config
	counters         *counters
	onConnectionLost func(peer string)
	nextID           atomic.Uint64

	mu      sync.Mutex
	links   map[string]*link
	closed  bool
	running sync.WaitGroup
}

// NewClient returns a client that identifies itself as config.Self.
//
// onConnectionLost, which may be nil, is called each time a connection over which
// messages were sent is lost; the outcome of messages that were sent over it and
// not answered is unknown. It is called before anything is sent over the next
// connection to the peer, and must not block.
func NewClient(config Config, onConnectionLost func(peer string)) *Client {
	if onConnectionLost == nil {
		onConnectionLost = func(string) {}
	}
	config = config.withDefaults()
	return &Client{
		config:           config,
		counters:         newCounters(config.Metrics, "client"),
		onConnectionLost: onConnectionLost,
		links:            make(map[string]*link),
	}
}

// Message is a one-way message to a peer.
type Message struct {
	To   string
	Kind peerwire.Kind
	// Body is the message of package peerwire that corresponds to Kind.
	Body any
	// SendTimeout limits the time until the first byte is written. When it passes,
	// the message is dropped with a code of the class "not run". Zero means no limit.
	SendTimeout time.Duration
	// ProbeFirst sends the message only after the peer has answered a ping over the
	// connection. It is meant for messages that must not be repeated.
	ProbeFirst bool
	// Done, which may be nil, is called exactly once: with nil when the whole frame
	// has been written to the socket, and otherwise with a *result.Error that can be
	// passed to [Undelivered]. It may be called before Post returns and must not
	// block.
	Done func(error)
}

// Post queues a one-way message without blocking.
func (c *Client) Post(m Message) {
	o := &outgoingMessage{kind: m.Kind, sendTimeout: m.SendTimeout, done: func(err error) { c.finishPost(m, err) }}
	if m.ProbeFirst {
		go c.postAfterProbe(m, o)
		return
	}
	c.post(m, o)
}

func (c *Client) post(m Message, o *outgoingMessage) {
	if err := c.enqueue(m.To, o, m.Body); err != nil {
		o.fail(err)
	}
}

func (c *Client) finishPost(m Message, err error) {
	c.counters.countRefusal(err)
	if m.Done != nil {
		m.Done(err)
	}
}

// postAfterProbe probes the connection and then queues the message with the
// remainder of its send timeout.
func (c *Client) postAfterProbe(m Message, o *outgoingMessage) {
	start := time.Now()
	if err := c.Probe(context.Background(), m.To); err != nil {
		o.fail(peerUnreachable("%s was not sent: %v", m.Kind, err))
		return
	}
	if o.sendTimeout > 0 {
		o.sendTimeout = max(o.sendTimeout-time.Since(start), 1)
	}
	c.post(m, o)
}

// Probe checks that the connection to a peer is alive by sending a ping and waiting
// for the answer. It sends nothing else. After an error the connection stays open
// until it has been silent for the silence timeout, since other requests may still
// be answered over it.
func (c *Client) Probe(ctx context.Context, to string) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.ProbeTimeout)
	defer cancel()
	return c.call(ctx, to, peerwire.KindPing, nil, nil)
}

// Send sends a one-way message and waits until it is written or ctx is done.
func (c *Client) Send(ctx context.Context, to string, kind peerwire.Kind, message any) error {
	written := make(chan error, 1)
	o := &outgoingMessage{kind: kind, done: func(err error) { written <- err }}
	var err error
	if refusal := c.enqueue(to, o, message); refusal != nil {
		o.fail(refusal)
	}
	select {
	case err = <-written:
	case <-ctx.Done():
		err = o.cancelOnDone(ctx)
	}
	c.counters.countRefusal(err)
	return err
}

// Call sends a request and waits until it is answered or ctx is done. The answer is
// decoded into reply, a pointer to the type of package peerwire that answers this kind
// of request; if reply is nil, the answer is discarded. A submit is sent only after a
// successful [Client.Probe].
func (c *Client) Call(ctx context.Context, to string, kind peerwire.Kind, message, reply any) error {
	err := c.probeBeforeSubmit(ctx, to, kind)
	if err == nil {
		err = c.call(ctx, to, kind, message, reply)
	}
	c.counters.countRefusal(err)
	return err
}

// probeBeforeSubmit probes the connection if the request is a submit, which must not
// be repeated.
func (c *Client) probeBeforeSubmit(ctx context.Context, to string, kind peerwire.Kind) error {
	if kind != peerwire.KindSubmit {
		return nil
	}
	if err := c.Probe(ctx, to); err != nil {
		return peerUnreachable("%s was not sent: %v", kind, err)
	}
	return nil
}

func (c *Client) call(ctx context.Context, to string, kind peerwire.Kind, message, reply any) error {
	o := &outgoingMessage{kind: kind, id: c.nextID.Add(1), result: make(chan requestResult, 1)}
	if err := c.enqueue(to, o, message); err != nil {
		return err
	}
	select {
	case r := <-o.result:
		return decodeAnswer(kind, r, reply)
	case <-ctx.Done():
		return o.cancelOnDone(ctx)
	}
}

// decodeAnswer decodes the answer to a request. If that fails, the outcome of the
// request is unknown, since the peer has handled it.
func decodeAnswer(kind peerwire.Kind, r requestResult, reply any) error {
	if r.err != nil {
		return r.err
	}
	if r.frame.Kind == peerwire.KindRefusal {
		var refusal peerwire.Refusal
		if err := r.frame.Decode(&refusal); err != nil {
			return outcomeUnknown("the refusal of %s cannot be decoded", kind)
		}
		return result.Errorf(refusal.Code, "the peer refused the %s frame", kind)
	}
	if want := answerKindOf[kind]; r.frame.Kind != want {
		return outcomeUnknown("%s was answered by %s", kind, r.frame.Kind)
	}
	if reply == nil {
		return nil
	}
	if err := r.frame.Decode(reply); err != nil {
		return outcomeUnknown("the answer to %s cannot be decoded: %v", kind, err)
	}
	return nil
}

// answerKindOf maps the kinds of requests to the kinds of their answers.
var answerKindOf = map[peerwire.Kind]peerwire.Kind{
	peerwire.KindPing:            peerwire.KindPong,
	peerwire.KindManifestRequest: peerwire.KindManifest,
	peerwire.KindDocumentRequest: peerwire.KindDocument,
	peerwire.KindSubmit:          peerwire.KindSubmitAnswer,
	peerwire.KindHandover:        peerwire.KindHandoverAnswer,
}

func (c *Client) enqueue(to string, o *outgoingMessage, message any) *result.Error {
	data, err := AppendFrame(nil, peerwire.Version, o.kind, o.id, message)
	if err != nil {
		return err.(*result.Error)
	}
	o.data = data
	o.queuedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return peerUnreachable("the client is closed")
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
		return result.Errorf(result.PeerQueueFull, "%d messages are already queued for %s", cap(l.queue), to)
	}
}

// removeIdle removes an idle link. It returns false if a message is queued.
func (c *Client) removeIdle(l *link) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(c.links, l.peer)
	return true
}

// Close writes the messages that are queued on open connections, closes the
// connections and waits until all are closed. Requests without an answer fail with
// an unknown outcome.
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
