package main

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/api/admin"
)

type fleetCmd struct {
	adminFlags
}

// Run prints the hosts that a host knows.
func (c *fleetCmd) Run(env *environment) error {
	var hosts admin.Hosts
	if err := c.get(env.ctx, admin.PathHosts, &hosts); err != nil {
		return err
	}
	return env.print(hosts, func(t table.Writer) {
		t.AppendHeader(table.Row{"host", "data centre", "state", "alive", "seed", "revision", "heard", "start"})
		for _, h := range hosts.Hosts {
			t.AppendRow(table.Row{h.Address, h.DataCentre, h.State, h.Alive, h.Seed, h.Revision, formatAge(h), h.Start})
		}
	})
}

// formatAge returns the age of the latest heartbeat of a host.
func formatAge(h admin.Host) string {
	switch {
	case h.Self:
		return "this host"
	case h.AgeMS < 0:
		return "never"
	default:
		return fmt.Sprintf("%d ms ago", h.AgeMS)
	}
}
