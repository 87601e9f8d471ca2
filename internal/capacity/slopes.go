package capacity

import (
	"slices"
	"strconv"
	"strings"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Slope is one figure of a benchmark.
type Slope struct {
	// Benchmark is the name without its prefix and processor count.
	Benchmark string  `json:"benchmark"`
	Unit      string  `json:"unit"`
	Value     float64 `json:"value"`
}

// Slopes are the figures that a set of benchmarks printed.
type Slopes []Slope

const benchmarkPrefix = "Benchmark"

// ParseSlopes reads the output of "go test -bench". A figure that is printed
// more than once counts as its median. The error is a *result.Error with code 630.
func ParseSlopes(output string) (Slopes, error) {
	var all []Slope
	for _, line := range strings.Split(output, "\n") {
		fields := strings.Fields(line)
		if len(fields) < 4 || !strings.HasPrefix(fields[0], benchmarkPrefix) {
			continue
		}
		parsed, err := parseFigures(benchmarkName(fields[0]), fields[2:])
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

func parseFigures(name string, fields []string) ([]Slope, error) {
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

// benchmarkName removes the prefix and the processor count.
func benchmarkName(field string) string {
	name := strings.TrimPrefix(field, benchmarkPrefix)
	if i := strings.LastIndexByte(name, '-'); i > 0 {
		if _, err := strconv.Atoi(name[i+1:]); err == nil {
			return name[:i]
		}
	}
	return name
}

// medians keeps one slope of each benchmark and unit, in order of appearance.
func medians(all []Slope) Slopes {
	var out Slopes
	for _, s := range all {
		if _, known := out.find(s.Benchmark, s.Unit); known {
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
		out = append(out, s)
	}
	return out
}

func (s Slopes) find(benchmark, unit string) (float64, bool) {
	for _, slope := range s {
		if slope.Benchmark == benchmark && slope.Unit == unit {
			return slope.Value, true
		}
	}
	return 0, false
}
