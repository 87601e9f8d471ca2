package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// failureHalfLife is the time in which the weight of an outcome halves in a failure
	// rate. Replicas lose answers for a few seconds at a time, and must be found again
	// within a few seconds.
	failureHalfLife = 1500 * time.Millisecond
	// failurePrior is the number of successful attempts that a failure rate assumes in
	// addition, so that a single failure is little evidence.
	failurePrior = 2
	// failurePenalty is the cost of a failure, in typical latencies: the query waits for
	// another attempt, which takes from a small budget of extra attempts.
	failurePenalty = 16
	// successWeight is the share of the earlier failures that a success makes forget, so that
	// probes bring a replica back that has recovered.
	successWeight = 0.1
	// toleratedRate is the failure rate without a cost. Below it the failures of a replica
	// that has recovered, or rare ones, would keep it idle.
	toleratedRate = 0.02
	// suspectRate is the failure rate from which a replica is reported as lossy.
	suspectRate = 0.08
	// probeShare is the share of the first attempts of a shard that go to a replica with
	// failures, so that hosts notice when it recovers.
	probeShare = 0.05
	// unansweredWeight is the weight as a failure of an attempt that was cancelled after
	// unansweredLatencies typical latencies: the replica may have lost the answer, or
	// may have been about to give it.
	unansweredWeight    = 0.5
	unansweredLatencies = 2.5
	// minEvidence is the weight of failures below which a replica counts as one without.
	minEvidence = 0.05
	// rateValidity is how long a computed failure rate is used again.
	rateValidity = 20 * time.Millisecond
	// maxReports bounds the number of other hosts whose outcomes are kept for a replica.
	maxReports = 12
)

// outcomes are the numbers of attempts at a replica and of those that failed, as of a
// time. Both halve in each failureHalfLife.
type outcomes struct {
	attempts, failures float64
	at                 time.Duration
}

// asOf returns the outcomes, decayed until now.
func (o outcomes) asOf(now time.Duration) outcomes {
	if o.attempts == 0 || now <= o.at {
		return o
	}
	decay := math.Exp2(-float64(now-o.at) / float64(failureHalfLife))
	return outcomes{attempts: o.attempts * decay, failures: o.failures * decay, at: now}
}

// report holds the outcomes that another host had with a replica.
type report struct {
	source uint32
	// latency is the host's latest relative latency, zero if there is none.
	latency float64
	outcomes
}

// failureRate estimates the share of attempts that a replica fails to answer, from the
// outcomes of this host and of others. The zero value is a rate of zero.
type failureRate struct {
	own     outcomes
	reports []report
	// rate is the estimate at rateAt; it is valid for rateValidity while computed is set.
	rate     float64
	rateAt   time.Duration
	computed bool
}

// record adds an attempt of this host. failure is 1 if it failed, 0 if not, or a weight in
// between.
func (f *failureRate) record(now time.Duration, failure float64) {
	f.own = f.own.asOf(now)
	f.own.attempts++
	f.own.failures = f.own.failures*(1-successWeight*(1-failure)) + failure
	f.own.at = now
	f.computed = false
}

// current returns the estimate.
func (f *failureRate) current(now time.Duration) float64 {
	if f.own.failures == 0 && len(f.reports) == 0 {
		return 0
	}
	if f.computed && now-f.rateAt < rateValidity {
		return f.rate
	}
	f.rate, f.rateAt, f.computed = f.compute(now), now, true
	return f.rate
}

func (f *failureRate) compute(now time.Duration) float64 {
	sum := f.own.asOf(now)
	for i := range f.reports {
		o := f.reports[i].asOf(now)
		sum.attempts += o.attempts
		sum.failures += o.failures
	}
	if sum.failures < minEvidence {
		f.own.failures = 0
		f.reports = slices.DeleteFunc(f.reports, func(r report) bool { return now-r.at > maxHintAge })
		return 0
	}
	return sum.failures / (sum.attempts + failurePrior)
}

// attempts returns the weight of the attempts that the estimate rests on.
func (f *failureRate) attempts(now time.Duration) float64 {
	n := f.own.asOf(now).attempts
	for i := range f.reports {
		n += f.reports[i].asOf(now).attempts
	}
	return n
}

// merge adds the outcomes of another host, or replaces earlier ones of the same host. If
// there are too many reports, the one with the fewest attempts makes room. merge returns the
// earlier ones of that host, and false if the new ones are not later or it is not known
// which of them were merged before.
func (f *failureRate) merge(now time.Duration, r report) (earlier outcomes, added bool) {
	f.computed = false
	for i := range f.reports {
		if f.reports[i].source == r.source {
			earlier = f.reports[i].outcomes
			if r.at <= earlier.at {
				return earlier, false
			}
			f.reports[i] = r
			return earlier, true
		}
	}
	if len(f.reports) < maxReports {
		f.reports = append(f.reports, r)
		return outcomes{}, true
	}
	least := 0
	for i := range f.reports {
		if f.reports[i].asOf(now).attempts < f.reports[least].asOf(now).attempts {
			least = i
		}
	}
	if f.reports[least].asOf(now).attempts < r.asOf(now).attempts {
		f.reports[least] = r
	}
	return outcomes{}, false
}
