package testsuite

import (
	"encoding/json"
	"testing"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
)

// NewService returns a valid service, which tests modify as needed.
func NewService(name string) config.Service {
	return config.Service{
		Format: config.FormatVersion, Name: name, Preference: config.PreferLatency, Repeatable: true,
		LatencyTargetMS: 50, DeadlineMS: 200, MaxHits: 10, QueueLimit: 10, InFlightLimit: 10,
	}
}

// NewBundle returns a bundle in which the index of each service is a single shard
// that all endpoints of the service hold. endpoints maps service names to
// endpoints.
func NewBundle(t testing.TB, services []config.Service, endpoints map[string][]config.Endpoint) *config.Bundle {
	t.Helper()
	documents := make(map[string][]byte)
	manifest := config.Manifest{Format: config.FormatVersion, Revision: 1}
	add := func(kind config.Kind, name string, document any) {
		data := marshal(t, document)
		documents[config.Hash(data)] = data
		manifest.Documents = append(manifest.Documents, config.DocumentRef{Kind: kind, Name: name, Hash: config.Hash(data), Size: len(data)})
	}
	for _, s := range services {
		shard := config.Shard{Range: keyrange.All()}
		for _, e := range endpoints[s.Name] {
			shard.Replicas = append(shard.Replicas, e.ID)
		}
		add(config.KindService, s.Name, s)
		add(config.KindIndex, s.Name, config.Index{
			Format: config.FormatVersion, Service: s.Name, Endpoints: endpoints[s.Name],
			Snapshots: []config.Snapshot{{ID: 1, Shards: []config.Shard{shard}}},
		})
	}
	bundle, err := config.NewBundle(marshal(t, manifest), documents)
	if err != nil {
		t.Fatal(err)
	}
	return bundle
}

func marshal(t testing.TB, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
