package endpointhttp

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// conn is one connection. Its goroutine writes one request at a time.
type conn struct {
	pool *pool
	raw  net.Conn
	out  countingWriter
	r    *bufio.Reader
	w    *bufio.Writer
	// jobs and retire have room for one, so that the pool never blocks: the
	// pool sends only to a connection that it took from the idle list.
	jobs   chan *job
	retire chan CloseReason
	// lastUsed is when the connection last became idle.
	lastUsed time.Time
	// lastAlive is when the last reply came.
	lastAlive time.Time
}

const bufferBytes = 4 << 10

func newConn(p *pool, raw net.Conn) *conn {
	c := &conn{
		pool:     p,
		raw:      raw,
		jobs:     make(chan *job, 1),
		retire:   make(chan CloseReason, 1),
		lastUsed: time.Now(),
	}
	c.out.w = raw
	c.r = bufio.NewReaderSize(raw, bufferBytes)
	c.w = bufio.NewWriterSize(&c.out, bufferBytes)
	return c
}

// run carries jobs until the connection is closed. first may be nil.
func (c *conn) run(first *job) {
	j := first
	for {
		if j != nil {
			if reason, ok := c.carry(j); !ok {
				c.pool.closed(c, reason)
				return
			}
		}
		c.lastUsed = time.Now()
		next, keep := c.pool.next(c)
		if !keep {
			c.pool.closed(c, CloseSurplus)
			return
		}
		if next == nil {
			var reason CloseReason
			if next, reason = c.wait(); next == nil {
				c.pool.closed(c, reason)
				return
			}
		}
		j = next
	}
}

// wait returns the next job of an idle connection, or nil and why to close it.
func (c *conn) wait() (*job, CloseReason) {
	select {
	case j := <-c.jobs:
		return j, ""
	case reason := <-c.retire:
		return nil, reason
	case <-c.pool.client.ctx.Done():
		return nil, CloseRemoved
	}
}

// carry writes the job and reads the reply. It reports false with a reason if
// the connection must be closed.
func (c *conn) carry(j *job) (CloseReason, bool) {
	_ = c.raw.SetDeadline(time.Time{})
	if !c.usable() {
		return CloseByPeer, c.resubmit(j)
	}
	if j.req.Fresh && time.Since(c.lastAlive) > c.pool.client.opts.Freshness {
		if reason, ok := c.carry(newProbeJob(c.pool.client.opts.ProbeTimeout)); !ok {
			c.resubmit(j)
			return reason, false
		}
	}
	if !time.Now().Before(j.deadline) {
		c.refuse(j, result.ExpiredBeforeSend)
		return "", true
	}
	_ = c.raw.SetDeadline(j.deadline)
	if !j.begin(c) {
		c.refuse(j, result.CancelledBeforeSend)
		return "", true
	}
	return c.exchange(j)
}

// finish reports the outcome of a job that the connection carried.
func (c *conn) finish(j *job, r dispatch.Reply) {
	if j.kind == jobAttempt {
		c.pool.ended(j)
	}
	j.finish(r)
}

func (c *conn) refuse(j *job, code result.Code) { c.finish(j, j.req.Refuse(code)) }

func (c *conn) lose(j *job, code result.Code) { c.finish(j, j.req.Lose(code)) }

// resubmit moves a job that was not written to another connection. It returns
// false: this connection is of no use.
func (c *conn) resubmit(j *job) bool {
	if j.kind != jobAttempt {
		return false
	}
	if !time.Now().Before(j.deadline) {
		c.refuse(j, result.ExpiredBeforeSend)
		return false
	}
	c.pool.resubmit(j)
	return false
}

// exchange writes the request once and reads the reply.
func (c *conn) exchange(j *job) (CloseReason, bool) {
	c.out.n = 0
	began := time.Now()
	if err := c.write(j); err != nil {
		return c.writeFailed(j, err), false
	}
	response, err := c.read(j)
	if err != nil {
		return c.readFailed(j, err, began), false
	}
	c.lastAlive = time.Now()
	c.pool.lastAlive.Store(c.lastAlive.UnixNano())
	reply, keep := c.interpret(j, response)
	c.finish(j, reply)
	if !keep {
		return CloseProtocol, false
	}
	return "", !response.close
}

// writeFailed ends a job whose request could not be written whole. Nothing ran
// if the socket took no byte.
func (c *conn) writeFailed(j *job, err error) CloseReason {
	switch {
	case c.out.n == 0 && errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(j, result.ExpiredBeforeSend)
	case c.out.n == 0:
		c.refuse(j, result.ConnectFailed)
	default:
		c.lose(j, result.OutcomeUnknown)
	}
	return CloseBroken
}

// readFailed ends a job that was written and got no whole reply.
func (c *conn) readFailed(j *job, err error, began time.Time) CloseReason {
	if c.pool.client.ctx.Err() != nil {
		c.lose(j, result.OutcomeUnknown)
		return CloseRemoved
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.lose(j, result.EndpointCrashed)
		return CloseBroken
	}
	othersAnswer := c.pool.lastAlive.Load() > began.UnixNano()
	switch {
	case j.wasCancelled():
		c.lose(j, result.Cancelled)
	case othersAnswer:
		c.lose(j, result.ConnectionSilent)
	default:
		c.lose(j, result.OutcomeUnknown)
	}
	if othersAnswer || j.kind == jobProbe {
		return CloseSilent
	}
	return CloseTimeout
}

// interpret turns a response into the reply to the job. It reports false if the
// response broke the protocol, after which the connection is not in step.
func (c *conn) interpret(j *job, response response) (dispatch.Reply, bool) {
	switch j.kind {
	case jobProbe:
		c.pool.client.opts.OnStatus(c.pool.endpoint, response.status)
		return dispatch.Reply{}, response.valid
	case jobCancel:
		return dispatch.Reply{}, true
	default:
		return interpretAttempt(&j.req, response)
	}
}

func interpretAttempt(req *dispatch.Request, response response) (dispatch.Reply, bool) {
	body := response.reply
	if !response.valid || body.ID != requestID(req) {
		return brokenReply(req), false
	}
	reply := dispatch.Reply{
		Key:       req.Key,
		Endpoint:  req.Endpoint,
		Code:      body.Code,
		Snapshot:  body.Snapshot,
		Range:     req.Range,
		Hits:      body.Hits,
		Truncated: body.Truncated,
		Body:      body.Outcome,
		Service:   time.Duration(body.ServiceUS) * time.Microsecond,
		Load:      &body.Load,
	}
	switch {
	case response.httpStatus == endpointapi.StatusDone:
		reply.Outcome, reply.Code = dispatch.OK, 0
	case response.httpStatus == endpointapi.StatusRefused && isEndpointRefusal(body.Code):
		reply.Outcome = dispatch.Refused
	case response.httpStatus == endpointapi.StatusFailed && body.Code == result.Cancelled:
		reply.Outcome = dispatch.Unknown
	case response.httpStatus == endpointapi.StatusFailed:
		reply.Outcome, reply.Code = dispatch.Failed, result.EndpointFailed
	default:
		return brokenReply(req), false
	}
	return reply, true
}

// brokenReply is the reply to an attempt whose response cannot be read. A
// submit may have run.
func brokenReply(req *dispatch.Request) dispatch.Reply {
	reply := req.Lose(result.OutcomeUnknown)
	if req.Operation == dispatch.Search {
		reply.Outcome, reply.Code = dispatch.Failed, result.BadReply
	}
	return reply
}

func isEndpointRefusal(code result.Code) bool {
	return code >= result.EndpointShed && code <= result.RangeNotHeld
}
