package catalog_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/catalog"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

func entry(id string, revision uint64) catalog.Entry {
	return catalog.Entry{ID: id, Revision: revision, Replica: &routing.Replica{ID: id, Service: "s", Address: "10.0.0.1:1", Slots: 2}}
}

func ids(c *catalog.Catalog) []string {
	out := []string{}
	for _, r := range c.Replicas() {
		out = append(out, r.ID)
	}
	return out
}

func listed(n int) *catalog.Catalog {
	c := catalog.New()
	var entries []catalog.Entry
	for i := range n {
		entries = append(entries, entry(fmt.Sprintf("r%02d", i), uint64(i+1)))
	}
	c.List(0, uint64(n), entries)
	return c
}

func TestSingleRemovalCountsAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := listed(10)
	g.Expect(c.Apply(time.Second, 11, []catalog.Entry{{ID: "r03", Revision: 11}})).To(BeTrue())
	g.Expect(ids(c)).NotTo(ContainElement("r03"))
}

// Entries that the store loses together come back within ReturnGrace, or are
// gone.
func TestMassRemovalIsKeptForAWhile(t *testing.T) {
	g := NewWithT(t)
	c := listed(10)
	lost := []catalog.Entry{{ID: "r01", Revision: 11}, {ID: "r02", Revision: 12}, {ID: "r03", Revision: 13}}
	g.Expect(c.Apply(time.Second, 13, lost)).To(BeFalse())
	g.Expect(ids(c)).To(HaveLen(10))
	c.Apply(2*time.Second, 14, []catalog.Entry{entry("r02", 14)})
	g.Expect(c.Tick(time.Second + catalog.ReturnGrace - 1)).To(BeFalse())
	g.Expect(c.Tick(time.Second + catalog.ReturnGrace)).To(BeTrue())
	g.Expect(ids(c)).To(HaveLen(8))
	g.Expect(ids(c)).To(ContainElement("r02"))
}

func TestOlderNewsChangesNothing(t *testing.T) {
	g := NewWithT(t)
	c := listed(5)
	c.Apply(0, 9, []catalog.Entry{{ID: "r01", Revision: 9}})
	g.Expect(c.Apply(0, 6, []catalog.Entry{entry("r01", 6)})).To(BeFalse())
	g.Expect(c.List(0, 8, []catalog.Entry{entry("r01", 6)})).To(BeFalse())
	g.Expect(ids(c)).To(Equal([]string{"r00", "r02", "r03", "r04"}))
}

// After missed changes a whole listing is asked for, and what is known stays in
// use until it comes.
func TestResetAsksForAListing(t *testing.T) {
	g := NewWithT(t)
	c := listed(5)
	g.Expect(c.Follow()).To(BeEquivalentTo(5))
	c.Reset()
	g.Expect(c.Follow()).To(BeZero())
	g.Expect(ids(c)).To(HaveLen(5))
	c.List(0, 9, []catalog.Entry{entry("r00", 1)})
	g.Expect(c.Follow()).To(BeEquivalentTo(9))
}

// A host that only hears differences ends with what the sender holds.
func TestDifferencesLeadToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, follower := catalog.New(), catalog.New()
		source.List(0, 1, nil)
		follower.List(0, 1, nil)
		revision := uint64(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			revision++
			e := entry(fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "id")), revision)
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				e.Replica = nil
			case 1:
				e.Replica.Leaving = true
			}
			source.Apply(0, revision, []catalog.Entry{e})
			if rapid.Bool().Draw(t, "heard") {
				follower.Apply(0, source.Revision(), source.Entries(0, follower.Revision()))
				if source.Digest() != follower.Digest() {
					t.Fatalf("source %v, follower %v", source.Replicas(), follower.Replicas())
				}
			}
		}
	})
}
