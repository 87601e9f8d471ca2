package routing

import (
	"fmt"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// Replica is one incarnation of a process that serves a service.
type Replica struct {
	// ID names the replica; it may be used again by a later incarnation.
	ID string
	// Born tells incarnations of one ID apart.
	Born int64
	// Service is the service that the replica serves.
	Service string
	// Address is its IP and port.
	Address    string
	DataCentre string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Leaving replicas take no new requests.
	Leaving bool
	// ColdUntil is the monotonic time until which the replica is slow after its
	// start.
	ColdUntil time.Duration
}

// Key identifies the incarnation.
func (r *Replica) Key() string { return fmt.Sprintf("%s@%d", r.ID, r.Born) }

// Plan is how the query machine serves a route, or one part of a route.
type Plan struct {
	Service *config.Service
	Index   *config.Index
	// Services are the services of the shards, in the order of the index, and
	// Digest identifies them.
	Services []string
	Digest   uint64
	// DataCentres are those that have replicas of half of the shards or more.
	DataCentres []string
}

// View is a configuration joined with the replicas that take requests.
type View struct {
	Config *Config
	// Replicas holds the incarnations that take requests, by Key.
	Replicas map[string]*Replica
	// ReadAt is the monotonic time at which the store said so.
	ReadAt time.Duration

	byService map[string][]string
	plans     map[string]*Plan
}

// Attempts of one shard beyond the first, when routes do not say.
const defaultAttempts = 2

// NewView joins a configuration with replicas. Leaving replicas are left out, and
// those whose address another one took over.
func NewView(c *Config, replicas []*Replica, read time.Duration) *View {
	v := &View{
		Config:    c,
		Replicas:  make(map[string]*Replica),
		ReadAt:    read,
		byService: make(map[string][]string),
		plans:     make(map[string]*Plan),
	}
	last := newestByAddress(replicas)
	for _, r := range replicas {
		if r.Leaving || last[r.Address] != r {
			continue
		}
		key := r.Key()
		v.Replicas[key] = r
		v.byService[r.Service] = append(v.byService[r.Service], key)
	}
	for _, keys := range v.byService {
		slices.Sort(keys)
	}
	if c != nil {
		v.buildPlans()
	}
	return v
}

// newestByAddress returns the replica that was started last at each address. An
// address is used again once its replica is gone, which the store may learn
// later.
func newestByAddress(replicas []*Replica) map[string]*Replica {
	last := make(map[string]*Replica, len(replicas))
	for _, r := range replicas {
		if other := last[r.Address]; other == nil || r.Born > other.Born {
			last[r.Address] = r
		}
	}
	return last
}

func (v *View) buildPlans() {
	for i := range v.Config.Routes {
		r := &v.Config.Routes[i]
		if len(r.Shards) > 0 {
			v.plans[planKey(r, "")] = v.newPlan(r, r.Shards)
			continue
		}
		for _, p := range r.Parts {
			v.plans[planKey(r, p.Service)] = v.newPlan(r, []string{p.Service})
		}
	}
}

func planKey(r *Route, service string) string { return r.Name + "/" + service }

func (v *View) newPlan(r *Route, services []string) *Plan {
	s := &config.Service{
		Name:            r.Name,
		Preference:      config.PreferLatency,
		Repeatable:      r.Repeatable,
		LatencyTargetMS: int(r.Target.Milliseconds()),
		DeadlineMS:      int(r.Timeout.Milliseconds()),
		Retry:           config.Retry{Max: max(r.MaxReplicas, defaultAttempts) - 1},
	}
	if r.Repeatable {
		s.Hedge = config.Hedge{Max: 1}
	}
	snapshot := config.Snapshot{ID: v.Config.Version}
	for i, name := range services {
		snapshot.Shards = append(snapshot.Shards, config.Shard{
			Range:    keyrange.Range{Start: keyrange.Key(i), End: keyrange.Key(i + 1)},
			Replicas: v.byService[name],
		})
	}
	return &Plan{
		Service:     s,
		Index:       &config.Index{Service: r.Name, Snapshots: []config.Snapshot{snapshot}},
		Services:    services,
		Digest:      split.Digest(services),
		DataCentres: v.dataCentresNear(services),
	}
}

// dataCentresNear returns the data centres that have replicas of half of the services or
// more, sorted.
func (v *View) dataCentresNear(services []string) []string {
	served := make(map[string]int)
	for _, service := range services {
		seen := make(map[string]bool)
		for _, key := range v.byService[service] {
			if centre := v.Replicas[key].DataCentre; !seen[centre] {
				seen[centre] = true
				served[centre]++
			}
		}
	}
	var out []string
	for centre, n := range served {
		if 2*n >= len(services) {
			out = append(out, centre)
		}
	}
	slices.Sort(out)
	return out
}

// Plan returns the plan of a route; service is the part that was chosen, or
// empty for a route with shards.
func (v *View) Plan(r *Route, service string) *Plan { return v.plans[planKey(r, service)] }
