package standin

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = It("A platform that follows a directory publishes only complete and higher revisions", func() {
	const example = "../../examples/muscat/configuration"
	dir := GinkgoT().TempDir()
	p := NewPlatform()
	publish := func() (bool, uint64) {
		published, _ := p.publishNewer(dir)
		return published, uint64(p.visibleRevision())
	}
	expectPublished := func(published bool, revision int) {
		GinkgoHelper()
		gotPublished, gotRevision := publish()
		Expect(gotPublished).To(Equal(published))
		Expect(gotRevision).To(BeEquivalentTo(revision))
	}
	expectPublished(false, 0)
	Expect(os.CopyFS(dir, os.DirFS(example))).To(Succeed())
	documentPath := filepath.Join(dir, "documents", "index-outfitter-feed.json")
	data, err := os.ReadFile(documentPath)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.Remove(documentPath)).To(Succeed())
	expectPublished(false, 0)
	Expect(os.WriteFile(documentPath, data[:len(data)/2], 0o600)).To(Succeed())
	expectPublished(false, 0)
	Expect(os.WriteFile(documentPath, data, 0o600)).To(Succeed())
	expectPublished(true, 1)
	expectPublished(false, 1)
})
