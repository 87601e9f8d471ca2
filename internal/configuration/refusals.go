package configuration

import (
	"cmp"
	"slices"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

func sortedRefusals(counts map[result.Code]uint64) []Refusal {
	out := make([]Refusal, 0, len(counts))
	for code, n := range counts {
		out = append(out, Refusal{Code: code, Count: n})
	}
	slices.SortFunc(out, func(a, b Refusal) int { return cmp.Compare(a.Code, b.Code) })
	return out
}
