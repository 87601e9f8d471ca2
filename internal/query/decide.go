package query

import "time"

// Verdict says what to do with a query at one moment.
type Verdict uint8

const (
	// GoOn waits for the shards that are still open.
	GoOn Verdict = iota
	// AnswerNow answers with the covered shards.
	AnswerNow
	// GiveUp ends the query without a useful answer.
	GiveUp
)

// Progress describes a query over several shards at one moment. It is the same for a
// query that one host serves and for one that is divided among hosts.
type Progress struct {
	// Covered is the number of shards with a good reply, and Open the number of those
	// that may still get one.
	Covered, Open int
	// Least is the least number of covered shards of a useful answer. EnoughAt is when
	// it was reached; it counts only if it has been.
	Least    int
	EnoughAt time.Duration
	// Target is when the answer is on time, and Deadline when it is of no more use.
	Now, Target, Deadline time.Duration
	// Settle is how long an answer that got the least number of shards after the target
	// waits for the others. It is zero if shards that reply together are reported
	// together.
	Settle time.Duration
	// Expected is the number of open shards that are expected to be covered by the
	// target, if Forecast is set.
	Expected float64
	Forecast bool
	// NotRun means that every reply so far shows that nothing ran. The open shards may
	// then show the same for the whole query, which the caller may repeat at once.
	NotRun bool
}

// AnswerAt returns when the query is answered with the shards that are covered: at the
// deadline, unless they are enough.
func (p *Progress) AnswerAt() time.Duration {
	switch {
	case p.Covered < p.Least:
		return p.Deadline
	case p.EnoughAt > p.Target && p.Settle > 0:
		return min(p.EnoughAt+p.Settle, p.Deadline)
	default:
		return min(p.Target, p.Deadline)
	}
}

// minExpectedGain is the relative gain of an answer below which a query does not wait for
// open shards. An answer on time is worth the same whenever it comes, but one that waits
// until the target may miss it, and holds the resources of the caller and the host.
const minExpectedGain = 0.01

// notWorthWaiting reports whether the open shards are too unlikely to be covered by the
// target. An answer is worth the square of the share of its shards.
func (p *Progress) notWorthWaiting() bool {
	if !p.Forecast || p.Now >= p.Target {
		return false
	}
	gain := p.Expected / float64(max(p.Covered, 1))
	return 2*gain+gain*gain < minExpectedGain
}

// Decide says whether to answer a query, to go on or to give up. An answer that has the
// least number of shards is given as soon as the open shards are unlikely to be covered by
// the target, at the target, or a little after it has them if that is later. A query goes on
// until its deadline, unless what is open can't bring it that far.
func Decide(p Progress) Verdict {
	enough := p.Covered >= p.Least
	unreachable := p.Covered+p.Open < p.Least
	switch {
	case enough && (p.Open == 0 || p.Now >= p.AnswerAt() || p.notWorthWaiting()):
		return AnswerNow
	case p.Open == 0, p.Now >= p.Deadline, unreachable && !p.NotRun:
		return GiveUp
	default:
		return GoOn
	}
}

// UsefulUntil returns until when work on a query is useful. While replicas are
// overloaded that is its target, because later work takes capacity from queries that
// can still be on time; otherwise it is the deadline.
func UsefulUntil(target, deadline time.Duration, overloaded bool) time.Duration {
	if overloaded {
		return min(target, deadline)
	}
	return deadline
}
