package main

import (
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/version"
)

type versionCmd struct{}

// versionReport is the JSON output.
type versionReport struct {
	Version string `json:"version"`
	Go      string `json:"go"`
	// ConfigurationFormat is the format of manifests that this version reads.
	ConfigurationFormat int `json:"configuration_format"`
}

// Run prints the version.
func (*versionCmd) Run(env *environment) error {
	r := versionReport{Version: version.String(), Go: version.Go(), ConfigurationFormat: config.FormatVersion}
	return env.print(r, func(t table.Writer) {
		t.AppendRow(table.Row{"version", r.Version})
		t.AppendRow(table.Row{"go", r.Go})
		t.AppendRow(table.Row{"configuration format", r.ConfigurationFormat})
	})
}
