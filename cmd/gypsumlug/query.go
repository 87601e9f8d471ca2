package main

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/client"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// callFlags are the flags of commands that call the caller API of running daemons.
type callFlags struct {
	Host      []string `help:"Caller address of an entry host, IP:port; may be given several times." default:"127.0.0.1:7401"`
	Service   string   `help:"Name of the service." required:""`
	Caller    string   `help:"Name of the caller." required:""`
	BudgetMS  int      `name:"budget-ms" help:"Time for the answer in milliseconds; 0 means the service's deadline."`
	RequestID string   `name:"request-id" help:"Request ID; by default a random one."`
}

func (f *callFlags) newClient() (*client.Client, error) {
	c, err := client.New(f.Host, client.Options{})
	if err != nil {
		return nil, result.FieldErrorf(result.Usage, "--host", "%v", err)
	}
	return c, nil
}

type queryCmd struct {
	callFlags
	Limit int    `help:"Largest number of hits; 0 means the service's bound."`
	Query string `arg:"" help:"Text of the query."`
}

// Run sends the query and prints the answer.
func (q *queryCmd) Run(env *environment) error {
	c, err := q.newClient()
	if err != nil {
		return err
	}
	defer c.Close()
	a, err := c.Query(env.ctx, api.QueryRequest{
		RequestID: q.RequestID,
		Service:   q.Service,
		Caller:    q.Caller,
		Query:     q.Query,
		Limit:     q.Limit,
		BudgetMS:  q.BudgetMS,
	})
	if err != nil && env.output == outputTable {
		return err
	}
	if err := env.printQuery(a); err != nil {
		return err
	}
	return resultError(a.Code)
}

func (e *environment) printQuery(a api.QueryAnswer) error {
	e.printLine("%d %s: snapshot %d, revision %d, coverage %.1f%% (%d of %d shards)",
		uint16(a.Code), a.Name, a.Snapshot, a.Revision, 100*a.Coverage.Fraction, a.Coverage.Covered, a.Coverage.Shards)
	if a.Truncated {
		e.printLine("the hits were cut by a bound")
	}
	for _, m := range a.Coverage.Missing {
		e.printLine("missing %s: %d %s", m.Range, uint16(m.Code), m.Name)
	}
	return e.print(a, func(t table.Writer) {
		t.AppendHeader(table.Row{"document", "key", "score", "body"})
		for _, h := range a.Hits {
			t.AppendRow(table.Row{h.Document, uint64(h.Key), fmt.Sprintf("%.3f", h.Score), h.Body})
		}
	})
}
