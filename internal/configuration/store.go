// Package configuration decides which revision of the configuration is in force
// on a host.
//
// A [Store] holds the revision in force and at most one candidate: a valid
// manifest of a higher revision whose documents are still being fetched. The
// candidate comes into force as a whole when its last document has been fetched
// and all documents are valid; a document with invalid content causes the whole
// candidate to be refused. Every refusal is counted by its result code.
//
// Invariants: the revision in force never decreases; once in force, a revision
// keeps its content; a refused revision does not change the one in force and
// never prevents a higher one. They hold because only install writes the
// revision in force, and OfferManifest accepts only candidates that are higher.
package configuration

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	// CandidateTimeout is how long a candidate may wait for its next document
	// before it is dropped.
	CandidateTimeout = 30 * time.Second
	// RefusalTTL is how long a refused manifest is not fetched again.
	RefusalTTL = time.Minute
	// maxRefused bounds the refused manifests that are kept track of.
	maxRefused = 16
)

// Store is the configuration of one host. The zero value is not usable; call
// New.
type Store struct {
	bundle   *config.Bundle
	manifest []byte
	// documents holds the documents of the revision in force by hash.
	documents     map[string][]byte
	candidate     *candidate
	refused       []refusedManifest
	refusalCounts map[result.Code]uint64
	lastRefusal   *result.Error
	// highestSeen is the highest revision in any manifest that was read.
	highestSeen config.Revision
}

// candidate is a manifest whose documents are being fetched.
type candidate struct {
	manifest []byte
	hash     string
	parsed   *config.Manifest
	// missing lists the documents that are still to be fetched.
	missing []config.DocumentRef
	// fetched holds the fetched documents by hash.
	fetched map[string][]byte
	// lastProgress is when the candidate was offered or last received a
	// document.
	lastProgress time.Duration
}

// New returns a store without a revision in force.
func New() *Store {
	return &Store{documents: make(map[string][]byte), refusalCounts: make(map[result.Code]uint64)}
}

// Bundle returns the revision in force, or nil. It is immutable.
func (s *Store) Bundle() *config.Bundle { return s.bundle }

// Revision returns the number of the revision in force, or zero.
func (s *Store) Revision() config.Revision {
	if s.bundle == nil {
		return 0
	}
	return s.bundle.Revision
}

// ManifestHash returns the hash of the manifest in force, or "".
func (s *Store) ManifestHash() string {
	if s.bundle == nil {
		return ""
	}
	return s.bundle.ManifestHash
}

// ManifestBytes returns the bytes of the manifest in force, or nil. Callers must
// not modify them.
func (s *Store) ManifestBytes() []byte { return s.manifest }

// DocumentBytes returns a document of the revision in force or of the candidate,
// or nil. Callers must not modify it.
func (s *Store) DocumentBytes(hash string) []byte {
	if data, ok := s.documents[hash]; ok {
		return data
	}
	if s.candidate == nil {
		return nil
	}
	return s.candidate.fetched[hash]
}

// CandidateRevision returns the revision being fetched, or zero.
func (s *Store) CandidateRevision() config.Revision {
	if s.candidate == nil {
		return 0
	}
	return s.candidate.parsed.Revision
}

// HighestSeen returns the highest revision read from any manifest, whether in
// force or not. A watch for a revision above it does not return a manifest that
// the store has already read. The expiry of a candidate resets it to the revision
// in force.
func (s *Store) HighestSeen() config.Revision { return max(s.highestSeen, s.Revision()) }

// MissingDocuments returns the documents that the candidate still needs, in
// manifest order. Callers must not modify the slice.
func (s *Store) MissingDocuments() []config.DocumentRef {
	if s.candidate == nil {
		return nil
	}
	return s.candidate.missing
}

// OfferManifest passes a manifest from any source to the store. It reports
// whether a revision came into force. An error is a refusal, with code 610
// (ManifestInvalid), 611 (ManifestFormat), 612 (ManifestOlder), 613
// (ManifestConflict), 614 (DocumentInvalid) or 616 (DocumentTooLarge). A
// manifest that is already in force, is already the candidate, or has a lower
// revision than the candidate changes nothing and is not refused.
func (s *Store) OfferManifest(now time.Duration, manifest []byte) (bool, error) {
	s.ExpireCandidate(now)
	hash := config.Hash(manifest)
	parsed, err := config.ParseManifest(manifest)
	if err != nil {
		return false, s.refuse(now, hash, err)
	}
	s.highestSeen = max(s.highestSeen, parsed.Revision)
	if err := s.checkRevision(parsed.Revision, hash); err != nil {
		return false, s.refuse(now, hash, err)
	}
	if parsed.Revision <= max(s.Revision(), s.CandidateRevision()) {
		return false, nil
	}
	s.candidate = s.newCandidate(now, manifest, hash, parsed)
	return s.installIfComplete(now)
}

// checkRevision returns an error if a manifest is older than the one in force,
// or has the revision in force or of the candidate with different content.
func (s *Store) checkRevision(revision config.Revision, hash string) error {
	switch {
	case revision < s.Revision():
		return result.Errorf(result.ManifestOlder, "got revision %d, revision %d is in force", revision, s.Revision())
	case revision == s.Revision() && hash != s.ManifestHash():
		return result.Errorf(result.ManifestConflict, "revision %d is in force with hash %s, got %s", revision, s.ManifestHash(), hash)
	case revision == s.CandidateRevision() && hash != s.candidate.hash:
		return result.Errorf(result.ManifestConflict, "revision %d is being fetched with hash %s, got %s", revision, s.candidate.hash, hash)
	}
	return nil
}

func (s *Store) newCandidate(now time.Duration, manifest []byte, hash string, parsed *config.Manifest) *candidate {
	c := &candidate{manifest: manifest, hash: hash, parsed: parsed, fetched: make(map[string][]byte), lastProgress: now}
	listed := make(map[string]bool)
	for _, ref := range parsed.Documents {
		if s.reuseDocument(c, ref.Hash) || listed[ref.Hash] {
			continue
		}
		listed[ref.Hash] = true
		c.missing = append(c.missing, ref)
	}
	return c
}

// reuseDocument reports whether the store already has the document. A document
// that was fetched for the previous candidate is added to the new one.
func (s *Store) reuseDocument(c *candidate, hash string) bool {
	if s.documents[hash] != nil {
		return true
	}
	if s.candidate == nil || s.candidate.fetched[hash] == nil {
		return false
	}
	c.fetched[hash] = s.candidate.fetched[hash]
	return true
}

// AddDocument adds a document from any source to the candidate. It reports
// whether a revision came into force. An error is a refusal, with code 614
// (DocumentInvalid), 615 (DocumentHash) or 616 (DocumentTooLarge). If a document
// does not match its hash, only the document is refused, since another source
// may have the right one. A document that the candidate does not need changes
// nothing.
func (s *Store) AddDocument(now time.Duration, hash string, data []byte) (bool, error) {
	s.ExpireCandidate(now)
	index := s.missingIndex(hash)
	if index < 0 {
		return false, nil
	}
	c := s.candidate
	if err := config.CheckDocument(c.missing[index], data); err != nil {
		return false, s.countByCode(err)
	}
	c.missing = append(c.missing[:index:index], c.missing[index+1:]...)
	c.fetched[hash] = data
	c.lastProgress = now
	return s.installIfComplete(now)
}

func (s *Store) missingIndex(hash string) int {
	for i, ref := range s.MissingDocuments() {
		if ref.Hash == hash {
			return i
		}
	}
	return -1
}

// installIfComplete puts the candidate in force if no document is missing.
func (s *Store) installIfComplete(now time.Duration) (bool, error) {
	c := s.candidate
	if len(c.missing) > 0 {
		return false, nil
	}
	documents := s.candidateDocuments(c)
	bundle, err := config.NewBundleFrom(s.bundle, c.manifest, documents)
	if err != nil {
		s.candidate = nil
		return false, s.refuse(now, c.hash, err)
	}
	s.install(c, bundle, documents)
	return true, nil
}

// candidateDocuments returns exactly the documents listed in the candidate's
// manifest.
func (s *Store) candidateDocuments(c *candidate) map[string][]byte {
	documents := make(map[string][]byte, len(c.parsed.Documents))
	for _, ref := range c.parsed.Documents {
		if data, ok := c.fetched[ref.Hash]; ok {
			documents[ref.Hash] = data
			continue
		}
		documents[ref.Hash] = s.documents[ref.Hash]
	}
	return documents
}

func (s *Store) install(c *candidate, bundle *config.Bundle, documents map[string][]byte) {
	s.bundle = bundle
	s.manifest = c.manifest
	s.documents = documents
	s.candidate = nil
}

// ExpireCandidate drops a candidate whose documents could not be fetched in
// time, so that another manifest can be tried. The same manifest may be offered
// again.
func (s *Store) ExpireCandidate(now time.Duration) {
	c := s.candidate
	if c == nil || now-c.lastProgress < CandidateTimeout {
		return
	}
	s.candidate = nil
	s.highestSeen = s.Revision()
	s.CountRefusal(result.Errorf(result.DocumentUnavailable, "revision %d: %d documents could not be fetched", c.parsed.Revision, len(c.missing)))
}
