package load

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
)

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the report as human-readable tables.
func (r *Report) WriteText(w io.Writer) error {
	_, err := io.WriteString(w, r.text())
	return err
}

func (r *Report) text() string {
	var b strings.Builder
	o := r.Options
	fmt.Fprintf(&b, "deployment %s, faults %s, seed %d, %s, %s\n\n", o.Deployment, faultsOrNone(o.Faults), o.Seed, o.Duration, o.loopDescription())
	b.WriteString(latencyTable(r.Policies) + "\n\n")
	b.WriteString(loadTable(r.Policies) + "\n\n")
	b.WriteString(violationTable(r.Policies) + "\n")
	for _, p := range r.Policies {
		writeCodes(&b, p.Name+": results", p.Codes)
		writeCodes(&b, p.Name+": reasons of missing shards", p.Missing)
		writeCodes(&b, p.Name+": refusals by endpoints", p.Load.Refused)
		writeHostCounters(&b, p)
	}
	return b.String()
}

// loopDescription describes how requests are generated.
func (o Options) loopDescription() string {
	if o.Concurrency > 0 {
		return fmt.Sprintf("closed loop of %d callers", o.Concurrency)
	}
	return fmt.Sprintf("open loop at %g requests a second", o.Rate)
}

func faultsOrNone(s string) string {
	if s == "" {
		return faultNone
	}
	return s
}

func latencyTable(policies []PolicyResult) string {
	t := table.NewWriter()
	t.AppendHeader(table.Row{"policy", "group", "requests", "answered", "on time", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms", "coverage", "whole"})
	for _, p := range policies {
		for _, g := range append([]GroupResult{p.Total}, p.Groups...) {
			l := g.Latency
			t.AppendRow(table.Row{
				p.Name, g.Name, g.Requests, g.Answered, g.OnTime,
				ms(l.P50), ms(l.P90), ms(l.P99), ms(l.P999), ms(l.Max), percent(g.Coverage), percent(g.FullShare),
			})
		}
	}
	return t.Render()
}

func loadTable(policies []PolicyResult) string {
	t := table.NewWriter()
	t.AppendHeader(table.Row{"policy", "shards asked", "dispatches", "extra", "started", "extra started", "cancels", "connections refused", "most connections", "after leaving", "slot use", "cpu us/shard"})
	for _, p := range policies {
		l := p.Load
		t.AppendRow(table.Row{
			p.Name, l.Asked, l.Dispatches, percent(l.Extra), l.Started, percent(l.ExtraStarted),
			l.Cancels, l.ConnectionsRefused, l.HighestConnections, l.AfterLeaving, percent(l.SlotUse), fmt.Sprintf("%.1f", l.ProcessorUS),
		})
	}
	return t.Render()
}

func violationTable(policies []PolicyResult) string {
	t := table.NewWriter()
	t.AppendHeader(table.Row{"policy", "ran twice", "mixed snapshots", "untrue coverage", "repeated documents", "untrue not run", "untrue done", "wrong answer"})
	for _, p := range policies {
		v := p.Violations
		t.AppendRow(table.Row{
			p.Name, v.AtMostOnce, v.MixedSnapshots, v.UntrueCoverage, v.RepeatedDocuments, v.UntrueNotRun, v.UntrueDone, v.WrongAnswer,
		})
	}
	return t.Render()
}

func writeCodes(b *strings.Builder, title string, codes []CodeCount) {
	if len(codes) == 0 {
		return
	}
	fmt.Fprintf(b, "\n%s\n", title)
	for _, c := range codes {
		fmt.Fprintf(b, "  %3d %-22s %d\n", uint16(c.Code), c.Name, c.Count)
	}
}

func writeHostCounters(b *strings.Builder, p PolicyResult) {
	if len(p.HostCounters) == 0 {
		return
	}
	fmt.Fprintf(b, "\n%s: counters of the hosts\n", p.Name)
	for _, r := range p.HostCounters {
		fmt.Fprintf(b, "  %-60s %.0f\n", r.Name, r.Count)
	}
}

func ms(v float64) string      { return fmt.Sprintf("%.1f", v) }
func percent(v float64) string { return fmt.Sprintf("%.2f%%", 100*v) }
