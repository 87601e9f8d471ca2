package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// tryNextHost reports whether e proves that the host did not run the request and
// another host may accept it. Refusals that every host would make, and those that
// protect the endpoints or other callers, are final.
func tryNextHost(e *api.Error) bool {
	switch e.Code {
	case result.HostUnreachable, result.NotReady, result.Stopping, result.QueueFull, result.LedgerFull:
		return true
	default:
		return false
	}
}

// tryNextHostWithPermit reports whether a submit may be sent to another host with the
// same permit, either to run it or to learn its outcome.
func tryNextHostWithPermit(e *api.Error) bool {
	switch e.Code {
	case result.OutcomeUnknown, result.ForwardUnknown, result.IssuerUnreachable:
		return true
	default:
		return tryNextHost(e)
	}
}

func errExpired() *api.Error {
	return result.Errorf(result.ExpiredInQueue, "the deadline passed before the request was sent")
}

// submitOutcome is the combined outcome of the attempts to submit with one permit.
type submitOutcome struct {
	answer api.SubmitAnswer
	err    *api.Error
	// mayHaveRun is true once an attempt may have run.
	mayHaveRun bool
}

// addAttempt records the outcome of one more attempt and returns err. After an attempt
// that may have run, a refusal doesn't prove that the request did not run, and is not
// recorded, unless it comes from the permit ledger.
func (s *submitOutcome) addAttempt(a api.SubmitAnswer, err *api.Error) *api.Error {
	if s.mayHaveRun && err != nil && err.Code.Class() == api.ClassNotRun && !fromLedger(err.Code) {
		return err
	}
	s.answer, s.err = a, err
	s.mayHaveRun = s.mayHaveRun || err != nil && err.Code.Class() == api.ClassUnknown
	return err
}

// fromLedger reports whether c is a statement of the permit ledger that the permit was
// never run.
func fromLedger(c api.Code) bool {
	return c == result.PermitBurnt || c == result.PermitExpired
}

// post sends one request to one host and decodes its answer. Without GetBody the HTTP
// transport can't resend the request by itself.
func (c *Client) post(ctx context.Context, address, path, requestID string, body, answer any) *api.Error {
	data, err := json.Marshal(body)
	if err != nil {
		return result.Errorf(result.BadJSON, "%v", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return result.Errorf(result.InvalidValue, "%v", err)
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return c.exchange(request, requestID, answer)
}

// get fetches path from one host and decodes the JSON body.
func (c *Client) get(ctx context.Context, address, path string, answer any) *api.Error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return result.FieldErrorf(result.InvalidValue, "address", "%v", err)
	}
	response, callErr := c.do(request)
	if callErr != nil {
		return callErr
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(answer); err != nil {
		return result.Errorf(result.BadReply, "%v", err)
	}
	return nil
}

// do sends the request. If no connection was obtained, nothing was sent and the error
// is HostUnreachable. After that, it is unknown what the host received and the error
// is OutcomeUnknown.
func (c *Client) do(request *http.Request) (*http.Response, *api.Error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := c.http.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	switch {
	case err == nil:
		return response, nil
	case connected.Load():
		return nil, result.Errorf(result.OutcomeUnknown, "%v", err)
	default:
		return nil, result.Errorf(result.HostUnreachable, "%v", err)
	}
}

// exchange sends the request and decodes the answer to requestID.
func (c *Client) exchange(request *http.Request, requestID string, answer any) *api.Error {
	response, callErr := c.do(request)
	if callErr != nil {
		return callErr
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return result.Errorf(result.OutcomeUnknown, "reading the reply failed: %v", err)
	}
	return decodeAnswer(data, requestID, answer)
}

// decodeAnswer decodes an answer and returns the error that its code stands for. For a
// reply that is not an answer to requestID, such as the page of a load balancer, the
// outcome is unknown.
func decodeAnswer(data []byte, requestID string, answer any) *api.Error {
	var head api.ErrorAnswer
	if err := json.Unmarshal(data, &head); err != nil || !isAnswerCode(head.Code) {
		return result.Errorf(result.OutcomeUnknown, "the reply is not an answer of the API")
	}
	if head.RequestID != "" && head.RequestID != requestID {
		return result.FieldErrorf(result.OutcomeUnknown, "request_id", "the answer is for request %q", head.RequestID)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return result.Errorf(result.OutcomeUnknown, "the reply is not an answer of the API: %v", err)
	}
	switch head.Code.Class() {
	case api.ClassComplete, api.ClassPartial:
		return nil
	default:
		return &api.Error{Code: head.Code, Field: head.Field, Reason: head.Reason}
	}
}

// isAnswerCode reports whether c is in a class that hosts use in answers.
func isAnswerCode(c api.Code) bool {
	return c.Class() >= api.ClassComplete && c.Class() <= api.ClassFailed
}
