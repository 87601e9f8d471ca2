package permit

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// BeginAttempt starts an attempt of a submitted permit and returns the attempt
// number. It must be called before the first byte of the attempt is written. On
// an error nothing may be written. The code of the error is:
//
//   - StillRunning if an attempt is running.
//   - PermitNeverIssued if the permit was not submitted.
//   - Otherwise the code that answers a submit of the permit. That is
//     PermitExpired if the permit's lifetime has passed, which burns the permit.
func (l *Ledger) BeginAttempt(now time.Duration, id ID) (uint32, *result.Error) {
	l.advanceTo(now)
	e, code := l.findEntry(id)
	switch {
	case e == nil:
		return 0, result.Errorf(code, "permit %s is not in the ledger", id)
	case e.state.ended():
		return 0, result.Errorf(replayCode(e.code), "permit %s has ended", id)
	case e.state == Dispatched:
		return 0, result.Errorf(result.StillRunning, "permit %s has a running attempt", id)
	case e.state == Issued:
		return 0, result.Errorf(result.PermitNeverIssued, "permit %s has not been submitted", id)
	}
	e.state = Dispatched
	e.lastAttempt++
	l.timers.schedule(e, l.now+l.cfg.MaxRun)
	return e.lastAttempt, nil
}

// RecordRefusal records that an attempt was proved to be refused before it
// started, with code as the reason. If the attempt was running, another attempt
// may begin. If its outcome was unknown, the permit ends as not run. RecordRefusal
// returns false and changes nothing if the attempt is not the permit's last one
// or its outcome is already known.
func (l *Ledger) RecordRefusal(now time.Duration, id ID, attempt uint32, code result.Code) bool {
	l.advanceTo(now)
	e, _ := l.findEntry(id)
	if e == nil || e.lastAttempt != attempt {
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

// EndAttempt records the outcome of an attempt. The permit's state becomes Done
// for a code of class complete, Failed for class failed, and otherwise Unknown. A
// later outcome of the same attempt replaces Unknown. EndAttempt returns false and
// changes nothing for an attempt that is not the last one or whose outcome is
// known.
func (l *Ledger) EndAttempt(now time.Duration, id ID, attempt uint32, code result.Code, outcome string) bool {
	l.advanceTo(now)
	e, _ := l.findEntry(id)
	if e == nil || e.lastAttempt != attempt {
		return false
	}
	replacesUnknown := e.state == Unknown && stateForCode(code) != Unknown
	if e.state != Dispatched && !replacesUnknown {
		return false
	}
	if stateForCode(code) == NotRun {
		code = result.OutcomeUnknown
	}
	l.endEntry(e, code, outcome)
	return true
}

// Burn ends a submitted permit without a running attempt as not run, with code as
// the reason. It returns whether the permit has ended as not run, by this call or
// before it. If it returns false, the submit must not be answered as not run.
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

// notRunCode returns code if its class is not-run, and PermitBurnt otherwise, so
// that a permit which provably did not run is never recorded with another class.
func notRunCode(code result.Code) result.Code {
	if code.Class() == result.ClassNotRun {
		return code
	}
	return result.PermitBurnt
}

// endEntry ends an entry with code, and schedules its removal after the retention
// period.
func (l *Ledger) endEntry(e *entry, code result.Code, outcome string) {
	e.state = stateForCode(code)
	e.code = code
	e.outcomeDropped = len(outcome) > l.cfg.MaxOutcomeBytes
	if !e.outcomeDropped {
		e.outcome = outcome
	}
	l.timers.schedule(e, l.now+e.retention)
}
