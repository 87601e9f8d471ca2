package questionnaire

import (
	"fmt"
	"strings"

	"github.com/gypsumlug/gypsumlug/internal/config"
)

// Explanation lists the answers that a setting is derived from.
type Explanation struct {
	// Service is the name of the service or group.
	Service string `json:"service"`
	// Setting is the path in the generated documents, prefixed with the document
	// kind.
	Setting string `json:"setting"`
	Value   string `json:"value"`
	// Answers are the questionnaire fields that the setting is derived from.
	Answers []string `json:"answers"`
	Why     string   `json:"why"`
}

// Explain returns the explanations of all settings, in the order of the services.
func Explain(q *Questionnaire) []Explanation {
	var out []Explanation
	for i := range q.Services {
		out = append(out, q.explainService(&q.Services[i])...)
	}
	return out
}

func (q *Questionnaire) explainService(s *Service) []Explanation {
	derived := q.deriveService(s, s.serviceName(0))
	var explanations []Explanation
	add := func(setting string, value any, why string, answers ...string) {
		explanations = append(explanations, Explanation{Service: s.Name, Setting: setting, Value: fmt.Sprint(value), Answers: answers, Why: why})
	}
	add("service.format", derived.Format, "the format that hosts read")
	add("service.name", nameRange(s), "one service for each of the group", "name", "count")
	add("service.urgency", derived.Urgency, "0 is dispatched before 1, 1 before 2", "urgency")
	add("service.preference", derived.Preference, "what a query gives up last", "first")
	add("service.repeatable", derived.Repeatable, "false takes submits under permits and no queries", "may_be_repeated")
	add("service.latency_target_ms", derived.LatencyTargetMS, "as answered", "answer_within_ms")
	add("service.deadline_ms", derived.DeadlineMS, "as answered", "deadline_ms")
	add("service.max_hits", derived.MaxHits, "as answered", "most_documents")
	add("service.fresh_snapshots", derived.FreshSnapshots, "as answered", "fresh_versions")
	add("service.in_flight_limit", derived.InFlightLimit, q.explainHostShare(s.Limits.RequestsAtOnce), "limits.requests_at_once", "data_centres.hosts")
	add("service.queue_limit", derived.QueueLimit, "as many as can be answered before the deadline", "limits.requests_at_once", "answer_within_ms", "deadline_ms")
	explanations = append(explanations, explainExtraLoad(s, derived)...)
	if !s.MayBeRepeated {
		explanations = append(explanations, q.explainPermits(s, derived)...)
	}
	for i, caller := range s.Callers {
		path := fmt.Sprintf("callers[%d]", i)
		add("service."+path+".name", derived.Callers[i].Name, "as answered", path+".name")
		add("service."+path+".rate_per_second", derived.Callers[i].RatePerSecond, q.explainHostShare(caller.RequestsPerSecond), path+".requests_per_second", "data_centres.hosts")
		add("service."+path+".burst", derived.Callers[i].Burst, q.explainHostShare(caller.Burst), path+".burst", "data_centres.hosts")
		add("service."+path+".in_flight", derived.Callers[i].InFlight, q.explainHostShare(caller.RequestsAtOnce), path+".requests_at_once", "data_centres.hosts")
	}
	return append(explanations, explainIndex(s)...)
}

func nameRange(s *Service) string {
	if s.Count == 1 {
		return s.Name
	}
	return s.serviceName(0) + " to " + s.serviceName(s.Count-1)
}

func (q *Questionnaire) explainHostShare(limit int) string {
	return fmt.Sprintf("each host's share: %d over %d hosts, rounded up", limit, q.Hosts())
}

func explainExtraLoad(s *Service, derived config.Service) []Explanation {
	usualPercentField := "extra_load.usual_percent"
	why := "the slowest shards, as many as the extra load allows, are asked for a second time"
	if derived.Hedge.Max == 0 {
		why = "no second requests: they may not be repeated, no other endpoint holds the shard, or no extra load is allowed"
	}
	explain := func(setting string, value int, why string, answers ...string) Explanation {
		return Explanation{Service: s.Name, Setting: setting, Value: fmt.Sprint(value), Answers: answers, Why: why}
	}
	return []Explanation{
		explain("service.hedge.percentile_per_mille", derived.Hedge.PercentilePerMille, why, usualPercentField),
		explain("service.hedge.budget_per_mille", derived.Hedge.BudgetPerMille, why, usualPercentField),
		explain("service.hedge.max", derived.Hedge.Max, why, "first", usualPercentField, "shape.replicas_per_shard", "may_be_repeated"),
		explain("service.retry.budget_per_mille", derived.Retry.BudgetPerMille, "retries of refused and failed requests", "extra_load.in_trouble_percent"),
		explain("service.retry.max", derived.Retry.Max, "the same for all services"),
	}
}

func (q *Questionnaire) explainPermits(s *Service, derived config.Service) []Explanation {
	explain := func(setting string, value int, why string, answers ...string) Explanation {
		return Explanation{Service: s.Name, Setting: "service.permit." + setting, Value: fmt.Sprint(value), Answers: answers, Why: why}
	}
	return []Explanation{
		explain("lifetime_ms", derived.Permit.LifetimeMS, "as answered", "permits.valid_s"),
		explain("retention_ms", derived.Permit.RetentionMS, "as answered", "permits.outcome_kept_s"),
		explain("limit", derived.Permit.Limit, "each host's share of the expected requests for as long as their permits are kept",
			"limits.requests_per_second", "permits.valid_s", "permits.outcome_kept_s", "data_centres.hosts"),
	}
}

func explainIndex(s *Service) []Explanation {
	explain := func(setting, value, why string, answers ...string) Explanation {
		return Explanation{Service: s.Name, Setting: "index." + setting, Value: value, Answers: answers, Why: why}
	}
	shapeAnswer := func(field string) string {
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
		explain("endpoints", fmt.Sprintf("%d for each service", s.Shape.Replicas), "each data centre in turn", shapeAnswer("replicas"), "addresses"),
		explain("endpoints.slots", fmt.Sprint(s.Shape.Slots), "as answered", shapeAnswer("slots")),
		explain("endpoints.max_connections", fmt.Sprint(s.Shape.Connections), "as answered", shapeAnswer("connections")),
		explain("endpoints.connect_cost_ms", fmt.Sprint(s.Shape.ConnectionCostMS), "as answered", shapeAnswer("connection_cost_ms")),
		explain("snapshots", strings.Join(versions, "; "), "one for each index version", "index_versions", shapeAnswer("shards")),
		explain("snapshots.shards.replicas", fmt.Sprintf("%d for each shard", s.Shape.ReplicasPerShard),
			"in different data centres as far as there are endpoints", shapeAnswer("replicas_per_shard")),
	}
}
