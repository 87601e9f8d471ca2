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

const repositoryRoot = "../.."

var (
	// literalMessage matches a log call with a literal message.
	literalMessage = regexp.MustCompile(`\.Msg\("([^"]+)"\)`)
	// eventConstant matches an untyped constant with a message.
	eventConstant = regexp.MustCompile(`(?m)^\s+event\w+\s*= "([^"]+)"`)
	// changeConstant matches a constant of type ChangeKind, which is logged as the
	// message.
	changeConstant = regexp.MustCompile(`(?m)^\s+Change\w+\s+(?:ChangeKind)?\s*= "([^"]+)"`)
	// messageTableRow matches the first column of a row in the table of messages,
	// which can list several messages. quotedMessage matches one of them.
	messageTableRow = regexp.MustCompile("(?m)^\\| (`[^|]+`) \\|")
	quotedMessage   = regexp.MustCompile("`([^`]+)`")
)

// TestLogEventsAreDocumented checks that the table in docs/OPERATIONS.md lists
// exactly the messages that an entry host logs.
func TestLogEventsAreDocumented(t *testing.T) {
	g := NewWithT(t)
	// The log writer of telemetry emits this message without a logger.
	logged := map[string]bool{"log lines dropped": true}
	for _, dir := range []string{"entryhost", "discoveryagent", "discovery", "gateway", "forward"} {
		for _, file := range testsuite.GoFiles(t, filepath.Join("..", dir)) {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			g.Expect(err).NotTo(HaveOccurred())
			for _, pattern := range []*regexp.Regexp{literalMessage, eventConstant, changeConstant} {
				for _, m := range pattern.FindAllSubmatch(source, -1) {
					logged[string(m[1])] = true
				}
			}
		}
	}
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", "OPERATIONS.md"))
	g.Expect(err).NotTo(HaveOccurred())
	logsSection, _, _ := strings.Cut(string(page), "## Metrics")
	documented := map[string]bool{}
	for _, row := range messageTableRow.FindAllStringSubmatch(logsSection, -1) {
		for _, m := range quotedMessage.FindAllStringSubmatch(row[1], -1) {
			documented[m[1]] = true
		}
	}
	g.Expect(documented).To(Equal(logged))
}
