// Package standin provides stand-ins, that is simulated servers, for endpoints and
// for the platform's configuration service. They listen on loopback, answer from
// memory and inject faults on request. The demonstration, tests and the load tool
// use them.
//
// The hits that an endpoint returns are a pure function of service, snapshot, range
// and query, see [ExpectedHits]. A client can therefore verify that all hits of an
// answer are from the snapshot that the answer names.
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
	// matchInterval is such that one in matchInterval documents matches a query, on
	// average.
	matchInterval = 8
	// documentSpacing is the distance between the keys of adjacent documents.
	documentSpacing = keyrange.End / DocumentsPerIndex
)

// ExpectedHits returns the documents of r that match query in a snapshot of a
// service's index, by descending score and then by document. A positive limit
// bounds the number of hits; the flag is true if more documents matched.
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

// ExpectedOutcome returns the outcome of a submit with the given body.
func ExpectedOutcome(service, body string) string {
	return fmt.Sprintf("accepted %s %016x", service, xxhash.Sum64String(body))
}

// newHit returns the document with the given number as a hit. draw decides its
// score.
func newHit(service string, snapshot uint64, number keyrange.Key, draw uint64) dispatch.Hit {
	return dispatch.Hit{
		Document: fmt.Sprintf("%s-%04d", service, number),
		Key:      number * documentSpacing,
		Score:    float64(draw>>40) / (1 << 24),
		Body:     fmt.Sprintf("entry %d of snapshot %d", number, snapshot),
	}
}

// contentSeed returns the seed that decides which documents match a query.
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
