package query

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
)

// chooseSnapshot returns the newest snapshot of which every shard has an
// eligible replica. If there is none, it returns the snapshot with the most keys in
// shards that have an eligible replica, and the newest of several such. It considers
// only the newest maxFresh snapshots, or all if maxFresh is zero, and skips those for
// which excluded is true. It returns nil if no shard of these snapshots has an
// eligible replica.
func chooseSnapshot(now time.Duration, x *config.Index, maxFresh int, r ReplicaSelector, excluded func(*config.Snapshot) bool) *config.Snapshot {
	var best *config.Snapshot
	var bestKeys uint64
	oldest := 0
	if maxFresh > 0 {
		oldest = max(0, len(x.Snapshots)-maxFresh)
	}
	for i := len(x.Snapshots) - 1; i >= oldest; i-- {
		s := &x.Snapshots[i]
		if excluded(s) {
			continue
		}
		keys, complete := eligibleKeys(now, s, r)
		if complete {
			return s
		}
		if keys > bestKeys {
			best, bestKeys = s, keys
		}
	}
	return best
}

// eligibleKeys returns the number of keys in those shards of a snapshot that have an
// eligible replica, and whether every shard has one.
func eligibleKeys(now time.Duration, s *config.Snapshot, r ReplicaSelector) (keys uint64, complete bool) {
	complete = true
	for i := range s.Shards {
		sh := &s.Shards[i]
		if anyEligible(now, sh.Replicas, r) {
			keys += uint64(sh.Range.End - sh.Range.Start)
		} else {
			complete = false
		}
	}
	return keys, complete
}

func anyEligible(now time.Duration, replicas []string, r ReplicaSelector) bool {
	for _, id := range replicas {
		if r.Eligible(now, id) {
			return true
		}
	}
	return false
}

// planShards sets up the shards of the pinned snapshot and sends their primary
// attempts. A suspect sends one and holds the others back.
func (q *Query) planShards(now time.Duration) {
	q.shards = make([]shard, len(q.snapshot.Shards))
	q.pending = len(q.shards)
	q.covered = 0
	q.responses = nil
	q.actions.Dispatch = slices.Grow(q.actions.Dispatch, len(q.shards))
	for i := range q.shards {
		sh := &q.snapshot.Shards[i]
		q.shards[i] = shard{keys: sh.Range, replicas: sh.Replicas}
	}
	for i := range q.shards {
		q.sendPrimary(now, i)
	}
	q.finishIfDecided(now)
}

// latestIndex returns the newest index known to the host.
func (q *Query) latestIndex() *config.Index {
	if q.params.LatestIndex != nil {
		if x := q.params.LatestIndex(); x != nil {
			return x
		}
	}
	return q.params.Index
}

// shardReplicas returns the replicas of the shard with the given range in the
// given snapshot, or nil if the index has no such shard.
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

// restart moves the query to another snapshot of which every shard has an eligible
// replica, at most maxRestarts times, and reports whether it did. It discards the
// replies of the old snapshot and cancels its attempts. A lost snapshot is not tried
// again unless its shards moved.
func (q *Query) restart(now time.Duration) bool {
	if q.restarts >= maxRestarts || q.params.Deadline-now < restartReserve {
		return false
	}
	if !q.isLostSnapshot(q.snapshot) {
		q.lostSnapshots = append(q.lostSnapshots, q.snapshot)
	}
	next := chooseSnapshot(now, q.latestIndex(), q.params.Service.FreshSnapshots, q.params.Replicas, q.isLostSnapshot)
	if next == nil {
		return false
	}
	if _, complete := eligibleKeys(now, next, q.params.Replicas); !complete {
		return false
	}
	q.restarts++
	q.addEvent(EventRestart, 0)
	q.cancelAllAttempts()
	q.truncated = false
	q.snapshot = next
	q.planShards(now)
	return true
}

// isLostSnapshot reports whether the snapshot, with the same shards on the same
// replicas, was found to be lost before.
func (q *Query) isLostSnapshot(s *config.Snapshot) bool {
	return slices.ContainsFunc(q.lostSnapshots, func(lost *config.Snapshot) bool {
		return lost == s || (lost.ID == s.ID && slices.EqualFunc(lost.Shards, s.Shards, equalShards))
	})
}

func equalShards(a, b config.Shard) bool {
	return a.Range == b.Range && slices.Equal(a.Replicas, b.Replicas)
}
