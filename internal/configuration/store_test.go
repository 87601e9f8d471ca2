package configuration_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/configuration"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestConfiguration(t *testing.T) { testsuite.RunSpecs(t, "configuration") }

// revision is a revision as published on the platform.
type revision struct {
	number    config.Revision
	manifest  []byte
	documents map[string][]byte
	valid     bool
}

// newRevision returns a revision of two services. deadline determines the
// content of one of them; a deadline that is not positive makes the revision
// invalid.
func newRevision(number config.Revision, deadline int) revision {
	r := revision{number: number, documents: make(map[string][]byte), valid: deadline > 0}
	m := config.Manifest{Format: config.FormatVersion, Revision: number}
	for i, name := range []string{"desk", "portal"} {
		ms := []int{deadline, 500}[i]
		service := fmt.Sprintf(`{"format":1,"name":%q,"preference":"latency","repeatable":true,"latency_target_ms":%d,"deadline_ms":%d,"max_hits":1,"in_flight_limit":1}`, name, ms, ms)
		index := fmt.Sprintf(`{"format":1,"service":%q,"endpoints":[{"id":"%s-0","address":"10.1.0.1:80","slots":2,"max_connections":50}]}`, name, name)
		r.add(&m, config.KindService, name, service)
		r.add(&m, config.KindIndex, name, index)
	}
	r.manifest, _ = json.Marshal(m)
	return r
}

// add adds a document to the revision and to its manifest.
func (r revision) add(m *config.Manifest, kind config.Kind, name, text string) {
	hash := config.Hash([]byte(text))
	r.documents[hash] = []byte(text)
	m.Documents = append(m.Documents, config.DocumentRef{Kind: kind, Name: name, Hash: hash, Size: len(text)})
}

// install offers the manifest of r and adds the documents that are missing.
func install(s *configuration.Store, now time.Duration, r revision) {
	_, _ = s.OfferManifest(now, r.manifest)
	for len(s.MissingDocuments()) > 0 && s.CandidateRevision() == r.number {
		hash := s.MissingDocuments()[0].Hash
		_, _ = s.AddDocument(now, hash, r.documents[hash])
	}
}

// codeOf returns the result code of an error, or zero.
func codeOf(err error) result.Code {
	var typed *result.Error
	if err == nil || !errors.As(err, &typed) {
		return 0
	}
	return typed.Code
}

var _ = DescribeTable("refused manifests do not change the revision in force",
	func(manifest []byte, want result.Code) {
		s := configuration.New()
		install(s, 0, newRevision(5, 100))
		before := s.Bundle()
		_, err := s.OfferManifest(time.Second, manifest)
		Expect(codeOf(err)).To(Equal(want))
		Expect(s.Bundle()).To(BeIdenticalTo(before))
		Expect(s.Refusals()).To(Equal([]configuration.Refusal{{Code: want, Count: 1}}))
		Expect(s.LastRefusal().Code).To(Equal(want))
		install(s, 2*time.Second, newRevision(9, 200))
		Expect(s.Revision()).To(Equal(config.Revision(9)), "a higher revision must still come into force")
	},
	Entry("older", newRevision(4, 200).manifest, result.ManifestOlder),
	Entry("same revision, different content", newRevision(5, 200).manifest, result.ManifestConflict),
	Entry("truncated", newRevision(6, 100).manifest[:40], result.ManifestInvalid),
	Entry("empty", []byte(nil), result.ManifestInvalid),
	Entry("newer format", []byte(`{"format":2,"revision":6,"documents":[]}`), result.ManifestFormat),
	Entry("oversized", []byte(strings.Repeat(" ", config.MaxValueBytes+1)), result.DocumentTooLarge),
	Entry("invalid document", func() []byte { return invalidIndex(6) }(), result.DocumentInvalid),
)

// invalidIndex returns a manifest without the index of one of its two services.
// Its documents are the same as those of revision 5, so that none needs to be
// fetched.
func invalidIndex(number config.Revision) []byte {
	m := config.Manifest{}
	_ = json.Unmarshal(newRevision(number, 100).manifest, &m)
	m.Documents = m.Documents[:3]
	data, _ := json.Marshal(m)
	return data
}

var _ = DescribeTable("refused documents",
	func(data []byte, want result.Code) {
		s := configuration.New()
		r := newRevision(1, 100)
		_, err := s.OfferManifest(0, r.manifest)
		Expect(err).NotTo(HaveOccurred())
		hash := s.MissingDocuments()[0].Hash
		_, err = s.AddDocument(0, hash, data)
		Expect(codeOf(err)).To(Equal(want))
		Expect(s.MissingDocuments()).To(HaveLen(4), "the document must still be fetched from another source")
		install(s, 0, r)
		Expect(s.Revision()).To(Equal(config.Revision(1)))
	},
	Entry("truncated", []byte(`{"format":1`), result.DocumentHash),
	Entry("absent", []byte(nil), result.DocumentHash),
	Entry("oversized", make([]byte, config.MaxValueBytes+1), result.DocumentTooLarge),
)

var _ = It("fetches and parses only changed documents, and keeps only those in force", func() {
	s := configuration.New()
	first, second := newRevision(1, 100), newRevision(2, 200)
	install(s, 0, first)
	unchanged := s.Bundle().Service("portal")
	_, err := s.OfferManifest(0, second.manifest)
	Expect(err).NotTo(HaveOccurred())
	Expect(s.MissingDocuments()).To(HaveLen(1))
	changed := s.MissingDocuments()[0].Hash
	install(s, 0, second)
	Expect(s.Bundle().Service("portal")).To(BeIdenticalTo(unchanged))
	Expect(s.Bundle().Service("desk").DeadlineMS).To(Equal(200))
	Expect(s.DocumentBytes(changed)).NotTo(BeNil())
	for hash := range first.documents {
		if second.documents[hash] == nil {
			Expect(s.DocumentBytes(hash)).To(BeNil())
		}
	}
})

var _ = It("drops a candidate whose documents cannot be fetched", func() {
	s := configuration.New()
	unfetchable, other := newRevision(9, 100), newRevision(8, 100)
	_, _ = s.OfferManifest(0, unfetchable.manifest)
	install(s, time.Second, other)
	Expect(s.Revision()).To(BeZero(), "a lower revision must not replace the candidate")
	install(s, configuration.CandidateTimeout, other)
	Expect(s.Revision()).To(Equal(config.Revision(8)))
	Expect(s.LastRefusal().Code).To(Equal(result.DocumentUnavailable))
})

// storeModel drives a store with a set of revisions and records the manifest
// hash that was first in force for each revision.
type storeModel struct {
	store         *configuration.Store
	revisions     []revision
	now           time.Duration
	highest       config.Revision
	installedHash map[config.Revision]string
}

func newStoreModel() *storeModel {
	m := &storeModel{store: configuration.New(), installedHash: make(map[config.Revision]string)}
	for n := config.Revision(1); n <= 6; n++ {
		m.revisions = append(m.revisions, newRevision(n, 100+int(n)), newRevision(n, 200), newRevision(n, -1))
	}
	return m
}

func (m *storeModel) check(t *rapid.T) {
	r := m.store.Revision()
	if r < m.highest {
		t.Fatalf("revision in force decreased from %d to %d", m.highest, r)
	}
	m.highest = r
	if r == 0 {
		return
	}
	hash := m.store.ManifestHash()
	if m.installedHash[r] == "" {
		m.installedHash[r] = hash
	}
	if m.installedHash[r] != hash {
		t.Fatalf("the content of revision %d changed", r)
	}
	for _, p := range m.revisions {
		if config.Hash(p.manifest) == hash && !p.valid {
			t.Fatalf("invalid revision %d came into force", r)
		}
	}
}

func (m *storeModel) addDocument(t *rapid.T) {
	missing := m.store.MissingDocuments()
	if len(missing) == 0 {
		return
	}
	ref := rapid.SampledFrom(missing).Draw(t, "document")
	for _, p := range m.revisions {
		if data := p.documents[ref.Hash]; data != nil {
			truncatedBytes := rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "truncated bytes")
			_, _ = m.store.AddDocument(m.now, ref.Hash, data[:len(data)-truncatedBytes])
			return
		}
	}
}

// TestRevisionNeverDecreases drives a store with conflicting, older, invalid and
// truncated values in any order. At the end, a valid higher revision must come
// into force.
func TestRevisionNeverDecreases(t *testing.T) {
	testsuite.Check(t, func(t *rapid.T) {
		m := newStoreModel()
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"offer": func(t *rapid.T) {
				p := rapid.SampledFrom(m.revisions).Draw(t, "revision")
				truncatedBytes := rapid.SampledFrom([]int{0, 0, 0, 0, 5}).Draw(t, "truncated bytes")
				_, _ = m.store.OfferManifest(m.now, p.manifest[:len(p.manifest)-truncatedBytes])
			},
			"supply": m.addDocument,
			"wait":   func(t *rapid.T) { m.now += time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second },
		})
		install(m.store, m.now, newRevision(7, 300))
		if m.store.Revision() != 7 {
			t.Fatalf("revision %d is in force, want 7", m.store.Revision())
		}
	})
}
