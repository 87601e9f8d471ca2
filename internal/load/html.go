package load

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

//go:embed report.html
var reportHTML string

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"ms": ms, "percent": percent, "faults": faultsOrNone,
}).Parse(reportHTML))

// Size of the latency plot in pixels. Its horizontal axis shows plotDecades powers
// of ten of the share of requests above a latency: 90%, 99% and so on. A curve has
// plotSamples segments.
const (
	plotWidth   = 640.0
	plotHeight  = 300.0
	plotMargin  = 60.0
	plotDecades = 4.0
	plotSamples = 200
)

var plotColours = []string{"#1b5e9e", "#c0572b"}

// htmlReport is the data of the template report.html.
type htmlReport struct {
	*Report
	Loop   string
	Curves []curve
	XTicks []tick
	YTicks []tick
	Width  float64
	Height float64
	Margin float64
	Bars   []barGroup
}

type curve struct {
	Name, Points, Colour string
	LabelY               float64
}

type tick struct {
	At    float64
	Label string
}

type barGroup struct {
	Title string
	Bars  []bar
}

type bar struct {
	Name, Label, Colour string
	Width               float64
}

// WriteHTML writes the report as one HTML page that loads no external resources.
func (r *Report) WriteHTML(w io.Writer) error {
	page := htmlReport{Report: r, Loop: r.Options.loopDescription(), Width: plotWidth, Height: plotHeight, Margin: plotMargin}
	low, high := r.latencyRange()
	for i, p := range r.Policies {
		page.Curves = append(page.Curves, curve{
			Name:   p.Name,
			Points: curvePoints(p.Total.histogram, low, high),
			Colour: plotColours[i%len(plotColours)],
			LabelY: plotMargin/2 + float64(18*i),
		})
	}
	page.XTicks = percentileTicks()
	page.YTicks = latencyTicks(low, high)
	page.Bars = r.barGroups()
	return reportTemplate.Execute(w, page)
}

// latencyRange returns the powers of ten between which the plot shows latencies, in
// milliseconds: one not above any median and one not below any latency.
func (r *Report) latencyRange() (float64, float64) {
	low, high := 1.0, 10.0
	for _, p := range r.Policies {
		low = min(low, p.Total.Latency.P50)
		high = max(high, p.Total.Latency.Max)
	}
	low = math.Pow(10, math.Floor(math.Log10(max(low, 0.001))))
	return low, math.Pow(10, math.Ceil(math.Log10(high)))
}

// curvePoints returns the points of a polyline that plots latency by percentile. x
// is -log10 of the share of requests above the latency.
func curvePoints(h *hdrhistogram.Histogram, low, high float64) string {
	var b strings.Builder
	for i := range plotSamples + 1 {
		decades := plotDecades * float64(i) / plotSamples
		quantile := 100 * (1 - math.Pow(10, -decades))
		fmt.Fprintf(&b, "%.1f,%.1f ", plotX(decades), plotY(quantileMS(h, quantile), low, high))
	}
	return b.String()
}

func plotX(decades float64) float64 { return plotMargin + plotWidth*decades/plotDecades }

func plotY(latencyMS, low, high float64) float64 {
	fraction := math.Log10(max(latencyMS, low)/low) / math.Log10(high/low)
	return plotMargin/2 + plotHeight*(1-fraction)
}

func percentileTicks() []tick {
	out := []tick{{plotX(0), "0%"}, {plotX(math.Log10(2)), "50%"}}
	for decades := 1.0; decades <= plotDecades; decades++ {
		out = append(out, tick{plotX(decades), fmt.Sprintf("%g%%", 100*(1-math.Pow(10, -decades)))})
	}
	return out
}

func latencyTicks(low, high float64) []tick {
	var out []tick
	for v := low; v <= high*1.001; v *= 10 {
		out = append(out, tick{plotY(v, low, high), fmt.Sprintf("%g ms", v)})
	}
	return out
}

// barGroups returns one group of bars for each measure, with a bar for each policy.
func (r *Report) barGroups() []barGroup {
	measures := []struct {
		title string
		value func(PolicyResult) float64
	}{
		{"Coverage of answers", func(p PolicyResult) float64 { return p.Total.Coverage }},
		{"Whole answers", func(p PolicyResult) float64 { return p.Total.FullShare }},
		{"Extra load (dispatches above the shards asked for)", func(p PolicyResult) float64 { return p.Load.Extra }},
	}
	var out []barGroup
	for _, m := range measures {
		g := barGroup{Title: m.title}
		highest := 1e-9
		for _, p := range r.Policies {
			highest = max(highest, m.value(p))
		}
		for i, p := range r.Policies {
			width := plotWidth / 2 * max(0, m.value(p)) / max(highest, 1)
			g.Bars = append(g.Bars, bar{p.Name, percent(m.value(p)), plotColours[i%len(plotColours)], width})
		}
		out = append(out, g)
	}
	return out
}
