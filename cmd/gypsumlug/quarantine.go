package main

import (
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/api/admin"
)

type quarantineCmd struct {
	adminFlags
}

// Run prints the requests that are suspected of crashing endpoints.
func (c *quarantineCmd) Run(env *environment) error {
	var q admin.Quarantine
	if err := c.get(env.ctx, admin.PathQuarantine, &q); err != nil {
		return err
	}
	return env.print(q, func(t table.Writer) {
		t.AppendHeader(table.Row{"request", "degree"})
		for _, r := range q.Requests {
			t.AppendRow(table.Row{r.Fingerprint, r.Degree})
		}
	})
}
