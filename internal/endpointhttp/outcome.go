package endpointhttp

import (
	"errors"
	"os"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// verdict is what became of a job and its connection.
type verdict struct {
	reply dispatch.Reply
	// move tells that nothing was written and another connection is to carry
	// the job; reply is not set.
	move bool
	// close is why the connection must be closed; empty keeps it.
	close CloseReason
}

// writeFailed judges a request that could not be written whole. Nothing ran if
// the socket took no byte.
func (c *conn) writeFailed(j *job, err error) verdict {
	if c.sock.written == 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
		j.withdraw()
		return verdict{move: true, close: CloseBroken}
	}
	switch {
	case c.sock.written == 0 && j.wasCancelled():
		return verdict{reply: j.req.RefusedReply(result.CancelledBeforeSend), close: CloseBroken}
	case c.sock.written == 0:
		return verdict{reply: j.req.RefusedReply(result.ExpiredBeforeSend), close: CloseBroken}
	case j.wasCancelled():
		return verdict{reply: j.req.UnknownReply(result.Cancelled), close: CloseBroken}
	default:
		return verdict{reply: j.req.UnknownReply(result.OutcomeUnknown), close: CloseBroken}
	}
}

// readFailed judges a request that was written and got no whole reply.
func (c *conn) readFailed(j *job, began time.Time) verdict {
	switch {
	case c.pool.client.ctx.Err() != nil:
		return verdict{reply: j.req.UnknownReply(result.OutcomeUnknown), close: CloseRemoved}
	case c.sock.readErr == nil:
		return verdict{reply: brokenReply(&j.req), close: CloseProtocol}
	case !errors.Is(c.sock.readErr, os.ErrDeadlineExceeded):
		return verdict{reply: j.req.UnknownReply(result.EndpointCrashed), close: CloseBroken}
	default:
		return c.noReply(j, began)
	}
}

// noReply judges a request that got no reply in time. Replies to attempts on
// other connections since it was written tell that the connection is at fault.
func (c *conn) noReply(j *job, began time.Time) verdict {
	out := verdict{reply: j.req.UnknownReply(result.OutcomeUnknown), close: CloseTimeout}
	if c.pool.lastAnswer.Load() > began.UnixNano() {
		out.reply.Code = result.ConnectionSilent
	}
	if c.pool.lastAlive.Load() > began.UnixNano() || j.kind == jobProbe {
		out.close = CloseSilent
		c.pool.foundSilent(time.Now())
	}
	if j.wasCancelled() {
		out.reply.Code = result.Cancelled
	}
	return out
}

// interpret judges a job by the response to it.
func (c *conn) interpret(j *job, response response) verdict {
	var out verdict
	if response.close {
		out.close = CloseByPeer
	}
	inStep := true
	switch j.kind {
	case jobProbe:
		inStep = c.observeStatus(response)
	case jobAttempt:
		out.reply, inStep = interpretAttempt(j, &response)
	}
	if !inStep {
		out.close = CloseProtocol
	}
	return out
}

// observeStatus passes on the reply to a probe. Any response to it proves the
// connection alive, but one that claims success must be a status.
func (c *conn) observeStatus(response response) bool {
	if response.httpStatus != endpointapi.StatusDone {
		return true
	}
	if !response.valid || response.status.Endpoint == "" {
		return false
	}
	c.pool.client.opts.OnStatus(c.pool.endpoint, response.status)
	return true
}

// interpretAttempt reports false if the response broke the protocol, after which
// replies on the connection may be out of step.
func interpretAttempt(j *job, response *response) (dispatch.Reply, bool) {
	req, body := &j.req, &response.reply
	if !response.valid || body.ID != j.id {
		return brokenReply(req), false
	}
	reply := dispatch.Reply{
		Key:         req.Key,
		Endpoint:    req.Endpoint,
		Code:        body.Code,
		Snapshot:    body.Snapshot,
		Range:       req.Range,
		Hits:        body.Hits,
		Truncated:   body.Truncated,
		Body:        body.Outcome,
		ServiceTime: time.Duration(body.ServiceUS) * time.Microsecond,
		Load:        &body.Load,
	}
	switch {
	case response.httpStatus == endpointapi.StatusDone && body.Code == 0:
		reply.Outcome = dispatch.OK
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
	reply := req.UnknownReply(result.OutcomeUnknown)
	if req.Operation == dispatch.Search {
		reply.Outcome, reply.Code = dispatch.Failed, result.BadReply
	}
	return reply
}

func isEndpointRefusal(code result.Code) bool {
	return code >= result.EndpointShed && code <= result.RangeNotHeld
}
