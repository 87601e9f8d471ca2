package main

import (
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/internal/questionnaire"
)

type questionnaireDiffCmd struct {
	Old string `arg:"" help:"Questionnaire in force."`
	New string `arg:"" help:"Revised questionnaire."`
}

// Run prints the changed answers and the risks of the change.
func (c *questionnaireDiffCmd) Run(env *environment) error {
	before, err := readQuestionnaire(c.Old)
	if err != nil {
		return err
	}
	after, err := readQuestionnaire(c.New)
	if err != nil {
		return err
	}
	d := questionnaire.Diff(before, after)
	if env.output == outputJSON {
		return env.print(d, nil)
	}
	err = env.print(d, func(t table.Writer) {
		t.AppendHeader(table.Row{"answer", "old", "new"})
		for _, c := range d.Changes {
			t.AppendRow(table.Row{c.Field, c.Old, c.New})
		}
	})
	if err != nil {
		return err
	}
	return env.printRisks(d, d.Risks)
}
