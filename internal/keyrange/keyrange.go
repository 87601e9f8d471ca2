// Package keyrange provides half-open ranges of index keys and the set
// operations used to compute coverage.
//
// Shards are ranges of one key space [0, End). A list of ranges is in normal
// form when it is sorted, has no empty range, and no two ranges touch or
// overlap. Normalize and Subtract return lists in normal form; the ranges that
// Split returns are adjacent.
package keyrange

import (
	"fmt"
	"slices"
)

// Key is a position in the key space of an index.
type Key uint64

// End is the exclusive upper bound of the key space.
const End Key = 1 << 32

// Range is the set of keys k with Start <= k < End.
type Range struct {
	Start Key `json:"start" msgpack:"s"`
	End   Key `json:"end" msgpack:"e"`
}

// All returns the range of all keys.
func All() Range { return Range{Start: 0, End: End} }

// Valid reports whether r is non-empty and lies within the key space.
func (r Range) Valid() bool { return r.Start < r.End && r.End <= End }

// Contains reports whether k lies in r.
func (r Range) Contains(k Key) bool { return r.Start <= k && k < r.End }

// Overlaps reports whether r and other share a key.
func (r Range) Overlaps(other Range) bool { return r.Start < other.End && other.Start < r.End }

// String formats r as "[start,end)" in hexadecimal.
func (r Range) String() string { return fmt.Sprintf("[%08x,%08x)", uint64(r.Start), uint64(r.End)) }

// Normalize returns the normal form of ranges. It does not modify its argument.
func Normalize(ranges []Range) []Range {
	sorted := slices.Clone(ranges)
	slices.SortFunc(sorted, compareStart)
	out := sorted[:0]
	for _, r := range sorted {
		if r.Start >= r.End {
			continue
		}
		if n := len(out); n > 0 && r.Start <= out[n-1].End {
			out[n-1].End = max(out[n-1].End, r.End)
			continue
		}
		out = append(out, r)
	}
	return out
}

// Subtract returns the keys that are in whole but not in parts.
func Subtract(whole, parts []Range) []Range {
	var out []Range
	removed := Normalize(parts)
	for _, w := range Normalize(whole) {
		start := w.Start
		for _, r := range removed {
			if r.End <= start || r.Start >= w.End {
				continue
			}
			if r.Start > start {
				out = append(out, Range{Start: start, End: r.Start})
			}
			start = max(start, r.End)
		}
		if start < w.End {
			out = append(out, Range{Start: start, End: w.End})
		}
	}
	return out
}

// Size returns the number of keys in the union of ranges.
func Size(ranges []Range) uint64 {
	var n uint64
	for _, r := range Normalize(ranges) {
		n += uint64(r.End - r.Start)
	}
	return n
}

// Split divides the key space into n adjacent ranges of nearly equal size.
// It returns nil if n is less than one.
func Split(n int) []Range {
	if n < 1 {
		return nil
	}
	out := make([]Range, n)
	for i := range out {
		out[i].Start = End * Key(i) / Key(n)
		out[i].End = End * Key(i+1) / Key(n)
	}
	return out
}

func compareStart(a, b Range) int {
	switch {
	case a.Start < b.Start:
		return -1
	case a.Start > b.Start:
		return 1
	default:
		return 0
	}
}
