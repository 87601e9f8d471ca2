package standin

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// DeploymentOptions describes a platform and the endpoints of several services.
type DeploymentOptions struct {
	Services []ServiceShape
	// DataCentres are assigned to the replicas of each shard in rotation.
	DataCentres []string
	Seed        uint64
	// RecordBodies makes endpoints also record the bodies of requests that ran.
	RecordBodies bool
}

// Deployment is a platform that publishes a generated configuration, and the
// endpoints that the configuration lists.
type Deployment struct {
	Platform *Platform
	Recorder *Recorder

	mu        sync.Mutex
	options   DeploymentOptions
	services  []*deployedService
	endpoints map[string]*Endpoint
	revision  config.Revision
	bundle    *config.Bundle
}

// deployedService is a service of a deployment with its documents and endpoints.
type deployedService struct {
	shape     ServiceShape
	document  *config.Service
	index     *config.Index
	endpoints []*Endpoint
}

// NewDeployment starts the platform and all endpoints and publishes revision 1
// with snapshot 1 of every index.
func NewDeployment(options DeploymentOptions) (*Deployment, error) {
	if len(options.DataCentres) == 0 {
		options.DataCentres = []string{"dc1"}
	}
	d := &Deployment{
		Platform:  NewPlatform(),
		Recorder:  NewRecorder(),
		options:   options,
		endpoints: make(map[string]*Endpoint),
	}
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	if err := d.Platform.Start(); err != nil {
		return err
	}
	for _, shape := range d.options.Services {
		if err := d.startService(shape.withDefaults()); err != nil {
			return err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.publishLocked()
}

func (d *Deployment) startService(shape ServiceShape) error {
	s := &deployedService{shape: shape, document: shape.serviceDocument()}
	s.index = &config.Index{Format: config.FormatVersion, Service: shape.Name}
	d.services = append(d.services, s)
	groups := make([][]string, shape.replicaGroups())
	for g := range groups {
		for r := range shape.Replicas {
			e, err := d.startEndpoint(s, g, r)
			if err != nil {
				return err
			}
			groups[g] = append(groups[g], e.ID())
		}
	}
	s.index.Snapshots = []config.Snapshot{shape.snapshot(1, groups)}
	s.updateHeldSnapshots()
	return nil
}

func (d *Deployment) startEndpoint(s *deployedService, group, replica int) (*Endpoint, error) {
	shape := s.shape
	number := len(d.endpoints)
	e := NewEndpoint(EndpointOptions{
		ID:             fmt.Sprintf("%s-%d-%d", shape.Name, group, replica),
		Service:        shape.Name,
		Slots:          shape.Slots,
		SlotWait:       shape.SlotWait,
		MaxConnections: shape.MaxConnections,
		ConnectCost:    time.Duration(shape.ConnectCostMS) * time.Millisecond,
		ServiceTime:    shape.ServiceTime,
		Seed:           hashPair(d.options.Seed, uint64(number)),
		Recorder:       d.Recorder,
		RecordBodies:   d.options.RecordBodies,
	})
	if err := e.Start(); err != nil {
		return nil, err
	}
	d.endpoints[e.ID()] = e
	s.endpoints = append(s.endpoints, e)
	s.index.Endpoints = append(s.index.Endpoints, config.Endpoint{
		ID:             e.ID(),
		Address:        e.Address(),
		DataCentre:     d.options.DataCentres[(group+replica)%len(d.options.DataCentres)],
		Slots:          shape.Slots,
		MaxConnections: shape.MaxConnections,
		ConnectCostMS:  shape.ConnectCostMS,
	})
	return e, nil
}

// Close stops the platform and all endpoints.
func (d *Deployment) Close() {
	d.Platform.Close()
	for _, e := range d.Endpoints() {
		e.Close()
	}
}

// PublishSnapshot adds a snapshot with the same shards to a service's index,
// removes all but the newest keep snapshots from the configuration and the
// endpoints, and publishes the next revision. It returns the ID of the new
// snapshot.
func (d *Deployment) PublishSnapshot(service string, keep int) (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.serviceLocked(service)
	if s == nil {
		return 0, unknownServiceError(service)
	}
	s.addSnapshot(keep)
	return s.newestSnapshot().ID, d.publishLocked()
}

// PublishSnapshots is like PublishSnapshot for all services, in one revision.
func (d *Deployment) PublishSnapshots(keep int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		s.addSnapshot(keep)
	}
	return d.publishLocked()
}

// addSnapshot adds a snapshot to the index and removes all but the newest keep; the
// newest always stays.
func (s *deployedService) addSnapshot(keep int) {
	next := s.newestSnapshot()
	next.ID++
	snapshots := append(slices.Clone(s.index.Snapshots), next)
	s.index.Snapshots = snapshots[max(0, len(snapshots)-max(keep, 1)):]
	s.updateHeldSnapshots()
}

// MoveShard moves a shard of the newest snapshot to the endpoints with the given
// IDs, and publishes the next revision if publish is set. Otherwise hosts learn of
// the move only from refusals, until the next revision is published.
func (d *Deployment) MoveShard(service string, shard int, endpointIDs []string, publish bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.serviceLocked(service)
	if s == nil {
		return unknownServiceError(service)
	}
	last := len(s.index.Snapshots) - 1
	s.index.Snapshots = slices.Clone(s.index.Snapshots)
	shards := slices.Clone(s.index.Snapshots[last].Shards)
	shards[shard].Replicas = endpointIDs
	s.index.Snapshots[last].Shards = shards
	s.updateHeldSnapshots()
	if !publish {
		return nil
	}
	return d.publishLocked()
}

// Publish publishes the current state of the deployment as the next revision.
func (d *Deployment) Publish() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.publishLocked()
}

// ServiceDocument returns the service document of a service, or nil. Changes to it
// take effect when the next revision is published.
func (d *Deployment) ServiceDocument(name string) *config.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.serviceLocked(name); s != nil {
		return s.document
	}
	return nil
}

// publishLocked builds and publishes the next revision. The caller holds the mutex.
func (d *Deployment) publishLocked() error {
	d.revision++
	m := config.Manifest{Format: config.FormatVersion, Revision: d.revision}
	documents := make(map[string][]byte)
	for _, s := range d.services {
		addDocument(&m, documents, config.KindService, s.shape.Name, s.document)
		addDocument(&m, documents, config.KindIndex, s.shape.Name, s.index)
	}
	data, err := json.Marshal(m)
	if err != nil {
		return err
	}
	bundle, err := config.NewBundle(data, documents)
	if err != nil {
		return err
	}
	d.bundle = bundle
	return d.Platform.Publish(data, documents)
}

// serviceLocked returns the service with the given name, or nil. The caller holds
// the mutex.
func (d *Deployment) serviceLocked(name string) *deployedService {
	for _, s := range d.services {
		if s.shape.Name == name {
			return s
		}
	}
	return nil
}

func (s *deployedService) newestSnapshot() config.Snapshot {
	return s.index.Snapshots[len(s.index.Snapshots)-1]
}

// updateHeldSnapshots makes each endpoint hold what the index assigns to it.
func (s *deployedService) updateHeldSnapshots() {
	for _, e := range s.endpoints {
		e.SetHeldSnapshots(heldSnapshots(s.index, e.ID()))
	}
}

// heldRanges returns the ranges of a snapshot that an endpoint holds.
func heldRanges(snapshot config.Snapshot, endpointID string) []keyrange.Range {
	var out []keyrange.Range
	for _, shard := range snapshot.Shards {
		if slices.Contains(shard.Replicas, endpointID) {
			out = append(out, shard.Range)
		}
	}
	return keyrange.Normalize(out)
}

// addDocument encodes v and adds it to the documents and the manifest.
func addDocument(m *config.Manifest, documents map[string][]byte, kind config.Kind, name string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // Documents are plain structs, whose encoding cannot fail.
	}
	hash := config.Hash(data)
	documents[hash] = data
	m.Documents = append(m.Documents, config.DocumentRef{Kind: kind, Name: name, Hash: hash, Size: len(data)})
}

func unknownServiceError(name string) error {
	return result.FieldErrorf(result.UnknownService, "service", "the deployment has no service %q", name)
}
