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

// Output is the manifest and documents of a generated revision.
type Output struct {
	Manifest  []byte
	Documents []Document
}

// ByHash returns the encoded documents by content hash.
func (o *Output) ByHash() map[string][]byte {
	m := make(map[string][]byte, len(o.Documents))
	for _, d := range o.Documents {
		m[d.Ref.Hash] = d.Data
	}
	return m
}

// Generate creates the configuration of a questionnaire returned by Parse. The
// output depends only on the questionnaire and the revision. The error is a
// *result.Error with code 616 if a document or the manifest exceeds the value
// limit.
func Generate(q *Questionnaire, revision config.Revision) (*Output, error) {
	out := &Output{}
	for i := range q.Services {
		s := &q.Services[i]
		for n := range s.Count {
			name := s.serviceName(n)
			service := q.deriveService(s, name)
			out.addDocument(config.KindService, name, service)
			out.addDocument(config.KindIndex, name, s.buildIndex(n, name))
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

func (o *Output) addDocument(kind config.Kind, name string, content any) {
	data := marshal(content)
	ref := config.DocumentRef{Kind: kind, Name: name, Hash: config.Hash(data), Size: len(data)}
	o.Documents = append(o.Documents, Document{Ref: ref, Data: data})
}

// marshal encodes a document. It panics on an error, which no document type can
// cause.
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

// buildIndex returns the index document of service i of the group, which is named
// name.
func (s *Service) buildIndex(i int, name string) config.Index {
	index := config.Index{Format: config.FormatVersion, Service: name}
	for r := range s.Shape.Replicas {
		location := s.endpointLocation(i, r)
		index.Endpoints = append(index.Endpoints, config.Endpoint{
			ID:             endpointID(name, r),
			Address:        location.Address,
			DataCentre:     location.DataCentre,
			Slots:          s.Shape.Slots,
			MaxConnections: s.Shape.Connections,
			ConnectCostMS:  s.Shape.ConnectionCostMS,
		})
	}
	for _, v := range s.IndexVersions {
		index.Snapshots = append(index.Snapshots, s.buildSnapshot(v, index.Endpoints))
	}
	return index
}

func (s *Service) buildSnapshot(v Version, endpoints []config.Endpoint) config.Snapshot {
	snapshot := config.Snapshot{ID: uint64(v.Version)}
	for i, r := range keyrange.Split(v.Shards) {
		snapshot.Shards = append(snapshot.Shards, config.Shard{
			Range:    r,
			Replicas: chooseReplicas(endpoints, i, s.Shape.ReplicasPerShard),
		})
	}
	return snapshot
}

// chooseReplicas returns the IDs of count endpoints for a shard. Each shard starts
// at a different endpoint. Endpoints are chosen from all data centres before a
// second one is chosen from any of them, so that as few shards as possible depend
// on a single data centre.
func chooseReplicas(endpoints []config.Endpoint, shard, count int) []string {
	n := len(endpoints)
	chosen := make([]string, 0, count)
	perDataCentre := make(map[string]int)
	isChosen := make([]bool, n)
	for round := 0; len(chosen) < count; round++ {
		for step := 0; step < n && len(chosen) < count; step++ {
			candidate := (shard + step) % n
			e := &endpoints[candidate]
			if isChosen[candidate] || perDataCentre[e.DataCentre] > round {
				continue
			}
			isChosen[candidate] = true
			perDataCentre[e.DataCentre]++
			chosen = append(chosen, e.ID)
		}
	}
	return chosen
}
