package standin

import (
	"slices"

	"github.com/gypsumlug/gypsumlug/internal/config"
)

// ServiceNames returns the names of all services in the order of the options.
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
	if s := d.serviceLocked(service); s != nil {
		return slices.Clone(s.newestSnapshot().Shards)
	}
	return nil
}

// FirstReplicas returns the first endpoint of each replica group, that is of the
// endpoints that hold the same shards. Together they hold every shard once.
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

// PublishedBundle returns the last published configuration.
func (d *Deployment) PublishedBundle() *config.Bundle {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bundle
}

// Counts returns the counters of all endpoints, summed. HighestConnections is the
// highest of any single endpoint.
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
	s := d.serviceLocked(service)
	if s == nil {
		return nil
	}
	var out []*Endpoint
	for _, id := range s.newestSnapshot().Shards[shard].Replicas {
		out = append(out, d.endpoints[id])
	}
	return out
}

// Revision returns the last published revision.
func (d *Deployment) Revision() config.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// NewestSnapshotID returns the ID of the newest snapshot of a service's index, or
// zero if there is no such service.
func (d *Deployment) NewestSnapshotID(service string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.serviceLocked(service); s != nil {
		return s.newestSnapshot().ID
	}
	return 0
}
