package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Names of policies in reports.
const (
	PolicyGypsumlug = "gypsumlug"
	PolicyBaseline  = "baseline"
)

// Report is the result of the load command.
type Report struct {
	Options  Options        `json:"options"`
	Policies []PolicyResult `json:"policies"`
}

// PolicyResult holds the measurements of one policy.
type PolicyResult struct {
	Name string `json:"name"`
	// Seconds is the duration of the measurement, until the last request ended.
	Seconds  float64 `json:"seconds"`
	Requests int64   `json:"requests"`
	// NotSent counts requests that the load tool skipped because too many others
	// were waiting for an answer. It includes the warm-up.
	NotSent int64         `json:"not_sent"`
	Total   GroupResult   `json:"total"`
	Groups  []GroupResult `json:"groups"`
	// Codes counts requests by result code.
	Codes []CodeCount `json:"codes"`
	// Missing counts missing ranges by the code of their reason.
	Missing    []CodeCount  `json:"missing"`
	Load       EndpointLoad `json:"load"`
	Violations Violations   `json:"violations"`
	// HostCounters are the counters of the hosts that increased, for example of
	// refusals and retries.
	HostCounters []HostCounter `json:"reasons"`
}

// GroupResult holds the measurements of one group of services, or of all groups.
type GroupResult struct {
	Name     string `json:"name"`
	Requests int64  `json:"requests"`
	// Answered counts complete and partial answers and completed submits.
	Answered int64 `json:"answered"`
	// OnTime counts requests that ended within the service's deadline.
	OnTime  int64   `json:"on_time"`
	Latency Latency `json:"latency"`
	// Coverage is the mean covered fraction of complete and partial answers to
	// queries; FullShare is the share of these answers with full coverage. Both are
	// 1 if there were none.
	Coverage  float64 `json:"coverage"`
	FullShare float64 `json:"full_share"`

	histogram   *hdrhistogram.Histogram
	coverageSum float64
	queries     int64
	fullAnswers int64
}

// Latency holds latency percentiles in milliseconds. It leaves out requests with a
// code of the class "not run" other than result.AllRefused.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// EndpointLoad describes the load on the endpoints: how many requests they received
// compared with the number of shards needed, and how busy they were.
type EndpointLoad struct {
	// Asked counts the shards needed by the requests that Latency includes. A submit
	// needs one.
	Asked int64 `json:"asked"`
	// Dispatches counts searches and submits that arrived at endpoints; Started
	// counts those that the endpoints started to run.
	Dispatches int64 `json:"dispatches"`
	Started    int64 `json:"started"`
	Cancels    int64 `json:"cancels"`
	// Extra is Dispatches / Asked - 1; ExtraStarted is Started / Asked - 1.
	Extra        float64 `json:"extra"`
	ExtraStarted float64 `json:"extra_started"`
	// Refused counts the endpoints' refusals by code.
	Refused []CodeCount `json:"refused"`
	// ConnectionsRefused counts connections above an endpoint's limit.
	ConnectionsRefused int64 `json:"connections_refused"`
	HighestConnections int   `json:"highest_connections"`
	// AfterLeaving counts requests that reached an endpoint more than
	// standin.LeavingGrace after it was told to leave.
	AfterLeaving int64 `json:"after_leaving"`
	// SlotUse is the share of the endpoints' slot time that was in use.
	SlotUse float64 `json:"slot_use"`
	// ProcessorUS is the processor time of the whole process, including callers and
	// stand-ins, divided by Asked, in microseconds.
	ProcessorUS float64 `json:"processor_us_per_shard"`
}

// CodeCount is the number of times that a result code occurred.
type CodeCount struct {
	Code  result.Code `json:"code"`
	Name  string      `json:"name"`
	Count int64       `json:"count"`
}

// HostCounter is the increase of a counter, summed over all hosts.
type HostCounter struct {
	Name  string  `json:"name"`
	Count float64 `json:"count"`
}

// policyResult returns the result of a policy from what was collected.
func (c *collector) policyResult(name string, took time.Duration) PolicyResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := PolicyResult{Name: name, Seconds: took.Seconds(), Violations: c.violations}
	out.Codes = codeCounts(c.resultCodes)
	out.Missing = codeCounts(c.missingCodes)
	out.Load.Asked = c.shardsRequested
	total := GroupResult{Name: "all", histogram: hdrhistogram.New(histogramMinUS, histogramMaxUS, histogramDigits)}
	for _, n := range c.groupOrder {
		g := c.groups[n].groupResult(n)
		out.Groups = append(out.Groups, g)
		total.add(g)
	}
	total.computeSummary()
	out.Total = total
	out.Requests = total.Requests
	return out
}

func (g *groupStats) groupResult(name string) GroupResult {
	out := GroupResult{
		Name: name, Requests: g.requests, Answered: g.answered, OnTime: g.onTime,
		histogram: g.latency, coverageSum: g.coverageSum, queries: g.queries, fullAnswers: g.fullAnswers,
	}
	out.computeSummary()
	return out
}

// add adds the counts and latencies of another group.
func (g *GroupResult) add(other GroupResult) {
	g.Requests += other.Requests
	g.Answered += other.Answered
	g.OnTime += other.OnTime
	g.coverageSum += other.coverageSum
	g.queries += other.queries
	g.fullAnswers += other.fullAnswers
	g.histogram.Merge(other.histogram)
}

// computeSummary sets the percentiles and the coverage from the collected data.
func (g *GroupResult) computeSummary() {
	g.Latency = Latency{
		P50:  quantileMS(g.histogram, 50),
		P90:  quantileMS(g.histogram, 90),
		P99:  quantileMS(g.histogram, 99),
		P999: quantileMS(g.histogram, 99.9),
		Max:  float64(g.histogram.Max()) / 1000,
	}
	g.Coverage, g.FullShare = 1, 1
	if g.queries > 0 {
		g.Coverage = g.coverageSum / float64(g.queries)
		g.FullShare = float64(g.fullAnswers) / float64(g.queries)
	}
}

func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
