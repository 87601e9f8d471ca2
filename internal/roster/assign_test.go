package roster_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/roster"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// bundleOf returns a bundle of one service whose endpoints lie in centres in turn.
func bundleOf(endpoints, centres, slots, connections int) *config.Bundle {
	x := config.Index{Format: config.FormatVersion, Service: "desk"}
	for i := range endpoints {
		x.Endpoints = append(x.Endpoints, config.Endpoint{
			ID: fmt.Sprintf("desk-%d", i), Address: "10.1.0.1:80", DataCentre: string(rune('a' + i%centres)),
			Slots: slots, MaxConnections: connections,
		})
	}
	s := config.Service{
		Format: config.FormatVersion, Name: "desk", Preference: config.PreferLatency, Repeatable: true,
		LatencyTargetMS: 1, DeadlineMS: 1, MaxHits: 1, InFlightLimit: 1,
	}
	m := config.Manifest{Format: config.FormatVersion, Revision: 1}
	documents := make(map[string][]byte)
	add := func(kind config.Kind, v any) {
		data, _ := json.Marshal(v)
		documents[config.Hash(data)] = data
		m.Documents = append(m.Documents, config.DocumentRef{Kind: kind, Name: "desk", Hash: config.Hash(data), Size: len(data)})
	}
	add(config.KindService, s)
	add(config.KindIndex, x)
	manifest, _ := json.Marshal(m)
	b, err := config.NewBundle(manifest, documents)
	if err != nil {
		panic(err)
	}
	return b
}

// assignAll returns the assignment that each host works out for itself.
func assignAll(b *config.Bundle, hosts []view.Host) []*roster.Assignment {
	out := make([]*roster.Assignment, 0, len(hosts))
	for i, h := range hosts {
		others := slices.Delete(slices.Clone(hosts), i, i+1)
		out = append(out, roster.AssignRelays(b, h, others))
	}
	return out
}

func shares(all []*roster.Assignment, endpoint string) int {
	sum := 0
	for _, a := range all {
		sum += a.ConnectionShares[endpoint]
	}
	return sum
}

// TestSharesStayWithinCap checks that any two sets of hosts together stay within
// the cap of each endpoint, and that hosts that agree name the same relays.
func TestSharesStayWithinCap(t *testing.T) {
	testsuite.Check(t, func(t *rapid.T) {
		centres := rapid.IntRange(1, 4).Draw(t, "centres")
		limit := rapid.IntRange(roster.ConcurrentRelaySets, 200).Draw(t, "cap")
		b := bundleOf(6, centres, rapid.IntRange(1, 40).Draw(t, "slots"), limit)
		fleet := fleetOf(40, centres)
		old := assignAll(b, fleet[:rapid.IntRange(1, 40).Draw(t, "old")])
		present := assignAll(b, fleet[rapid.IntRange(0, 39).Draw(t, "first"):])
		for id := range b.Endpoints() {
			if sum := shares(old, id) + shares(present, id); sum > limit {
				t.Fatalf("%s: shares of two sets sum to %d, the cap is %d", id, sum, limit)
			}
			if len(present[0].Relays[id]) == 0 || shares(present, id) == 0 {
				t.Fatalf("%s has no relay", id)
			}
		}
	})
}

var _ = DescribeTable("relays of an endpoint",
	func(hosts, slots, limit, relays, share int, direct bool) {
		b := bundleOf(1, 1, slots, limit)
		fleet := fleetOf(hosts, 1)
		holders, selfFirst := 0, 0
		for i, a := range assignAll(b, fleet) {
			if a.ConnectionShares["desk-0"] > 0 {
				holders++
				Expect(a.ConnectionShares["desk-0"]).To(Equal(share))
			}
			if a.Relays["desk-0"][0] == fleet[i].Incarnation.Address {
				selfFirst++
			}
		}
		Expect(holders).To(Equal(relays))
		Expect(selfFirst == hosts).To(Equal(direct))
	},
	Entry("urgent dispatch desk, as many hosts as slots", 2, 2, 50, 2, 12, true),
	Entry("urgent dispatch desk, more hosts than slots", 3, 2, 50, 2, 12, false),
	Entry("pharmacy ordering, small fleet", 3, 6, 200, 3, 33, true),
	Entry("urgent dispatch desk, 20 hosts", 20, 2, 50, 2, 12, false),
	Entry("pharmacy ordering, 20 hosts", 20, 6, 200, 2, 50, false),
	Entry("many slots", 95, 24, 200, 6, 16, false),
	Entry("a cap too small for two relays", 20, 2, 6, 1, 3, false),
	Entry("a cap of one", 20, 2, 1, 1, 1, false),
)

var _ = It("moves only the endpoints of a host that is gone", func() {
	b := bundleOf(200, 1, 2, 50)
	fleet := fleetOf(30, 1)
	before := roster.AssignRelays(b, fleet[0], fleet[1:])
	after := roster.AssignRelays(b, fleet[0], fleet[1:29])
	gone := fleet[29].Incarnation.Address
	for id, relays := range before.Relays {
		if !slices.Contains(relays, gone) {
			Expect(after.Relays[id]).To(Equal(relays))
		}
	}
})

var _ = It("falls back to other data centres, and to itself", func() {
	b := bundleOf(2, 2, 2, 50)
	fleet := fleetOf(20, 1)
	a := roster.AssignRelays(b, fleet[0], fleet[1:])
	Expect(a.Relays["desk-1"]).To(HaveLen(2), "data centre b has no host")
	starting := view.Host{Incarnation: view.Incarnation{Address: selfAddress}, State: view.HostStarting}
	alone := roster.AssignRelays(b, starting, nil)
	Expect(alone.Relays["desk-0"]).To(Equal([]string{selfAddress}))
	Expect(roster.AssignRelays(nil, starting, nil).Relays).To(BeEmpty())
})

func BenchmarkAssign(b *testing.B) {
	bundle := bundleOf(3500, 6, 2, 50)
	fleet := fleetOf(570, 6)
	b.ReportAllocs()
	for b.Loop() {
		roster.AssignRelays(bundle, fleet[0], fleet[1:])
	}
}
