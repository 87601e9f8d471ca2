package overload

import (
	"maps"
	"math"
	"time"
)

const (
	// meterHalfLife is the time in which the weight of an outcome halves. An owner of a
	// group sees about 15 queries a second, so that this is about ten of them.
	meterHalfLife = 500 * time.Millisecond
	// servedPrior is the number of served queries that is assumed in addition: a single
	// refusal at a quiet time says little.
	servedPrior = 0.5
	// refusalsBeforeLate is the share of refused queries from which late ones count as
	// refused too. Without refusals, a late answer is the sign of a slow replica.
	refusalsBeforeLate = 0.03
	// scarceFrom is the share of refused queries from which a shard lacks capacity.
	scarceFrom = 0.03
	// memory is how long after it lacked capacity a shard is reported. Its queue tells
	// how much more fits, as long as the load is near its capacity.
	memory = 2 * time.Second
	// maxShare bounds the share that a shard with capacity to spare is reported with.
	maxShare = 2
	// maxSpent is the share of its target that an attempt may take on average while all
	// slots of the shard's replicas are busy. Beyond it, requests wait so long that the
	// slowest of the shards is late. Replicas refuse only later.
	maxSpent = 0.2
	// busyHalfLife is that of the sum from which the attempts in flight are averaged.
	busyHalfLife = 200 * time.Millisecond
	// minQueueShare bounds what such waits say about the share. The length of a queue does not
	// tell the load that made it, and it drains at any load below the capacity: with 0.5
	// replicas were idle for a while after each reduction.
	minQueueShare = 0.65
	// smallGrowth is the share that a shard without long waits is reported with, and
	// idleLoad the load of its slots below which it is maxShare.
	smallGrowth = 1.2
	idleLoad    = 0.33
)

// Outcome is how a shard's part of a query ended.
type Outcome uint8

// The outcomes.
const (
	// Served means that the shard answered on time.
	Served Outcome = iota
	// Late means that the shard did not answer on time, and no replica refused.
	Late
	// Refused means that a replica refused, and the shard has not answered yet.
	Refused
	// Recovered means that a shard answered on time after it was recorded as refused.
	Recovered
)

// Meter holds the recent outcomes of each shard, and how long its attempts took. The zero
// value is empty.
type Meter struct {
	shards map[string]*shardMeter
}

// shardMeter holds the decayed counts of the outcomes of a shard.
type shardMeter struct {
	served, late, refused float64
	decayedAt             time.Duration
	// refusedAt is when replicas last refused, and congestedAt when queries last waited
	// long at them.
	refusedAt, congestedAt time.Duration
	// busy is the decayed sum of the times, in seconds, that attempts took which a replica
	// answered or refused. Divided by the mean life of its decay, it is the average
	// number of them in flight.
	busy   float64
	busyAt time.Duration
	// answered is the decayed number of these attempts, and spent the decayed sum of the
	// shares of their targets that they took.
	answered, spent float64
}

// AttemptAnswered records how long an attempt took that a replica answered or refused, of
// the target of its query. Attempts without an answer were lost, and say nothing about
// capacity.
func (m *Meter) AttemptAnswered(now time.Duration, shard string, took, target time.Duration) {
	s := m.shard(now, shard)
	s.decayBusy(now)
	s.busy += took.Seconds()
	s.answered++
	s.spent += float64(took) / float64(max(target, 1))
}

// Retain drops the state of the shards for which keep returns false.
func (m *Meter) Retain(keep func(shard string) bool) {
	maps.DeleteFunc(m.shards, func(shard string, _ *shardMeter) bool { return !keep(shard) })
}

func (m *Meter) shard(now time.Duration, shard string) *shardMeter {
	s := m.shards[shard]
	if s == nil {
		if m.shards == nil {
			m.shards = make(map[string]*shardMeter)
		}
		s = &shardMeter{decayedAt: now, busyAt: now}
		m.shards[shard] = s
	}
	return s
}

// Record adds an outcome of a shard.
func (m *Meter) Record(now time.Duration, shard string, o Outcome) {
	s := m.shard(now, shard)
	s.decay(now)
	switch o {
	case Served:
		s.served++
	case Late:
		s.late++
	case Refused:
		s.refused++
		s.refusedAt = now
	case Recovered:
		s.refused = max(s.refused-1, 0)
		s.served++
	}
}

// Share returns the share of a shard's queries that its replicas have capacity for, above 1
// if they had capacity for more. It returns false if the shard has not lacked capacity
// recently. slots is this host's part of the requests that the shard's replicas run at a
// time, or zero if it is not known.
func (m *Meter) Share(now time.Duration, shard string, slots float64) (share float64, known bool) {
	s := m.shards[shard]
	if s == nil {
		return 1, false
	}
	s.decay(now)
	queued := s.queueShare(now, slots)
	all, short := s.counts()
	switch recent := s.refused > 0 && now-s.refusedAt <= memory; {
	case recent && short >= scarceFrom*all:
		return min(1-short/all, queued), true
	case queued < 1:
		s.congestedAt = now
		return queued, true
	default:
		return queued, recent || s.congestedAt > 0 && now-s.congestedAt <= memory
	}
}

// Refuses reports whether the replicas of a shard have refused a notable share of its
// queries recently. Unlike the time that attempts take, which single slow replicas prolong as
// well, this shows that further attempts would be refused.
func (m *Meter) Refuses(now time.Duration, shard string) bool {
	s := m.shards[shard]
	if s == nil || s.refused == 0 || now-s.refusedAt > memory {
		return false
	}
	s.decay(now)
	all, short := s.counts()
	return short >= scarceFrom*all
}

// queueShare returns the factor by which the load of a shard may change so that queries do
// not wait long at its replicas, according to the attempts in flight.
func (s *shardMeter) queueShare(now time.Duration, slots float64) float64 {
	s.decayBusy(now)
	if slots == 0 {
		return 1
	}
	const meanLife = float64(busyHalfLife) / float64(time.Second) / math.Ln2
	inFlight := s.busy / meanLife
	spent := s.spent / max(s.answered, 1)
	switch {
	case inFlight < idleLoad*slots:
		return maxShare
	case inFlight <= slots || spent <= maxSpent:
		return smallGrowth
	default:
		return max(maxSpent/spent, minQueueShare)
	}
}

func (s *shardMeter) decayBusy(now time.Duration) {
	factor := decayFactor(now-s.busyAt, busyHalfLife)
	s.busy *= factor
	s.answered *= factor
	s.spent *= factor
	s.busyAt = now
}

// counts returns the numbers of all queries and of those that lacked capacity.
func (s *shardMeter) counts() (all, short float64) {
	all = s.served + s.late + s.refused + servedPrior
	short = s.refused
	if s.refused >= refusalsBeforeLate*all {
		short += s.late
	}
	return all, short
}

func (s *shardMeter) decay(now time.Duration) {
	factor := decayFactor(now-s.decayedAt, meterHalfLife)
	s.served *= factor
	s.late *= factor
	s.refused *= factor
	s.decayedAt = now
}
