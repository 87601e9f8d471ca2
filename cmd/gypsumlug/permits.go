package main

import (
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/api/admin"
)

type permitsCmd struct {
	adminFlags
}

// Run prints the number of permits of each service on a host.
func (c *permitsCmd) Run(env *environment) error {
	var p admin.Permits
	if err := c.get(env.ctx, admin.PathPermits, &p); err != nil {
		return err
	}
	return env.print(p, func(t table.Writer) {
		t.AppendHeader(table.Row{"service", "limit", "issued", "dispatched", "closed"})
		for _, s := range p.Services {
			t.AppendRow(table.Row{s.Service, s.Limit, s.Issued, s.Dispatched, s.Closed})
		}
	})
}
