package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestCommand(t *testing.T) { testsuite.RunSpecs(t, "gypsumlug") }

const muscatQuestionnaire = "../../examples/muscat/questionnaire.hujson"

// execute runs a command line and returns its exit code and output.
func execute(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = run(context.Background(), args, &out, &err)
	return code, out.String(), err.String()
}

// writeRevisedQuestionnaire writes a copy of the Muscat questionnaire in which the first
// occurrence of old is replaced, and returns its path.
func writeRevisedQuestionnaire(old, changed string) string {
	data, err := os.ReadFile(muscatQuestionnaire)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	ExpectWithOffset(1, string(data)).To(ContainSubstring(old))
	path := filepath.Join(GinkgoT().TempDir(), "q.hujson")
	Expect(os.WriteFile(path, []byte(strings.Replace(string(data), old, changed, 1)), fileMode)).To(Succeed())
	return path
}

var _ = Describe("A command line", func() {
	DescribeTable("that fails exits with the class of the result code",
		func(code result.Code, args ...string) {
			exit, stdout, stderr := execute(append([]string{"--output", "json"}, args...)...)
			Expect(exit).To(Equal(int(code.Class())), stderr)
			if strings.Contains(stderr, "{") {
				var f faultReport
				Expect(json.Unmarshal([]byte(stderr), &f)).To(Succeed())
				Expect(f.Faults[0].Code).To(Equal(code))
				return
			}
			Expect(stdout + stderr).To(ContainSubstring(code.String()))
		},
		Entry("unknown command", result.Usage, "reserve"),
		Entry("unknown flag", result.Usage, "codes", "--all"),
		Entry("missing flags", result.Usage, "query", "text"),
		Entry("bad address", result.Usage, "query", "--host", "localhost", "--service", "s", "--caller", "c", "text"),
		Entry("empty permit", result.Usage, "submit", "--host", "127.0.0.1:1", "--service", "s", "--caller", "c", "--permit", "", "body"),
		Entry("empty host", result.Usage, "query", "--host=", "--service", "s", "--caller", "c", "text"),
		Entry("no such code", result.Usage, "codes", "999"),
		Entry("no daemon", result.HostUnreachable, "query", "--host", "127.0.0.1:1", "--service", "s", "--caller", "c", "text"),
		Entry("no daemon to submit to", result.HostUnreachable, "submit", "--host", "127.0.0.1:1", "--service", "s", "--caller", "c", "body"),
		Entry("no file", result.Unreachable, "questionnaire", "check", "/nonexistent"),
		Entry("not a questionnaire", result.QuestionnaireSyntax, "questionnaire", "check", "main.go"),
		Entry("unknown service", result.Usage, "questionnaire", "explain", "--service", "x", muscatQuestionnaire),
		Entry("output directory that cannot be created", result.Unreachable, "questionnaire", "generate", "--out", "/proc/x", muscatQuestionnaire),
	)

	It("reports every fault of a questionnaire with its line", func() {
		exit, _, stderr := execute("questionnaire", "check", writeRevisedQuestionnaire(`"urgency": "urgent"`, `"urgency": "now", "retries": 3`))
		Expect(exit).To(Equal(6))
		Expect(stderr).To(And(
			ContainSubstring("services[0].urgency: got \"now\"; want one of urgent, normal, archive"),
			ContainSubstring("604 questionnaire-field: services[0].retries: unknown field"),
		))
	})

	It("generates a revision and rejects one that hosts would refuse", func() {
		dir := GinkgoT().TempDir()
		generate := func(file string, flags ...string) int {
			exit, _, _ := execute(append([]string{"questionnaire", "generate", "--out", dir, file}, flags...)...)
			return exit
		}
		Expect(generate(muscatQuestionnaire)).To(Equal(0))
		Expect(generate(muscatQuestionnaire)).To(Equal(0))
		fewer := writeRevisedQuestionnaire(`"count": 20`, `"count": 19`)
		Expect(generate(fewer)).To(Equal(6))
		Expect(filepath.Join(dir, "documents", "service-dispatch-desk-20.json")).To(BeAnExistingFile())
		Expect(generate(fewer, "--revision", "2")).To(Equal(0))
		Expect(filepath.Join(dir, "documents", "service-dispatch-desk-20.json")).NotTo(BeAnExistingFile())
		Expect(generate(muscatQuestionnaire)).To(Equal(6))
	})

	It("prints the changes of a revision as a table, or JSON", func() {
		after := writeRevisedQuestionnaire(`"deadline_ms": 250`, `"deadline_ms": 200`)
		exit, stdout, _ := execute("questionnaire", "diff", muscatQuestionnaire, after)
		Expect(exit).To(Equal(0))
		Expect(stdout).To(ContainSubstring("services[dispatch-desk].deadline_ms  250  200"))
		exit, stdout, _ = execute("--output", "json", "questionnaire", "diff", muscatQuestionnaire, after)
		Expect(exit).To(Equal(0))
		var d struct{ Changes, Risks []json.RawMessage }
		Expect(json.Unmarshal([]byte(stdout), &d)).To(Succeed())
		Expect(d.Changes).To(HaveLen(1))
		Expect(d.Risks).To(HaveLen(2))
	})

	DescribeTable("prints a table, or JSON", func(args ...string) {
		exit, stdout, _ := execute(append([]string{"--output", "json"}, args...)...)
		Expect(exit).To(Equal(0))
		Expect(json.Valid([]byte(stdout))).To(BeTrue())
		exit, table, _ := execute(args...)
		Expect(exit).To(Equal(0))
		Expect(table).NotTo(BeEmpty())
	},
		Entry("codes", "codes"),
		Entry("version", "version"),
		Entry("check", "questionnaire", "check", muscatQuestionnaire),
		Entry("explain", "questionnaire", "explain", muscatQuestionnaire),
		Entry("schema", "questionnaire", "schema"),
	)
})
