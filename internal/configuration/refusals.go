package configuration

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// refusedManifest records until when a refused manifest is not fetched again.
type refusedManifest struct {
	hash  string
	until time.Duration
}

// Refusal is the number of refusals with a result code.
type Refusal struct {
	Code  result.Code `json:"code"`
	Count uint64      `json:"count"`
}

// RecentlyRefused reports whether the manifest was refused within the last
// RefusalTTL. Until then it should not be fetched again.
func (s *Store) RecentlyRefused(now time.Duration, hash string) bool {
	for _, r := range s.refused {
		if r.hash == hash && now < r.until {
			return true
		}
	}
	return false
}

// CheckPeerManifest counts a conflict if a peer reports the revision in force
// with a different manifest hash. Nothing is fetched.
func (s *Store) CheckPeerManifest(now time.Duration, revision config.Revision, hash string) {
	if revision == 0 || hash == "" || revision != s.Revision() || s.RecentlyRefused(now, hash) {
		return
	}
	if err := s.checkRevision(revision, hash); err != nil {
		_ = s.refuse(now, hash, err)
	}
}

// CountRefusal counts a refusal after which the manifest may be fetched again at
// once, such as a failure of the adapter to read it. An error without a result
// code counts as PlatformUnavailable.
func (s *Store) CountRefusal(err error) { _ = s.countByCode(err) }

// refuse records a refused manifest and counts the refusal.
func (s *Store) refuse(now time.Duration, hash string, err error) error {
	s.refused = append(s.refused, refusedManifest{hash: hash, until: now + RefusalTTL})
	if len(s.refused) > maxRefused {
		s.refused = s.refused[1:]
	}
	return s.countByCode(err)
}

// countByCode counts a refusal under its result code and returns it as a
// result.Error.
func (s *Store) countByCode(err error) error {
	var typed *result.Error
	if !errors.As(err, &typed) {
		typed = result.Errorf(result.PlatformUnavailable, "%v", err)
	}
	s.refusalCounts[typed.Code]++
	s.lastRefusal = typed
	return typed
}

// Refusals returns the refusals by code, in ascending order of code.
func (s *Store) Refusals() []Refusal { return sortedRefusals(s.refusalCounts) }

// LastRefusal returns the error of the last refusal, or nil.
func (s *Store) LastRefusal() *result.Error { return s.lastRefusal }

func sortedRefusals(counts map[result.Code]uint64) []Refusal {
	out := make([]Refusal, 0, len(counts))
	for code, n := range counts {
		out = append(out, Refusal{Code: code, Count: n})
	}
	slices.SortFunc(out, func(a, b Refusal) int { return cmp.Compare(a.Code, b.Code) })
	return out
}
