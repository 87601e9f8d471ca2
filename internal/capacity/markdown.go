package capacity

import (
	"fmt"
	"math"
	"strings"
)

// FormatValue formats the value with three significant digits, or without a
// fraction from 100 on. It returns a dash if the value was not measured.
func (r Row) FormatValue() string {
	switch magnitude := math.Abs(r.Value); {
	case r.Basis == Unmeasured:
		return "-"
	case magnitude >= 100 || magnitude == 0:
		return fmt.Sprintf("%.0f", r.Value)
	case magnitude >= 10:
		return fmt.Sprintf("%.1f", r.Value)
	default:
		return fmt.Sprintf("%.3g", r.Value)
	}
}

// Markdown formats rows as the table in docs/CAPACITY.md.
func Markdown(rows []Row) string {
	var b strings.Builder
	b.WriteString("| role | quantity | value | basis | worked out from | carried by |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		value := strings.TrimSpace(r.FormatValue() + " " + r.Unit)
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", r.Role, r.Quantity, value, r.Basis, r.Calculation, r.Mechanism)
	}
	return b.String()
}
