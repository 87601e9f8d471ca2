package forward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/bodymemory"
	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// connResult is the state of a connection after an attempt.
type connResult uint8

const (
	// reusable means that the connection can carry another request.
	reusable connResult = iota
	// unusable means that the connection must be closed.
	unusable
	// notWritten means that the write failed before any byte was sent. The
	// attempt may be sent over another connection.
	notWritten
	// closedByPeer means that the replica closed or reset the connection before it
	// responded to the attempt.
	closedByPeer
	// silent means that the replica did not respond to a suspect and accepts no
	// connection either.
	silent
)

// maxHeadBytes bounds the bytes read for the head of a response, informational
// responses before it included. framingFactor times maxResponseBytes bounds those for
// its body, so that a chunked body may have that much framing.
const (
	maxHeadBytes  = 64 << 10
	framingFactor = 2
)

// errReplicaSilent is returned for a replica that neither responds to a suspect nor
// accepts a connection.
var errReplicaSilent = errors.New("replica is silent")

// idleTimeoutMargin is subtracted from the replica's idle timeout: a connection
// that has been idle for longer than the difference is not reused, since the
// replica may be about to close it.
const idleTimeoutMargin = 300 * time.Millisecond

// conn is one connection to a replica.
type conn struct {
	net.Conn
	// source is what reader reads from.
	source *boundedReader
	// reader comes from readerPool; close returns it.
	reader *bufio.Reader
	// request is the buffer for encoded requests.
	request   []byte
	idleSince time.Time
	// idleTimeout is the idle timeout that the replica announced, or zero if it
	// announced none.
	idleTimeout time.Duration
	idleChecker *dial.IdleChecker
	// sent holds the IDs of the requests that were written lately.
	sent sentIDs
	// named is set once a response has repeated the ID of a request.
	named bool
	// unanswered is true from the first write of a request until its response is
	// complete.
	unanswered bool
	// written is the number of bytes of the last request that were written.
	written int
}

func newConn(netConn net.Conn, memory *bodymemory.Budget) *conn {
	br := readerPool.Get().(*bufio.Reader)
	source := &boundedReader{source: netConn, memory: memory}
	br.Reset(source)
	return &conn{Conn: netConn, source: source, reader: br, idleSince: time.Now(), idleChecker: dial.NewIdleChecker(netConn)}
}

// close closes the connection. If a request on it has no response, the connection is
// reset, so that the replica does not receive the request after it was given up.
func (c *conn) close() {
	if c.unanswered {
		dial.Abort(c.Conn)
	} else {
		_ = c.Close()
	}
	if c.reader != nil {
		c.reader.Reset(nil)
		readerPool.Put(c.reader)
		c.reader = nil
	}
}

// prepareReuse sets the deadline of an idle connection and reports whether it can
// carry another request: it must be open, have no unread bytes, and not be close
// to the replica's idle timeout. Unread bytes would be taken for the response to
// the next request.
func (c *conn) prepareReuse(now, deadline time.Time) bool {
	if c.idleTimeout > 0 && now.Sub(c.idleSince) > c.idleTimeout-idleTimeoutMargin {
		return false
	}
	// The deadline of the previous request is still set on the connection. If it has
	// passed, the check below would fail.
	_ = c.SetDeadline(deadline)
	return c.reader.Buffered() == 0 && c.idleChecker.Reusable()
}

// roundTrip writes the attempt at most once and reads the reply to it.
func (c *conn) roundTrip(a *attempt, codec Codec) (dispatch.Reply, connResult) {
	c.written = 0
	if code := a.refusalBeforeWrite(); code != 0 {
		return a.req.RefusedReply(code), reusable
	}
	body := c.encode(a, codec)
	c.unanswered = true
	c.sent.add(time.Now(), a.req.Message.ID)
	n, err := c.writeRequest(body)
	c.written = int(n)
	if err != nil {
		if n == 0 && !errors.Is(err, syscall.EAGAIN) && time.Now().Before(a.deadline) && !a.wasCancelled() {
			c.unanswered = false
			return dispatch.Reply{}, notWritten
		}
		return c.noResponseReply(a), unusable
	}
	return c.readReply(a, codec)
}

// encode encodes the attempt into c.request. It returns the body if that is to be written after
// it: a large one is written from the message itself.
func (c *conn) encode(a *attempt, codec Codec) (body []byte) {
	heads, ok := codec.(HeadEncoder)
	if !ok || len(a.req.Message.Body) <= freeRequestBytes {
		c.request = codec.Encode(c.request[:0], &a.req, time.Until(a.deadline))
		return nil
	}
	c.request = heads.EncodeHead(c.request[:0], &a.req, time.Until(a.deadline))
	return a.req.Message.Body
}

// writeRequest writes the encoded attempt and the body that follows it, if any.
func (c *conn) writeRequest(body []byte) (int64, error) {
	if body == nil {
		n, err := c.Write(c.request)
		return int64(n), err
	}
	buffers := net.Buffers{c.request, body}
	return buffers.WriteTo(c.Conn)
}

// readReply reads up to maxStrayResponses responses until one belongs to the
// attempt. A connection that carried a response to another request is not reused.
func (c *conn) readReply(a *attempt, codec Codec) (dispatch.Reply, connResult) {
	res := reusable
	defer c.source.endResponse()
	for range maxStrayResponses {
		c.source.beginResponse(maxHeadBytes)
		if err := c.awaitResponse(a); err != nil {
			return c.failedReadReply(a), readErrorResult(a, err)
		}
		resp, body, err := c.readResponse(a.req.Message.Method)
		if err != nil {
			return c.failedReadReply(a), readErrorResult(a, err)
		}
		c.updateIdleTimeout(resp)
		if resp.Close {
			res = unusable
		}
		reply, owner := codec.Decode(&a.req, resp, body)
		if c.ownsResponse(owner) {
			c.unanswered = false
			if c.reader.Buffered() > 0 {
				res = unusable
			}
			if charge := c.source.takeCharge(); charge.Bytes() > 0 {
				reply.Charge = charge
			}
			return reply, res
		}
		res = unusable
	}
	return c.noResponseReply(a), unusable
}

// ownsResponse reports whether a response with the given owner is that to the request
// which was written last. A response without an ID belongs to no request if the replica
// repeats IDs.
func (c *conn) ownsResponse(owner Owner) bool {
	unnamed := owner == OwnerUnnamed && !c.named
	c.named = c.named || owner != OwnerUnnamed
	return unnamed || owner == OwnerThis
}

// readErrorResult returns the state of a connection after a failed read.
func readErrorResult(a *attempt, err error) connResult {
	if errors.Is(err, errReplicaSilent) {
		return silent
	}
	connClosed := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
	if connClosed && !a.wasCancelled() {
		return closedByPeer
	}
	return unusable
}

// awaitResponse waits for the first byte of a response. At the attempt's deadline
// it delivers an unknown outcome and waits for another replyGrace. The replica
// abandons the request at the same deadline and usually replies right after it;
// the connection can then be reused. To accept a new one would cost the replica
// more than the attempt.
func (c *conn) awaitResponse(a *attempt) error {
	if a.req.Suspect {
		if err := c.awaitSuspectResponse(a); err != nil {
			return err
		}
	}
	_, err := c.reader.Peek(1)
	if !errors.Is(err, os.ErrDeadlineExceeded) || a.wasCancelled() {
		return err
	}
	a.deliver(c.noResponseReply(a))
	_ = c.SetDeadline(time.Now().Add(replyGrace))
	_, err = c.reader.Peek(1)
	return err
}

// awaitSuspectResponse waits for the first byte of the response to a suspect for a
// while, and then finds out whether the replica still accepts connections. It returns
// nil if the response has begun to arrive or may still arrive.
func (c *conn) awaitSuspectResponse(a *attempt) error {
	if !a.setDeadline(c, earlier(a.deadline, time.Now().Add(silenceCheckDelay))) {
		return nil
	}
	_, err := c.reader.Peek(1)
	if !errors.Is(err, os.ErrDeadlineExceeded) || a.wasCancelled() {
		return err
	}
	if !a.replicaAccepts() {
		return errReplicaSilent
	}
	a.setDeadline(c, a.deadline)
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// readResponse reads one complete response to a request with the given method and skips
// informational (1xx) ones.
func (c *conn) readResponse(method string) (*http.Response, []byte, error) {
	request := &http.Request{Method: method}
	for {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue // an informational response has no body
		}
		c.source.beginBody(framingFactor * maxResponseBytes)
		body, err := readBody(resp)
		return resp, body, err
	}
}

// readBody reads the whole body of a response, up to maxResponseBytes. The response to HEAD
// has none, whatever its length is said to be.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.Body == http.NoBody {
		return nil, nil
	}
	if resp.ContentLength > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	if resp.ContentLength >= 0 && resp.ContentLength <= bodymemory.FreeBytes {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	return bodymemory.ReadLongBody(resp.Body, maxResponseBytes)
}

// failedReadReply returns the reply for an attempt whose response could not be read.
func (c *conn) failedReadReply(a *attempt) dispatch.Reply {
	if c.source.memorySpent {
		return a.req.UnknownReply(result.ResponseMemory)
	}
	return c.noResponseReply(a)
}

// noResponseReply returns the reply for an attempt that may have been written, if
// only in part, and received no complete response: its outcome is unknown.
func (c *conn) noResponseReply(a *attempt) dispatch.Reply {
	if a.wasCancelled() {
		return a.req.UnknownReply(result.Cancelled)
	}
	return a.req.UnknownReply(result.OutcomeUnknown)
}

// updateIdleTimeout stores the timeout parameter of the Keep-Alive header field.
func (c *conn) updateIdleTimeout(resp *http.Response) {
	for _, param := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(param), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = time.Duration(seconds) * time.Second
		}
	}
}
