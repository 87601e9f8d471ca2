package query

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// giveUp marks a pending shard as missing, with the given reason, and cancels its
// attempts.
func (q *Query) giveUp(s *shard, code result.Code) {
	if s.state != shardPending {
		return
	}
	s.state = shardMissing
	s.reason = code
	s.retryScheduled = false
	q.pending--
	q.cancelShardAttempts(s)
}

// expire gives up the pending shards and ends the query.
func (q *Query) expire() {
	for i := range q.shards {
		s := &q.shards[i]
		if s.state == shardPending {
			q.giveUp(s, q.expiryCode(s))
		}
	}
	q.finish()
}

// expiryCode returns the reason why a pending shard is missing when the query
// expires.
func (q *Query) expiryCode(s *shard) result.Code {
	if q.suspect && len(s.openAttempts) == 0 {
		return result.MissingQuarantined
	}
	if len(s.openAttempts) > 0 || s.reason == 0 {
		return result.MissingDeadline
	}
	return missingCode(s.reason)
}

// missingCode maps the code of a shard's last failed attempt to the reason why the
// shard is missing.
func missingCode(code result.Code) result.Code {
	switch code {
	case result.NoReplica:
		return result.MissingNoReplica
	case result.Quarantined:
		return result.MissingQuarantined
	case result.SnapshotGone:
		return result.MissingSnapshotGone
	case result.RangeNotHeld:
		return result.MissingMoved
	case result.EndpointCrashed, result.ConnectionSilent, result.OutcomeUnknown, result.RelayLost, result.ResponseMemory, result.ConnectFailed, result.PeerUnreachable:
		return result.MissingLost
	case result.EndpointFailed, result.BadReply, result.Internal:
		return result.MissingFailed
	case result.ExpiredBeforeSend, result.Cancelled:
		return result.MissingDeadline
	default:
		return result.MissingRefused
	}
}

// finishIfDecided ends the query if it is to be given up or if no shard is pending. An
// answer at the target is left to the next tick, which comes after the replies that
// have arrived already.
func (q *Query) finishIfDecided(now time.Duration) {
	if q.done {
		return
	}
	if q.pending == 0 || q.verdict(now) == GiveUp {
		q.expire()
	}
}

// finishNotRun ends a query that has dispatched no attempt.
func (q *Query) finishNotRun(code result.Code) {
	q.done = true
	q.actions.Answer = &Answer{Code: code}
}

// finish cancels the open attempts and answers the query. No shard may be pending.
func (q *Query) finish() {
	q.cancelAllAttempts()
	q.done = true
	a := &Answer{Snapshot: q.snapshot.ID, Shards: len(q.shards), Dispatched: q.dispatched, Failure: q.failure}
	for i := range q.shards {
		s := &q.shards[i]
		if s.state == shardCovered {
			a.Covered++
			if s.response != nil {
				a.Responses = append(a.Responses, s.response)
			}
			continue
		}
		a.Missing = append(a.Missing, Missing{Range: s.keys, Code: s.reason})
	}
	a.Hits, a.Truncated = q.mergeHits()
	a.MayHaveRun = q.mayHaveRun
	a.Code = q.answerCode(a)
	q.actions.Answer = a
}

// answerCode returns the result code of an answer.
func (q *Query) answerCode(a *Answer) result.Code {
	switch {
	case a.Covered == 0 && !q.mayHaveRun:
		return notRunCode(a.Missing)
	case len(a.Missing) > 0:
		return result.Partial
	case a.Truncated && q.params.Limit == q.params.Service.MaxHits:
		return result.Truncated
	default:
		return result.Complete
	}
}

// notRunCode returns the code of an answer to a query of which no attempt started.
func notRunCode(missing []Missing) result.Code {
	for _, m := range missing[1:] {
		if m.Code != missing[0].Code {
			return result.AllRefused
		}
	}
	switch missing[0].Code {
	case result.MissingNoReplica:
		return result.NoReplica
	case result.MissingQuarantined:
		return result.Quarantined
	default:
		return result.AllRefused
	}
}

// mergeHits combines the hits of the covered shards. The order depends only on the
// hits, not on when they arrived, and each document is listed once.
func (q *Query) mergeHits() (hits []dispatch.Hit, truncated bool) {
	n := 0
	for i := range q.shards {
		n += len(q.shards[i].hits)
	}
	hits = make([]dispatch.Hit, 0, n)
	for i := range q.shards {
		if q.shards[i].state == shardCovered {
			hits = append(hits, q.shards[i].hits...)
		}
	}
	slices.SortFunc(hits, compareHits)
	hits = removeRepeated(hits)
	if len(hits) > q.params.Limit {
		return hits[:q.params.Limit:q.params.Limit], true
	}
	return hits, q.truncated
}

// compareHits orders hits by descending score, then by document, key and body.
func compareHits(a, b dispatch.Hit) int {
	return cmp.Or(
		cmp.Compare(b.Score, a.Score),
		cmp.Compare(a.Document, b.Document),
		cmp.Compare(a.Key, b.Key),
		cmp.Compare(a.Body, b.Body),
	)
}

// removeRepeated removes all hits of a document but the first.
func removeRepeated(hits []dispatch.Hit) []dispatch.Hit {
	seen := make(map[string]struct{}, len(hits))
	return slices.DeleteFunc(hits, func(h dispatch.Hit) bool {
		_, repeated := seen[h.Document]
		seen[h.Document] = struct{}{}
		return repeated
	})
}
