package query

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
)

// chooseSnapshot returns the newest snapshot of which every shard has an
// eligible replica, else the one whose eligible shards cover the most keys, the
// newest first. Of the snapshots only the fresh newest ones count, or all if
// fresh is zero. It never returns the snapshot with ID exclude, and returns nil
// if no shard of any snapshot has an eligible replica.
func chooseSnapshot(now time.Duration, x *config.Index, fresh int, r Replicas, exclude uint64) *config.Snapshot {
	var best *config.Snapshot
	var bestKeys uint64
	oldest := 0
	if fresh > 0 {
		oldest = max(0, len(x.Snapshots)-fresh)
	}
	for i := len(x.Snapshots) - 1; i >= oldest; i-- {
		s := &x.Snapshots[i]
		if s.ID == exclude {
			continue
		}
		keys, whole := eligibleKeys(now, s, r)
		if whole {
			return s
		}
		if keys > bestKeys {
			best, bestKeys = s, keys
		}
	}
	return best
}

func eligibleKeys(now time.Duration, s *config.Snapshot, r Replicas) (keys uint64, whole bool) {
	whole = true
	for i := range s.Shards {
		sh := &s.Shards[i]
		if anyEligible(now, sh.Replicas, r) {
			keys += uint64(sh.Range.End - sh.Range.Start)
		} else {
			whole = false
		}
	}
	return keys, whole
}

func anyEligible(now time.Duration, replicas []string, r Replicas) bool {
	for _, id := range replicas {
		if r.Eligible(now, id) {
			return true
		}
	}
	return false
}

// plan sets up the shards of the pinned snapshot and dispatches them. A suspect
// dispatches one shard and keeps the others back.
func (q *Query) plan(now time.Duration) {
	q.shards = make([]shard, len(q.snapshot.Shards))
	q.pending = len(q.shards)
	q.covered = 0
	q.out.Dispatch = slices.Grow(q.out.Dispatch, len(q.shards))
	for i := range q.shards {
		sh := &q.snapshot.Shards[i]
		q.shards[i] = shard{keys: sh.Range, replicas: sh.Replicas}
	}
	for i := range q.shards {
		q.sendPrimary(now, i)
	}
	q.finishIfComplete()
}

// restart moves the query to another snapshot, once, and reports whether it
// did. Replies and attempts of the old snapshot are dropped.
func (q *Query) restart(now time.Duration) bool {
	if q.restarted || q.p.Deadline-now < restartReserve {
		return false
	}
	next := chooseSnapshot(now, q.p.Index, q.p.Service.FreshSnapshots, q.p.Replicas, q.snapshot.ID)
	if next == nil {
		return false
	}
	if _, whole := eligibleKeys(now, next, q.p.Replicas); !whole {
		return false
	}
	q.restarted = true
	q.event(EventRestart, 0)
	q.cancelOpen()
	q.truncated = false
	q.snapshot = next
	q.plan(now)
	return true
}
