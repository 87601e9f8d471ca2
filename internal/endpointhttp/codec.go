package endpointhttp

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/bodymemory"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
)

// maxRetainedBytes is the capacity up to which a connection keeps each of its buffers for the
// next request or reply: what an idle connection holds is not charged.
const maxRetainedBytes = bodymemory.FreeBytes / 2

// What a reply is charged for being decoded, beside its encoded size: hitBytes for each object
// and elementBytes for each element of a list, while a growing list is copied.
const (
	hitBytes     = 112
	elementBytes = 16
)

// maxPreallocatedHits bounds the hits for which memory is allocated before a reply
// is decoded.
const maxPreallocatedHits = 16

// response is a parsed HTTP response.
type response struct {
	httpStatus int
	// valid is set if the body was decoded into reply or status.
	valid bool
	// close is set if the connection must be closed after the response.
	close bool
	// reply is the decoded response to an attempt, status that to a probe.
	reply  endpointapi.Reply
	status endpointapi.Status
}

// requestID returns the ID that identifies an attempt at the endpoint. For a submit
// it is the permit, so that the outcome of a submit that ended as unknown can be
// looked up in the endpoint's own records.
func requestID(req *dispatch.Request) string {
	if req.Operation == dispatch.Submit {
		return req.Key.Request
	}
	return req.Key.Request + "/" + strconv.FormatUint(uint64(req.Attempt), 10)
}

// encode stores the complete request of the job in c.request. It runs before bind
// checks the job's cancellation and deadline for the last time, so that only a single
// write remains to be done after that check.
func (c *conn) encode(j *job) error {
	switch j.kind {
	case jobProbe:
		c.encodeHead(http.MethodGet, endpointapi.PathStatus)
		c.request = append(c.request, "\r\n"...)
		return nil
	case jobCancel:
		return c.encodePost(endpointapi.PathCancel, endpointapi.Cancel{ID: j.id})
	}
	path := endpointapi.PathSearch
	if j.req.Operation == dispatch.Submit {
		path = endpointapi.PathSubmit
	}
	return c.encodePost(path, endpointapi.Request{
		ID:       j.id,
		Service:  j.req.Service,
		Snapshot: j.req.Snapshot,
		Range:    j.req.Range,
		Body:     j.req.Body,
		Limit:    j.req.Limit,
		BudgetMS: max(1, time.Until(j.deadline).Milliseconds()),
	})
}

func (c *conn) encodePost(path string, message any) error {
	c.body.Reset()
	if err := c.encoder.Encode(message); err != nil {
		return err
	}
	c.encodeHead(http.MethodPost, path)
	c.request = append(c.request, "Content-Type: application/json\r\nContent-Length: "...)
	c.request = strconv.AppendInt(c.request, int64(c.body.Len()), 10)
	c.request = append(c.request, "\r\n\r\n"...)
	c.request = append(c.request, c.body.Bytes()...)
	return nil
}

// encodeHead replaces c.request by the request line and the Host field.
func (c *conn) encodeHead(method, path string) {
	c.request = append(c.request[:0], method...)
	c.request = append(c.request, ' ')
	c.request = append(c.request, path...)
	c.request = append(c.request, " HTTP/1.1\r\nHost: "...)
	c.request = append(c.request, c.pool.address...)
	c.request = append(c.request, "\r\n"...)
}

// trimBuffers drops the buffers that are larger than what an idle connection may hold.
func (c *conn) trimBuffers() {
	if cap(c.request) > maxRetainedBytes {
		c.request = nil
	}
	if c.body.Cap() > maxRetainedBytes {
		c.body = bytes.Buffer{}
	}
}

// readResponse reads one response. An error means that no complete response was
// received; a body that is too large or can't be decoded is not an error.
func (c *conn) readResponse(j *job) (response, error) {
	httpResp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{}, err
	}
	c.sock.beginBody()
	body, err := c.readBody(httpResp)
	_ = httpResp.Body.Close()
	if err != nil {
		return response{}, err
	}
	if !c.sock.charge.Grow(decodedBytes(body)) {
		return response{}, errMemorySpent
	}
	withinLimit := len(body) <= endpointapi.MaxReplyBytes
	resp := response{httpStatus: httpResp.StatusCode, close: httpResp.Close || !withinLimit}
	switch j.kind {
	case jobProbe:
		resp.valid = withinLimit && json.Unmarshal(body, &resp.status) == nil
	case jobAttempt:
		resp.reply.Hits = preallocateHits(&j.req)
		resp.valid = withinLimit && json.Unmarshal(body, &resp.reply) == nil
	}
	return resp, nil
}

// readBody reads the body of a response, up to one byte over the limit. A short one is read into
// c.body.
func (c *conn) readBody(r *http.Response) ([]byte, error) {
	limited := io.LimitReader(r.Body, endpointapi.MaxReplyBytes+1)
	if r.ContentLength < 0 || r.ContentLength > maxRetainedBytes-bytes.MinRead {
		return bodymemory.ReadLongBody(limited, endpointapi.MaxReplyBytes+1)
	}
	c.body.Reset()
	_, err := c.body.ReadFrom(limited)
	return c.body.Bytes(), err
}

// decodedBytes returns the memory that a body may take once it is decoded.
func decodedBytes(body []byte) int64 {
	objects, elements := bytes.Count(body, []byte{'{'}), bytes.Count(body, []byte{','})
	return int64(len(body) + hitBytes*objects + elementBytes*elements)
}

// preallocateHits returns an empty slice with capacity for the hits that the
// request asks for, within maxPreallocatedHits.
func preallocateHits(req *dispatch.Request) []dispatch.Hit {
	if req.Operation == dispatch.Submit {
		return nil
	}
	return make([]dispatch.Hit, 0, min(max(0, req.Limit), maxPreallocatedHits))
}
