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

	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// verdict tells what becomes of a connection after an attempt.
type verdict uint8

const (
	keep verdict = iota
	discard
	// unwritten means that no byte was written: the attempt may be carried by
	// another connection.
	unwritten
	// broken means that the replica ended the connection while it had the attempt.
	broken
)

// errTooLarge ends the reading of a response that is over the bound.
var errTooLarge = errors.New("response over the size limit")

// idleReserve is how long before the end of the replica's idle timeout a
// connection is no longer used.
const idleReserve = 300 * time.Millisecond

// conn is one connection to a replica.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	request   []byte
	idleSince time.Time
	// idleLimit is the replica's idle timeout, or zero if it is unknown.
	idleLimit time.Duration
	look      *dial.IdleChecker
}

func newConn(raw net.Conn) *conn {
	r := readers.Get().(*bufio.Reader)
	r.Reset(raw)
	return &conn{Conn: raw, reader: r, idleSince: time.Now(), look: dial.NewIdleChecker(raw)}
}

func (c *conn) close() {
	_ = c.Close()
	if c.reader != nil {
		c.reader.Reset(nil)
		readers.Put(c.reader)
		c.reader = nil
	}
}

// usable reports whether an idle connection is open, quiet and young enough, and
// sets its deadline. A request is not written to a connection that the replica
// has closed or whose responses are out of step.
func (c *conn) usable(now, deadline time.Time) bool {
	if c.idleLimit > 0 && now.Sub(c.idleSince) > c.idleLimit-idleReserve {
		return false
	}
	// The deadline of the last request, which may have passed, would fail the look.
	_ = c.SetDeadline(deadline)
	return c.reader.Buffered() == 0 && c.look.Reusable()
}

// exchange writes the attempt once and reads its response.
func (c *conn) exchange(j *job, d Codec) (dispatch.Reply, verdict) {
	left := time.Until(j.deadline)
	if left <= 0 {
		return j.req.RefusedReply(result.ExpiredBeforeSend), keep
	}
	c.request = d.Encode(c.request[:0], &j.req, left)
	n, err := c.Write(c.request)
	if err != nil {
		if n == 0 && !errors.Is(err, syscall.EAGAIN) && time.Now().Before(j.deadline) && !j.wasCancelled() {
			return dispatch.Reply{}, unwritten
		}
		return c.lost(j), discard
	}
	return c.read(j, d)
}

// read reads responses until the one to the attempt.
func (c *conn) read(j *job, d Codec) (dispatch.Reply, verdict) {
	after := keep
	for range maxStray {
		if err := c.await(j); err != nil {
			return c.lost(j), ending(j, err)
		}
		head, body, err := c.response()
		if err != nil {
			return c.lost(j), ending(j, err)
		}
		c.learnIdle(head)
		if head.Close {
			after = discard
		}
		reply, own := d.Decode(&j.req, head, body)
		if own {
			if c.reader.Buffered() > 0 {
				after = discard
			}
			return reply, after
		}
		after = discard
	}
	return c.lost(j), discard
}

// ending returns the verdict on a connection whose read failed.
func ending(j *job, err error) verdict {
	closed := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
	if closed && !j.wasCancelled() {
		return broken
	}
	return discard
}

// await waits for the first byte of a response. An attempt whose time is up is
// reported lost there and then. Its replica, which gives up at the same moment,
// may still say so: the connection is kept if it does, since opening another one
// would cost the replica more than the attempt.
func (c *conn) await(j *job) error {
	_, err := c.reader.Peek(1)
	if !errors.Is(err, os.ErrDeadlineExceeded) || j.wasCancelled() {
		return err
	}
	j.report(c.lost(j))
	_ = c.SetDeadline(time.Now().Add(replyGrace))
	_, err = c.reader.Peek(1)
	return err
}

// response reads one whole response.
func (c *conn) response() (*http.Response, []byte, error) {
	for {
		head, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return nil, nil, err
		}
		body, err := readBody(head)
		if err != nil {
			return nil, nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, body, nil
		}
	}
}

// readBody reads a response's body to its end.
func readBody(head *http.Response) ([]byte, error) {
	if head.ContentLength > maxResponseBytes {
		return nil, errTooLarge
	}
	if head.ContentLength >= 0 {
		body := make([]byte, head.ContentLength)
		_, err := io.ReadFull(head.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(head.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		return nil, errTooLarge
	}
	return body, err
}

// lost returns the reply to an attempt that was written and got no response.
func (c *conn) lost(j *job) dispatch.Reply {
	if j.wasCancelled() {
		return j.req.UnknownReply(result.Cancelled)
	}
	return j.req.UnknownReply(result.OutcomeUnknown)
}

// learnIdle notes the idle timeout that the replica states.
func (c *conn) learnIdle(head *http.Response) {
	for _, field := range strings.Split(head.Header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleLimit = time.Duration(seconds) * time.Second
		}
	}
}
