package main

import (
	"fmt"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/internal/questionnaire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

type questionnaireCmd struct {
	Check    questionnaireCheckCmd    `cmd:"" help:"Report every fault of a questionnaire, and what it risks."`
	Generate questionnaireGenerateCmd `cmd:"" help:"Write the manifest and documents of a questionnaire."`
	Explain  questionnaireExplainCmd  `cmd:"" help:"Say which answer led to which setting."`
	Diff     questionnaireDiffCmd     `cmd:"" help:"Show what a revision changes, and what that risks."`
	Schema   questionnaireSchemaCmd   `cmd:"" help:"Print the JSON Schema of questionnaires, for editors."`
}

// readQuestionnaire reads, parses and checks the questionnaire at path.
func readQuestionnaire(path string) (*questionnaire.Questionnaire, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Errorf(result.Unreachable, "%v", err)
	}
	return questionnaire.Parse(path, data)
}

type questionnaireCheckCmd struct {
	File string `arg:"" help:"Questionnaire."`
}

// checkReport is the JSON output for a valid questionnaire.
type checkReport struct {
	Deployment string               `json:"deployment"`
	Revision   int                  `json:"revision"`
	Hosts      int                  `json:"hosts"`
	Services   int                  `json:"services"`
	Endpoints  int                  `json:"endpoints"`
	Risks      []questionnaire.Risk `json:"risks"`
}

// Run checks the questionnaire and prints a summary and its risks.
func (c *questionnaireCheckCmd) Run(env *environment) error {
	q, err := readQuestionnaire(c.File)
	if err != nil {
		return err
	}
	r := checkReport{Deployment: q.Deployment, Revision: q.Revision, Hosts: q.Hosts(), Risks: questionnaire.Risks(q)}
	for _, s := range q.Services {
		r.Services += s.Count
		r.Endpoints += s.Count * s.Shape.Replicas
	}
	env.printLine("%s: accepted: %s, revision %d: %d services on %d endpoints, %d hosts", c.File, r.Deployment, r.Revision, r.Services, r.Endpoints, r.Hosts)
	return env.printRisks(r, r.Risks)
}

// printRisks prints v as JSON, or the risks as a table. It prints no empty table.
func (e *environment) printRisks(v any, risks []questionnaire.Risk) error {
	if len(risks) == 0 && e.output == outputTable {
		return nil
	}
	return e.print(v, func(t table.Writer) {
		t.AppendHeader(table.Row{"risk", "reason", "remedy"})
		for _, r := range risks {
			t.AppendRow(table.Row{r.Field, r.Reason, r.Remedy})
		}
	})
}

type questionnaireSchemaCmd struct{}

// Run prints the JSON Schema, whatever the output format.
func (*questionnaireSchemaCmd) Run(env *environment) error {
	_, err := fmt.Fprint(env.stdout, string(questionnaire.Schema()))
	return err
}
