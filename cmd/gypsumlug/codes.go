package main

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

type codesCmd struct {
	Code     []result.Code `arg:"" optional:"" help:"Codes to list; by default all."`
	Markdown bool          `help:"Print the page docs/RESULT-CODES.md."`
}

// codeEntry is one result code in the JSON output.
type codeEntry struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Class   string      `json:"class"`
	Meaning string      `json:"meaning"`
	Action  string      `json:"action"`
}

// Run lists the result codes.
func (c *codesCmd) Run(env *environment) error {
	if c.Markdown {
		_, err := fmt.Fprint(env.stdout, result.Markdown())
		return err
	}
	entries, err := c.entries()
	if err != nil {
		return err
	}
	out := make([]codeEntry, len(entries))
	for i, e := range entries {
		out[i] = codeEntry{e.Code, e.Name, e.Code.Class().String(), e.Meaning, e.Action}
	}
	return env.print(out, func(t table.Writer) {
		t.AppendHeader(table.Row{"code", "name", "class", "meaning", "action"})
		for _, e := range out {
			t.AppendRow(table.Row{uint16(e.Code), e.Name, e.Class, e.Meaning, e.Action})
		}
	})
}

// entries returns the entries of the given codes, or of all codes if none were given.
func (c *codesCmd) entries() ([]result.Entry, error) {
	if len(c.Code) == 0 {
		return result.Table(), nil
	}
	var out []result.Entry
	for _, code := range c.Code {
		e, ok := result.Lookup(code)
		if !ok {
			return nil, result.FieldErrorf(result.Usage, "code", "%d is not a result code", uint16(code))
		}
		out = append(out, e)
	}
	return out, nil
}
