package strictjson

import (
	"fmt"
	"strings"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Fault is one thing that is wrong in a file.
type Fault struct {
	Code result.Code `json:"code"`
	File string      `json:"file"`
	// Line counts from 1; zero means that the fault has no line.
	Line int `json:"line"`
	// Field is the path of the field, such as "services[2].deadline_ms".
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
	// Remedy says what is allowed or what to do.
	Remedy string `json:"remedy,omitempty"`
}

// String formats the fault in one line that begins with file and line.
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: %d %s: ", f.File, f.Line, uint16(f.Code), f.Code)
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Reason)
	if f.Remedy != "" {
		b.WriteString("; " + f.Remedy)
	}
	return b.String()
}

// Faults are all the faults of a file, in the order of their lines.
type Faults []Fault

// Error formats one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
