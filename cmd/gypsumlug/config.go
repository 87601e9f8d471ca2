package main

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/api/admin"
)

type configCmd struct {
	Status configStatusCmd `cmd:"" help:"Show the configuration in force on a host, and what it knows of the fleet."`
	Check  configCheckCmd  `cmd:"" help:"Check a configuration of routes and services before it is sent, and compare it with the one in force."`
}

type configStatusCmd struct {
	adminFlags
}

// configStatus is the JSON output: a host's configuration and readiness.
type configStatus struct {
	Readiness     admin.Readiness     `json:"readiness"`
	Configuration admin.Configuration `json:"configuration"`
}

// Run prints the configuration and the readiness of a host.
func (c *configStatusCmd) Run(env *environment) error {
	var s configStatus
	if err := c.get(env.ctx, admin.PathConfiguration, &s.Configuration); err != nil {
		return err
	}
	if err := c.get(env.ctx, admin.PathReadiness, &s.Readiness); err != nil {
		return err
	}
	return env.print(s, func(t table.Writer) { s.appendRows(t) })
}

func (s *configStatus) appendRows(t table.Writer) {
	c := &s.Configuration
	t.AppendRow(table.Row{"ready", s.readinessText()})
	t.AppendRow(table.Row{"revision", c.Revision})
	t.AppendRow(table.Row{"manifest hash", c.ManifestHash})
	t.AppendRow(table.Row{"services", len(c.Services)})
	if c.Candidate != 0 {
		t.AppendRow(table.Row{"being fetched", fmt.Sprintf("revision %d, %d documents missing", c.Candidate, c.Missing)})
	}
	t.AppendRow(table.Row{"watches the platform", c.Watching})
	t.AppendRow(table.Row{"platform answers", c.PlatformUp})
	for _, f := range c.Fleet {
		t.AppendRow(table.Row{"fleet", fmt.Sprintf("%d hosts have revision %d", f.Hosts, f.Revision)})
	}
	for _, r := range c.Refusals {
		t.AppendRow(table.Row{"refused", fmt.Sprintf("%d times: %d %s: %s", r.Count, r.Code, r.Name, r.Meaning)})
	}
	if c.LastRefusal != nil {
		t.AppendRow(table.Row{"last refused", c.LastRefusal.Detail})
	}
}

func (s *configStatus) readinessText() string {
	switch {
	case s.Readiness.Reason != nil:
		return fmt.Sprintf("no: %d %s", s.Readiness.Reason.Code, s.Readiness.Reason.Name)
	case s.Readiness.Alone:
		return "yes, alone: neither a peer nor the platform has answered"
	default:
		return "yes"
	}
}
