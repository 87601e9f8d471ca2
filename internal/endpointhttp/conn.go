package endpointhttp

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// freshProbeShare is the part of an attempt's remaining time that one probe
// before it may take.
const freshProbeShare = 4

// conn is one connection. Its goroutine writes one request at a time.
type conn struct {
	pool *pool
	sock *socket
	r    *bufio.Reader
	// request and body are buffers that are kept from job to job.
	request []byte
	body    bytes.Buffer
	encoder *json.Encoder
	// orders has room for one, so that the pool never blocks: the pool sends only
	// to a connection that it took from the idle list.
	orders chan order
	opened time.Time
	// search tells whether the attempt in flight is a search; patience is half of
	// its budget, in nanoseconds.
	search   atomic.Bool
	patience atomic.Int64
	// lastAlive is when the last reply came.
	lastAlive time.Time

	// The pool's mutex guards the fields below.

	// idleSince is when the connection last became idle.
	idleSince time.Time
	// lastAttempt is when it last carried more than a probe.
	lastAttempt time.Time
	closing     bool
}

// order tells an idle connection to carry a job or, without one, to close.
type order struct {
	job   *job
	close CloseReason
}

const bufferBytes = 4 << 10

func newConn(p *pool, raw net.Conn) *conn {
	now := time.Now()
	c := &conn{pool: p, sock: newSocket(raw), orders: make(chan order, 1), opened: now, lastAttempt: now}
	c.r = bufio.NewReaderSize(c.sock, bufferBytes)
	c.encoder = json.NewEncoder(&c.body)
	return c
}

// run carries jobs until the connection is closed.
func (c *conn) run() {
	next := c.pool.next(c, nil)
	for {
		if next == (order{}) {
			next = <-c.orders
		}
		if next.job == nil {
			c.pool.closed(c, nil, next.close)
			return
		}
		j := next.job
		out := c.carry(j)
		if out.close != "" {
			c.end(j, out)
			return
		}
		next = c.pool.next(c, j)
		c.report(j, out.reply, next.job != nil)
	}
}

// end closes the connection and ends its job, or moves it on.
func (c *conn) end(j *job, out verdict) {
	if out.move && j.kind == jobAttempt {
		c.pool.closed(c, nil, out.close)
		c.pool.resubmit(j, c.opened.After(j.created))
		return
	}
	c.pool.closed(c, j, out.close)
	c.report(j, out.reply, false)
}

// report tells the listener of an attempt, in another goroutine if the
// connection has work to do.
func (c *conn) report(j *job, reply dispatch.Reply, busy bool) {
	switch {
	case j.done == nil:
	case busy:
		go j.done(reply)
	default:
		j.done(reply)
	}
}

// carry writes the job at most once and reads the reply.
func (c *conn) carry(j *job) verdict {
	if j.expired() {
		return verdict{reply: j.req.RefusedReply(result.ExpiredBeforeSend)}
	}
	_ = c.sock.SetDeadline(j.deadline)
	if c.r.Buffered() > 0 || !c.sock.quiet() {
		return verdict{move: true, close: CloseByPeer}
	}
	if reason := c.prove(j); reason != "" {
		return verdict{move: true, close: reason}
	}
	if err := c.encode(j); err != nil {
		return verdict{reply: j.req.RefusedReply(result.InvalidValue)}
	}
	if code := j.begin(c); code != 0 {
		return verdict{reply: j.req.RefusedReply(code)}
	}
	out := c.exchange(j)
	if !out.move {
		j.end()
	}
	return out
}

// prove probes the connection if the job needs one that is alive. It returns why
// the connection must be closed, or nothing.
func (c *conn) prove(j *job) CloseReason {
	now := time.Now()
	if j.kind != jobAttempt || !j.req.VerifyConnection && !c.suspect(now) {
		return ""
	}
	opts := &c.pool.client.opts
	recent := now.Add(-opts.Freshness)
	for c.lastAlive.Before(recent) && !j.expired() {
		timeout := min(opts.ProbeTimeout, time.Until(j.deadline)/freshProbeShare)
		if out := c.carry(newProbeJob(timeout)); out.close != "" {
			return out.close
		}
		_ = c.sock.SetDeadline(j.deadline)
	}
	return ""
}

// exchange writes the request and reads the reply.
func (c *conn) exchange(j *job) verdict {
	c.sock.begin()
	began := time.Now()
	c.busyNow(j, began)
	defer c.sock.busySince.Store(0)
	if _, err := c.sock.Write(c.request); err != nil {
		return c.writeFailed(j, err)
	}
	response, err := c.read(j)
	if err != nil {
		return c.readFailed(j, began)
	}
	c.lastAlive = time.Now()
	c.answered(j, began, c.lastAlive)
	return c.interpret(j, response)
}
