package questionnaire

import (
	"fmt"
	"strings"

	"github.com/gypsumlug/gypsumlug/internal/config"
)

// Explanation says which answers led to one setting.
type Explanation struct {
	// Service is the service or group.
	Service string `json:"service"`
	// Setting is the path in the generated documents, beginning with the kind.
	Setting string `json:"setting"`
	Value   string `json:"value"`
	// Answers are the fields of the questionnaire that the setting follows from.
	Answers []string `json:"answers"`
	Why     string   `json:"why"`
}

// Explain returns the explanations of all settings, by service.
func Explain(q *Questionnaire) []Explanation {
	var out []Explanation
	for i := range q.Services {
		out = append(out, q.explainService(&q.Services[i])...)
	}
	return out
}

func (q *Questionnaire) explainService(s *Service) []Explanation {
	c := q.deriveService(s, s.serviceName(0))
	var out []Explanation
	add := func(setting string, value any, why string, answers ...string) {
		out = append(out, Explanation{Service: s.Name, Setting: setting, Value: fmt.Sprint(value), Answers: answers, Why: why})
	}
	add("service.format", c.Format, "the format that hosts read")
	add("service.name", nameRange(s), "one service for each of the group", "name", "count")
	add("service.urgency", c.Urgency, "0 is dispatched before 1, 1 before 2", "urgency")
	add("service.preference", c.Preference, "what a query gives up last", "first")
	add("service.repeatable", c.Repeatable, "false takes submits under permits and no queries", "may_be_repeated")
	add("service.latency_target_ms", c.LatencyTargetMS, "as answered", "answer_within_ms")
	add("service.deadline_ms", c.DeadlineMS, "as answered", "deadline_ms")
	add("service.max_hits", c.MaxHits, "as answered", "most_documents")
	add("service.fresh_snapshots", c.FreshSnapshots, "as answered", "fresh_versions")
	add("service.in_flight_limit", c.InFlightLimit, q.shareOf(s.Limits.RequestsAtOnce), "limits.requests_at_once", "data_centres.hosts")
	add("service.queue_limit", c.QueueLimit, "as many as can be answered before the deadline", "limits.requests_at_once", "answer_within_ms", "deadline_ms")
	out = append(out, explainExtraLoad(s, c)...)
	if !s.MayBeRepeated {
		out = append(out, q.explainPermits(s, c)...)
	}
	for i, u := range s.Callers {
		at := fmt.Sprintf("callers[%d]", i)
		add("service."+at+".name", c.Callers[i].Name, "as answered", at+".name")
		add("service."+at+".rate_per_second", c.Callers[i].RatePerSecond, q.shareOf(u.RequestsPerSecond), at+".requests_per_second", "data_centres.hosts")
		add("service."+at+".burst", c.Callers[i].Burst, q.shareOf(u.Burst), at+".burst", "data_centres.hosts")
		add("service."+at+".in_flight", c.Callers[i].InFlight, q.shareOf(u.RequestsAtOnce), at+".requests_at_once", "data_centres.hosts")
	}
	return append(out, explainIndex(s)...)
}

func nameRange(s *Service) string {
	if s.Count == 1 {
		return s.Name
	}
	return s.serviceName(0) + " to " + s.serviceName(s.Count-1)
}

func (q *Questionnaire) shareOf(limit int) string {
	return fmt.Sprintf("each host's share: %d over %d hosts, rounded up", limit, q.Hosts())
}

func explainExtraLoad(s *Service, c config.Service) []Explanation {
	usual := "extra_load.usual_percent"
	why := "the slowest shards, as many as the extra load allows, are asked for a second time"
	if c.Hedge.Max == 0 {
		why = "no second requests: they may not be repeated, no other endpoint holds the shard, or no extra load is allowed"
	}
	one := func(setting string, value int, why string, answers ...string) Explanation {
		return Explanation{Service: s.Name, Setting: setting, Value: fmt.Sprint(value), Answers: answers, Why: why}
	}
	return []Explanation{
		one("service.hedge.percentile_per_mille", c.Hedge.PercentilePerMille, why, usual),
		one("service.hedge.budget_per_mille", c.Hedge.BudgetPerMille, why, usual),
		one("service.hedge.max", c.Hedge.Max, why, "first", usual, "shape.replicas_per_shard", "may_be_repeated"),
		one("service.retry.budget_per_mille", c.Retry.BudgetPerMille, "retries of refused and failed requests", "extra_load.in_trouble_percent"),
		one("service.retry.max", c.Retry.Max, "the same for all services"),
	}
}

func (q *Questionnaire) explainPermits(s *Service, c config.Service) []Explanation {
	one := func(setting string, value int, why string, answers ...string) Explanation {
		return Explanation{Service: s.Name, Setting: "service.permit." + setting, Value: fmt.Sprint(value), Answers: answers, Why: why}
	}
	return []Explanation{
		one("lifetime_ms", c.Permit.LifetimeMS, "as answered", "permits.valid_s"),
		one("retention_ms", c.Permit.RetentionMS, "as answered", "permits.outcome_kept_s"),
		one("limit", c.Permit.Limit, "each host's share of the expected requests for as long as their permits are kept",
			"limits.requests_per_second", "permits.valid_s", "permits.outcome_kept_s", "data_centres.hosts"),
	}
}

func explainIndex(s *Service) []Explanation {
	one := func(setting, value, why string, answers ...string) Explanation {
		return Explanation{Service: s.Name, Setting: "index." + setting, Value: value, Answers: answers, Why: why}
	}
	shape := func(field string) string {
		if s.SameShapeAs != "" {
			return "same_shape_as"
		}
		return "shape." + field
	}
	versions := make([]string, len(s.IndexVersions))
	for i, v := range s.IndexVersions {
		versions[i] = fmt.Sprintf("%d: %d shards", v.Version, v.Shards)
	}
	return []Explanation{
		one("endpoints", fmt.Sprintf("%d for each service", s.Shape.Replicas), "each data centre in turn", shape("replicas"), "addresses"),
		one("endpoints.slots", fmt.Sprint(s.Shape.Slots), "as answered", shape("slots")),
		one("endpoints.max_connections", fmt.Sprint(s.Shape.Connections), "as answered", shape("connections")),
		one("endpoints.connect_cost_ms", fmt.Sprint(s.Shape.ConnectionCostMS), "as answered", shape("connection_cost_ms")),
		one("snapshots", strings.Join(versions, "; "), "one for each index version", "index_versions", shape("shards")),
		one("snapshots.shards.replicas", fmt.Sprintf("%d for each shard", s.Shape.ReplicasPerShard),
			"in different data centres as far as there are endpoints", shape("replicas_per_shard")),
	}
}
