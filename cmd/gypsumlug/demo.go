package main

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/demo"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

type demoCmd struct{}

// demoReport is the JSON output.
type demoReport struct {
	Steps  []demo.Step `json:"steps"`
	Failed int         `json:"failed"`
}

// Run runs the demonstration on loopback, in one process. It fails if a step has another
// outcome than expected.
func (demoCmd) Run(env *environment) error {
	env.printLine("Starting a platform, endpoints and three entry hosts on loopback.")
	report := demoReport{Steps: []demo.Step{}}
	failed, err := demo.Run(env.ctx, func(s demo.Step) {
		report.Steps = append(report.Steps, s)
		env.printStep(s)
	})
	if err != nil {
		return err
	}
	report.Failed = failed
	if env.output == outputJSON {
		enc := json.NewEncoder(env.stdout)
		enc.SetIndent("", "  ")
		if err := enc.Encode(report); err != nil {
			return err
		}
	}
	if failed > 0 {
		return result.Errorf(result.DeploymentMismatch, "%d of %d steps failed", failed, len(report.Steps))
	}
	env.printLine("\nAll %d steps went as they should.", len(report.Steps))
	return nil
}

func (e *environment) printStep(s demo.Step) {
	verdict := "ok"
	if !s.Passed {
		verdict = "WRONG: " + s.Reason
	}
	took := ""
	if s.Elapsed > 0 {
		took = fmt.Sprintf(" in %s", s.Elapsed.Round(100*time.Microsecond))
	}
	e.printLine("\n%s\n  %d %s from %s%s (%s)", s.Title, s.Code, s.Name, s.Host, took, verdict)
	for _, f := range s.Facts {
		e.printLine("  %s", f)
	}
}
