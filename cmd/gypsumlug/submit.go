package main

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/client"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
)

type submitCmd struct {
	callFlags
	Permit string `help:"Permit of an earlier submit; by default a new one is requested and printed before it is used."`
	Key    uint64 `help:"Key that selects the shard."`
	Body   string `arg:"" help:"The request."`
}

// Run submits the request and prints the answer.
func (s *submitCmd) Run(env *environment) error {
	c, err := s.newClient()
	if err != nil {
		return err
	}
	defer c.Close()
	a, err := s.submit(env, c)
	if err != nil && env.output == outputTable {
		return err
	}
	if err := env.printSubmit(a); err != nil {
		return err
	}
	return resultError(a.Code)
}

// submit submits with the given permit. Without one it requests a permit and prints it
// before submitting, so that the outcome can be asked for again after a crash.
func (s *submitCmd) submit(env *environment, c *client.Client) (api.SubmitAnswer, error) {
	request := api.SubmitRequest{
		RequestID: s.RequestID,
		Service:   s.Service,
		Caller:    s.Caller,
		Permit:    s.Permit,
		Body:      s.Body,
		Key:       keyrange.Key(s.Key),
		BudgetMS:  s.BudgetMS,
	}
	if s.Permit != "" {
		return c.Submit(env.ctx, request)
	}
	return c.SubmitOnce(env.ctx, request, func(permit string) error {
		_, err := fmt.Fprintf(env.stderr, "permit %s (to learn the outcome again: --permit %s)\n", permit, permit)
		return err
	})
}

func (e *environment) printSubmit(a api.SubmitAnswer) error {
	return e.print(a, func(t table.Writer) {
		t.AppendRow(table.Row{"result", fmt.Sprintf("%d %s", uint16(a.Code), a.Name)})
		t.AppendRow(table.Row{"permit", a.Permit})
		t.AppendRow(table.Row{"outcome", a.Outcome})
		t.AppendRow(table.Row{"replayed", a.Replayed})
	})
}
