// Package admission decides which requests of callers run on this host now,
// which wait, and which are refused before anything of them runs.
//
// Invariants of [Queue]:
//   - Every offered request ends exactly once: refused by Offer, refused later
//     in a [Changes], or released after it was admitted.
//   - A refusal has a code of the not-run class. It is true, since a request is
//     dispatched only after it was admitted, and a refused one never is.
//   - In-flight and queue limits are never exceeded by an admission.
//   - Nothing waits while its service and the host have capacity.
//   - Within an urgency class the earliest deadline goes first. While a class
//     has requests that could run, at least one in edf.FloorInterval +
//     UrgencyCount admissions from the queue is its own.
//
// Queue is not safe for concurrent use. Times are monotonic since process start.
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

// Request asks for admission.
type Request struct {
	// ID is unique among the requests that have not ended.
	ID      string
	Service string
	Caller  string
	// Budget is the time left until the request's deadline.
	Budget time.Duration
}

// Verdict is the immediate result of an offer.
type Verdict uint8

// The verdicts.
const (
	// Admit: the request runs now; Release is called when it has ended.
	Admit Verdict = iota + 1
	// Wait: a later Changes admits or refuses the request.
	Wait
	// Refuse: the request has ended and never ran.
	Refuse
)

// Decision is the answer to an offer.
type Decision struct {
	Verdict Verdict
	// Code is the reason of a refusal.
	Code result.Code
}

// Refusal ends a request that waited.
type Refusal struct {
	ID   string
	Code result.Code
}

// Changes tells what became of waiting requests.
type Changes struct {
	// Admitted requests run now, in this order.
	Admitted []string
	Refused  []Refusal
}

func (c *Changes) refuse(id string, code result.Code) {
	c.Refused = append(c.Refused, Refusal{ID: id, Code: code})
}
