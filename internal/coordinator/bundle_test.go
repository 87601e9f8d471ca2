package coordinator

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
)

// newTestBundle returns a bundle with the service "search", whose requests are
// repeatable and whose index has two snapshots, and the service "orders",
// whose requests need permits. If withOrders is false, the bundle has only
// "search", with another preference.
func newTestBundle(t testing.TB, revision config.Revision, withOrders bool) *config.Bundle {
	search := config.Service{
		Format: config.FormatVersion, Name: "search", Preference: config.PreferLatency, Repeatable: true,
		LatencyTargetMS: 60, DeadlineMS: 200, MaxHits: 64, QueueLimit: 3, InFlightLimit: 4,
		Hedge: config.Hedge{PercentilePerMille: 950, Max: 2, BudgetPerMille: hedgePerMille},
		Retry: config.Retry{Max: 3, BudgetPerMille: retryPerMille},
	}
	orders := config.Service{
		Format: config.FormatVersion, Name: "orders", Preference: config.PreferCoverage, Urgency: config.Normal,
		LatencyTargetMS: 60, DeadlineMS: 300, MaxHits: 1, QueueLimit: 3, InFlightLimit: 2,
		Retry: config.Retry{Max: 2, BudgetPerMille: retryPerMille}, Permit: config.Permit{LifetimeMS: 2000, RetentionMS: 600_000, Limit: 1000},
	}
	indexes := []config.Index{
		{Format: config.FormatVersion, Service: "search", Snapshots: []config.Snapshot{newSnapshot(1, 3, endpointIDs[:4]), newSnapshot(2, maxShards, endpointIDs[:4])}},
		{Format: config.FormatVersion, Service: "orders", Snapshots: []config.Snapshot{newSnapshot(1, 2, endpointIDs[4:])}},
	}
	services := []config.Service{search, orders}
	if !withOrders {
		indexes, services = indexes[:1], services[:1]
		services[0].Preference = config.PreferCoverage
	}
	return buildBundle(t, revision, services, indexes)
}

// changeServices returns the next revision of a bundle, with services that
// change has modified.
func changeServices(t testing.TB, b *config.Bundle, change func(search, orders *config.Service)) *config.Bundle {
	search, orders := *b.Service("search"), *b.Service("orders")
	change(&search, &orders)
	searchIndex, ordersIndex := *b.Index("search"), *b.Index("orders")
	searchIndex.Endpoints, ordersIndex.Endpoints = nil, nil
	return buildBundle(t, b.Revision+1, []config.Service{search, orders}, []config.Index{searchIndex, ordersIndex})
}

// newSnapshot returns a snapshot whose shards have two replicas each, assigned
// in turn to the endpoints.
func newSnapshot(id uint64, shards int, endpoints []string) config.Snapshot {
	s := config.Snapshot{ID: id}
	for i, r := range keyrange.Split(shards) {
		replicas := []string{endpoints[i%len(endpoints)], endpoints[(i+1)%len(endpoints)]}
		s.Shards = append(s.Shards, config.Shard{Range: r, Replicas: replicas})
	}
	return s
}

// buildBundle returns a bundle of services and their indexes. Each index gets
// the endpoints that its snapshots refer to.
func buildBundle(t testing.TB, revision config.Revision, services []config.Service, indexes []config.Index) *config.Bundle {
	documents := make(map[string][]byte)
	manifest := config.Manifest{Format: config.FormatVersion, Revision: revision}
	add := func(kind config.Kind, name string, document any) {
		data, _ := json.Marshal(document)
		documents[config.Hash(data)] = data
		manifest.Documents = append(manifest.Documents, config.DocumentRef{Kind: kind, Name: name, Hash: config.Hash(data), Size: len(data)})
	}
	for i := range services {
		seen := make(map[string]bool)
		for _, s := range indexes[i].Snapshots {
			for _, sh := range s.Shards {
				for _, id := range sh.Replicas {
					if !seen[id] {
						seen[id] = true
						indexes[i].Endpoints = append(indexes[i].Endpoints, config.Endpoint{ID: id, Address: fmt.Sprintf("10.1.0.%d:80", len(seen)), Slots: 2, MaxConnections: 50})
					}
				}
			}
		}
		add(config.KindService, services[i].Name, services[i])
		add(config.KindIndex, indexes[i].Service, indexes[i])
	}
	data, _ := json.Marshal(manifest)
	bundle, err := config.NewBundle(data, documents)
	if err != nil {
		t.Fatal(err)
	}
	return bundle
}
