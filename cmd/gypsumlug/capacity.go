package main

import (
	"fmt"
	"io"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/internal/capacity"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

type capacityCmd struct {
	Slopes           string  `arg:"" help:"File with the output of the slope benchmarks, or - for standard input."`
	Hosts            int     `help:"Number of hosts; 0 takes the design size." default:"0"`
	Endpoints        int     `help:"Number of replicas; 0 takes the design size." default:"0"`
	QueriesPerSecond float64 `help:"Queries a second over all hosts; 0 takes the design size." default:"0"`
	FanOut           int     `help:"Shards of one query; 0 takes the design size." default:"0"`
	Markdown         bool    `help:"Print the table in Markdown, as docs/CAPACITY.md holds it."`
}

// Run prints the resources that each role of a host needs.
func (c *capacityCmd) Run(env *environment) error {
	text, err := readFileOrInput(c.Slopes)
	if err != nil {
		return err
	}
	slopes, err := capacity.ParseSlopes(string(text))
	if err != nil {
		return err
	}
	sizes, err := c.sizes()
	if err != nil {
		return err
	}
	rows := capacity.Table(sizes, slopes)
	if c.Markdown {
		_, err := fmt.Fprint(env.stdout, capacity.Markdown(rows))
		return err
	}
	return env.print(rows, func(t table.Writer) {
		t.AppendHeader(table.Row{"role", "quantity", "value", "unit", "basis", "working", "carried by"})
		for _, r := range rows {
			t.AppendRow(table.Row{r.Role, r.Quantity, r.FormatValue(), r.Unit, r.Basis, r.Calculation, r.Mechanism})
		}
	})
}

// sizes returns the design sizes, each replaced by its flag if that is not zero.
func (c *capacityCmd) sizes() (capacity.Sizes, error) {
	if c.Hosts < 0 || c.Endpoints < 0 || c.QueriesPerSecond < 0 || c.FanOut < 0 {
		return capacity.Sizes{}, result.Errorf(result.Usage, "sizes must not be negative")
	}
	s := capacity.DesignSizes()
	if c.Hosts > 0 {
		s.Hosts = c.Hosts
	}
	if c.Endpoints > 0 {
		s.Endpoints = c.Endpoints
	}
	if c.QueriesPerSecond > 0 {
		s.QueriesPerSecond = c.QueriesPerSecond
	}
	if c.FanOut > 0 {
		s.FanOut = c.FanOut
	}
	return s, nil
}

// readFileOrInput reads a file, or standard input if path is "-".
func readFileOrInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.FieldErrorf(result.Unreachable, path, "%v", err)
	}
	return data, nil
}
