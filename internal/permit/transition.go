package permit

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// BeginAttempt starts an attempt of a submitted permit and returns its number. It must
// be called before the first byte is written. On an error nothing may be
// written: its code is PermitExpired if the lifetime has passed, which burns
// the permit, StillRunning if an attempt is running, and otherwise the code
// that answers a submit.
func (l *Ledger) BeginAttempt(now time.Duration, id ID) (uint32, *result.Error) {
	l.advanceTo(now)
	e, code := l.findEntry(id)
	switch {
	case e == nil:
		return 0, result.Errorf(code, "permit %s cannot begin", id)
	case e.state.ended():
		return 0, result.Errorf(replayCode(e.code), "permit %s has ended", id)
	case e.state == Dispatched:
		return 0, result.Errorf(result.StillRunning, "permit %s is running", id)
	case e.state == Issued:
		return 0, result.Errorf(result.PermitNeverIssued, "permit %s has not been submitted", id)
	}
	e.state = Dispatched
	e.attempt++
	l.timers.schedule(e, l.now+l.cfg.MaxRun)
	return e.attempt, nil
}

// RecordRefusal records the proof that an attempt was refused before it started, for
// the reason code. A running permit may then begin again; an unknown one is
// settled as not run. It reports false, and changes nothing, if the attempt is
// not the last one or was settled before.
func (l *Ledger) RecordRefusal(now time.Duration, id ID, attempt uint32, code result.Code) bool {
	l.advanceTo(now)
	e, _ := l.findEntry(id)
	if e == nil || e.attempt != attempt {
		return false
	}
	switch e.state {
	case Dispatched:
		e.state = Submitted
		l.timers.schedule(e, e.expiresAt)
		return true
	case Unknown:
		l.endEntry(e, notRunCode(code), "")
		return true
	default:
		return false
	}
}

// EndAttempt records how an attempt ended: done for a code of class complete, failed
// or unknown. An unknown permit may be settled later by the outcome of the
// same attempt. It reports false, and changes nothing, for any other attempt.
func (l *Ledger) EndAttempt(now time.Duration, id ID, attempt uint32, code result.Code, outcome string) bool {
	l.advanceTo(now)
	e, _ := l.findEntry(id)
	if e == nil || e.attempt != attempt {
		return false
	}
	settles := e.state == Unknown && stateForCode(code) != Unknown
	if e.state != Dispatched && !settles {
		return false
	}
	if stateForCode(code) == NotRun {
		code = result.OutcomeUnknown
	}
	l.endEntry(e, code, outcome)
	return true
}

// Burn ends a submitted permit of which no attempt is running as not run, for
// the reason code. It reports whether the permit has ended as not run, now or
// before: if not, the submit must not be answered as not run.
func (l *Ledger) Burn(now time.Duration, id ID, code result.Code) bool {
	l.advanceTo(now)
	e, _ := l.findEntry(id)
	if e == nil {
		return false
	}
	if e.state == Submitted {
		l.endEntry(e, notRunCode(code), "")
	}
	return e.state == NotRun
}

// notRunCode returns code if its class is not-run and a code of that class if
// not, so that a proof of not running is never recorded as something else.
func notRunCode(code result.Code) result.Code {
	if code.Class() == result.ClassNotRun {
		return code
	}
	return result.PermitBurnt
}

// endEntry moves an entry to its endEntry and keeps it for the retention.
func (l *Ledger) endEntry(e *entry, code result.Code, outcome string) {
	e.state = stateForCode(code)
	e.code = code
	e.outcomeDropped = len(outcome) > l.cfg.MaxOutcomeBytes
	if !e.outcomeDropped {
		e.outcome = outcome
	}
	l.timers.schedule(e, l.now+e.retention)
}
