package standin

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/defaults"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
)

// Defaults of generated services.
const (
	defaultDeadlineMS      = 1000
	defaultLatencyTargetMS = 250
	defaultSlots           = 8
	defaultMaxConnections  = 200
	defaultMaxHits         = 2000
	defaultQueueLimit      = 512
	defaultInFlightLimit   = 512
	defaultSlotWait        = 20 * time.Millisecond
)

// DefaultCaller is the caller that every generated service lists.
const DefaultCaller = "desk"

// ServiceShape describes a service to generate and its endpoints. Zero fields get
// defaults.
type ServiceShape struct {
	Name string
	// Shards is the number of key ranges of the index.
	Shards int
	// Replicas is the number of endpoints that hold each shard.
	Replicas int
	// ShardsPerEndpoint is the number of shards that each endpoint holds; zero means
	// one. The service has Replicas endpoints for every ShardsPerEndpoint shards.
	ShardsPerEndpoint int
	Slots             int
	MaxConnections    int
	ConnectCostMS     int
	ServiceTime       time.Duration
	SlotWait          time.Duration
	Urgency           config.Urgency
	// Preference defaults to config.PreferLatency.
	Preference      config.Preference
	NotRepeatable   bool
	DeadlineMS      int
	LatencyTargetMS int
	// Adjust, if not nil, changes the generated service document.
	Adjust func(*config.Service)
}

func (s ServiceShape) withDefaults() ServiceShape {
	s.Shards = max(s.Shards, 1)
	s.Replicas = max(s.Replicas, 1)
	s.ShardsPerEndpoint = max(s.ShardsPerEndpoint, 1)
	defaults.Set(&s.Slots, defaultSlots)
	defaults.Set(&s.MaxConnections, defaultMaxConnections)
	defaults.Set(&s.DeadlineMS, defaultDeadlineMS)
	defaults.Set(&s.LatencyTargetMS, min(defaultLatencyTargetMS, s.DeadlineMS))
	if s.SlotWait == 0 {
		s.SlotWait = defaultSlotWait
	}
	if s.Preference == "" {
		s.Preference = config.PreferLatency
	}
	return s
}

// replicaGroups returns the number of replica groups. The endpoints of a group hold
// the same shards.
func (s ServiceShape) replicaGroups() int {
	return (s.Shards + s.ShardsPerEndpoint - 1) / s.ShardsPerEndpoint
}

// serviceDocument returns the service document.
func (s ServiceShape) serviceDocument() *config.Service {
	out := &config.Service{
		Format:          config.FormatVersion,
		Name:            s.Name,
		Urgency:         s.Urgency,
		Preference:      s.Preference,
		Repeatable:      !s.NotRepeatable,
		LatencyTargetMS: s.LatencyTargetMS,
		DeadlineMS:      s.DeadlineMS,
		MaxHits:         defaultMaxHits,
		QueueLimit:      defaultQueueLimit,
		InFlightLimit:   defaultInFlightLimit,
		Hedge:           config.Hedge{PercentilePerMille: 980, Max: 2, BudgetPerMille: 40},
		Retry:           config.Retry{BudgetPerMille: 100, Max: 3},
		Permit:          config.Permit{LifetimeMS: 30_000, RetentionMS: 60_000, Limit: 10_000},
		Callers:         []config.Caller{{Name: DefaultCaller}},
	}
	if s.NotRepeatable {
		out.Hedge = config.Hedge{}
	}
	if s.Adjust != nil {
		s.Adjust(out)
	}
	return out
}

// snapshot returns a snapshot with equal shards, assigned to the replica groups in
// order. endpointIDs has the IDs of each group.
func (s ServiceShape) snapshot(id uint64, endpointIDs [][]string) config.Snapshot {
	out := config.Snapshot{ID: id}
	for i, r := range keyrange.Split(s.Shards) {
		out.Shards = append(out.Shards, config.Shard{Range: r, Replicas: endpointIDs[i/s.ShardsPerEndpoint]})
	}
	return out
}
