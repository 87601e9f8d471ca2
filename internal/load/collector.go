package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

// Range and precision of latency histograms, in microseconds.
const (
	histogramLowUS   = 1
	histogramHighUS  = 120_000_000
	histogramDigits  = 3
	codeNoAnswer     = result.Code(0)
	codeNoAnswerName = "no-answer"
)

// collector gathers the outcomes of one run. It is safe for concurrent use.
type collector struct {
	mu         sync.Mutex
	groups     map[string]*groupStats
	order      []string
	violations Violations
	missing    map[result.Code]int64
	codes      map[result.Code]int64
	asked      int64
	// refusedBodies and refusedPermits were told "not run".
	refusedBodies  []string
	refusedPermits []string
	// donePermits were told that they ran.
	donePermits []string
}

type groupStats struct {
	latency  *hdrhistogram.Histogram
	requests int64
	answered int64
	full     int64
	fraction float64
	queries  int64
	onTime   int64
}

func newCollector() *collector {
	return &collector{
		groups:  make(map[string]*groupStats),
		missing: make(map[result.Code]int64),
		codes:   make(map[result.Code]int64),
	}
}

// group returns the statistics of a group; the caller holds the mutex.
func (c *collector) group(name string) *groupStats {
	g := c.groups[name]
	if g == nil {
		g = &groupStats{latency: hdrhistogram.New(histogramLowUS, histogramHighUS, histogramDigits)}
		c.groups[name] = g
		c.order = append(c.order, name)
	}
	return g
}

// query records the answer to a query; a nil answer means that none came.
func (c *collector) query(j job, answer *api.QueryAnswer, took, deadline time.Duration, shards int) {
	var checked Violations
	if answer != nil && isAnswer(answer.Code) {
		checked.checkAnswer(j.service, j.body, answer)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.group(j.group)
	g.requests++
	code := codeNoAnswer
	if answer != nil {
		code = answer.Code
	}
	c.codes[code]++
	c.violations.add(checked)
	if code.Class() == result.ClassNotRun && !j.crashing {
		c.refusedBodies = append(c.refusedBodies, j.body)
	}
	if code.Class() != result.ClassNotRun || code == result.AllRefused {
		c.asked += int64(shards)
		g.record(took, deadline)
	}
	if answer != nil && isAnswer(code) {
		c.coverage(g, answer)
	}
}

// coverage records how much of an index an answer covers.
func (c *collector) coverage(g *groupStats, answer *api.QueryAnswer) {
	g.queries++
	g.answered++
	g.fraction += answer.Coverage.Fraction
	if len(answer.Coverage.Missing) == 0 {
		g.full++
	}
	for _, m := range answer.Coverage.Missing {
		c.missing[m.Code]++
	}
}

// submit records the answer to a submit.
func (c *collector) submit(j job, permit string, answer *api.SubmitAnswer, took, deadline time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.group(j.group)
	g.requests++
	code := codeNoAnswer
	if answer != nil {
		code = answer.Code
	}
	c.codes[code]++
	c.permitOutcome(j, permit, answer)
	if code.Class() == result.ClassNotRun && code != result.AllRefused {
		return
	}
	c.asked++
	g.record(took, deadline)
	if code.Class() == result.ClassComplete {
		g.answered++
	}
}

// repeated records the answer to a repeated submit.
func (c *collector) repeated(j job, permit string, answer *api.SubmitAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permitOutcome(j, permit, answer)
}

func (c *collector) permitOutcome(j job, permit string, answer *api.SubmitAnswer) {
	if answer == nil || permit == "" {
		return
	}
	switch answer.Code.Class() {
	case result.ClassNotRun:
		c.refusedPermits = append(c.refusedPermits, permit)
	case result.ClassComplete:
		c.donePermits = append(c.donePermits, permit)
		c.violations.UntrueDone += count(answer.Outcome != standin.ExpectedOutcome(j.service, j.body))
	default:
	}
}

func (c *collector) wrongAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations.WrongAnswer++
}

// settle compares what callers were told with what the stand-ins ran. It is
// called once nothing runs any more.
func (c *collector) settle(r *standin.Recorder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations.AtMostOnce = len(r.RepeatedSubmits())
	for _, body := range c.refusedBodies {
		c.violations.UntrueNotRun += count(r.BodyRuns(body) > 0)
	}
	for _, permit := range c.refusedPermits {
		c.violations.UntrueNotRun += count(r.SubmitRuns(permit) > 0)
	}
	for _, permit := range c.donePermits {
		c.violations.UntrueDone += count(r.SubmitRuns(permit) == 0)
	}
}

func (g *groupStats) record(took, deadline time.Duration) {
	// Values above the histogram's range are clamped to its end.
	_ = g.latency.RecordValue(min(max(took.Microseconds(), histogramLowUS), histogramHighUS))
	if took <= deadline {
		g.onTime++
	}
}

func (v *Violations) add(other Violations) {
	v.AtMostOnce += other.AtMostOnce
	v.MixedSnapshots += other.MixedSnapshots
	v.UntrueCoverage += other.UntrueCoverage
	v.RepeatedDocuments += other.RepeatedDocuments
	v.UntrueNotRun += other.UntrueNotRun
	v.UntrueDone += other.UntrueDone
	v.WrongAnswer += other.WrongAnswer
}

func isAnswer(c result.Code) bool {
	return c.Class() == result.ClassComplete || c.Class() == result.ClassPartial
}

// codeCounts returns counts in ascending order of code.
func codeCounts(m map[result.Code]int64) []CodeCount {
	out := make([]CodeCount, 0, len(m))
	for code, n := range m {
		name := code.String()
		if code == codeNoAnswer {
			name = codeNoAnswerName
		}
		out = append(out, CodeCount{Code: code, Name: name, Count: n})
	}
	slices.SortFunc(out, func(a, b CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	return out
}
