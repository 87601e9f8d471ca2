package query

import (
	"cmp"
	"slices"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

func (q *Query) giveUp(s *shard, code result.Code) {
	if s.state != shardPending {
		return
	}
	s.state = shardMissing
	s.reason = code
	s.waiting = false
	q.pending--
	q.cancelAttempts(s)
}

// expire ends the query at its target or deadline.
func (q *Query) expire() {
	for i := range q.shards {
		s := &q.shards[i]
		if s.state == shardPending {
			q.giveUp(s, q.expiryCode(s))
		}
	}
	q.finish()
}

// expiryCode tells why a pending shard is missing when time is up.
func (q *Query) expiryCode(s *shard) result.Code {
	if q.suspect && len(s.open) == 0 {
		return result.MissingQuarantined
	}
	if len(s.open) > 0 || s.reason == 0 {
		return result.MissingDeadline
	}
	return missingCode(s.reason)
}

// missingCode maps the code of a shard's last attempt to a reason.
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
	case result.EndpointCrashed, result.ConnectionSilent, result.OutcomeUnknown, result.RelayLost, result.ConnectFailed, result.PeerUnreachable:
		return result.MissingLost
	case result.EndpointFailed, result.BadReply, result.Internal:
		return result.MissingFailed
	case result.ExpiredBeforeSend, result.Cancelled:
		return result.MissingDeadline
	default:
		return result.MissingRefused
	}
}

func (q *Query) finishIfComplete() {
	switch {
	case q.done:
	case q.pending == 0:
		q.finish()
	case q.hopeless():
		q.expire()
	}
}

// hopeless reports whether a forwarded message can no longer get a useful
// answer.
func (q *Query) hopeless() bool {
	return q.p.Forward != nil && q.covered+q.pending < q.p.Forward.MinCovered
}

func (q *Query) finishNotRun(code result.Code) {
	q.done = true
	q.out.Answer = &Answer{Code: code}
}

func (q *Query) finish() {
	q.cancelOpen()
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
	a.Hits, a.Truncated = q.merge()
	a.MayHaveRun = q.mayHaveRun
	a.Code = q.code(a)
	q.out.Answer = a
}

func (q *Query) code(a *Answer) result.Code {
	switch {
	case a.Covered == 0 && !q.mayHaveRun:
		return notRunCode(a.Missing)
	case len(a.Missing) > 0:
		return result.Partial
	case a.Truncated && q.p.Limit == q.p.Service.MaxHits:
		return result.Truncated
	default:
		return result.Complete
	}
}

// notRunCode tells why no attempt of a query started.
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

// merge combines the hits of the covered shards. The order depends on the hits
// alone, not on when they arrived, and a document is listed once.
func (q *Query) merge() (hits []dispatch.Hit, truncated bool) {
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
	if len(hits) > q.p.Limit {
		return hits[:q.p.Limit:q.p.Limit], true
	}
	return hits, q.truncated
}

func compareHits(a, b dispatch.Hit) int {
	return cmp.Or(
		cmp.Compare(b.Score, a.Score),
		cmp.Compare(a.Document, b.Document),
		cmp.Compare(a.Key, b.Key),
		cmp.Compare(a.Body, b.Body),
	)
}

// removeRepeated keeps the first hit of each document.
func removeRepeated(hits []dispatch.Hit) []dispatch.Hit {
	seen := make(map[string]struct{}, len(hits))
	return slices.DeleteFunc(hits, func(h dispatch.Hit) bool {
		_, repeated := seen[h.Document]
		seen[h.Document] = struct{}{}
		return repeated
	})
}
