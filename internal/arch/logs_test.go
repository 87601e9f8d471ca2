package arch

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

const root = "../.."

var (
	// loggedMessage finds the constant messages of log lines.
	loggedMessage = regexp.MustCompile(`\.Msg\("([^"]+)"\)`)
	// loggedEvent finds those that are named constants.
	loggedEvent = regexp.MustCompile(`(?m)^\s+event\w+\s*= "([^"]+)"`)
	// loggedChange finds the messages that are typed.
	loggedChange = regexp.MustCompile(`(?m)^\s+Change\w+\s+(?:ChangeKind)?\s*= "([^"]+)"`)
	// documentedMessage finds the messages in the table of the page.
	documentedMessage = regexp.MustCompile("(?m)^\\| (`[^|]+`) \\|")
	quotedMessage     = regexp.MustCompile("`([^`]+)`")
)

// Each event that an entry host logs is in the operators' table, and no other is.
func TestLogEventsAreDocumented(t *testing.T) {
	g := NewWithT(t)
	logged := map[string]bool{"log lines dropped": true}
	for _, dir := range []string{"entryhost", "discoveryagent", "discovery", "gateway", "forward"} {
		for _, file := range testsuite.GoFiles(t, filepath.Join("..", dir)) {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			g.Expect(err).NotTo(HaveOccurred())
			for _, pattern := range []*regexp.Regexp{loggedMessage, loggedEvent, loggedChange} {
				for _, m := range pattern.FindAllSubmatch(source, -1) {
					logged[string(m[1])] = true
				}
			}
		}
	}
	page, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	g.Expect(err).NotTo(HaveOccurred())
	logs, _, _ := strings.Cut(string(page), "## Metrics")
	documented := map[string]bool{}
	for _, row := range documentedMessage.FindAllStringSubmatch(logs, -1) {
		for _, m := range quotedMessage.FindAllStringSubmatch(row[1], -1) {
			documented[m[1]] = true
		}
	}
	g.Expect(documented).To(Equal(logged))
}
