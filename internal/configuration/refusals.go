package configuration

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

type refusedManifest struct {
	hash  string
	until time.Duration
}

// Refusal is the number of refusals with one code.
type Refusal struct {
	Code  result.Code `json:"code"`
	Count uint64      `json:"count"`
}

// RecentlyRefused reports whether the manifest was refused lately. It isn't worth
// fetching again before RefusalTTL has passed.
func (s *Store) RecentlyRefused(now time.Duration, hash string) bool {
	for _, r := range s.refused {
		if r.hash == hash && now < r.until {
			return true
		}
	}
	return false
}

// CheckPeerManifest counts a host that says to have the revision in force with other
// content; nothing is fetched.
func (s *Store) CheckPeerManifest(now time.Duration, revision config.Revision, hash string) {
	if revision == 0 || hash == "" || revision != s.Revision() || s.RecentlyRefused(now, hash) {
		return
	}
	if err := s.compare(revision, hash); err != nil {
		_ = s.refuse(now, hash, err)
	}
}

// CountRefusal counts a failure to read a value, for the adapter's errors.
func (s *Store) CountRefusal(err error) { _ = s.count(err) }

func (s *Store) refuse(now time.Duration, hash string, err error) error {
	s.refused = append(s.refused, refusedManifest{hash: hash, until: now + RefusalTTL})
	if len(s.refused) > maxRefused {
		s.refused = s.refused[1:]
	}
	return s.count(err)
}

func (s *Store) count(err error) error {
	var typed *result.Error
	if !errors.As(err, &typed) {
		typed = result.Errorf(result.PlatformUnavailable, "%v", err)
	}
	s.counts[typed.Code]++
	s.last = typed
	return typed
}

// Refusals returns the refusals by code, in ascending order of code.
func (s *Store) Refusals() []Refusal { return sortedRefusals(s.counts) }

// LastRefusal returns the last refusal, or nil.
func (s *Store) LastRefusal() *result.Error { return s.last }

func sortedRefusals(counts map[result.Code]uint64) []Refusal {
	out := make([]Refusal, 0, len(counts))
	for code, n := range counts {
		out = append(out, Refusal{Code: code, Count: n})
	}
	slices.SortFunc(out, func(a, b Refusal) int { return cmp.Compare(a.Code, b.Code) })
	return out
}
