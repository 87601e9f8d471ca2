// Package admission decides which requests of callers run on this host now,
// which wait, and which are refused before any part of them runs.
//
// Invariants of [Queue]:
//   - Every offered request ends exactly once: refused by Offer, refused later
//     in a [Changes], or released after it was admitted.
//   - A refusal has a code of the not-run class. This holds because a request is
//     dispatched only after it was admitted, and a refused one is never admitted.
//   - No admission exceeds the in-flight and queue limits.
//   - No request waits while its service and the host have capacity.
//   - Within an urgency class the earliest deadline is served first. While a class
//     has requests that could run, at least one in edf.FairnessInterval +
//     UrgencyCount admissions from the queue is from that class.
//
// Queue is not safe for concurrent use. Times are monotonic, counted from the
// start of the process.
package admission

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Limits bound the requests of all services of one host.
type Limits struct {
	// InFlight bounds the admitted requests; zero means no bound.
	InFlight int
	// Queue bounds the waiting requests; zero means no bound.
	Queue int
}

// Request is a request of a caller that asks for admission.
type Request struct {
	// ID is unique among the requests that have not ended.
	ID      string
	Service string
	Caller  string
	// Budget is the time left until the request's deadline.
	Budget time.Duration
}

// Verdict is the kind of a [Decision].
type Verdict uint8

// The verdicts.
const (
	// Admit means that the request runs now. Release must be called when it has
	// ended.
	Admit Verdict = iota + 1
	// Wait means that a later Changes admits or refuses the request.
	Wait
	// Refuse means that the request has ended without running.
	Refuse
)

// Decision is the result of [Queue.Offer].
type Decision struct {
	Verdict Verdict
	// Code is the reason of a refusal.
	Code result.Code
}

// Refusal is the refusal of a waiting request.
type Refusal struct {
	ID   string
	Code result.Code
}

// Changes lists the waiting requests that were admitted or refused.
type Changes struct {
	// Admitted are the IDs of the requests that run now, in order of admission.
	Admitted []string
	Refused  []Refusal
}

func (c *Changes) addRefusal(id string, code result.Code) {
	c.Refused = append(c.Refused, Refusal{ID: id, Code: code})
}
