package query

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
)

// chooseSnapshot returns the newest snapshot of which every shard has an
// eligible replica, else the one whose eligible shards cover the most keys, the
// newest first. Of the snapshots only the fresh newest ones count, or all if
// fresh is zero. It never returns a snapshot that excluded reports, and returns nil
// if no shard of any snapshot has an eligible replica.
func chooseSnapshot(now time.Duration, x *config.Index, fresh int, r ReplicaSelector, excluded func(*config.Snapshot) bool) *config.Snapshot {
	var best *config.Snapshot
	var bestKeys uint64
	oldest := 0
	if fresh > 0 {
		oldest = max(0, len(x.Snapshots)-fresh)
	}
	for i := len(x.Snapshots) - 1; i >= oldest; i-- {
		s := &x.Snapshots[i]
		if excluded(s) {
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

func eligibleKeys(now time.Duration, s *config.Snapshot, r ReplicaSelector) (keys uint64, whole bool) {
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

func anyEligible(now time.Duration, replicas []string, r ReplicaSelector) bool {
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

// latestIndex returns the newest index that the host knows.
func (q *Query) latestIndex() *config.Index {
	if q.p.LatestIndex != nil {
		if x := q.p.LatestIndex(); x != nil {
			return x
		}
	}
	return q.p.Index
}

// shardReplicas returns the replicas of a shard, or nil if the index has no such
// shard.
func shardReplicas(x *config.Index, snapshot uint64, keys keyrange.Range) []string {
	for i := range x.Snapshots {
		if x.Snapshots[i].ID != snapshot {
			continue
		}
		for j := range x.Snapshots[i].Shards {
			if sh := &x.Snapshots[i].Shards[j]; sh.Range == keys {
				return sh.Replicas
			}
		}
	}
	return nil
}

// restart moves the query to another snapshot, at most maxRestarts times, and
// reports whether it did. Replies and attempts of the old snapshot are dropped.
// A snapshot that was lost is not tried again unless its shards moved.
func (q *Query) restart(now time.Duration) bool {
	if q.restarts >= maxRestarts || q.p.Deadline-now < restartReserve {
		return false
	}
	if !q.isLost(q.snapshot) {
		q.lost = append(q.lost, q.snapshot)
	}
	next := chooseSnapshot(now, q.latestIndex(), q.p.Service.FreshSnapshots, q.p.Replicas, q.isLost)
	if next == nil {
		return false
	}
	if _, whole := eligibleKeys(now, next, q.p.Replicas); !whole {
		return false
	}
	q.restarts++
	q.event(EventRestart, 0)
	q.cancelOpen()
	q.truncated = false
	q.snapshot = next
	q.plan(now)
	return true
}

// isLost reports whether the snapshot, with the same shards on the same replicas,
// was lost before.
func (q *Query) isLost(s *config.Snapshot) bool {
	return slices.ContainsFunc(q.lost, func(l *config.Snapshot) bool {
		return l == s || (l.ID == s.ID && slices.EqualFunc(l.Shards, s.Shards, equalShards))
	})
}

func equalShards(a, b config.Shard) bool {
	return a.Range == b.Range && slices.Equal(a.Replicas, b.Replicas)
}
