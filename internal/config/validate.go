package config

import (
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

func (s *Service) validate() error {
	invalid := func(field string, v int) error {
		return result.FieldErrorf(result.DocumentInvalid, s.Name+"."+field, "value %d is out of range", v)
	}
	switch {
	case s.Format != FormatVersion:
		return invalid("format", s.Format)
	case s.Urgency >= UrgencyCount:
		return invalid("urgency", int(s.Urgency))
	case s.Preference != PreferLatency && s.Preference != PreferCoverage:
		return result.FieldErrorf(result.DocumentInvalid, s.Name+".preference", "got %q, want latency or coverage", s.Preference)
	case s.DeadlineMS < 1:
		return invalid("deadline_ms", s.DeadlineMS)
	case s.LatencyTargetMS < 1 || s.LatencyTargetMS > s.DeadlineMS:
		return invalid("latency_target_ms", s.LatencyTargetMS)
	case s.MaxHits < 1:
		return invalid("max_hits", s.MaxHits)
	case s.FreshSnapshots < 0:
		return invalid("fresh_snapshots", s.FreshSnapshots)
	case s.QueueLimit < 0:
		return invalid("queue_limit", s.QueueLimit)
	case s.InFlightLimit < 1:
		return invalid("in_flight_limit", s.InFlightLimit)
	case s.Hedge.PercentilePerMille < 0 || s.Hedge.PercentilePerMille > 1000:
		return invalid("hedge.percentile_per_mille", s.Hedge.PercentilePerMille)
	case s.Hedge.Max < 0 || s.Hedge.BudgetPerMille < 0:
		return invalid("hedge.budget_per_mille", s.Hedge.BudgetPerMille)
	case s.Retry.Max < 0 || s.Retry.BudgetPerMille < 0:
		return invalid("retry.budget_per_mille", s.Retry.BudgetPerMille)
	case !s.Repeatable && (s.Permit.LifetimeMS < 1 || s.Permit.RetentionMS < 1 || s.Permit.Limit < 1):
		return invalid("permit.lifetime_ms", s.Permit.LifetimeMS)
	}
	return nil
}

func (x *Index) validate() error {
	invalid := func(field, reason string) error {
		return result.FieldErrorf(result.DocumentInvalid, x.Service+"."+field, "%s", reason)
	}
	if x.Format != FormatVersion {
		return invalid("format", "unsupported format")
	}
	endpointIDs := make(map[string]bool, len(x.Endpoints))
	for _, e := range x.Endpoints {
		if e.ID == "" || e.Address == "" || e.Slots < 1 || e.MaxConnections < 1 || e.ConnectCostMS < 0 || endpointIDs[e.ID] {
			return invalid("endpoints", "entry "+e.ID+" is malformed or duplicated")
		}
		endpointIDs[e.ID] = true
	}
	var previousID uint64
	for _, s := range x.Snapshots {
		if s.ID <= previousID {
			return invalid("snapshots", "IDs must be at least 1 and in ascending order")
		}
		previousID = s.ID
		if reason := s.validate(endpointIDs); reason != "" {
			return invalid("snapshots", reason)
		}
	}
	return nil
}

// validate returns what is wrong with the snapshot, or an empty string.
// endpointIDs are the endpoints of the index.
func (s *Snapshot) validate(endpointIDs map[string]bool) string {
	var total uint64
	ranges := make([]keyrange.Range, 0, len(s.Shards))
	for _, shard := range s.Shards {
		if !shard.Range.Valid() {
			return "shard range " + shard.Range.String() + " is invalid"
		}
		total += uint64(shard.Range.End - shard.Range.Start)
		ranges = append(ranges, shard.Range)
		for _, id := range shard.Replicas {
			if !endpointIDs[id] {
				return "shard refers to unknown endpoint " + id
			}
		}
	}
	// Overlapping ranges count once in keyrange.Size but several times in total.
	if total != uint64(keyrange.End) || keyrange.Size(ranges) != total {
		return "shards must cover the key space without overlap"
	}
	return ""
}
