package main

import (
	"fmt"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/api/admin"
)

type endpointsCmd struct {
	adminFlags
	Service string `help:"List only the endpoints of this service."`
	Out     bool   `help:"List only the endpoints that are out."`
}

// Run prints the endpoints, each with the reasons why it gets no requests or fewer.
func (c *endpointsCmd) Run(env *environment) error {
	var all admin.Endpoints
	if err := c.get(env.ctx, admin.PathEndpoints, &all); err != nil {
		return err
	}
	out := admin.Endpoints{Endpoints: []admin.Endpoint{}}
	for _, e := range all.Endpoints {
		if (c.Service == "" || c.Service == e.Service) && (!c.Out || len(e.Out) > 0) {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	return env.print(out, func(t table.Writer) {
		t.AppendHeader(table.Row{"endpoint", "service", "data centre", "address", "slots", "share", "relays", "out"})
		for _, e := range out.Endpoints {
			t.AppendRow(table.Row{e.ID, e.Service, e.DataCentre, e.Address, e.Slots, fmt.Sprintf("%d of %d", e.Share, e.MaxConnections), len(e.Relays), formatOutReasons(e.Out)})
		}
	})
}

// formatOutReasons returns the reasons as one line of text.
func formatOutReasons(reasons []admin.OutReason) string {
	texts := make([]string, len(reasons))
	for i, r := range reasons {
		texts[i] = fmt.Sprintf("%d %s", r.Code, r.Name)
		if r.Detail != "" {
			texts[i] += ": " + r.Detail
		}
		if r.TTLMS > 0 {
			texts[i] += fmt.Sprintf(" (%d ms left)", r.TTLMS)
		}
	}
	return strings.Join(texts, "; ")
}
