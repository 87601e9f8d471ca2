package standin

import (
	"slices"

	"github.com/gypsumlug/gypsumlug/internal/config"
)

// ServiceNames returns the names of the services in the order of the options.
func (d *Deployment) ServiceNames() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]string, len(d.services))
	for i, s := range d.services {
		out[i] = s.shape.Name
	}
	return out
}

// Shards returns the shards of the newest snapshot of a service's index.
func (d *Deployment) Shards(service string) []config.Shard {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.service(service); s != nil {
		return slices.Clone(s.newest().Shards)
	}
	return nil
}

// FirstReplicas returns one endpoint of each set of endpoints that hold the same
// shards.
func (d *Deployment) FirstReplicas() []*Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*Endpoint
	for _, s := range d.services {
		for i := 0; i < len(s.endpoints); i += s.shape.Replicas {
			out = append(out, s.endpoints[i])
		}
	}
	return out
}

// PublishedBundle returns the configuration published last.
func (d *Deployment) PublishedBundle() *config.Bundle {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bundle
}

// Counts returns the sum of the counters of all endpoints; of the connections
// it gives the highest of any endpoint.
func (d *Deployment) Counts() Counts {
	var sum Counts
	for _, e := range d.Endpoints() {
		sum.add(e.Counts())
	}
	return sum
}

// Endpoint returns the endpoint with the given ID, or nil.
func (d *Deployment) Endpoint(id string) *Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpoints[id]
}

// Endpoints returns all endpoints in the order of their services.
func (d *Deployment) Endpoints() []*Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*Endpoint
	for _, s := range d.services {
		out = append(out, s.endpoints...)
	}
	return out
}

// Replicas returns the endpoints that hold a shard of the newest snapshot.
func (d *Deployment) Replicas(service string, shard int) []*Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(service)
	if s == nil {
		return nil
	}
	var out []*Endpoint
	for _, id := range s.newest().Shards[shard].Replicas {
		out = append(out, d.endpoints[id])
	}
	return out
}

// Revision returns the revision published last.
func (d *Deployment) Revision() config.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// NewestSnapshotID returns the newest snapshot ID of a service's index.
func (d *Deployment) NewestSnapshotID(service string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.service(service); s != nil {
		return s.newest().ID
	}
	return 0
}
