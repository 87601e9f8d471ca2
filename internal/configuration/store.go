// Package configuration decides which revision of the configuration is in force
// on a host.
//
// A [Store] holds the revision in force and at most one candidate, a valid
// manifest of a higher revision whose documents are still being fetched. The
// candidate comes into force in one step when its last document is there and the
// whole of it is valid; a document that is invalid refuses the candidate whole.
// Every refusal is counted by its result code.
//
// Invariants: the revision in force never falls; once in force, a revision keeps
// its content; a refused revision leaves the one in force untouched and never
// prevents a higher one. They hold because only install writes the revision in
// force, and Offer admits no candidate that is not higher.
package configuration

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	// CandidateTimeout is how long a candidate may wait for its next document
	// before it is given up.
	CandidateTimeout = 30 * time.Second
	// RefusalTTL is how long a refused manifest is not fetched again.
	RefusalTTL = time.Minute
	// maxRefused bounds the refused manifests that are remembered.
	maxRefused = 16
)

// Store is the configuration of one host. The zero value is not usable; call New.
type Store struct {
	bundle    *config.Bundle
	manifest  []byte
	documents map[string][]byte
	candidate *candidate
	refused   []refusedManifest
	counts    map[result.Code]uint64
	last      *result.Error
	watermark config.Revision
}

// candidate is a manifest whose documents are being fetched.
type candidate struct {
	manifest []byte
	hash     string
	parsed   *config.Manifest
	missing  []config.DocumentRef
	fetched  map[string][]byte
	progress time.Duration
}

// New returns a store without a revision in force.
func New() *Store {
	return &Store{documents: make(map[string][]byte), counts: make(map[result.Code]uint64)}
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

// HighestSeen returns the highest revision that was read from any manifest, in force or
// not. A watch after it isn't answered with what is known already.
func (s *Store) HighestSeen() config.Revision { return max(s.watermark, s.Revision()) }

// MissingDocuments returns the documents that the candidate lacks, in manifest order.
// Callers must not modify the slice.
func (s *Store) MissingDocuments() []config.DocumentRef {
	if s.candidate == nil {
		return nil
	}
	return s.candidate.missing
}

// OfferManifest takes a manifest from any source. It reports whether a revision came
// into force. An error is a refusal, with code 610, 611, 612, 613, 614 or 616;
// a manifest that is in force, is the candidate, or is lower than the candidate
// changes nothing and is no refusal.
func (s *Store) OfferManifest(now time.Duration, manifest []byte) (bool, error) {
	s.ExpireCandidate(now)
	hash := config.Hash(manifest)
	parsed, err := config.ParseManifest(manifest)
	if err != nil {
		return false, s.refuse(now, hash, err)
	}
	s.watermark = max(s.watermark, parsed.Revision)
	if err := s.compare(parsed.Revision, hash); err != nil {
		return false, s.refuse(now, hash, err)
	}
	if parsed.Revision <= max(s.Revision(), s.CandidateRevision()) {
		return false, nil
	}
	s.candidate = s.newCandidate(now, manifest, hash, parsed)
	return s.complete(now)
}

// compare refuses a manifest that is older than the one in force, or that
// repeats the revision in force or of the candidate with other content.
func (s *Store) compare(revision config.Revision, hash string) error {
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
	c := &candidate{manifest: manifest, hash: hash, parsed: parsed, fetched: make(map[string][]byte), progress: now}
	wanted := make(map[string]bool)
	for _, ref := range parsed.Documents {
		if s.keep(c, ref.Hash) || wanted[ref.Hash] {
			continue
		}
		wanted[ref.Hash] = true
		c.missing = append(c.missing, ref)
	}
	return c
}

// keep reports whether the document is at hand, and takes over what an earlier
// candidate fetched.
func (s *Store) keep(c *candidate, hash string) bool {
	if s.documents[hash] != nil {
		return true
	}
	if s.candidate == nil || s.candidate.fetched[hash] == nil {
		return false
	}
	c.fetched[hash] = s.candidate.fetched[hash]
	return true
}

// AddDocument takes a document of the candidate from any source. It reports whether a
// revision came into force. An error is a refusal, with code 614, 615 or 616.
// A document that does not match its hash is refused alone, since another source
// may have the right one. A document that isn't wanted changes nothing.
func (s *Store) AddDocument(now time.Duration, hash string, data []byte) (bool, error) {
	s.ExpireCandidate(now)
	index := s.wantedIndex(hash)
	if index < 0 {
		return false, nil
	}
	c := s.candidate
	if err := config.CheckDocument(c.missing[index], data); err != nil {
		return false, s.count(err)
	}
	c.missing = append(c.missing[:index:index], c.missing[index+1:]...)
	c.fetched[hash] = data
	c.progress = now
	return s.complete(now)
}

func (s *Store) wantedIndex(hash string) int {
	for i, ref := range s.MissingDocuments() {
		if ref.Hash == hash {
			return i
		}
	}
	return -1
}

// complete puts the candidate in force if nothing is missing.
func (s *Store) complete(now time.Duration) (bool, error) {
	c := s.candidate
	if len(c.missing) > 0 {
		return false, nil
	}
	documents := s.collect(c)
	bundle, err := config.NewBundleFrom(s.bundle, c.manifest, documents)
	if err != nil {
		s.candidate = nil
		return false, s.refuse(now, c.hash, err)
	}
	s.install(c, bundle, documents)
	return true, nil
}

// collect returns the documents of the candidate, and no others.
func (s *Store) collect(c *candidate) map[string][]byte {
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

// ExpireCandidate gives up a candidate whose documents can't be had, so that another
// manifest may be tried. The same manifest may be offered again.
func (s *Store) ExpireCandidate(now time.Duration) {
	c := s.candidate
	if c == nil || now-c.progress < CandidateTimeout {
		return
	}
	s.candidate = nil
	s.watermark = s.Revision()
	s.CountRefusal(result.Errorf(result.DocumentUnavailable, "revision %d: %d documents could not be fetched", c.parsed.Revision, len(c.missing)))
}
