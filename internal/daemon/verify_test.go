package daemon_test

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

// findMismatch returns what is wrong with an answer, or "" if it is correct. The hits
// must be those of the snapshot that the answer names, in the ranges that it covers,
// and the code, counts and fraction must agree with the ranges that are missing.
func findMismatch(service, text string, a *api.QueryAnswer) string {
	if a.Code.Class() == result.ClassNotRun {
		return ""
	}
	var missing []keyrange.Range
	for _, m := range a.Coverage.Missing {
		missing = append(missing, m.Range)
	}
	covered := keyrange.Subtract([]keyrange.Range{keyrange.All()}, missing)
	var want []api.Hit
	for _, r := range covered {
		hits, _ := standin.ExpectedHits(service, a.Snapshot, r, text, 0)
		want = append(want, hits...)
	}
	slices.SortFunc(want, standin.CompareHits)
	fraction := float64(keyrange.Size(covered)) / float64(keyrange.End)
	switch {
	case (a.Code == result.Complete) != (len(missing) == 0) || (a.Code == result.Partial) != (len(missing) > 0):
		return fmt.Sprintf("code %d with %d ranges missing", a.Code, len(missing))
	case !slices.Equal(a.Hits, want):
		return fmt.Sprintf("%d hits, want the %d of snapshot %d outside of %v", len(a.Hits), len(want), a.Snapshot, missing)
	case cmp.Compare(a.Coverage.Fraction, fraction+1e-9) > 0 || a.Coverage.Fraction < fraction-1e-9:
		return fmt.Sprintf("fraction %v, want %v", a.Coverage.Fraction, fraction)
	case (a.Coverage.Covered == a.Coverage.Shards) != (len(missing) == 0):
		return fmt.Sprintf("%d of %d shards with %d ranges missing", a.Coverage.Covered, a.Coverage.Shards, len(missing))
	}
	return ""
}
