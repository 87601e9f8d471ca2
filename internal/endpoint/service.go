package endpoint

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The sliding window of latencies consists of windowCount windows of
	// windowLength each.
	windowCount  = 4
	windowLength = 5 * time.Second
	// Latencies are recorded in microseconds, to one significant figure.
	minLatencyMicros   = 1
	maxLatencyMicros   = 60_000_000
	significantFigures = 1
	// minSamples is the number of replies required to report a percentile.
	minSamples = 20
	// samplesPerMerge is the number of replies after which the windows are
	// merged again and the cached percentiles are discarded.
	samplesPerMerge = 64
)

// service holds the state shared by the replicas of one service.
type service struct {
	replicas    []*replica
	meanLatency float64 // nanoseconds; 0 without samples
	latencies   latencyHistogram
}

func newService() *service {
	s := &service{}
	s.latencies.histogram = hdrhistogram.NewWindowed(windowCount, minLatencyMicros, maxLatencyMicros, significantFigures)
	return s
}

func (s *service) remove(r *replica) {
	if i := slices.Index(s.replicas, r); i >= 0 {
		s.replicas = slices.Delete(s.replicas, i, i+1)
	}
}

// mayEjectOneMore reports whether one more ejection keeps the ejected endpoints
// within maxEjectedPerMille.
func (s *service) mayEjectOneMore() bool {
	ejected := 1
	for _, r := range s.replicas {
		if r.ejected {
			ejected++
		}
	}
	return 1000*ejected <= maxEjectedPerMille*len(s.replicas)
}

// meanOrDefault returns the mean latency of the service, or defaultLatency
// without samples.
func (s *service) meanOrDefault() float64 {
	if s.meanLatency == 0 {
		return float64(defaultLatency)
	}
	return s.meanLatency
}

func (s *service) recordLatency(now, latency time.Duration) {
	sample := float64(latency)
	if s.meanLatency == 0 {
		s.meanLatency = sample
	} else {
		s.meanLatency += latencyWeight * (sample - s.meanLatency)
	}
	s.latencies.record(now, latency)
}

// latencyHistogram is a histogram of latencies over a sliding window. Its memory
// does not grow with the number of samples.
type latencyHistogram struct {
	histogram *hdrhistogram.WindowedHistogram
	// rotatedAt is when the current window began.
	rotatedAt time.Duration
	// unmerged is the number of samples recorded since the last merge.
	unmerged int
	// merged is the last merge of all windows; it is nil after a window was
	// rotated out.
	merged *hdrhistogram.Histogram
	// percentiles caches the two percentiles computed last, the newest first.
	percentiles [2]cachedPercentile
}

// cachedPercentile is a percentile computed from the merged histogram.
type cachedPercentile struct {
	perMille int
	value    time.Duration
}

func (l *latencyHistogram) record(now, latency time.Duration) {
	l.rotate(now)
	micros := min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	if err := l.histogram.Current.RecordValue(micros); err != nil {
		return // out of range; cannot happen, since the value was clamped
	}
	l.unmerged++
}

// rotate drops the windows that have left the sliding window.
func (l *latencyHistogram) rotate(now time.Duration) {
	if now-l.rotatedAt >= windowCount*windowLength {
		l.reset(now)
		return
	}
	for now-l.rotatedAt >= windowLength {
		l.histogram.Rotate()
		l.rotatedAt += windowLength
		l.merged = nil
	}
}

// reset drops all samples.
func (l *latencyHistogram) reset(now time.Duration) {
	for range windowCount {
		l.histogram.Rotate()
	}
	l.rotatedAt = now
	l.merged = nil
	l.unmerged = 0
}

// mergeWindows merges the windows again if a window was rotated out, or if
// samplesPerMerge replies were recorded since the last merge. As long as there
// are fewer than minSamples, one new reply is enough.
func (l *latencyHistogram) mergeWindows() {
	belowMinimum := l.merged != nil && l.merged.TotalCount() < minSamples
	if l.merged != nil && l.unmerged < samplesPerMerge && (!belowMinimum || l.unmerged == 0) {
		return
	}
	l.merged = l.histogram.Merge()
	l.unmerged = 0
	l.percentiles = [2]cachedPercentile{}
}

func (l *latencyHistogram) percentile(perMille int) (time.Duration, bool) {
	l.mergeWindows()
	if l.merged.TotalCount() < minSamples {
		return 0, false
	}
	if v := l.percentiles[0]; v.value > 0 && v.perMille == perMille {
		return v.value, true
	}
	if v := l.percentiles[1]; v.value > 0 && v.perMille == perMille {
		return v.value, true
	}
	v := time.Duration(l.merged.ValueAtQuantile(float64(perMille)/10)) * time.Microsecond
	l.percentiles[1] = l.percentiles[0]
	l.percentiles[0] = cachedPercentile{perMille: perMille, value: v}
	return v, true
}
