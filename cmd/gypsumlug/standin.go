package main

import (
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/internal/load"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

type standinCmd struct {
	Configuration string        `help:"Directory with manifest.json and its documents, as generate writes them. Endpoints take the addresses that it gives them; a higher revision written there is published." type:"existingdir"`
	Deployment    string        `help:"Workload of the load command to start, without --configuration." default:"fanout"`
	Scale         float64       `help:"Factor on the number of services of the workload." default:"1"`
	Platform      string        `help:"IP and port of the platform; with --configuration only." default:"127.0.0.1:0"`
	ServiceTime   time.Duration `help:"Mean time of a request at an endpoint; with --configuration only." default:"2ms"`
	Seed          uint64        `help:"Seed of the endpoints." default:"1"`
}

// standinReport is the JSON output: the addresses that the stand-ins listen at.
type standinReport struct {
	Platform  string            `json:"platform"`
	Endpoints []endpointAddress `json:"endpoints"`
}

type endpointAddress struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

// Run starts the stand-ins, prints their addresses and waits for an interrupt.
func (c *standinCmd) Run(env *environment) error {
	platform, endpoints, stop, err := c.startStandins()
	if err != nil {
		return err
	}
	defer stop()
	report := standinReport{Platform: platform.Address()}
	for _, e := range endpoints {
		report.Endpoints = append(report.Endpoints, endpointAddress{ID: e.ID(), Address: e.Address()})
	}
	err = env.print(report, func(t table.Writer) {
		t.AppendRow(table.Row{"platform", report.Platform})
		for _, e := range report.Endpoints {
			t.AppendRow(table.Row{e.ID, e.Address})
		}
	})
	if err != nil {
		return err
	}
	if c.Configuration != "" {
		platform.FollowDirectory(env.ctx, c.Configuration)
	}
	<-env.ctx.Done()
	return nil
}

// startStandins starts the platform and the endpoints of the configuration, or of the
// workload if there is no --configuration. The function that it returns stops them.
func (c *standinCmd) startStandins() (*standin.Platform, []*standin.Endpoint, func(), error) {
	if c.Configuration == "" {
		d, err := load.StartDeployment(load.Options{Deployment: c.Deployment, Scale: c.Scale, Seed: c.Seed})
		if err != nil {
			return nil, nil, nil, err
		}
		return d.Platform, d.Endpoints(), d.Close, nil
	}
	manifest, documents, err := standin.ReadConfiguration(c.Configuration)
	if err != nil {
		return nil, nil, nil, err
	}
	configured, err := standin.NewConfiguredDeployment(standin.ConfiguredDeploymentOptions{
		Manifest: manifest, Documents: documents, PlatformAddress: c.Platform, ServiceTime: c.ServiceTime, Seed: c.Seed,
	})
	if err != nil {
		return nil, nil, nil, err
	}
	return configured.Platform, configured.Endpoints, configured.Close, nil
}
