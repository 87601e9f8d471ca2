package questionnaire

import "github.com/gypsumlug/gypsumlug/internal/config"

const (
	perMillePerPercent      = 10
	perMille                = 1000
	millisecondsPerSecond   = 1000
	maxQueueLimit           = 10_000
	maxPermitLimit          = 1_000_000
	maxHedgesPreferLatency  = 2
	maxHedgesPreferCoverage = 1
	maxRetriesPerShard      = 3
)

// deriveService returns the configuration of the service name, which belongs to
// the group s. Limits over all hosts are divided by the number of hosts and
// rounded up, because the load balancer distributes requests over the hosts.
func (q *Questionnaire) deriveService(s *Service, name string) config.Service {
	out := config.Service{
		Format:          config.FormatVersion,
		Name:            name,
		Urgency:         urgencies[s.Urgency],
		Preference:      preferences[s.First],
		Repeatable:      s.MayBeRepeated,
		LatencyTargetMS: s.AnswerWithinMS,
		DeadlineMS:      s.DeadlineMS,
		MaxHits:         s.MostDocuments,
		FreshSnapshots:  s.FreshVersions,
		InFlightLimit:   q.hostShare(s.Limits.RequestsAtOnce),
		Hedge:           deriveHedge(s),
		Retry:           config.Retry{BudgetPerMille: s.ExtraLoad.InTroublePercent * perMillePerPercent, Max: maxRetriesPerShard},
		Callers:         q.deriveCallers(s),
	}
	out.QueueLimit = deriveQueueLimit(s, out.InFlightLimit)
	if !s.MayBeRepeated {
		out.Permit = q.derivePermit(s)
	}
	return out
}

// hostShare returns the share of each host in a limit over all hosts. It is
// rounded up, so that it is at least 1 unless the limit is 0.
func (q *Questionnaire) hostShare(limit int) int {
	return ceilDiv(limit, q.Hosts())
}

// deriveQueueLimit returns how many requests may wait on a host: as many as can
// still be answered before the deadline if each takes answer_within_ms.
func deriveQueueLimit(s *Service, inFlightLimit int) int {
	waitRounds := max(1, s.DeadlineMS/s.AnswerWithinMS-1)
	return min(inFlightLimit*waitRounds, maxQueueLimit)
}

// deriveHedge uses the usual extra load for hedges. The percentile is chosen so
// that the share of shards that are hedged is as large as the budget. There are
// no hedges if each shard has a single replica, if requests may not be repeated,
// or if no extra load is allowed.
func deriveHedge(s *Service) config.Hedge {
	budget := s.ExtraLoad.UsualPercent * perMillePerPercent
	if !s.MayBeRepeated || s.Shape.ReplicasPerShard < 2 || budget == 0 {
		return config.Hedge{PercentilePerMille: perMille}
	}
	maxHedges := maxHedgesPreferCoverage
	if preferences[s.First] == config.PreferLatency {
		maxHedges = maxHedgesPreferLatency
	}
	return config.Hedge{PercentilePerMille: perMille - budget, Max: maxHedges, BudgetPerMille: budget}
}

// derivePermit sets the permit limit to the number of permits that the expected
// request rate needs while they are valid and their outcomes are kept.
func (q *Questionnaire) derivePermit(s *Service) config.Permit {
	storedSeconds := s.Permits.ValidS + s.Permits.OutcomeKeptS
	return config.Permit{
		LifetimeMS:  s.Permits.ValidS * millisecondsPerSecond,
		RetentionMS: s.Permits.OutcomeKeptS * millisecondsPerSecond,
		Limit:       min(q.hostShare(s.Limits.RequestsPerSecond*storedSeconds), maxPermitLimit),
	}
}

func (q *Questionnaire) deriveCallers(s *Service) []config.Caller {
	out := make([]config.Caller, len(s.Callers))
	for i, caller := range s.Callers {
		out[i] = config.Caller{
			Name:          caller.Name,
			RatePerSecond: q.hostShare(caller.RequestsPerSecond),
			Burst:         q.hostShare(caller.Burst),
			InFlight:      q.hostShare(caller.RequestsAtOnce),
		}
	}
	return out
}
