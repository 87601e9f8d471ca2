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

// Range of the latency histograms in microseconds, their precision in significant
// digits, and the code and name under which requests without an answer are
// counted.
const (
	histogramMinUS   = 1
	histogramMaxUS   = 120_000_000
	histogramDigits  = 3
	codeNoAnswer     = result.Code(0)
	codeNoAnswerName = "no-answer"
)

// collector accumulates the results of the requests of one run. It is safe for
// concurrent use.
type collector struct {
	mu              sync.Mutex
	groups          map[string]*groupStats
	groupOrder      []string
	violations      Violations
	missingCodes    map[result.Code]int64
	resultCodes     map[result.Code]int64
	shardsRequested int64
	// notRunBodies and notRunPermits identify requests whose caller got a code of
	// the class "not run". Bodies of crash requests are left out: all crash
	// requests of a service share one body.
	notRunBodies  []string
	notRunPermits []string
	// donePermits identify submits whose caller was told that they completed.
	donePermits []string
}

// groupStats accumulates the results of one group of services.
type groupStats struct {
	latency     *hdrhistogram.Histogram
	requests    int64
	answered    int64
	fullAnswers int64
	coverageSum float64
	queries     int64
	onTime      int64
}

func newCollector() *collector {
	return &collector{
		groups:       make(map[string]*groupStats),
		missingCodes: make(map[result.Code]int64),
		resultCodes:  make(map[result.Code]int64),
	}
}

// groupStats returns the statistics of a group and creates them on first use. The
// caller holds the mutex.
func (c *collector) groupStats(name string) *groupStats {
	g := c.groups[name]
	if g == nil {
		g = &groupStats{latency: hdrhistogram.New(histogramMinUS, histogramMaxUS, histogramDigits)}
		c.groups[name] = g
		c.groupOrder = append(c.groupOrder, name)
	}
	return g
}

// recordQuery records the answer to a query; nil means that none arrived. shards
// is the number of shards that the query needs.
func (c *collector) recordQuery(j job, answer *api.QueryAnswer, took, deadline time.Duration, shards int) {
	var found Violations
	if answer != nil && isCompleteOrPartial(answer.Code) {
		found.checkAnswer(j.service, j.body, answer)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groupStats(j.group)
	g.requests++
	code := codeNoAnswer
	if answer != nil {
		code = answer.Code
	}
	c.resultCodes[code]++
	c.violations.add(found)
	if code.Class() == result.ClassNotRun && !j.crashesEndpoint {
		c.notRunBodies = append(c.notRunBodies, j.body)
	}
	// AllRefused counts although nothing ran, since its requests were dispatched to
	// endpoints.
	if code.Class() != result.ClassNotRun || code == result.AllRefused {
		c.shardsRequested += int64(shards)
		g.recordLatency(took, deadline)
	}
	if answer != nil && isCompleteOrPartial(code) {
		c.recordCoverage(g, answer)
	}
}

// recordCoverage records the coverage of an answer to a query. The caller holds
// the mutex.
func (c *collector) recordCoverage(g *groupStats, answer *api.QueryAnswer) {
	g.queries++
	g.answered++
	g.coverageSum += answer.Coverage.Fraction
	if len(answer.Coverage.Missing) == 0 {
		g.fullAnswers++
	}
	for _, m := range answer.Coverage.Missing {
		c.missingCodes[m.Code]++
	}
}

// recordSubmit records the answer to the first sending of a submit; nil means that
// none arrived. permit is empty if no permit was issued.
func (c *collector) recordSubmit(j job, permit string, answer *api.SubmitAnswer, took, deadline time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.groupStats(j.group)
	g.requests++
	code := codeNoAnswer
	if answer != nil {
		code = answer.Code
	}
	c.resultCodes[code]++
	c.recordPermitOutcome(j, permit, answer)
	if code.Class() == result.ClassNotRun && code != result.AllRefused {
		return
	}
	c.shardsRequested++
	g.recordLatency(took, deadline)
	if code.Class() == result.ClassComplete {
		g.answered++
	}
}

// recordRepeatedSubmit records the answer to a submit that was sent again. Only
// its outcome is checked; it does not count as a request.
func (c *collector) recordRepeatedSubmit(j job, permit string, answer *api.SubmitAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordPermitOutcome(j, permit, answer)
}

// recordPermitOutcome keeps what the caller was told about a permit, for
// compareWithRuns. The caller holds the mutex.
func (c *collector) recordPermitOutcome(j job, permit string, answer *api.SubmitAnswer) {
	if answer == nil || permit == "" {
		return
	}
	switch answer.Code.Class() {
	case result.ClassNotRun:
		c.notRunPermits = append(c.notRunPermits, permit)
	case result.ClassComplete:
		c.donePermits = append(c.donePermits, permit)
		c.violations.UntrueDone += boolToInt(answer.Outcome != standin.ExpectedOutcome(j.service, j.body))
	default:
	}
}

// recordWrongAnswer counts an answer that carries another request's ID.
func (c *collector) recordWrongAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations.WrongAnswer++
}

// compareWithRuns compares what callers were told with what the stand-ins ran and
// counts the violations. Call it once, after the last request has ended at every
// endpoint.
func (c *collector) compareWithRuns(r *standin.Recorder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations.AtMostOnce = len(r.RepeatedSubmits())
	for _, body := range c.notRunBodies {
		c.violations.UntrueNotRun += boolToInt(r.BodyRuns(body) > 0)
	}
	for _, permit := range c.notRunPermits {
		c.violations.UntrueNotRun += boolToInt(r.SubmitRuns(permit) > 0)
	}
	for _, permit := range c.donePermits {
		c.violations.UntrueDone += boolToInt(r.SubmitRuns(permit) == 0)
	}
}

// recordLatency adds the latency of a request and counts it as on time if it met
// its deadline.
func (g *groupStats) recordLatency(took, deadline time.Duration) {
	// Values are clamped to the histogram's range, so that recording cannot fail.
	_ = g.latency.RecordValue(min(max(took.Microseconds(), histogramMinUS), histogramMaxUS))
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

func isCompleteOrPartial(c result.Code) bool {
	return c.Class() == result.ClassComplete || c.Class() == result.ClassPartial
}

// codeCounts returns the counts of m in ascending order of code.
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
