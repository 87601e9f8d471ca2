package api

import "github.com/gypsumlug/gypsumlug/internal/result"

// Class is the hundreds digit of a Code. It is enough to know whether a request ran.
type Class = result.Class

// The classes of answers.
const (
	// ClassComplete is a complete answer, or a submit that ran exactly once.
	ClassComplete = result.ClassComplete
	// ClassPartial is an answer with missing ranges or truncated hits.
	ClassPartial = result.ClassPartial
	// ClassNotRun means that nothing ran, and for a permit that nothing will run under it.
	ClassNotRun = result.ClassNotRun
	// ClassUnknown means that the request may have run.
	ClassUnknown = result.ClassUnknown
	// ClassFailed means that the request ran and failed.
	ClassFailed = result.ClassFailed
)

// Error is an error with a result code.
type Error = result.Error

// ErrorAnswer is the answer to a request with an unknown path or method. The answers to
// queries, permit requests and submits have these fields too.
type ErrorAnswer struct {
	RequestID string `json:"request_id,omitempty"`
	Code      Code   `json:"code"`
	Name      string `json:"name"`
	Class     string `json:"class"`
	Field     string `json:"field,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

// LiveAnswer is the answer of PathLive.
type LiveAnswer struct {
	Live bool `json:"live"`
}

// NewErrorAnswer returns the answer that reports e.
func NewErrorAnswer(requestID string, e *Error) ErrorAnswer {
	return ErrorAnswer{
		RequestID: requestID,
		Code:      e.Code,
		Name:      e.Code.String(),
		Class:     e.Code.Class().String(),
		Field:     e.Field,
		Reason:    e.Reason,
	}
}

// NewQueryErrorAnswer returns the answer to q that reports e.
func NewQueryErrorAnswer(q QueryRequest, e *Error) QueryAnswer {
	return QueryAnswer{
		RequestID: q.RequestID,
		Code:      e.Code,
		Name:      e.Code.String(),
		Class:     e.Code.Class().String(),
		Field:     e.Field,
		Reason:    e.Reason,
		Hits:      []Hit{},
	}
}

// NewPermitErrorAnswer returns the answer to p that reports e.
func NewPermitErrorAnswer(p PermitRequest, e *Error) PermitAnswer {
	return PermitAnswer{
		RequestID: p.RequestID,
		Code:      e.Code,
		Name:      e.Code.String(),
		Class:     e.Code.Class().String(),
		Field:     e.Field,
		Reason:    e.Reason,
	}
}

// NewSubmitErrorAnswer returns the answer to s that reports e. The request may have run
// if e is of ClassUnknown or ClassFailed.
func NewSubmitErrorAnswer(s SubmitRequest, e *Error) SubmitAnswer {
	return SubmitAnswer{
		RequestID: s.RequestID,
		Permit:    s.Permit,
		Code:      e.Code,
		Name:      e.Code.String(),
		Class:     e.Code.Class().String(),
		Field:     e.Field,
		Reason:    e.Reason,
	}
}
