package load

import (
	"slices"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

// Violations counts violations of the query tier's guarantees.
type Violations struct {
	// AtMostOnce counts permits under which a submit ran more than once.
	AtMostOnce int `json:"at_most_once"`
	// MixedSnapshots counts answers with a hit that is not from the snapshot
	// that the answer names.
	MixedSnapshots int `json:"mixed_snapshots"`
	// UntrueCoverage counts answers whose coverage does not match their hits: they
	// lack documents of covered ranges, have documents of missing ranges, or report
	// a wrong covered fraction.
	UntrueCoverage int `json:"untrue_coverage"`
	// RepeatedDocuments counts answers that list a document twice.
	RepeatedDocuments int `json:"repeated_documents"`
	// UntrueNotRun counts requests that ran although their caller was told that
	// they did not.
	UntrueNotRun int `json:"untrue_not_run"`
	// UntrueDone counts submits that did not run although their caller was told
	// that they did, or that were answered with the outcome of another request.
	UntrueDone int `json:"untrue_done"`
	// WrongAnswer counts answers with the ID of another request.
	WrongAnswer int `json:"wrong_answer"`
}

// Total returns the sum of all violations.
func (v Violations) Total() int {
	return v.AtMostOnce + v.MixedSnapshots + v.UntrueCoverage + v.RepeatedDocuments + v.UntrueNotRun + v.UntrueDone + v.WrongAnswer
}

// checkAnswer compares an answer with the hits that the stand-ins return for the
// query, and counts its violations.
func (v *Violations) checkAnswer(service, query string, answer *api.QueryAnswer) {
	covered := coveredRanges(answer)
	expected := expectedHits(service, query, answer.Snapshot)
	seen := make(map[string]bool, len(answer.Hits))
	var mixedSnapshots, repeatedDocument, outsideCovered bool
	for _, hit := range answer.Hits {
		mixedSnapshots = mixedSnapshots || expected[hit.Document] != hit
		repeatedDocument = repeatedDocument || seen[hit.Document]
		outsideCovered = outsideCovered || !anyContains(covered, hit.Key)
		seen[hit.Document] = true
	}
	lacking := answer.Code != result.Truncated && lacksCoveredDocument(expected, covered, seen)
	fraction := float64(keyrange.Size(covered)) / float64(keyrange.End)
	v.MixedSnapshots += boolToInt(mixedSnapshots)
	v.RepeatedDocuments += boolToInt(repeatedDocument)
	v.UntrueCoverage += boolToInt(outsideCovered || lacking || !approxEqual(fraction, answer.Coverage.Fraction))
}

// expectedHits returns all hits of a query in a snapshot, by document.
func expectedHits(service, query string, snapshot uint64) map[string]dispatch.Hit {
	hits, _ := standin.ExpectedHits(service, snapshot, keyrange.All(), query, 0)
	out := make(map[string]dispatch.Hit, len(hits))
	for _, h := range hits {
		out[h.Document] = h
	}
	return out
}

// coveredRanges returns the ranges that the answer does not report as missing.
func coveredRanges(answer *api.QueryAnswer) []keyrange.Range {
	missing := make([]keyrange.Range, 0, len(answer.Coverage.Missing))
	for _, m := range answer.Coverage.Missing {
		missing = append(missing, m.Range)
	}
	return keyrange.Subtract([]keyrange.Range{keyrange.All()}, missing)
}

// lacksCoveredDocument reports whether a hit in a covered range was not seen.
func lacksCoveredDocument(expected map[string]dispatch.Hit, covered []keyrange.Range, seen map[string]bool) bool {
	for document, hit := range expected {
		if !seen[document] && anyContains(covered, hit.Key) {
			return true
		}
	}
	return false
}

func anyContains(ranges []keyrange.Range, key keyrange.Key) bool {
	return slices.ContainsFunc(ranges, func(r keyrange.Range) bool { return r.Contains(key) })
}

func approxEqual(a, b float64) bool { return a-b < 1e-6 && b-a < 1e-6 }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
