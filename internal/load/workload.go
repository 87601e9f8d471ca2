package load

import (
	"fmt"
	"math"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

// serviceGroup is a number of services of the same shape. The report shows them in
// one line.
type serviceGroup struct {
	name string
	// serviceCount is the number of services before scaling. A group with a single
	// service is not scaled.
	serviceCount int
	shape        standin.ServiceShape
	// weight is the share of requests that go to the group.
	weight float64
}

// workload is a named deployment with its mix of requests.
type workload struct {
	dataCentres []string
	groups      []serviceGroup
	// rate is the default number of requests a second.
	rate float64
}

// Mean service times, and the size of the deployment with a large fan-out.
const (
	shortServiceTime  = 2 * time.Millisecond
	longServiceTime   = 10 * time.Millisecond
	fanoutServiceTime = 4 * time.Millisecond
	fanoutShards      = 120
)

// smallShape returns the shape of a service with two replicas of two slots each.
func smallShape(connections, latencyTargetMS int, urgency config.Urgency, p config.Preference) standin.ServiceShape {
	return standin.ServiceShape{
		Shards: 4, Replicas: 2, ShardsPerEndpoint: 4, Slots: 2, MaxConnections: connections, ConnectCostMS: 6,
		ServiceTime: shortServiceTime, Urgency: urgency, Preference: p,
		LatencyTargetMS: latencyTargetMS, DeadlineMS: 1000,
	}
}

// largeShape returns the shape of a service with eight shards, all of which every
// endpoint holds.
func largeShape(replicas, slots, connections int, serviceTime time.Duration) standin.ServiceShape {
	return standin.ServiceShape{
		Shards: 8, Replicas: replicas, ShardsPerEndpoint: 8, Slots: slots, MaxConnections: connections, ConnectCostMS: 1,
		ServiceTime: serviceTime, Urgency: config.Normal, DeadlineMS: 2000, LatencyTargetMS: 500,
	}
}

// withNotRepeatable marks the requests of a service as not repeatable. The
// workload sends them as submits.
func withNotRepeatable(s standin.ServiceShape) standin.ServiceShape {
	s.NotRepeatable = true
	return s
}

// withArchiveUrgency gives a service archive urgency, a preference for coverage and
// a longer deadline.
func withArchiveUrgency(s standin.ServiceShape) standin.ServiceShape {
	s.Urgency = config.Archive
	s.Preference = config.PreferCoverage
	s.DeadlineMS = 5000
	return s
}

// workloads are the deployments that can be measured, by name.
var workloads = map[string]workload{
	"muscat": {
		dataCentres: []string{"Ruwi", "Seeb", "Qurum", "Bawshar"},
		rate:        200,
		groups: []serviceGroup{
			{name: "dispatch-desk", serviceCount: 20, weight: 0.45, shape: smallShape(50, 150, config.Urgent, config.PreferLatency)},
			{name: "partners-portal", serviceCount: 30, weight: 0.35, shape: smallShape(50, 400, config.Normal, config.PreferLatency)},
			{name: "pharmacy-ordering", serviceCount: 1, weight: 0.1, shape: withNotRepeatable(largeShape(4, 6, 200, shortServiceTime))},
			{name: "outfitter-feed", serviceCount: 1, weight: 0.1, shape: largeShape(4, 6, 200, shortServiceTime)},
		},
	},
	"ferrando": {
		dataCentres: []string{"Salto", "Paysandú", "Fray Bentos"},
		rate:        150,
		groups: []serviceGroup{
			{name: "courtroom-desk", serviceCount: 20, weight: 0.45, shape: smallShape(60, 200, config.Urgent, config.PreferCoverage)},
			{name: "notary-portal", serviceCount: 30, weight: 0.35, shape: smallShape(60, 400, config.Normal, config.PreferCoverage)},
			{name: "notebook-archive", serviceCount: 1, weight: 0.1, shape: withArchiveUrgency(largeShape(10, 4, 100, longServiceTime))},
			{name: "page-billing", serviceCount: 1, weight: 0.1, shape: withNotRepeatable(largeShape(5, 4, 100, shortServiceTime))},
		},
	},
	"desk": {
		dataCentres: []string{"Ruwi"},
		rate:        50,
		groups: []serviceGroup{
			{name: "dispatch-desk", serviceCount: 1, weight: 1, shape: smallShape(50, 900, config.Urgent, config.PreferCoverage)},
		},
	},
	"fanout": {
		dataCentres: []string{"north", "south"},
		rate:        50,
		groups: []serviceGroup{{name: "fanout", serviceCount: 1, weight: 1, shape: standin.ServiceShape{
			Shards: fanoutShards, Replicas: 2, Slots: 8, MaxConnections: 100, ConnectCostMS: 1,
			ServiceTime: fanoutServiceTime, Preference: config.PreferCoverage, DeadlineMS: 2000, LatencyTargetMS: 1000,
		}}},
	},
}

// scaledCount returns the number of services of g after scaling.
func (g serviceGroup) scaledCount(scale float64) int {
	if g.serviceCount == 1 {
		return 1
	}
	return max(1, int(math.Round(float64(g.serviceCount)*scale)))
}

// serviceNames returns the names of the services of g after scaling.
func (g serviceGroup) serviceNames(scale float64) []string {
	n := g.scaledCount(scale)
	if n == 1 {
		return []string{g.name}
	}
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%02d", g.name, i+1)
	}
	return out
}

// deploymentOptions returns the options of the stand-ins for w.
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
