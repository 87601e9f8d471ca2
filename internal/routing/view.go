package routing

import (
	"fmt"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// Replica is one incarnation of a process that serves a service. Hosts exchange it
// as msgpack, with its Go field names as keys.
type Replica struct {
	// ID is the replica's ID. A later incarnation may use it again.
	ID string
	// Born is the Unix time of the start in milliseconds. It distinguishes
	// incarnations with the same ID or address.
	Born int64
	// Service is the name of the service that the replica serves.
	Service string
	// Address is the replica's IP address and port.
	Address    string
	DataCentre string
	// Slots is the number of requests that the replica runs concurrently.
	Slots int
	// Sequence numbers the states that the incarnation has registered; zero if unknown.
	Sequence uint64 `msgpack:",omitempty"`
	// Leaving means that the replica takes no new requests.
	Leaving bool
	// ColdUntil is the monotonic time until which the replica is slow because
	// it has just started.
	ColdUntil time.Duration
}

// Key identifies the incarnation, by ID and Born.
func (r *Replica) Key() string { return fmt.Sprintf("%s@%d", r.ID, r.Born) }

// Plan says how the query state machine serves a route, or one service of a
// route.
type Plan struct {
	Service *config.Service
	Index   *config.Index
	// Services are the services of the shards, in the order of the index.
	// Digest identifies them.
	Services []string
	Digest   uint64
	// DataCentres are the data centres that have replicas of at least half of
	// the shards.
	DataCentres []string
	// Served is the number of shards that have replicas, and Evacuated the number of those
	// that have replicas in evacuated data centres only.
	Served, Evacuated int
}

// View is a configuration combined with the replicas that take requests.
type View struct {
	Config *Config
	// Replicas holds the incarnations that take requests, by Key.
	Replicas map[string]*Replica
	// ReadAt is the monotonic time at which the replicas were read from the
	// store.
	ReadAt time.Duration

	byService map[string][]string
	plans     map[string]*Plan
	// leaving holds the keys of the registered replicas that are leaving.
	leaving map[string]bool
	// evacuated holds the keys of the registered replicas that take no requests since
	// their data centre is evacuated, evacuatedServices their services, and
	// evacuatedCentres the evacuated data centres.
	evacuated         map[string]bool
	evacuatedServices map[string]bool
	evacuatedCentres  []string
}

// minAttempts is the smallest number of attempts per shard, the first one and its
// retries, that a plan allows. A route's MaxReplicas may be lower.
const minAttempts = 2

// NewView combines a configuration with replicas. It leaves out replicas that
// are leaving, and those whose address a newer replica has taken over.
func NewView(c *Config, replicas []*Replica, readAt time.Duration) *View {
	return NewEvacuatedView(c, replicas, nil, readAt)
}

// NewEvacuatedView is NewView while some data centres are evacuated. Their replicas stay
// registered and take no requests.
func NewEvacuatedView(c *Config, replicas []*Replica, evacuated []string, readAt time.Duration) *View {
	v := &View{
		Config:    c,
		Replicas:  make(map[string]*Replica),
		ReadAt:    readAt,
		byService: make(map[string][]string),
		plans:     make(map[string]*Plan),
		leaving:   make(map[string]bool),

		evacuated:         make(map[string]bool),
		evacuatedServices: make(map[string]bool),
		evacuatedCentres:  evacuated,
	}
	newest := newestByAddress(replicas)
	for _, r := range replicas {
		if r.Leaving {
			v.leaving[r.Key()] = true
		}
		if r.Leaving || newest[r.Address] != r {
			continue
		}
		key := r.Key()
		if slices.Contains(evacuated, r.DataCentre) {
			v.evacuated[key] = true
			v.evacuatedServices[r.Service] = true
			continue
		}
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

// newestByAddress returns the replica with the greatest Born at each address.
// An address may be reused before the store learns that its previous replica is
// gone.
func newestByAddress(replicas []*Replica) map[string]*Replica {
	newest := make(map[string]*Replica, len(replicas))
	for _, r := range replicas {
		if other := newest[r.Address]; other == nil || r.Born > other.Born {
			newest[r.Address] = r
		}
	}
	return newest
}

// EvacuatedDataCentres returns the data centres whose replicas take no requests.
func (v *View) EvacuatedDataCentres() []string { return v.evacuatedCentres }

// IsLeaving reports whether a replica is registered as leaving.
func (v *View) IsLeaving(key string) bool { return v.leaving[key] }

// EndedSince returns the keys of the replicas that took requests in an earlier view, or
// did until their data centre was evacuated, and are not registered in this one, so that
// they ended without announcing it.
func (v *View) EndedSince(earlier *View) []string {
	var ended []string
	registered := func(key string) bool { return v.Replicas[key] != nil || v.leaving[key] || v.evacuated[key] }
	for key := range earlier.Replicas {
		if !registered(key) {
			ended = append(ended, key)
		}
	}
	for key := range earlier.evacuated {
		if !registered(key) {
			ended = append(ended, key)
		}
	}
	slices.Sort(ended)
	return ended
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
		Retry:           config.Retry{Max: max(r.MaxReplicas, minAttempts) - 1},
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
	served, evacuated := v.countServed(services)
	return &Plan{
		Served:      served,
		Evacuated:   evacuated,
		Service:     s,
		Index:       &config.Index{Service: r.Name, Snapshots: []config.Snapshot{snapshot}},
		Services:    services,
		Digest:      split.Digest(services),
		DataCentres: v.dataCentresWithReplicas(services),
	}
}

// countServed returns the number of services that have replicas, and of those whose
// replicas are all in evacuated data centres.
func (v *View) countServed(services []string) (served, evacuated int) {
	for _, service := range services {
		switch {
		case len(v.byService[service]) > 0:
			served++
		case v.evacuatedServices[service]:
			evacuated++
		}
	}
	return served, evacuated
}

// dataCentresWithReplicas returns the data centres that have replicas of at least
// half of the services, sorted.
func (v *View) dataCentresWithReplicas(services []string) []string {
	servicesByCentre := make(map[string]int)
	for _, service := range services {
		seen := make(map[string]bool)
		for _, key := range v.byService[service] {
			if centre := v.Replicas[key].DataCentre; !seen[centre] {
				seen[centre] = true
				servicesByCentre[centre]++
			}
		}
	}
	var out []string
	for centre, n := range servicesByCentre {
		if 2*n >= len(services) {
			out = append(out, centre)
		}
	}
	slices.Sort(out)
	return out
}

// ServesAlone reports whether the replicas in a data centre suffice for every route that
// has shards.
func (v *View) ServesAlone(dataCentre string) bool {
	for i := range v.Config.Routes {
		r := &v.Config.Routes[i]
		if len(r.Shards) > 0 && v.coveredIn(dataCentre, r.Shards) < r.LeastShards {
			return false
		}
	}
	return true
}

// coveredIn returns the number of services that have a replica in a data centre.
func (v *View) coveredIn(dataCentre string, services []string) int {
	n := 0
	for _, service := range services {
		if slices.ContainsFunc(v.byService[service], func(key string) bool { return v.Replicas[key].DataCentre == dataCentre }) {
			n++
		}
	}
	return n
}

// Plan returns the plan of a route, or nil. service is the one chosen from the
// route's Parts, or empty for a route with shards.
func (v *View) Plan(r *Route, service string) *Plan { return v.plans[planKey(r, service)] }
