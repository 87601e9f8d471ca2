package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/ratelimit"
)

const endpoint = "r@1"

// newFleet returns the tables of n hosts that know each other.
func newFleet(n int) []*ratelimit.Table {
	var addresses []string
	for i := range n {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:1", i))
	}
	senders := func(string) []string { return addresses }
	tables := make([]*ratelimit.Table, n)
	for i := range tables {
		tables[i] = ratelimit.NewTable(addresses[i], senders)
	}
	return tables
}

// However many hosts there are and whenever they send, an endpoint gets no more than its
// limit allows in any window once its limit is known, and at least half of it if all hosts
// have requests all the time.
func TestWindowsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 60).Draw(t, "hosts")
		limit := rapid.Float64Range(0.5, 80).Draw(t, "limit")
		window := time.Duration(rapid.IntRange(1, 8).Draw(t, "window")) * time.Second
		busy := rapid.Bool().Draw(t, "busy")
		tables := newFleet(hosts)
		for _, table := range tables {
			table.Learn(0, endpoint, limit)
		}
		const step, end = 20 * time.Millisecond, 12 * time.Second
		var sent []time.Duration
		for now := time.Duration(0); now < end; now += step {
			burst := busy || rapid.IntRange(0, 20).Draw(t, "burst") == 0
			for _, table := range tables {
				for burst && table.Take(now, endpoint) {
					sent = append(sent, now)
					table.Learn(now, endpoint, limit)
				}
			}
			for _, from := range tables {
				hints := from.Hints(now, 1)
				for _, to := range tables {
					for _, h := range hints {
						to.Merge(now, h)
					}
				}
			}
		}
		for _, from := range sent {
			n := 0
			for _, at := range sent {
				if at >= from && at < from+window {
					n++
				}
			}
			if allowed := limit*(window.Seconds()+1) + 1; float64(n) > allowed {
				t.Fatalf("%d requests in %v; %.1f are allowed", n, window, allowed)
			}
		}
		if least := limit*end.Seconds()/2 - 1; busy && float64(len(sent)) < least {
			t.Fatalf("%d requests; %.1f could be sent", len(sent), least)
		}
	})
}

// A limit ends with an answer that names none. A host without a share hears of that from
// another one, or tries by itself if it has heard nothing for long.
func TestLimitEnds(t *testing.T) {
	g := NewWithT(t)
	tables := newFleet(9)
	var sharer, other *ratelimit.Table
	for _, table := range tables {
		table.Learn(0, endpoint, 1)
		if table.Allows(3*time.Second, endpoint) {
			sharer = table
		} else {
			other = table
		}
	}
	g.Expect(other.Allows(9*time.Second, endpoint)).To(BeFalse())
	g.Expect(other.Take(20*time.Second, endpoint)).To(BeTrue(), "it has heard nothing")
	g.Expect(other.Take(21*time.Second, endpoint)).To(BeFalse(), "one request tells")
	g.Expect(sharer.Learn(22*time.Second, endpoint, 0)).To(BeTrue())
	g.Expect(sharer.Active()).To(BeFalse())
	g.Expect(sharer.Allows(22*time.Second, endpoint)).To(BeTrue())
	hints := sharer.Hints(23*time.Second, 1)
	g.Expect(hints).To(Equal([]ratelimit.Hint{{Endpoint: endpoint, Age: time.Second}}))
	g.Expect(other.Merge(23*time.Second, hints[0])).To(BeTrue())
	g.Expect(other.Allows(23*time.Second, endpoint)).To(BeTrue())
	stale := ratelimit.Hint{Endpoint: endpoint, PerSecond: 1, Age: 5 * time.Second}
	g.Expect(other.Merge(24*time.Second, stale)).To(BeFalse(), "what was named before the end")
}

// A limit ends with the endpoint, and one that was never named does not apply.
func TestLimitEndsWithTheEndpoint(t *testing.T) {
	g := NewWithT(t)
	table := newFleet(1)[0]
	g.Expect(table.Learn(0, endpoint, 0)).To(BeFalse())
	g.Expect(table.Learn(0, endpoint, 0.5)).To(BeTrue())
	g.Expect(table.Allows(0, endpoint)).To(BeFalse())
	table.Retain(func(string) bool { return false })
	g.Expect(table.Active()).To(BeFalse())
	g.Expect(table.Allows(0, endpoint)).To(BeTrue())
}
