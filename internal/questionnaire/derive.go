package questionnaire

import "github.com/gypsumlug/gypsumlug/internal/config"

const (
	perMillePerPercent  = 10
	perMille            = 1000
	millisecondsPerS    = 1000
	maxQueueLimit       = 10_000
	maxPermitLimit      = 1_000_000
	hedgesLatencyFirst  = 2
	hedgesCoverageFirst = 1
	retriesOfShard      = 3
)

// deriveService returns the configuration of the service named name of the
// group s. Limits over all hosts become each host's share, rounded up, since
// the balancer spreads requests over the hosts.
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
		InFlightLimit:   q.share(s.Limits.RequestsAtOnce),
		Hedge:           deriveHedge(s),
		Retry:           config.Retry{BudgetPerMille: s.ExtraLoad.InTroublePercent * perMillePerPercent, Max: retriesOfShard},
		Callers:         q.deriveCallers(s),
	}
	out.QueueLimit = deriveQueueLimit(s, out.InFlightLimit)
	if !s.MayBeRepeated {
		out.Permit = q.derivePermit(s)
	}
	return out
}

// share returns a host's share of a limit over all hosts, at least 1.
func (q *Questionnaire) share(limit int) int {
	return ceilDiv(limit, q.Hosts())
}

// deriveQueueLimit returns how many requests may wait on a host: those that can
// still be answered before the deadline, if each takes as long as is wanted.
func deriveQueueLimit(s *Service, inFlight int) int {
	rounds := max(1, s.DeadlineMS/s.AnswerWithinMS-1)
	return min(inFlight*rounds, maxQueueLimit)
}

// deriveHedge spends the usual extra load on hedges: the percentile lets just so
// many shards be hedged. A service with one replica a shard and one whose
// requests may not be repeated have none.
func deriveHedge(s *Service) config.Hedge {
	budget := s.ExtraLoad.UsualPercent * perMillePerPercent
	if !s.MayBeRepeated || s.Shape.ReplicasPerShard < 2 || budget == 0 {
		return config.Hedge{PercentilePerMille: perMille}
	}
	most := hedgesCoverageFirst
	if preferences[s.First] == config.PreferLatency {
		most = hedgesLatencyFirst
	}
	return config.Hedge{PercentilePerMille: perMille - budget, Max: most, BudgetPerMille: budget}
}

// derivePermit keeps room for the permits of the expected requests for as long
// as each may be asked about.
func (q *Questionnaire) derivePermit(s *Service) config.Permit {
	seconds := s.Permits.ValidS + s.Permits.OutcomeKeptS
	return config.Permit{
		LifetimeMS:  s.Permits.ValidS * millisecondsPerS,
		RetentionMS: s.Permits.OutcomeKeptS * millisecondsPerS,
		Limit:       min(q.share(s.Limits.RequestsPerSecond*seconds), maxPermitLimit),
	}
}

func (q *Questionnaire) deriveCallers(s *Service) []config.Caller {
	out := make([]config.Caller, len(s.Callers))
	for i, u := range s.Callers {
		out[i] = config.Caller{
			Name:          u.Name,
			RatePerSecond: q.share(u.RequestsPerSecond),
			Burst:         q.share(u.Burst),
			InFlight:      q.share(u.RequestsAtOnce),
		}
	}
	return out
}
