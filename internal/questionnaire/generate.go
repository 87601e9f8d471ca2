package questionnaire

import (
	"encoding/json"
	"fmt"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Document is one generated document.
type Document struct {
	Ref  config.DocumentRef
	Data []byte
}

// Output is a generated revision.
type Output struct {
	Manifest  []byte
	Documents []Document
}

// ByHash returns the documents' bytes by hash.
func (o *Output) ByHash() map[string][]byte {
	m := make(map[string][]byte, len(o.Documents))
	for _, d := range o.Documents {
		m[d.Ref.Hash] = d.Data
	}
	return m
}

// Generate makes the configuration of a questionnaire that Parse accepted. The
// same questionnaire and revision give the same bytes. The error is a
// *result.Error with code 616 if the manifest is over the value limit.
func Generate(q *Questionnaire, revision config.Revision) (*Output, error) {
	out := &Output{}
	for i := range q.Services {
		s := &q.Services[i]
		for n := range s.Count {
			name := s.serviceName(n)
			service := q.deriveService(s, name)
			out.add(config.KindService, name, service)
			out.add(config.KindIndex, name, s.index(n, name))
		}
	}
	m := config.Manifest{Format: config.FormatVersion, Revision: revision}
	for _, d := range out.Documents {
		m.Documents = append(m.Documents, d.Ref)
	}
	out.Manifest = marshal(m)
	for _, d := range out.Documents {
		if len(d.Data) > config.MaxValueBytes {
			return nil, result.FieldErrorf(result.DocumentTooLarge, d.Ref.Name, "the document has %d bytes, at most %d are allowed", len(d.Data), config.MaxValueBytes)
		}
	}
	if len(out.Manifest) > config.MaxValueBytes {
		return nil, result.Errorf(result.DocumentTooLarge, "the manifest has %d bytes, at most %d are allowed", len(out.Manifest), config.MaxValueBytes)
	}
	return out, nil
}

func (o *Output) add(kind config.Kind, name string, content any) {
	data := marshal(content)
	ref := config.DocumentRef{Kind: kind, Name: name, Hash: config.Hash(data), Size: len(data)}
	o.Documents = append(o.Documents, Document{Ref: ref, Data: data})
}

// marshal encodes a document; no type of a document has a value that can't be.
func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return append(data, '\n')
}

func endpointID(service string, replica int) string {
	return fmt.Sprintf("%s.%d", service, replica+1)
}

// index returns the index document of service i of the group.
func (s *Service) index(i int, name string) config.Index {
	x := config.Index{Format: config.FormatVersion, Service: name}
	for r := range s.Shape.Replicas {
		at := s.place(i, r)
		x.Endpoints = append(x.Endpoints, config.Endpoint{
			ID:             endpointID(name, r),
			Address:        at.Address,
			DataCentre:     at.DataCentre,
			Slots:          s.Shape.Slots,
			MaxConnections: s.Shape.Connections,
			ConnectCostMS:  s.Shape.ConnectionCostMS,
		})
	}
	for _, v := range s.IndexVersions {
		x.Snapshots = append(x.Snapshots, s.snapshot(v, x.Endpoints))
	}
	return x
}

func (s *Service) snapshot(v Version, endpoints []config.Endpoint) config.Snapshot {
	snapshot := config.Snapshot{ID: uint64(v.Version)}
	for i, r := range keyrange.Split(v.Shards) {
		snapshot.Shards = append(snapshot.Shards, config.Shard{
			Range:    r,
			Replicas: chooseReplicas(endpoints, i, s.Shape.ReplicasPerShard),
		})
	}
	return snapshot
}

// chooseReplicas returns the endpoints that hold a shard. Beginning with another
// endpoint for each shard it takes one of each data centre before a second one
// of any, so that as few shards as possible depend on one data centre.
func chooseReplicas(endpoints []config.Endpoint, shard, want int) []string {
	n := len(endpoints)
	chosen := make([]string, 0, want)
	held := make(map[string]int)
	taken := make([]bool, n)
	for round := 0; len(chosen) < want; round++ {
		for k := 0; k < n && len(chosen) < want; k++ {
			at := (shard + k) % n
			e := &endpoints[at]
			if taken[at] || held[e.DataCentre] > round {
				continue
			}
			taken[at] = true
			held[e.DataCentre]++
			chosen = append(chosen, e.ID)
		}
	}
	return chosen
}
