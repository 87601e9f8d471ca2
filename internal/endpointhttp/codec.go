package endpointhttp

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
)

// countingWriter counts the bytes that the socket took.
type countingWriter struct {
	w io.Writer
	n int
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += n
	return n, err
}

// response is a parsed HTTP response.
type response struct {
	httpStatus int
	// valid tells that the body was decoded.
	valid  bool
	close  bool
	reply  endpointapi.Reply
	status endpointapi.Status
}

// requestID is the ID of an attempt at the endpoint: the permit of a submit, so
// that an owner can settle an unknown outcome by the endpoint's books.
func requestID(req *dispatch.Request) string {
	if req.Operation == dispatch.Submit {
		return req.Key.Request
	}
	return req.Key.Request + "/" + strconv.FormatUint(uint64(req.Attempt), 10)
}

func (c *conn) write(j *job) error {
	request, err := c.newRequest(j)
	if err != nil {
		return err
	}
	if err := request.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

func (c *conn) newRequest(j *job) (*http.Request, error) {
	switch j.kind {
	case jobProbe:
		return c.httpRequest(http.MethodGet, endpointapi.PathStatus, nil)
	case jobCancel:
		return c.httpRequest(http.MethodPost, endpointapi.PathCancel, endpointapi.Cancel{ID: requestID(&j.req)})
	}
	path := endpointapi.PathSearch
	if j.req.Operation == dispatch.Submit {
		path = endpointapi.PathSubmit
	}
	return c.httpRequest(http.MethodPost, path, endpointapi.Request{
		ID:       requestID(&j.req),
		Service:  j.req.Service,
		Snapshot: j.req.Snapshot,
		Range:    j.req.Range,
		Body:     j.req.Body,
		Limit:    j.req.Limit,
		BudgetMS: max(1, time.Until(j.deadline).Milliseconds()),
	})
}

func (c *conn) httpRequest(method, path string, message any) (*http.Request, error) {
	request := &http.Request{
		Method: method,
		URL:    &url.URL{Path: path},
		Host:   c.pool.address,
		Header: http.Header{},
	}
	if message == nil {
		return request, nil
	}
	body, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	request.Header["Content-Type"] = jsonContentType
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	return request, nil
}

var jsonContentType = []string{"application/json"}

// read reads one response. An error means that no whole response came.
func (c *conn) read(j *job) (response, error) {
	raw, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return response{}, err
	}
	body, err := io.ReadAll(io.LimitReader(raw.Body, endpointapi.MaxReplyBytes+1))
	_ = raw.Body.Close()
	if err != nil {
		return response{}, err
	}
	out := response{httpStatus: raw.StatusCode, close: raw.Close || len(body) > endpointapi.MaxReplyBytes}
	switch j.kind {
	case jobProbe:
		out.valid = json.Unmarshal(body, &out.status) == nil
	case jobAttempt:
		out.valid = len(body) <= endpointapi.MaxReplyBytes && json.Unmarshal(body, &out.reply) == nil
	}
	return out, nil
}

// usable reports whether an idle connection is still open and has no unread
// bytes. It looks at the socket without blocking and consumes nothing, so that
// a request is not written to a connection that the endpoint has closed.
func (c *conn) usable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var peek [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = recvErr == syscall.EAGAIN || recvErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}
