package capacity

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"
)

func findRow(rows []Row, quantity string) Row {
	for _, r := range rows {
		if r.Quantity == quantity {
			return r
		}
	}
	return Row{}
}

func TestParseSlopesReturnsMedianPerUnit(t *testing.T) {
	g := NewWithT(t)
	slopes, err := ParseSlopes(`goos: linux
BenchmarkSlopeHost/direct-10   100   5 ns/op   30.0 cpu-us/subrequest
BenchmarkSlopeHost/direct-10   100   5 ns/op   10.0 cpu-us/subrequest
BenchmarkSlopeHost/direct-10   100   5 ns/op   20.0 cpu-us/subrequest
PASS`)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(slopes).To(Equal(Slopes{
		{Benchmark: "SlopeHost/direct", Unit: "ns/op", Value: 5},
		{Benchmark: "SlopeHost/direct", Unit: "cpu-us/subrequest", Value: 20},
	}))
	for _, invalid := range []string{"", "PASS", "BenchmarkA-4 1 x ns/op"} {
		_, err := ParseSlopes(invalid)
		g.Expect(err).To(HaveOccurred())
	}
}

func TestTableScalesSlopesToDesignSizes(t *testing.T) {
	g := NewWithT(t)
	slopes := Slopes{
		{Benchmark: "SlopeHost/direct", Unit: "cpu-us/subrequest", Value: 20},
		{Benchmark: "Fleet/hosts=570", Unit: "platform-calls/s", Value: 3},
	}
	rows := Table(DesignSizes(), slopes)
	g.Expect(findRow(rows, "sub-requests").Value).To(BeNumerically("~", 23157.9, 0.1))
	g.Expect(findRow(rows, "connections to one endpoint, at most").Value).To(Equal(25.0))
	g.Expect(findRow(rows, "relays of one query").Value).To(BeNumerically("~", 68.3, 0.1))
	direct := findRow(rows, "processor, coordinator with its own dispatches")
	g.Expect(direct.Value).To(BeNumerically("~", 0.463, 0.001))
	g.Expect(direct.Basis).To(Equal(Extrapolated))
	g.Expect(findRow(rows, "calls").Basis).To(Equal(Measured))
	g.Expect(findRow(rows, "memory of permits").Basis).To(Equal(Unmeasured))
}

// TestCapacityPageMatchesCommittedSlopes checks that docs/CAPACITY.md contains the
// table generated from docs/measurements/slopes.txt, and that no value lacks its
// slope.
func TestCapacityPageMatchesCommittedSlopes(t *testing.T) {
	g := NewWithT(t)
	output, err := os.ReadFile("../../docs/measurements/slopes.txt")
	g.Expect(err).NotTo(HaveOccurred())
	slopes, err := ParseSlopes(string(output))
	g.Expect(err).NotTo(HaveOccurred())
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	g.Expect(err).NotTo(HaveOccurred())
	table := Markdown(Table(DesignSizes(), slopes))
	g.Expect(string(page)).To(ContainSubstring("<!-- capacity:begin -->\n\n" + table + "\n<!-- capacity:end -->"))
	g.Expect(table).NotTo(ContainSubstring(string(Unmeasured)))
}
