package main

import (
	"context"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/internal/configcheck"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/platform"
)

// storeTimeout bounds the reading of the configuration in force.
const storeTimeout = 5 * time.Second

type configCheckCmd struct {
	File    string `arg:"" help:"Configuration to check, as it is to be sent; comments are allowed."`
	Against string `help:"File with the configuration in force, to compare with." xor:"force"`
	Store   string `help:"Address (IP and port) of the platform's store, to compare with the configuration in force." xor:"force"`
}

// configCheck is the JSON output of a check.
type configCheck struct {
	Version uint64 `json:"version"`
	// InForce is the version that the configuration was compared with; zero for none.
	InForce  uint64                `json:"in_force,omitempty"`
	Findings []configcheck.Finding `json:"findings"`
	Changes  []configcheck.Change  `json:"changes,omitempty"`
}

// Run prints the findings in a configuration and what it changes. The exit code is 6 if it has
// errors, and 2 if it has other findings.
func (c *configCheckCmd) Run(env *environment) error {
	checked, err := readConfiguration(c.File)
	if err != nil {
		return err
	}
	inForce, err := c.inForce(env.ctx)
	if err != nil {
		return err
	}
	out := configCheck{Version: checked.Version, Findings: configcheck.Check(checked)}
	if inForce != nil {
		out.InForce = inForce.Version
		out.Findings = append(out.Findings, configcheck.Against(inForce, checked)...)
		out.Changes = configcheck.Diff(inForce, checked)
	}
	if err := env.print(out, out.appendRows); err != nil {
		return err
	}
	switch {
	case configcheck.HasErrors(out.Findings):
		return resultError(result.ConfigurationFaulty)
	case len(out.Findings) > 0:
		return resultError(result.Partial)
	default:
		return nil
	}
}

func (c configCheck) appendRows(t table.Writer) {
	if len(c.Findings) == 0 {
		t.AppendRow(table.Row{"sound", "", "no finding", ""})
	}
	for _, f := range c.Findings {
		t.AppendRow(table.Row{f.Severity, f.Entry, f.Reason, f.Remedy})
	}
	for _, change := range c.Changes {
		detail := ""
		if change.Field != "" {
			detail = change.Field + ": " + change.From + " to " + change.To
		}
		t.AppendRow(table.Row{change.Kind, change.Entry, detail, ""})
	}
}

// inForce returns the configuration to compare with, or nil for none.
func (c *configCheckCmd) inForce(ctx context.Context) (*routing.Config, error) {
	switch {
	case c.Against != "":
		return readConfiguration(c.Against)
	case c.Store != "":
		return readConfigurationInForce(ctx, c.Store)
	default:
		return nil, nil
	}
}

func readConfigurationInForce(ctx context.Context, store string) (*routing.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	started := time.Now()
	config, err := platform.NewStore(store, func() time.Duration { return time.Since(started) }, nil).Config(ctx)
	if err != nil {
		return nil, result.Errorf(result.PlatformUnavailable, "%v", err)
	}
	return config, nil
}

func readConfiguration(path string) (*routing.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Errorf(result.Unreachable, "%v", err)
	}
	config, err := platform.ParseConfig(data)
	if err != nil {
		return nil, result.Errorf(result.DocumentInvalid, "%s: %v", path, err)
	}
	return config, nil
}
