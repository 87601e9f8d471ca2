// Package result defines the numbered result codes of gypsumlug.
//
// The hundreds digit of a code is its class, and the class alone says what is known
// about whether a request ran. Codes are stable: a number is never reused. The page
// docs/RESULT-CODES.md is generated from this package.
package result

import (
	"errors"
	"fmt"
	"slices"
)

// Code is a numbered result. The zero value means "no result yet".
type Code uint16

// Class is the hundreds digit of a Code.
type Class uint8

// The classes of result codes.
const (
	// ClassComplete is a complete answer from one snapshot, or a submit that ran once
	// and succeeded.
	ClassComplete Class = 1
	// ClassPartial is an answer from one snapshot with missing ranges or documents.
	// The codes from 210 on are reasons why a range is missing.
	ClassPartial Class = 2
	// ClassNotRun means that no part of the request ran, and that nothing will ever
	// run under its permit, if it has one.
	ClassNotRun Class = 3
	// ClassUnknown means that the request may have run.
	ClassUnknown Class = 4
	// ClassFailed means that the request ran and failed.
	ClassFailed Class = 5
	// ClassOperator means a fault in settings, questionnaires, configuration, the
	// command line or the protocol between hosts. These codes are never the result
	// of a caller's request.
	ClassOperator Class = 6
)

// String returns the name of the class.
func (c Class) String() string {
	switch c {
	case ClassComplete:
		return "complete"
	case ClassPartial:
		return "partial"
	case ClassNotRun:
		return "not-run"
	case ClassUnknown:
		return "unknown"
	case ClassFailed:
		return "failed"
	case ClassOperator:
		return "operator"
	default:
		return "none"
	}
}

// Class returns the class of c.
func (c Code) Class() Class { return Class(c / 100) }

// String returns the symbolic name of c, "ok" for zero, or "code-" and its number if
// it has no name.
func (c Code) String() string {
	if c == 0 {
		return "ok"
	}
	if e, ok := byCode[c]; ok {
		return e.Name
	}
	return fmt.Sprintf("code-%d", uint16(c))
}

// Entry describes one code.
type Entry struct {
	Code Code
	// Name is the symbolic name in kebab case, which is also a label of metrics.
	Name string
	// Meaning says what happened.
	Meaning string
	// Action says what the caller or operator should do.
	Action string
}

// Table returns the entries of all codes in ascending order.
func Table() []Entry { return slices.Clone(table) }

// Lookup returns the entry of c.
func Lookup(c Code) (Entry, bool) {
	e, ok := byCode[c]
	return e, ok
}

var byCode = indexTable()

func indexTable() map[Code]Entry {
	m := make(map[Code]Entry, len(table))
	for _, e := range table {
		m[e.Code] = e
	}
	return m
}

// Error is an error with a result code.
type Error struct {
	Code Code
	// Field is the path of the offending input field; it may be empty.
	Field string
	// Reason says what is wrong and, for input, what is allowed.
	Reason string
}

// Error formats the code, the field and the reason.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%d %s: %s", uint16(e.Code), e.Code, e.Reason)
	}
	return fmt.Sprintf("%d %s: %s: %s", uint16(e.Code), e.Code, e.Field, e.Reason)
}

// Error returns an error with code c and the meaning of the code as its reason.
func (c Code) Error() *Error { return &Error{Code: c, Reason: byCode[c].Meaning} }

// Errorf returns an *Error with a formatted reason and no field.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Reason: fmt.Sprintf(format, args...)}
}

// FieldErrorf returns an *Error about one input field.
func FieldErrorf(c Code, field, format string, args ...any) *Error {
	return &Error{Code: c, Field: field, Reason: fmt.Sprintf(format, args...)}
}

// CodeOf returns the code of an error, or Internal if it has none.
func CodeOf(err error) Code {
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return Internal
}
