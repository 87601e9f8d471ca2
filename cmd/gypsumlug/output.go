package main

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/strictjson"
)

// outputFormat is the value of --output.
type outputFormat string

const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
)

// fault is one error, in the JSON form that is printed to standard error.
type fault struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	File   string      `json:"file,omitempty"`
	Line   int         `json:"line,omitempty"`
	Field  string      `json:"field,omitempty"`
	Reason string      `json:"reason"`
	Remedy string      `json:"remedy,omitempty"`
}

// String formats the fault in one line. A fault of a file begins with the file and line.
func (f fault) String() string {
	if f.File != "" {
		return strictjson.Fault{Code: f.Code, File: f.File, Line: f.Line, Field: f.Field, Reason: f.Reason, Remedy: f.Remedy}.String()
	}
	return "gypsumlug: " + (&result.Error{Code: f.Code, Field: f.Field, Reason: f.Reason}).Error()
}

// faultReport is the JSON document that reports all errors of a command.
type faultReport struct {
	Faults []fault `json:"faults"`
}

// printedResultError makes a command exit with the class of a result code that it has
// already printed as part of its result.
type printedResultError struct{ code result.Code }

func (e printedResultError) Error() string { return e.code.String() }

// resultError returns the error that makes a command exit with the class of code, after
// it has printed the result. It returns nil for a complete result.
func resultError(code result.Code) error {
	if code.Class() == result.ClassComplete {
		return nil
	}
	return printedResultError{code}
}

// reportError prints err, unless it is nil or a printedResultError, and returns the exit
// code.
func (e *environment) reportError(err error) int {
	if err == nil {
		return 0
	}
	var printed printedResultError
	if errors.As(err, &printed) {
		return int(printed.code.Class())
	}
	faults := faultsOf(err)
	if e.output == outputJSON {
		_ = json.NewEncoder(e.stderr).Encode(faultReport{Faults: faults})
		return int(faults[0].Code.Class())
	}
	for _, f := range faults {
		_, _ = fmt.Fprintln(e.stderr, f)
	}
	return int(faults[0].Code.Class())
}

// faultsOf converts err to faults. A *result.Error without a reason gets the meaning and
// the action of its code.
func faultsOf(err error) []fault {
	var fileFaults strictjson.Faults
	if errors.As(err, &fileFaults) {
		out := make([]fault, len(fileFaults))
		for i, f := range fileFaults {
			out[i] = fault{f.Code, f.Code.String(), f.File, f.Line, f.Field, f.Reason, f.Remedy}
		}
		return out
	}
	var coded *result.Error
	if !errors.As(err, &coded) {
		coded = result.Errorf(result.Internal, "%v", err)
	}
	if entry, ok := result.Lookup(coded.Code); ok && coded.Reason == "" {
		coded = &result.Error{Code: coded.Code, Field: coded.Field, Reason: entry.Meaning + " " + entry.Action}
	}
	return []fault{{Code: coded.Code, Name: coded.Code.String(), Field: coded.Field, Reason: coded.Reason}}
}

// print writes v to standard output: as JSON, or as a table to which appendRows adds the
// header and the rows.
func (e *environment) print(v any, appendRows func(t table.Writer)) error {
	if e.output == outputJSON {
		enc := json.NewEncoder(e.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	t := table.NewWriter()
	style := table.StyleLight
	style.Options = table.OptionsNoBordersAndSeparators
	t.SetStyle(style)
	appendRows(t)
	_, err := fmt.Fprintln(e.stdout, t.Render())
	return err
}

// printLine writes a line of text to standard output. It writes nothing if the output
// format is JSON.
func (e *environment) printLine(format string, args ...any) {
	if e.output == outputTable {
		_, _ = fmt.Fprintf(e.stdout, format+"\n", args...)
	}
}
