package endpoint

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowCount windows of windowLength make up the sliding window.
	windowCount  = 4
	windowLength = 5 * time.Second
	// Latencies are recorded in microseconds, to one significant figure.
	minLatencyMicros   = 1
	maxLatencyMicros   = 60_000_000
	significantFigures = 1
	// minSamples is the number of replies from which a percentile is given.
	minSamples = 20
	// samplesPerRefresh is the number of replies after which a cached
	// percentile is computed again.
	samplesPerRefresh = 64
)

// service holds what the replicas of one service have in common.
type service struct {
	replicas  []*replica
	average   float64 // nanoseconds; 0 without samples
	latencies latencies
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

// mayEject reports whether one more ejection keeps within the share.
func (s *service) mayEject() bool {
	ejected := 1
	for _, r := range s.replicas {
		if r.ejected {
			ejected++
		}
	}
	return 1000*ejected <= maxEjectedPerMille*len(s.replicas)
}

func (s *service) mean() float64 {
	if s.average == 0 {
		return float64(defaultLatency)
	}
	return s.average
}

func (s *service) observe(now, latency time.Duration) {
	sample := float64(latency)
	if s.average == 0 {
		s.average = sample
	} else {
		s.average += latencyWeight * (sample - s.average)
	}
	s.latencies.record(now, latency)
}

// latencies is a histogram over a sliding window. Its memory is fixed.
type latencies struct {
	histogram *hdrhistogram.WindowedHistogram
	rotatedAt time.Duration
	pending   int
	cached    *hdrhistogram.Histogram
	last      [2]cachedPercentile
}

// cachedPercentile is a percentile computed from the last merge.
type cachedPercentile struct {
	perMille int
	value    time.Duration
}

func (l *latencies) record(now, latency time.Duration) {
	l.rotate(now)
	micros := min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	if err := l.histogram.Current.RecordValue(micros); err != nil {
		return // out of range, which the bounds above rule out
	}
	l.pending++
}

func (l *latencies) rotate(now time.Duration) {
	if now-l.rotatedAt >= windowCount*windowLength {
		l.reset(now)
		return
	}
	for now-l.rotatedAt >= windowLength {
		l.histogram.Rotate()
		l.rotatedAt += windowLength
		l.cached = nil
	}
}

func (l *latencies) reset(now time.Duration) {
	for range windowCount {
		l.histogram.Rotate()
	}
	l.rotatedAt = now
	l.cached = nil
	l.pending = 0
}

// refresh merges the windows if enough has changed since the last time.
func (l *latencies) refresh() {
	few := l.cached != nil && l.cached.TotalCount() < minSamples
	if l.cached != nil && l.pending < samplesPerRefresh && (!few || l.pending == 0) {
		return
	}
	l.cached = l.histogram.Merge()
	l.pending = 0
	l.last = [2]cachedPercentile{}
}

func (l *latencies) percentile(perMille int) (time.Duration, bool) {
	l.refresh()
	if l.cached.TotalCount() < minSamples {
		return 0, false
	}
	if v := l.last[0]; v.value > 0 && v.perMille == perMille {
		return v.value, true
	}
	if v := l.last[1]; v.value > 0 && v.perMille == perMille {
		return v.value, true
	}
	v := time.Duration(l.cached.ValueAtQuantile(float64(perMille)/10)) * time.Microsecond
	l.last[1] = l.last[0]
	l.last[0] = cachedPercentile{perMille: perMille, value: v}
	return v, true
}
