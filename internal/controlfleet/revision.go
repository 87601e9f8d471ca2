package controlfleet

import (
	"encoding/json"
	"fmt"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
)

// Shape gives the number of services, endpoints and data centres in a published
// configuration.
type Shape struct {
	Services, Endpoints, DataCentres int
}

// Revision is a revision of the configuration, with the documents keyed by hash.
type Revision struct {
	Number    config.Revision
	Manifest  []byte
	Documents map[string][]byte
}

// Build returns a valid revision. Two revisions of the same shape whose variants
// differ have one different document.
func (s Shape) Build(number config.Revision, variant int) Revision {
	r := Revision{Number: number, Documents: make(map[string][]byte)}
	m := config.Manifest{Format: config.FormatVersion, Revision: number}
	add := func(kind config.Kind, name string, v any) {
		data, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		hash := config.Hash(data)
		r.Documents[hash] = data
		m.Documents = append(m.Documents, config.DocumentRef{Kind: kind, Name: name, Hash: hash, Size: len(data)})
	}
	for i := range s.Services {
		name := fmt.Sprintf("service-%d", i)
		add(config.KindService, name, s.service(name, i, variant))
		add(config.KindIndex, name, s.index(name))
	}
	r.Manifest, _ = json.Marshal(m)
	return r
}

func (s Shape) service(name string, i, variant int) config.Service {
	hits := 100
	if i == 0 {
		hits += variant
	}
	return config.Service{
		Format: config.FormatVersion, Name: name, Preference: config.PreferLatency, Repeatable: true,
		LatencyTargetMS: 200, DeadlineMS: 500, MaxHits: hits, QueueLimit: 100, InFlightLimit: 100,
		Callers: []config.Caller{{Name: "desk", RatePerSecond: 100, Burst: 20, InFlight: 50}},
	}
}

// index returns an index with two snapshots, each with one shard per endpoint of the
// service. The replicas of a shard are its endpoint and the next one; a service with
// a single endpoint has it twice.
func (s Shape) index(name string) config.Index {
	n := s.Endpoints / s.Services
	x := config.Index{Format: config.FormatVersion, Service: name}
	for i := range n {
		x.Endpoints = append(x.Endpoints, config.Endpoint{
			ID: fmt.Sprintf("%s-%d", name, i), Address: fmt.Sprintf("10.100.%d.%d:9000", i/200, i%200+1),
			DataCentre: DataCentreName(i % s.DataCentres), Slots: 2, MaxConnections: 50, ConnectCostMS: 6,
		})
	}
	for id := uint64(1); id <= 2; id++ {
		x.Snapshots = append(x.Snapshots, snapshot(id, x.Endpoints))
	}
	return x
}

func snapshot(id uint64, endpoints []config.Endpoint) config.Snapshot {
	out := config.Snapshot{ID: id}
	n := keyrange.Key(len(endpoints))
	for i := range n {
		out.Shards = append(out.Shards, config.Shard{
			Range:    keyrange.Range{Start: keyrange.End * i / n, End: keyrange.End * (i + 1) / n},
			Replicas: []string{endpoints[i].ID, endpoints[(i+1)%n].ID},
		})
	}
	return out
}
