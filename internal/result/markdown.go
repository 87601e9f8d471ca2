package result

import (
	"fmt"
	"strings"
)

// classMeanings describes the classes, in ascending order.
var classMeanings = []struct {
	class   Class
	meaning string
}{
	{ClassComplete, "A whole answer from one snapshot with full coverage, or a submit that ran once."},
	{ClassPartial, "An answer from one snapshot. Codes from 210 on are the reasons of missing ranges."},
	{ClassNotRun, "Nothing of the request ran, and under its permit nothing will. Codes from 330 on are reasons of single attempts, which hosts act on."},
	{ClassUnknown, "The request may have run."},
	{ClassFailed, "The request ran and failed."},
	{ClassOperator, "A fault in a file, in published configuration, on the command line or between hosts. Callers never get these."},
}

// Markdown returns the content of docs/RESULT-CODES.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("Every answer, refusal, retry and fault has a number. The hundred is its class, which alone says whether a request ran.\n")
	b.WriteString("Numbers are never reused. Counters carry the name as their label. `gypsumlug codes` prints the same table.\n")
	for _, c := range classMeanings {
		fmt.Fprintf(&b, "\n## %dxx %s\n\n%s\n\n", c.class, c.class, c.meaning)
		b.WriteString("| code | name | meaning | what to do |\n| --- | --- | --- | --- |\n")
		for _, e := range table {
			if e.Code.Class() == c.class {
				fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", uint16(e.Code), e.Name, e.Meaning, e.Action)
			}
		}
	}
	return b.String()
}
