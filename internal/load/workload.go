package load

import (
	"fmt"
	"math"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

// group is a number of services of one shape that share a line of the report.
type group struct {
	name string
	// services is the number of services before scaling; a group with one is
	// not scaled.
	services int
	shape    standin.ServiceShape
	// weight is the share of requests that go to the group.
	weight float64
}

// workload is a named deployment with its mix of requests.
type workload struct {
	dataCentres []string
	groups      []group
	// rate is the default rate of requests a second.
	rate float64
}

const (
	deskServiceTime    = 2 * time.Millisecond
	archiveServiceTime = 10 * time.Millisecond
	fanoutServiceTime  = 4 * time.Millisecond
	fanoutShards       = 120
)

// deskShape is a service with two replicas of two slots each.
func deskShape(connections, latencyTargetMS int, urgency config.Urgency, p config.Preference) standin.ServiceShape {
	return standin.ServiceShape{
		Shards: 4, Replicas: 2, ShardsPerEndpoint: 4, Slots: 2, MaxConnections: connections, ConnectCostMS: 6,
		ServiceTime: deskServiceTime, Urgency: urgency, Preference: p,
		LatencyTargetMS: latencyTargetMS, DeadlineMS: 1000,
	}
}

func sharedShape(replicas, slots, connections int, serviceTime time.Duration) standin.ServiceShape {
	return standin.ServiceShape{
		Shards: 8, Replicas: replicas, ShardsPerEndpoint: 8, Slots: slots, MaxConnections: connections, ConnectCostMS: 1,
		ServiceTime: serviceTime, Urgency: config.Normal, DeadlineMS: 2000, LatencyTargetMS: 500,
	}
}

func notRepeatable(s standin.ServiceShape) standin.ServiceShape {
	s.NotRepeatable = true
	return s
}

func archive(s standin.ServiceShape) standin.ServiceShape {
	s.Urgency = config.Archive
	s.Preference = config.PreferCoverage
	s.DeadlineMS = 5000
	return s
}

var workloads = map[string]workload{
	"muscat": {
		dataCentres: []string{"Ruwi", "Seeb", "Qurum", "Bawshar"},
		rate:        200,
		groups: []group{
			{name: "dispatch-desk", services: 20, weight: 0.45, shape: deskShape(50, 150, config.Urgent, config.PreferLatency)},
			{name: "partners-portal", services: 30, weight: 0.35, shape: deskShape(50, 400, config.Normal, config.PreferLatency)},
			{name: "pharmacy-ordering", services: 1, weight: 0.1, shape: notRepeatable(sharedShape(4, 6, 200, deskServiceTime))},
			{name: "outfitter-feed", services: 1, weight: 0.1, shape: sharedShape(4, 6, 200, deskServiceTime)},
		},
	},
	"ferrando": {
		dataCentres: []string{"Salto", "Paysandú", "Fray Bentos"},
		rate:        150,
		groups: []group{
			{name: "courtroom-desk", services: 20, weight: 0.45, shape: deskShape(60, 200, config.Urgent, config.PreferCoverage)},
			{name: "notary-portal", services: 30, weight: 0.35, shape: deskShape(60, 400, config.Normal, config.PreferCoverage)},
			{name: "notebook-archive", services: 1, weight: 0.1, shape: archive(sharedShape(10, 4, 100, archiveServiceTime))},
			{name: "page-billing", services: 1, weight: 0.1, shape: notRepeatable(sharedShape(5, 4, 100, deskServiceTime))},
		},
	},
	"desk": {
		dataCentres: []string{"Ruwi"},
		rate:        50,
		groups: []group{
			{name: "dispatch-desk", services: 1, weight: 1, shape: deskShape(50, 900, config.Urgent, config.PreferCoverage)},
		},
	},
	"fanout": {
		dataCentres: []string{"north", "south"},
		rate:        50,
		groups: []group{{name: "fanout", services: 1, weight: 1, shape: standin.ServiceShape{
			Shards: fanoutShards, Replicas: 2, Slots: 8, MaxConnections: 100, ConnectCostMS: 1,
			ServiceTime: fanoutServiceTime, Preference: config.PreferCoverage, DeadlineMS: 2000, LatencyTargetMS: 1000,
		}}},
	},
}

// scaled returns the number of services of g at a scale.
func (g group) scaled(scale float64) int {
	if g.services == 1 {
		return 1
	}
	return max(1, int(math.Round(float64(g.services)*scale)))
}

// serviceNames returns the names of the services of g.
func (g group) serviceNames(scale float64) []string {
	n := g.scaled(scale)
	if n == 1 {
		return []string{g.name}
	}
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%02d", g.name, i+1)
	}
	return out
}

// deploymentOptions returns the stand-ins of w.
func (w workload) deploymentOptions(o Options) standin.DeploymentOptions {
	out := standin.DeploymentOptions{DataCentres: w.dataCentres, Seed: o.Seed, RecordBodies: true}
	for _, g := range w.groups {
		for _, name := range g.serviceNames(o.Scale) {
			shape := g.shape
			shape.Name = name
			out.Services = append(out.Services, shape)
		}
	}
	return out
}
