package main

import (
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/internal/explain"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

type explainCmd struct {
	Request string   `arg:"" help:"ID of the request, as its caller sent it."`
	Logs    []string `arg:"" optional:"" help:"Log files of the hosts; standard input without any."`
}

// Run prints the log lines of a request. It fails if there are none.
func (c *explainCmd) Run(env *environment) error {
	logs, closeAll, err := c.openLogs()
	if err != nil {
		return err
	}
	defer closeAll()
	timeline, err := explain.Read(c.Request, logs...)
	if err != nil {
		return result.Errorf(result.Unreachable, "%v", err)
	}
	if len(timeline.Lines) == 0 {
		return result.Errorf(result.NotFound, "the logs have no line of request %s", c.Request)
	}
	return env.print(timeline, func(t table.Writer) { appendTimelineRows(t, timeline) })
}

// openLogs opens the log files, or standard input if none were given. closeAll closes
// them.
func (c *explainCmd) openLogs() (logs []io.Reader, closeAll func(), err error) {
	if len(c.Logs) == 0 {
		return []io.Reader{os.Stdin}, func() {}, nil
	}
	var files []*os.File
	closeAll = func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	for _, name := range c.Logs {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, result.Errorf(result.Unreachable, "%v", err)
		}
		files = append(files, f)
		logs = append(logs, f)
	}
	return logs, closeAll, nil
}

func appendTimelineRows(t table.Writer, timeline *explain.Timeline) {
	for _, l := range timeline.Lines {
		var fields []string
		for _, f := range l.Fields {
			if f.Name != "level" {
				fields = append(fields, f.Name+"="+f.Value)
			}
		}
		t.AppendRow(table.Row{l.Time.Format("15:04:05.000"), l.Host, l.Message, strings.Join(fields, " ")})
	}
	if timeline.Clocks {
		t.AppendRow(table.Row{"", "", "note", "several hosts: in the order of their clocks, which may disagree"})
	}
	reasons := make([]string, 0, len(timeline.LeftOut))
	for reason, n := range timeline.LeftOut {
		reasons = append(reasons, strconv.Itoa(n)+" "+string(reason))
	}
	slices.Sort(reasons)
	if len(reasons) > 0 {
		t.AppendRow(table.Row{"", "", "left out", strings.Join(reasons, ", ")})
	}
}
