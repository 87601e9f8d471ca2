package capacity

import (
	"slices"
	"strconv"
	"strings"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Slope is the cost of one unit of work or storage, as measured by a benchmark.
type Slope struct {
	// Benchmark is the name of the benchmark without the prefix "Benchmark" and the
	// GOMAXPROCS suffix.
	Benchmark string  `json:"benchmark"`
	Unit      string  `json:"unit"`
	Value     float64 `json:"value"`
}

// Slopes are the results of a set of benchmarks.
type Slopes []Slope

const benchmarkPrefix = "Benchmark"

// ParseSlopes parses the output of "go test -bench". It returns the median of
// results with the same benchmark and unit. The error is a *result.Error with
// code 630.
func ParseSlopes(output string) (Slopes, error) {
	var all []Slope
	for _, line := range strings.Split(output, "\n") {
		fields := strings.Fields(line)
		if len(fields) < 4 || !strings.HasPrefix(fields[0], benchmarkPrefix) {
			continue
		}
		parsed, err := parseMetrics(benchmarkName(fields[0]), fields[2:])
		if err != nil {
			return nil, err
		}
		all = append(all, parsed...)
	}
	if len(all) == 0 {
		return nil, result.Errorf(result.Usage, "the input has no line of a benchmark")
	}
	return medians(all), nil
}

// parseMetrics parses the pairs of value and unit in a benchmark line.
func parseMetrics(name string, fields []string) ([]Slope, error) {
	var out []Slope
	for i := 0; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return nil, result.FieldErrorf(result.Usage, name, "%q is not a number", fields[i])
		}
		out = append(out, Slope{Benchmark: name, Unit: fields[i+1], Value: value})
	}
	return out, nil
}

// benchmarkName removes the prefix "Benchmark" and the GOMAXPROCS suffix.
func benchmarkName(field string) string {
	name := strings.TrimPrefix(field, benchmarkPrefix)
	if i := strings.LastIndexByte(name, '-'); i > 0 {
		if _, err := strconv.Atoi(name[i+1:]); err == nil {
			return name[:i]
		}
	}
	return name
}

// medians returns the median of each benchmark and unit, in order of first
// appearance. For an even number of values it is the lower of the middle two.
func medians(all []Slope) Slopes {
	var merged Slopes
	for _, s := range all {
		if _, found := merged.find(s.Benchmark, s.Unit); found {
			continue
		}
		var values []float64
		for _, other := range all {
			if other.Benchmark == s.Benchmark && other.Unit == s.Unit {
				values = append(values, other.Value)
			}
		}
		slices.Sort(values)
		s.Value = values[(len(values)-1)/2]
		merged = append(merged, s)
	}
	return merged
}

// find returns the value of a slope, and whether there is one.
func (s Slopes) find(benchmark, unit string) (float64, bool) {
	for _, slope := range s {
		if slope.Benchmark == benchmark && slope.Unit == unit {
			return slope.Value, true
		}
	}
	return 0, false
}
