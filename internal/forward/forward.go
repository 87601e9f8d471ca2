// Package forward carries forwarded messages to replicas over HTTP/1.1 and
// reports exactly what is known of each.
//
// A message is written at most once, on one connection that carries nothing else
// meanwhile. The reply tells whether a byte was written: without one the message
// provably did not run. How requests are written and replies are read is the
// [Codec]'s business.
package forward

import (
	"bufio"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Codec writes requests and reads responses as the replicas speak.
type Codec interface {
	// Encode appends the request to buf. left is the time that the replica has.
	Encode(buf []byte, req *dispatch.Request, left time.Duration) []byte
	// Decode judges a response. It reports false if the response belongs to
	// another request.
	Decode(req *dispatch.Request, head *http.Response, body []byte) (dispatch.Reply, bool)
}

// Timing of connections.
const (
	dialTimeout = 600 * time.Millisecond
	// replyGrace is how long an attempt that was cancelled, or whose time is up, may
	// still take to reply, so that its connection can be kept.
	replyGrace = 150 * time.Millisecond
	// lossCheck bounds the opening of a connection that tells whether a replica
	// that ended one is still there.
	lossCheck = 50 * time.Millisecond
	// maxStray bounds the responses to other requests that are skipped.
	maxStray = 3
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 2 << 10
	// maxResponseBytes bounds a response's body.
	maxResponseBytes = 4 << 20
	// warmSpread is the time over which hosts open their first connections to a
	// new replica.
	warmSpread = 500 * time.Millisecond
	// workerIdle is how long a goroutine waits for its next attempt.
	workerIdle = 5 * time.Second
	// dialsPerAttempt bounds the connections that an attempt tries before a byte
	// is written.
	dialsPerAttempt = 2
)

// Target is a replica and this host's share of its connections.
type Target struct {
	Key            string
	Address        string
	MaxConnections int
	// KeepIdle tells that a first connection is opened ahead of need, and that idle ones
	// are kept. Otherwise a connection is closed once no attempt needs it.
	KeepIdle bool
}

// Observer is told of connections.
type Observer interface {
	// Dialed is called with the outcome of each dial.
	Dialed(endpoint string, err error)
}

// Client holds the connections of one host to its replicas. It is safe for
// concurrent use.
type Client struct {
	dialect  Codec
	dial     dial.Func
	observer Observer

	mu    sync.Mutex
	pools map[string]*pool
	jobs  map[dispatch.Key]*job
	// work hands attempts to goroutines that are kept, since their stacks have
	// grown; it has no buffer, so that none waits behind another.
	work chan func()
}

// New returns a client without targets.
func New(dialect Codec, open dial.Func, observer Observer) *Client {
	return &Client{
		dialect:  dialect,
		dial:     open,
		observer: observer,
		pools:    make(map[string]*pool),
		jobs:     make(map[dispatch.Key]*job),
		work:     make(chan func()),
	}
}

// run starts a task on a goroutine that is free, or on a new one.
func (c *Client) run(task func()) {
	select {
	case c.work <- task:
	default:
		go c.worker(task)
	}
}

// worker runs tasks until none comes for a while.
func (c *Client) worker(task func()) {
	idle := time.NewTimer(workerIdle)
	defer idle.Stop()
	for {
		task()
		idle.Reset(workerIdle)
		select {
		case task = <-c.work:
		case <-idle.C:
			return
		}
	}
}

// SetTargets replaces the replicas. Connections to those that are gone close as
// they become idle.
func (c *Client) SetTargets(targets []Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	named := make(map[string]bool, len(targets))
	for _, t := range targets {
		named[t.Key] = true
		p := c.pools[t.Key]
		if p == nil {
			p = newPool(c, t)
			c.pools[t.Key] = p
		}
		if p.limit(t.MaxConnections, t.KeepIdle) {
			time.AfterFunc(rand.N(warmSpread), p.warm)
		}
	}
	for key, p := range c.pools {
		if !named[key] {
			delete(c.pools, key)
			p.remove()
		}
	}
}

// Send carries an attempt to its replica and calls done exactly once, from
// another goroutine: with the reply, or when the attempt's time is up.
func (c *Client) Send(req dispatch.Request, done func(dispatch.Reply)) {
	j := newJob(req, done)
	c.mu.Lock()
	p := c.pools[req.Endpoint]
	if p != nil {
		c.jobs[req.Key] = j
	}
	c.mu.Unlock()
	if p == nil {
		go done(req.RefusedReply(result.UnknownEndpoint))
		return
	}
	c.run(func() {
		reply := p.carry(j)
		c.mu.Lock()
		delete(c.jobs, req.Key)
		c.mu.Unlock()
		j.report(reply)
	})
}

// Cancel withdraws an attempt. One that was not written is refused; the
// connection of one that was is closed unless the reply comes soon.
func (c *Client) Cancel(key dispatch.Key) {
	c.mu.Lock()
	j := c.jobs[key]
	c.mu.Unlock()
	if j != nil {
		j.cancel()
	}
}

// readers are the read buffers of closed connections.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBuffer) }}
