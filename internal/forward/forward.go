// Package forward sends callers' messages to replicas over HTTP/1.1 and reports
// the outcome of each as far as it is known.
//
// A message is written at most once, on a connection that carries no other
// request until the response has come. The reply tells apart a message of which
// no byte was written, which therefore did not run, and one that may have run. A
// [Codec] encodes the requests and decodes the responses.
package forward

import (
	"bufio"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/bodymemory"
	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Codec encodes requests and decodes responses in the format of the replicas.
type Codec interface {
	// Encode appends the encoded request to buf. remaining is the time that the replica
	// has left to respond.
	Encode(buf []byte, req *dispatch.Request, remaining time.Duration) []byte
	// Decode converts a response into the reply to req, unless its owner is another
	// request.
	Decode(req *dispatch.Request, resp *http.Response, body []byte) (dispatch.Reply, Owner)
}

// HeadEncoder is a Codec that can encode a request without its body, which follows the head
// unchanged. Large bodies are then written as they are: a query goes to many replicas, and a
// copy for each would take that many times its memory.
type HeadEncoder interface {
	EncodeHead(buf []byte, req *dispatch.Request, remaining time.Duration) []byte
}

// Owner is the request to which a response belongs, going by the ID that it repeats.
type Owner uint8

// The owners of a response.
const (
	// OwnerOther means that the response repeats the ID of another request.
	OwnerOther Owner = iota
	// OwnerUnnamed means that the response repeats no ID.
	OwnerUnnamed
	// OwnerThis means that the response repeats the ID of the request.
	OwnerThis
)

// Limits of connections and of the goroutines that use them.
const (
	dialTimeout = 600 * time.Millisecond
	// replyGrace is how long a replica may still take to respond to an attempt that
	// was cancelled or has reached its deadline. If it responds within it, the
	// connection can be reused.
	replyGrace = 150 * time.Millisecond
	// crashCheckTimeout bounds the dial that finds out whether a replica that closed
	// a connection during an attempt still accepts connections.
	crashCheckTimeout = 50 * time.Millisecond
	// silenceCheckDelay is how long a replica may take to respond to a suspect until a
	// dial, bounded by silenceCheckTimeout, finds out whether it still accepts
	// connections.
	silenceCheckDelay   = time.Second
	silenceCheckTimeout = 300 * time.Millisecond
	// maxStrayResponses is the number of responses to other requests after which an
	// attempt stops waiting for its own.
	maxStrayResponses = 3
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2 << 10
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 4 << 20
	// warmUpJitter bounds the random delay of the first connection to a new replica,
	// so that the hosts do not all connect to it at once.
	warmUpJitter = 500 * time.Millisecond
	// workerIdleTimeout is how long a worker goroutine waits for its next task
	// before it exits.
	workerIdleTimeout = 5 * time.Second
	// An attempt that has no connection is refused maxWriteReserve before its deadline, or
	// 1/writeReserveDivisor of its budget if that is less.
	maxWriteReserve     = 10 * time.Millisecond
	writeReserveDivisor = 10
	// maxDialsPerAttempt bounds the dials for one attempt.
	maxDialsPerAttempt = 2
)

// Target is a replica that attempts can be sent to.
type Target struct {
	// Key identifies the replica; it is the Endpoint of a request to it.
	Key     string
	Address string
	// MaxConnections bounds this host's connections to the replica; values below 1
	// count as 1.
	MaxConnections int
	// MaxRequestBytes bounds the bodies of this host's requests that the replica holds at a
	// time; zero means no bound. A request that exceeds it is sent alone.
	MaxRequestBytes int64
	// KeepIdle requests that a first connection is opened in advance and that idle
	// connections are kept. Without it a connection is closed as soon as no attempt
	// needs it.
	KeepIdle bool
}

// Observer is notified of connections that are opened or abandoned.
type Observer interface {
	// Dialed is called after each dial; err is nil if the connection was opened.
	Dialed(endpoint string, err error)
	// Abandoned is called before a connection is closed on which a request has no
	// complete response. unacknowledged means that the replica has not acknowledged all
	// bytes of the request, so that it may not have received it.
	Abandoned(endpoint string, unacknowledged bool)
}

// Transfer is what one attempt has sent and received, in bytes.
type Transfer struct {
	Endpoint       string
	Purpose        dispatch.Purpose
	Sent, Received int
}

// Client holds the connections of one host to its replicas. It is safe for
// concurrent use.
type Client struct {
	codec    Codec
	dial     dial.Func
	observer Observer
	memory   *bodymemory.Budget
	// OnTransfer is called after each attempt that was written. It may be nil, and is set
	// before the first attempt.
	OnTransfer func(Transfer)

	mu sync.Mutex
	// pools are the pools of the targets by Target.Key.
	pools map[string]*pool
	// attempts are the attempts that have not ended.
	attempts map[dispatch.Key]*attempt
	// tasks passes attempts to idle worker goroutines, which are reused because
	// their stacks have already grown. It is unbuffered, so that a task is only
	// passed to a worker that is idle and never queues behind another task.
	tasks chan func()
}

// New returns a client without targets. memory bounds the responses of all connections
// together; nil means no bound.
func New(codec Codec, dialFunc dial.Func, observer Observer, memory *bodymemory.Budget) *Client {
	return &Client{
		codec:    codec,
		dial:     dialFunc,
		observer: observer,
		memory:   memory,
		pools:    make(map[string]*pool),
		attempts: make(map[dispatch.Key]*attempt),
		tasks:    make(chan func()),
	}
}

// runTask runs a task on an idle worker, or on a new one if none is idle.
func (c *Client) runTask(task func()) {
	select {
	case c.tasks <- task:
	default:
		go c.runWorker(task)
	}
}

// runWorker runs the task and those that follow, until none has arrived for
// workerIdleTimeout.
func (c *Client) runWorker(task func()) {
	idleTimer := time.NewTimer(workerIdleTimeout)
	defer idleTimer.Stop()
	for {
		task()
		idleTimer.Reset(workerIdleTimeout)
		select {
		case task = <-c.tasks:
		case <-idleTimer.C:
			return
		}
	}
}

// SetTargets replaces the set of replicas. Connections to replicas that are no
// longer in it close as they become idle.
func (c *Client) SetTargets(targets []Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := make(map[string]bool, len(targets))
	for _, t := range targets {
		wanted[t.Key] = true
		p := c.pools[t.Key]
		if p == nil {
			p = newPool(c, t)
			c.pools[t.Key] = p
		}
		p.requests.setLimit(t.MaxRequestBytes)
		if p.setLimits(t.MaxConnections, t.KeepIdle) {
			time.AfterFunc(rand.N(warmUpJitter), p.warmUp)
		}
	}
	for key, p := range c.pools {
		if !wanted[key] {
			delete(c.pools, key)
			p.retire()
		}
	}
}

// Send sends an attempt to its replica. It calls done exactly once, from another
// goroutine. The call comes no later than the attempt's deadline, except that a
// cancelled attempt may take up to replyGrace longer, and one whose connection was
// closed by the replica up to crashCheckTimeout, and a suspect's without a response up
// to silenceCheckTimeout.
func (c *Client) Send(req dispatch.Request, done func(dispatch.Reply)) {
	a := newAttempt(req, done)
	c.mu.Lock()
	p := c.pools[req.Endpoint]
	if p != nil {
		c.attempts[req.Key] = a
	}
	c.mu.Unlock()
	if p == nil {
		go done(req.RefusedReply(result.UnknownEndpoint))
		return
	}
	c.runTask(func() {
		reply := p.send(a)
		c.mu.Lock()
		delete(c.attempts, req.Key)
		c.mu.Unlock()
		a.deliver(reply)
	})
}

// reportTransfer reports what an attempt has sent and received, if it was written.
func (c *Client) reportTransfer(a *attempt, sent, received int) {
	if c.OnTransfer != nil && sent > 0 {
		c.OnTransfer(Transfer{Endpoint: a.req.Endpoint, Purpose: a.req.Purpose, Sent: sent, Received: received})
	}
}

// Cancel cancels an attempt. An attempt that has not been written is refused. If it
// has been written, its connection is closed unless the response arrives within
// replyGrace.
func (c *Client) Cancel(key dispatch.Key) {
	c.mu.Lock()
	a := c.attempts[key]
	c.mu.Unlock()
	if a != nil {
		a.cancel()
	}
}

// readerPool holds the read buffers of closed connections for reuse.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
