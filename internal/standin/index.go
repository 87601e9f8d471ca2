// Package standin provides small stand-ins for endpoints and for the platform's
// configuration service. They listen on loopback, answer from memory and fail
// as a table of faults tells them to. Demonstrations, tests and the load tool
// use them.
//
// What an endpoint returns is a pure function of service, snapshot, range and
// query, see [ExpectedHits], so that a client can verify that every hit of an
// answer is from the one snapshot that the answer names.
package standin

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
)

const (
	// DocumentsPerIndex is the number of documents of every index.
	DocumentsPerIndex = 1024
	// matchInterval is the share of documents that match a query.
	matchInterval = 8
	// documentSpacing is the distance between the keys of two documents.
	documentSpacing = keyrange.End / DocumentsPerIndex
)

// ExpectedHits returns the documents of r that match query in a snapshot of a
// service's index, by descending score and then by document, cut at limit if it
// is positive. The flag tells whether the limit cut anything.
func ExpectedHits(service string, snapshot uint64, r keyrange.Range, query string, limit int) ([]dispatch.Hit, bool) {
	seed := contentSeed(service, snapshot, query)
	first := (r.Start + documentSpacing - 1) / documentSpacing
	var hits []dispatch.Hit
	for i := first; i < DocumentsPerIndex && i*documentSpacing < r.End; i++ {
		draw := hashPair(seed, uint64(i))
		if draw%matchInterval == 0 {
			hits = append(hits, newHit(service, snapshot, i, draw))
		}
	}
	slices.SortFunc(hits, CompareHits)
	if limit > 0 && len(hits) > limit {
		return hits[:limit], true
	}
	return hits, false
}

// CompareHits orders hits by descending score and then by document.
func CompareHits(a, b dispatch.Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Document, b.Document))
}

// ExpectedOutcome returns the result of a submit.
func ExpectedOutcome(service, body string) string {
	return fmt.Sprintf("accepted %s %016x", service, xxhash.Sum64String(body))
}

func newHit(service string, snapshot uint64, number keyrange.Key, draw uint64) dispatch.Hit {
	return dispatch.Hit{
		Document: fmt.Sprintf("%s-%04d", service, number),
		Key:      number * documentSpacing,
		Score:    float64(draw>>40) / (1 << 24),
		Body:     fmt.Sprintf("entry %d of snapshot %d", number, snapshot),
	}
}

func contentSeed(service string, snapshot uint64, query string) uint64 {
	return hashPair(xxhash.Sum64String(service), hashPair(snapshot, xxhash.Sum64String(query)))
}

// hashPair returns a hash of two numbers.
func hashPair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
