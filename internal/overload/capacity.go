package overload

import (
	"math"
	"slices"
	"time"
)

const (
	// minReportWeight is the least weight of a new report of a shard's share; it is
	// greater if the earlier ones are older than reportMemory. Reports of several owners
	// of a group alternate.
	minReportWeight = 0.4
	reportMemory    = 500 * time.Millisecond
	// forgottenFrom is the share from which a shard is no longer known to lack capacity,
	// once a host reports that it does not.
	forgottenFrom = 0.97
	// maxReportAge is the age from which a report says nothing: the state of a queue of a
	// few hundred milliseconds has changed by then.
	maxReportAge = 600 * time.Millisecond
	// deviations is the number of standard deviations of the number of scarce shards that
	// a query meets which must fit into what its answer may lack. It is low, since most
	// queries of a shard that is short of capacity wait and are not refused.
	deviations = 0.5
	// halfShard turns a bound on a whole number of shards into one on its distribution.
	halfShard = 0.5
	// maxGrowth bounds the growth of the load in one averaging time, and minGrowth is what
	// is tried if shards are neither scarce nor idle. blindGrowth is the growth while no
	// shard is known to lack capacity.
	maxGrowth   = 2
	minGrowth   = 1.2
	blindGrowth = 1.6
	// minFactor bounds the reduction of the load in one averaging time.
	minFactor = 0.2
	// factorSteps is the number of bisection steps, for an error below one percent.
	factorSteps = 8
)

// shardShares holds what is known of the share of the queries that each shard of an index
// has capacity for.
type shardShares struct {
	shards []shardShare
	// latest is the time of the latest report.
	latest time.Duration
}

// shardShare is the share of one shard. It counts only while it is known.
type shardShare struct {
	known      bool
	share      float64
	reportedAt time.Duration
}

// report adds a report of a shard's share, or that the shard does not lack capacity.
func (s *shardShares) report(now time.Duration, shard int, share float64, known bool) {
	if shard < 0 || shard >= len(s.shards) {
		return
	}
	s.latest = now
	r := &s.shards[shard]
	if !known && !r.known {
		r.reportedAt = now
		return
	}
	if !r.known || now-r.reportedAt > maxReportAge {
		r.share = 1
	}
	weight := max(1-decayFactor(now-r.reportedAt, reportMemory), minReportWeight)
	r.share += weight * (min(max(share, 0), maxShare) - r.share)
	r.known = known || r.share < forgottenFrom
	r.reportedAt = now
}

// known returns the shares of the shards that lacked capacity recently, and the share of
// all shards that there are recent reports of.
func (s *shardShares) known(now time.Duration) (shares []float64, reported float64) {
	n := 0
	for i := range s.shards {
		r := &s.shards[i]
		if now-r.reportedAt > maxReportAge {
			continue
		}
		n++
		if r.known {
			shares = append(shares, r.share)
		}
	}
	return shares, float64(n) / float64(max(len(s.shards), 1))
}

// loadFactor returns the factor by which the load may change so that queries that can lack
// spare shards seldom lack more. At the factor x, a shard with the share s has capacity
// for s/x of the queries.
func loadFactor(scarce []float64, spare float64) float64 {
	if len(scarce) == 0 {
		return blindGrowth
	}
	slices.Sort(scarce)
	growth := min(max(scarce[len(scarce)/2], minGrowth), maxGrowth)
	if fits(scarce, growth, spare) {
		return growth
	}
	low, high := minFactor, growth
	for range factorSteps {
		middle := (low + high) / 2
		if fits(scarce, middle, spare) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// fits reports whether queries seldom meet more scarce shards than their answers can lack,
// if the load changes by a factor.
func fits(scarce []float64, factor, spare float64) bool {
	mean, variance := 0.0, 0.0
	for _, share := range scarce {
		miss := max(0, 1-share/factor)
		mean += miss
		variance += miss * (1 - miss)
	}
	return mean+deviations*math.Sqrt(variance) <= spare+halfShard
}
