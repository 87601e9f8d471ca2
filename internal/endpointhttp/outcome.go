package endpointhttp

import (
	"errors"
	"os"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// jobResult is the result of executing a job on a connection.
type jobResult struct {
	reply dispatch.Reply
	// retry means that no byte was written and the job must be executed on another
	// connection; reply is not set then.
	retry bool
	// close is the reason to close the connection; if empty, it stays open.
	close CloseReason
}

// writeErrorResult returns the result of a job whose request could not be written
// completely. If the socket accepted no byte, the request did not run.
func (c *conn) writeErrorResult(j *job, err error) jobResult {
	if c.sock.written == 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
		j.unbind()
		return jobResult{retry: true, close: CloseBroken}
	}
	switch {
	case c.sock.written == 0 && j.wasCancelled():
		return jobResult{reply: j.req.RefusedReply(result.CancelledBeforeSend), close: CloseBroken}
	case c.sock.written == 0:
		return jobResult{reply: j.req.RefusedReply(result.ExpiredBeforeSend), close: CloseBroken}
	case j.wasCancelled():
		return jobResult{reply: j.req.UnknownReply(result.Cancelled), close: CloseBroken}
	default:
		return jobResult{reply: j.req.UnknownReply(result.OutcomeUnknown), close: CloseBroken}
	}
}

// readErrorResult returns the result of a job whose request was written and got no
// complete reply.
func (c *conn) readErrorResult(j *job, start time.Time, err error) jobResult {
	switch {
	case c.sock.memorySpent || errors.Is(err, errMemorySpent):
		return jobResult{reply: j.req.UnknownReply(result.ResponseMemory), close: CloseMemory}
	case c.pool.client.ctx.Err() != nil:
		return jobResult{reply: j.req.UnknownReply(result.OutcomeUnknown), close: CloseRemoved}
	case c.sock.netErr == nil:
		return jobResult{reply: badResponseReply(&j.req), close: CloseProtocol}
	case !errors.Is(c.sock.netErr, os.ErrDeadlineExceeded):
		return jobResult{reply: j.req.UnknownReply(result.EndpointCrashed), close: CloseBroken}
	default:
		return c.timeoutResult(j, start)
	}
}

// timeoutResult returns the result of a job that got no reply in time. If the
// endpoint has replied to an attempt on another connection since the request was
// written, the connection is at fault and not the endpoint.
func (c *conn) timeoutResult(j *job, start time.Time) jobResult {
	res := jobResult{reply: j.req.UnknownReply(result.OutcomeUnknown), close: CloseTimeout}
	if c.pool.lastAttemptReply.Load() > start.UnixNano() {
		res.reply.Code = result.ConnectionSilent
	}
	if c.pool.lastReply.Load() > start.UnixNano() || j.kind == jobProbe {
		res.close = CloseSilent
		c.pool.recordSilent(time.Now())
	}
	if j.wasCancelled() {
		res.reply.Code = result.Cancelled
	}
	return res
}

// responseResult returns the result of a job that got a response.
func (c *conn) responseResult(j *job, resp response) jobResult {
	var res jobResult
	if resp.close {
		res.close = CloseByPeer
	}
	conforms := true
	switch j.kind {
	case jobProbe:
		conforms = c.handleStatus(resp)
	case jobAttempt:
		res.reply, conforms = attemptReply(j, &resp)
	}
	if !conforms {
		res.close = CloseProtocol
	}
	return res
}

// handleStatus passes the reply to a probe to OnStatus. It reports false if the
// response claims success but is not a valid status. An error response is accepted:
// it shows that the connection works.
func (c *conn) handleStatus(resp response) bool {
	if resp.httpStatus != endpointapi.StatusDone {
		return true
	}
	if !resp.valid || resp.status.Endpoint == "" {
		return false
	}
	c.pool.client.opts.OnStatus(c.pool.endpoint, resp.status)
	return true
}

// attemptReply converts the response to an attempt into a reply. It reports false
// if the response violates the protocol; later responses on the connection could
// then belong to other requests.
func attemptReply(j *job, resp *response) (dispatch.Reply, bool) {
	req, body := &j.req, &resp.reply
	if !resp.valid || body.ID != j.id {
		return badResponseReply(req), false
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
	case resp.httpStatus == endpointapi.StatusDone && body.Code == 0:
		reply.Outcome = dispatch.OK
	case resp.httpStatus == endpointapi.StatusRefused && isEndpointRefusal(body.Code):
		reply.Outcome = dispatch.Refused
	case resp.httpStatus == endpointapi.StatusFailed && body.Code == result.Cancelled:
		reply.Outcome = dispatch.Unknown
	case resp.httpStatus == endpointapi.StatusFailed:
		reply.Outcome, reply.Code = dispatch.Failed, result.EndpointFailed
	default:
		return badResponseReply(req), false
	}
	return reply, true
}

// badResponseReply returns the reply for an attempt whose response is invalid. A
// search is reported as failed, a submit as unknown, since it may have run.
func badResponseReply(req *dispatch.Request) dispatch.Reply {
	reply := req.UnknownReply(result.OutcomeUnknown)
	if req.Operation == dispatch.Search {
		reply.Outcome, reply.Code = dispatch.Failed, result.BadReply
	}
	return reply
}

func isEndpointRefusal(code result.Code) bool {
	return code >= result.EndpointShed && code <= result.RangeNotHeld
}
