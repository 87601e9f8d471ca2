package result

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// constant is the name and doc comment of a result code in codes.go.
type constant struct {
	name    string
	comment string
}

// declaredConstants parses codes.go and returns its constants by their number.
func declaredConstants(t *testing.T) map[Code]constant {
	file, err := parser.ParseFile(token.NewFileSet(), "codes.go", nil, parser.ParseComments)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	out := make(map[Code]constant)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		number, err := strconv.ParseUint(spec.Values[0].(*ast.BasicLit).Value, 10, 16)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(out).NotTo(HaveKey(Code(number)), spec.Names[0].Name)
		out[Code(number)] = constant{spec.Names[0].Name, strings.Join(strings.Fields(spec.Doc.Text()), " ")}
		return true
	})
	return out
}

var kebabCase = regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)

func TestTableDescribesEveryCode(t *testing.T) {
	g := NewWithT(t)
	constants := declaredConstants(t)
	g.Expect(Table()).To(HaveLen(len(constants)))
	names := make(map[string]Code)
	var last Code
	for _, e := range Table() {
		c, ok := constants[e.Code]
		g.Expect(ok).To(BeTrue(), "%d has no constant in codes.go", uint16(e.Code))
		g.Expect(strings.ReplaceAll(e.Name, "-", "")).To(Equal(strings.ToLower(c.name)))
		g.Expect(e.Name).To(MatchRegexp(kebabCase.String()))
		g.Expect(names).NotTo(HaveKey(e.Name))
		names[e.Name] = e.Code
		g.Expect(e.Code).To(BeNumerically(">", last), "the table must be in ascending order")
		last = e.Code
		g.Expect(e.Code.Class()).To(And(BeNumerically(">=", ClassComplete), BeNumerically("<=", ClassOperator)))
		g.Expect(strings.ToLower(strings.TrimPrefix(c.comment, c.name+": "))).To(Equal(strings.ToLower(e.Meaning)))
		g.Expect(e.Action).NotTo(BeEmpty())
	}
}

func TestMarkdownMatchesCommittedPage(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/RESULT-CODES.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(page)).To(Equal(Markdown()), "run: go run ./cmd/gypsumlug codes --markdown > docs/RESULT-CODES.md")
}
