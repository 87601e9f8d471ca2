package permit

import (
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Verdict is what to do with a submit.
type Verdict uint8

// The verdicts.
const (
	// Dispatch: this is the first submit. The receiver of the verdict must end
	// it by Begin and End, or by Burn.
	Dispatch Verdict = iota + 1
	// Running: an earlier submit has not ended. Its end answers this one too, or
	// this one is answered with Code.
	Running
	// Replay: the permit has ended. Code and Outcome answer the submit.
	Replay
	// Refuse: the submit is refused with Code, and the permit is as it was.
	Refuse
	// Forward: Issuer decides. If it cannot be asked, the answer is
	// IssuerUnreachable or ForwardUnknown, and never one of class not-run.
	Forward
)

// Decision is the answer of a ledger to a submit.
type Decision struct {
	Verdict Verdict
	Code    result.Code
	// Recorded is the code with which the permit ended, for Replay.
	Recorded result.Code
	Outcome  string
	// OutcomeDropped tells that the outcome was too large to keep.
	OutcomeDropped bool
	// Issuer is the incarnation to ask, for Foreign.
	Issuer view.Incarnation
}

func refuseDecision(code result.Code) Decision { return Decision{Verdict: Refuse, Code: code} }

// replayDecision returns the decision for a permit that ended with a record.
func replayDecision(r *record) Decision {
	return Decision{
		Verdict:        Replay,
		Code:           replayCode(r.code),
		Recorded:       r.code,
		Outcome:        r.outcome,
		OutcomeDropped: r.outcomeDropped,
	}
}

// replayCode returns the code that answers a submit of a permit that ended with
// recorded. The class stays that of recorded.
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
