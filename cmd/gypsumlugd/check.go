package main

import (
	"fmt"

	"github.com/gypsumlug/gypsumlug/internal/settings"
)

type checkCmd struct {
	Settings string `required:"" type:"existingfile" placeholder:"FILE" help:"Settings in JSON with comments."`
}

// Run returns an error that lists every fault of the settings file.
func (c *checkCmd) Run() error {
	if _, err := settings.Load(c.Settings); err != nil {
		return err
	}
	fmt.Printf("%s: valid\n", c.Settings)
	return nil
}
