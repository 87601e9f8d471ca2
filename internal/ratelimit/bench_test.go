package ratelimit_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTake measures taking a token among 570 hosts and 3,500 limited endpoints: with
// shares that are known, and after the list of hosts has changed.
func BenchmarkTake(b *testing.B) {
	const endpoints = 3500
	for _, changed := range []bool{false, true} {
		b.Run(fmt.Sprint("hosts changed ", changed), func(b *testing.B) {
			table := newFleet(570)[0]
			keys := make([]string, endpoints)
			for i := range keys {
				keys[i] = fmt.Sprintf("i-%010d@1789307733555", i)
				table.Learn(0, keys[i], 20)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if changed && i%endpoints == 0 {
					table.SendersChanged()
				}
				table.Take(time.Duration(i)*time.Microsecond, keys[i%endpoints])
			}
		})
	}
}

// BenchmarkHints measures choosing the hints of a heartbeat among 3,500 limits.
func BenchmarkHints(b *testing.B) {
	table := newFleet(570)[0]
	for i := range 3500 {
		table.Learn(0, fmt.Sprintf("i-%010d@1789307733555", i), 20)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.Hints(time.Second, 8)
	}
}
