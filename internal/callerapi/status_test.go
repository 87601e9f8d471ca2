package callerapi

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

var statusRowPattern = regexp.MustCompile(`(?m)^\| (\d{3}) \| (\d{3}(?:, \d{3})*)(?: \(.*\))? \|$`)

// TestStatusesMatchDocumentation compares statusByCode with the table in
// docs/API.md.
func TestStatusesMatchDocumentation(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/API.md")
	g.Expect(err).NotTo(HaveOccurred())
	documented := make(map[result.Code]int)
	for _, row := range statusRowPattern.FindAllStringSubmatch(string(page), -1) {
		status, err := strconv.Atoi(row[1])
		g.Expect(err).NotTo(HaveOccurred())
		for _, text := range strings.Split(row[2], ", ") {
			code, err := strconv.ParseUint(text, 10, 16)
			g.Expect(err).NotTo(HaveOccurred())
			documented[result.Code(code)] = status
		}
	}
	g.Expect(documented).To(Equal(statusByCode))
}
