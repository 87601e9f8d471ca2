// Package examples holds example deployments. Its tests check that the committed
// configurations are those that the questionnaires generate.
package examples

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/questionnaire"
	"github.com/gypsumlug/gypsumlug/internal/settings"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestExamples(t *testing.T) { testsuite.RunSpecs(t, "examples") }

// group is the number and the shape of the services of one group.
type group struct {
	name                                                     string
	services, replicas, slots, connections, connectionCostMS int
}

var _ = DescribeTable("An example deployment has the stated size, no risks and an up-to-date configuration",
	func(dir string, dataCentres []string, groups ...group) {
		q := parseQuestionnaire(dir)
		var names []string
		for _, d := range q.DataCentres {
			names = append(names, d.Name)
		}
		Expect(names).To(Equal(dataCentres))
		Expect(q.Hosts()).To(And(BeNumerically(">=", 14), BeNumerically("<=", 20)))
		var sizes []group
		for _, s := range q.Services {
			sizes = append(sizes, group{s.Name, s.Count, s.Shape.Replicas, s.Shape.Slots, s.Shape.Connections, s.Shape.ConnectionCostMS})
		}
		Expect(sizes).To(Equal(groups))
		Expect(questionnaire.Risks(q)).To(BeEmpty())

		out, err := questionnaire.Generate(q, config.Revision(q.Revision))
		Expect(err).NotTo(HaveOccurred())
		_, err = config.NewBundle(out.Manifest, out.ByHash())
		Expect(err).NotTo(HaveOccurred())
		Expect(committedFiles(dir)).To(Equal(generatedFiles(out)), "run: gypsumlug questionnaire generate")

		s, err := settings.Load(filepath.Join(dir, "host.hujson"))
		Expect(err).NotTo(HaveOccurred())
		Expect(dataCentres).To(ContainElement(s.DataCentre))
	},
	Entry("Muscat", "muscat", []string{"Ruwi", "Seeb", "Qurum", "Bawshar"},
		group{"dispatch-desk", 20, 2, 2, 50, 6},
		group{"partners-portal", 30, 2, 2, 50, 6},
		group{"pharmacy-ordering", 1, 4, 6, 200, 1},
		group{"outfitter-feed", 1, 4, 6, 200, 1},
	),
	Entry("Ferrando", "ferrando", []string{"Salto", "Paysandú", "Fray Bentos"},
		group{"courtroom-search", 20, 2, 2, 60, 6},
		group{"notary-portal", 30, 2, 2, 60, 6},
		group{"notebook-archive", 1, 10, 4, 100, 1},
		group{"page-billing", 1, 5, 4, 100, 1},
	),
)

var _ = It("The loopback deployment has no risks and valid settings", func() {
	q := parseQuestionnaire("loopback")
	Expect(questionnaire.Risks(q)).To(BeEmpty())
	for _, name := range []string{"host-north.hujson", "host-south.hujson"} {
		s, err := settings.Load(filepath.Join("loopback", name))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Peers).NotTo(ContainElement(s.PeerAddress))
	}
})

// parseQuestionnaire reads and checks the questionnaire in dir.
func parseQuestionnaire(dir string) *questionnaire.Questionnaire {
	path := filepath.Join(dir, "questionnaire.hujson")
	data, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	q, err := questionnaire.Parse(path, data)
	Expect(err).NotTo(HaveOccurred())
	return q
}

// generatedFiles returns the content of the files that gypsumlug questionnaire generate
// writes, by path.
func generatedFiles(out *questionnaire.Output) map[string]string {
	files := map[string]string{"manifest.json": string(out.Manifest)}
	for _, d := range out.Documents {
		files["documents/"+string(d.Ref.Kind)+"-"+d.Ref.Name+".json"] = string(d.Data)
	}
	return files
}

// committedFiles returns the content of the committed configuration files, by path.
func committedFiles(dir string) map[string]string {
	files := make(map[string]string)
	for _, pattern := range []string{"*", "documents/*"} {
		paths, err := filepath.Glob(filepath.Join(dir, "configuration", pattern))
		Expect(err).NotTo(HaveOccurred())
		for _, path := range paths {
			name, err := filepath.Rel(filepath.Join(dir, "configuration"), path)
			Expect(err).NotTo(HaveOccurred())
			if name == "documents" {
				continue
			}
			data, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			files[filepath.ToSlash(name)] = string(data)
		}
	}
	return files
}
