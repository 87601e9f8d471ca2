package main

import (
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/internal/questionnaire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

type questionnaireExplainCmd struct {
	File    string `arg:"" help:"Questionnaire."`
	Service string `help:"Explain only this service or group."`
}

// Run prints each setting with the answers that led to it.
func (c *questionnaireExplainCmd) Run(env *environment) error {
	q, err := readQuestionnaire(c.File)
	if err != nil {
		return err
	}
	var out []questionnaire.Explanation
	for _, e := range questionnaire.Explain(q) {
		if c.Service == "" || c.Service == e.Service {
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return result.FieldErrorf(result.Usage, "--service", "the questionnaire has no service %q", c.Service)
	}
	return env.print(out, func(t table.Writer) {
		t.AppendHeader(table.Row{"service", "setting", "value", "from", "why"})
		for _, e := range out {
			t.AppendRow(table.Row{e.Service, e.Setting, e.Value, strings.Join(e.Answers, ", "), e.Why})
		}
	})
}
