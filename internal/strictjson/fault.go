package strictjson

import (
	"fmt"
	"strings"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Fault is one error in a file.
type Fault struct {
	Code result.Code `json:"code"`
	File string      `json:"file"`
	// Line is the line number, from 1; zero means that the fault has no line.
	Line int `json:"line"`
	// Field is the path of the field, such as "services[2].deadline_ms".
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
	// Remedy says what is allowed or what to do.
	Remedy string `json:"remedy,omitempty"`
}

// String formats the fault as one line that begins with the file and line number.
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

// Faults holds all faults of a file, ordered by line.
type Faults []Fault

// Error formats each fault on a line of its own.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
