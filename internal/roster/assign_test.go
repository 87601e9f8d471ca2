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

// newBundle returns a bundle of one service whose endpoints are assigned to the data
// centres in turn.
func newBundle(endpoints, dataCentres, slots, connections int) *config.Bundle {
	index := config.Index{Format: config.FormatVersion, Service: "desk"}
	for i := range endpoints {
		index.Endpoints = append(index.Endpoints, config.Endpoint{
			ID: fmt.Sprintf("desk-%d", i), Address: "10.1.0.1:80", DataCentre: string(rune('a' + i%dataCentres)),
			Slots: slots, MaxConnections: connections,
		})
	}
	service := config.Service{
		Format: config.FormatVersion, Name: "desk", Preference: config.PreferLatency, Repeatable: true,
		LatencyTargetMS: 1, DeadlineMS: 1, MaxHits: 1, InFlightLimit: 1,
	}
	manifest := config.Manifest{Format: config.FormatVersion, Revision: 1}
	documents := make(map[string][]byte)
	addDocument := func(kind config.Kind, v any) {
		data, _ := json.Marshal(v)
		documents[config.Hash(data)] = data
		manifest.Documents = append(manifest.Documents, config.DocumentRef{Kind: kind, Name: "desk", Hash: config.Hash(data), Size: len(data)})
	}
	addDocument(config.KindService, service)
	addDocument(config.KindIndex, index)
	encoded, _ := json.Marshal(manifest)
	b, err := config.NewBundle(encoded, documents)
	if err != nil {
		panic(err)
	}
	return b
}

// assignAll returns the assignments that the hosts compute independently.
func assignAll(b *config.Bundle, hosts []view.Host) []*roster.Assignment {
	out := make([]*roster.Assignment, 0, len(hosts))
	for i, h := range hosts {
		others := slices.Delete(slices.Clone(hosts), i, i+1)
		out = append(out, roster.AssignRelays(b, h, others))
	}
	return out
}

// sumShares returns the sum of the hosts' connection shares of an endpoint.
func sumShares(all []*roster.Assignment, endpoint string) int {
	sum := 0
	for _, a := range all {
		sum += a.ConnectionShares[endpoint]
	}
	return sum
}

// TestSharesStayWithinCap checks that the connection shares that any two sets of
// hosts compute add up to at most the cap of each endpoint, and that each endpoint
// has a relay with a share.
func TestSharesStayWithinCap(t *testing.T) {
	testsuite.Check(t, func(t *rapid.T) {
		dataCentres := rapid.IntRange(1, 4).Draw(t, "data centres")
		limit := rapid.IntRange(roster.ConcurrentRelaySets, 200).Draw(t, "cap")
		b := newBundle(6, dataCentres, rapid.IntRange(1, 40).Draw(t, "slots"), limit)
		fleet := newFleet(40, dataCentres)
		before := assignAll(b, fleet[:rapid.IntRange(1, 40).Draw(t, "hosts before")])
		after := assignAll(b, fleet[rapid.IntRange(0, 39).Draw(t, "first host after"):])
		for id := range b.Endpoints() {
			if sum := sumShares(before, id) + sumShares(after, id); sum > limit {
				t.Fatalf("%s: shares of two sets of hosts sum to %d, the cap is %d", id, sum, limit)
			}
			if len(after[0].Relays[id]) == 0 || sumShares(after, id) == 0 {
				t.Fatalf("%s has no relay with a connection share", id)
			}
		}
	})
}

var _ = DescribeTable("relays of an endpoint",
	func(hosts, slots, limit, relays, share int, direct bool) {
		b := newBundle(1, 1, slots, limit)
		fleet := newFleet(hosts, 1)
		relaysWithShare, selfFirst := 0, 0
		for i, a := range assignAll(b, fleet) {
			if a.ConnectionShares["desk-0"] > 0 {
				relaysWithShare++
				Expect(a.ConnectionShares["desk-0"]).To(Equal(share))
			}
			if a.Relays["desk-0"][0] == fleet[i].Incarnation.Address {
				selfFirst++
			}
		}
		Expect(relaysWithShare).To(Equal(relays))
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

var _ = It("keeps the relays of the endpoints that a removed host did not relay to", func() {
	b := newBundle(200, 1, 2, 50)
	fleet := newFleet(30, 1)
	before := roster.AssignRelays(b, fleet[0], fleet[1:])
	after := roster.AssignRelays(b, fleet[0], fleet[1:29])
	removed := fleet[29].Incarnation.Address
	for id, relays := range before.Relays {
		if !slices.Contains(relays, removed) {
			Expect(after.Relays[id]).To(Equal(relays))
		}
	}
})

var _ = It("falls back to other data centres, and to this host if none is ready", func() {
	b := newBundle(2, 2, 2, 50)
	fleet := newFleet(20, 1)
	a := roster.AssignRelays(b, fleet[0], fleet[1:])
	Expect(a.Relays["desk-1"]).To(HaveLen(2), "relays of an endpoint whose data centre has no host")
	starting := view.Host{Incarnation: view.Incarnation{Address: selfAddress}, State: view.HostStarting}
	fallback := roster.AssignRelays(b, starting, nil)
	Expect(fallback.Relays["desk-0"]).To(Equal([]string{selfAddress}))
	Expect(roster.AssignRelays(nil, starting, nil).Relays).To(BeEmpty())
})

func BenchmarkAssign(b *testing.B) {
	bundle := newBundle(3500, 6, 2, 50)
	fleet := newFleet(570, 6)
	b.ReportAllocs()
	for b.Loop() {
		roster.AssignRelays(bundle, fleet[0], fleet[1:])
	}
}
