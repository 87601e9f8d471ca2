package endpointhttp

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// probeBudgetDivisor bounds a probe that verifies a connection for an attempt: the
// probe may take 1/probeBudgetDivisor of the attempt's remaining time.
const probeBudgetDivisor = 4

// conn is one connection to an endpoint. Its goroutine executes one job at a time.
type conn struct {
	pool   *pool
	sock   *socket
	reader *bufio.Reader
	// request and body are buffers that are reused by the next job.
	request []byte
	body    bytes.Buffer
	encoder *json.Encoder
	// commands has a buffer of one. A send never blocks, since the pool sends only to
	// a connection that it has just taken off the idle list.
	commands chan command
	openedAt time.Time
	// awaitingReply is true from the first write of a request until its reply is
	// complete.
	awaitingReply bool
	// isSearch tells whether the attempt in flight is a search.
	isSearch atomic.Bool
	// halfBudget is half of the budget of the attempt in flight, in nanoseconds.
	halfBudget atomic.Int64
	// lastReply is when the last reply arrived, to an attempt, a cancellation or a
	// probe.
	lastReply time.Time

	// The pool's mutex guards the fields below.

	// idleSince is when the connection last became idle.
	idleSince time.Time
	// lastAttemptAt is when the last attempt ended, or when the connection was
	// opened.
	lastAttemptAt time.Time
	// closing is set once the connection has been told to close.
	closing bool
}

// command tells a connection to execute a job or, if job is nil, to close. The zero
// command, which is never sent, tells a connection to wait for its next command.
type command struct {
	job   *job
	close CloseReason
}

const readBufferBytes = 4 << 10

func newConn(p *pool, netConn net.Conn) *conn {
	now := time.Now()
	c := &conn{pool: p, sock: newSocket(netConn), commands: make(chan command, 1), openedAt: now, lastAttemptAt: now}
	c.reader = bufio.NewReaderSize(c.sock, readBufferBytes)
	c.encoder = json.NewEncoder(&c.body)
	return c
}

// run executes jobs until the connection is closed.
func (c *conn) run() {
	cmd := c.pool.nextCommand(c, nil)
	for {
		if cmd == (command{}) {
			cmd = <-c.commands
		}
		if cmd.job == nil {
			c.pool.removeConn(c, nil, cmd.close)
			return
		}
		j := cmd.job
		res := c.execute(j)
		if res.close != "" {
			c.closeConn(j, res)
			return
		}
		cmd = c.pool.nextCommand(c, j)
		c.deliver(j, res.reply, cmd.job != nil)
	}
}

// closeSocket closes the socket. If a request on it has no reply, the socket is reset,
// so that the endpoint does not receive the request after it was given up.
func (c *conn) closeSocket() {
	if c.awaitingReply {
		dial.Abort(c.sock.Conn)
		return
	}
	_ = c.sock.Close()
}

// closeConn closes the connection. An attempt that has not been written goes back to
// the pool, to be sent on another connection; otherwise closeConn delivers the reply.
func (c *conn) closeConn(j *job, res jobResult) {
	if res.retry && j.kind == jobAttempt {
		c.pool.removeConn(c, nil, res.close)
		c.pool.requeue(j, c.openedAt.After(j.createdAt))
		return
	}
	c.pool.removeConn(c, j, res.close)
	c.deliver(j, res.reply, false)
}

// deliver calls the job's done function, if it has one. If the connection already
// has another job, done is called in a new goroutine, so as not to delay that job.
func (c *conn) deliver(j *job, reply dispatch.Reply, busy bool) {
	switch {
	case j.done == nil:
	case busy:
		go j.done(reply)
	default:
		j.done(reply)
	}
}

// execute writes the request of the job at most once and reads the reply. Before
// that it makes sure that the connection is open and, if the job requires it,
// verified.
func (c *conn) execute(j *job) jobResult {
	if j.expired() {
		return jobResult{reply: j.req.RefusedReply(result.ExpiredBeforeSend)}
	}
	_ = c.sock.SetDeadline(j.deadline)
	if c.reader.Buffered() > 0 || !c.sock.reusable() {
		return jobResult{retry: true, close: CloseByPeer}
	}
	if reason := c.verifyAlive(j); reason != "" {
		return jobResult{retry: true, close: reason}
	}
	if err := c.encode(j); err != nil {
		return jobResult{reply: j.req.RefusedReply(result.InvalidValue)}
	}
	if code := j.bind(c); code != 0 {
		return jobResult{reply: j.req.RefusedReply(code)}
	}
	res := c.roundTrip(j)
	if !res.retry {
		j.finish()
	}
	return res
}

// verifyAlive probes the connection if the attempt requires a verified connection
// or if the connection is suspected to be silent. It returns the reason to close the
// connection, or "" if the attempt can be written to it.
func (c *conn) verifyAlive(j *job) CloseReason {
	now := time.Now()
	if j.kind != jobAttempt || !j.req.VerifyConnection && !c.isSuspect(now) {
		return ""
	}
	opts := &c.pool.client.opts
	oldestValid := now.Add(-opts.VerificationTTL)
	for c.lastReply.Before(oldestValid) && !j.expired() {
		timeout := min(opts.ProbeTimeout, time.Until(j.deadline)/probeBudgetDivisor)
		if probeResult := c.execute(newProbeJob(timeout)); probeResult.close != "" {
			return probeResult.close
		}
		_ = c.sock.SetDeadline(j.deadline)
	}
	return ""
}

// roundTrip writes the encoded request and reads the reply.
func (c *conn) roundTrip(j *job) jobResult {
	c.sock.beginRoundTrip()
	defer c.endRoundTrip()
	start := time.Now()
	c.markBusy(j, start)
	defer c.sock.progressAt.Store(0)
	c.awaitingReply = true
	if _, err := c.sock.Write(c.request); err != nil {
		return c.writeErrorResult(j, err)
	}
	resp, err := c.readResponse(j)
	if err != nil {
		return c.readErrorResult(j, start, err)
	}
	c.awaitingReply = false
	c.lastReply = time.Now()
	c.recordReply(j, start, c.lastReply)
	res := c.responseResult(j, resp)
	if charge := c.sock.takeCharge(); j.kind == jobAttempt && charge.Bytes() > 0 {
		res.reply.Charge = charge
	} else {
		charge.Release()
	}
	return res
}

// endRoundTrip returns the memory of the reply that was not passed on.
func (c *conn) endRoundTrip() {
	c.sock.endRoundTrip()
	c.trimBuffers()
}
