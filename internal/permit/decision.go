package permit

import (
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Verdict is the action that a submit requires.
type Verdict uint8

// The verdicts.
const (
	// Dispatch: this is the first submit of the permit. Whoever receives this
	// verdict must either run the request with BeginAttempt and EndAttempt, or
	// call Burn.
	Dispatch Verdict = iota + 1
	// Running: an earlier submit of the permit is still in progress. This submit
	// is answered with the outcome of the earlier one, or at once with Code.
	Running
	// Replay: the permit has ended. The submit is answered with Code and Outcome.
	Replay
	// Refuse: the submit is refused with Code, and the permit does not change.
	Refuse
	// Forward: Issuer decides. If it cannot be asked, the answer is
	// IssuerUnreachable or ForwardUnknown, never a code of class not-run.
	Forward
)

// Decision is the result of a submit to a ledger or an archive.
type Decision struct {
	Verdict Verdict
	Code    result.Code
	// Recorded is the code with which the permit ended. It is set for Replay.
	Recorded result.Code
	Outcome  string
	// OutcomeDropped reports that the outcome exceeded Config.MaxOutcomeBytes and
	// was not stored.
	OutcomeDropped bool
	// Issuer is the incarnation that decides. It is set for Forward.
	Issuer view.Incarnation
}

// refuseDecision returns the decision to refuse a submit with code.
func refuseDecision(code result.Code) Decision { return Decision{Verdict: Refuse, Code: code} }

// replayDecision returns the decision for a submit of an ended permit.
func replayDecision(r *record) Decision {
	return Decision{
		Verdict:        Replay,
		Code:           replayCode(r.code),
		Recorded:       r.code,
		Outcome:        r.outcome,
		OutcomeDropped: r.outcomeDropped,
	}
}

// replayCode returns the code for a submit of a permit that ended with the code
// recorded. Its class is the class of recorded.
func replayCode(recorded result.Code) result.Code {
	switch recorded.Class() {
	case result.ClassComplete:
		return result.Replayed
	case result.ClassNotRun:
		if recorded == result.PermitExpired {
			return recorded
		}
		return result.PermitBurnt
	default:
		return recorded
	}
}
