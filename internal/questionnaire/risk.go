package questionnaire

import "fmt"

// Risk is something that is allowed but may hurt.
type Risk struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
	Remedy string `json:"remedy"`
}

// Risks returns the risks of a questionnaire that Parse accepted.
func Risks(q *Questionnaire) []Risk {
	var out []Risk
	for i := range q.Services {
		s := &q.Services[i]
		out = append(out, q.connectionRisks(s)...)
		out = append(out, placementRisks(s)...)
		out = append(out, q.limitRisks(s)...)
	}
	return out
}

func (s *Service) field(name string) string { return s.Name + "." + name }

// connectionRisks tells of connections that the hosts can't share: while all
// hosts are replaced, each holds connections beside its replacement.
func (q *Questionnaire) connectionRisks(s *Service) []Risk {
	if hosts := connectionsPerSlot * q.Hosts(); s.Shape.Connections < hosts {
		return []Risk{{
			Field:  s.field("shape.connections"),
			Reason: fmt.Sprintf("%d connections are too few for %d hosts and their replacements", s.Shape.Connections, q.Hosts()),
			Remedy: "not every host can reach every endpoint directly; requests go through other hosts",
		}}
	}
	return nil
}

func placementRisks(s *Service) []Risk {
	var out []Risk
	if s.Shape.ReplicasPerShard < 2 {
		out = append(out, Risk{s.field("shape.replicas_per_shard"), "each shard has one endpoint", "while it is away its shards are missing; hold each shard twice"})
	}
	for n := range s.Count {
		if shard, dataCentre := s.concentrated(n); dataCentre != "" && s.Shape.ReplicasPerShard > 1 {
			return append(out, Risk{
				Field:  s.field("addresses"),
				Reason: fmt.Sprintf("all replicas of shard %d of %s are in %s", shard, s.serviceName(n), dataCentre),
				Remedy: "while that data centre is cut off the shard is missing; spread the endpoints",
			})
		}
	}
	return out
}

// concentrated returns the first shard of service n whose replicas are all in
// one data centre, and that data centre; it is empty if there is none.
func (s *Service) concentrated(n int) (shard int, dataCentre string) {
	x := s.index(n, s.serviceName(n))
	where := make(map[string]string, len(x.Endpoints))
	for _, e := range x.Endpoints {
		where[e.ID] = e.DataCentre
	}
	for _, snapshot := range x.Snapshots {
		for i, sh := range snapshot.Shards {
			if first := where[sh.Replicas[0]]; allIn(sh.Replicas, where, first) {
				return i, first
			}
		}
	}
	return 0, ""
}

func allIn(replicas []string, where map[string]string, dataCentre string) bool {
	for _, id := range replicas {
		if where[id] != dataCentre {
			return false
		}
	}
	return true
}

func (q *Questionnaire) limitRisks(s *Service) []Risk {
	var out []Risk
	if s.Limits.RequestsAtOnce < q.Hosts() {
		out = append(out, Risk{
			s.field("limits.requests_at_once"),
			fmt.Sprintf("%d is less than the %d hosts", s.Limits.RequestsAtOnce, q.Hosts()),
			fmt.Sprintf("each host lets 1 run, so that %d may run at once", q.Hosts()),
		})
	}
	rate := 0
	for _, u := range s.Callers {
		rate += u.RequestsPerSecond
	}
	if rate > s.Limits.RequestsPerSecond {
		out = append(out, Risk{
			s.field("callers"),
			fmt.Sprintf("the callers together may send %d requests a second, the service expects %d", rate, s.Limits.RequestsPerSecond),
			"when all are busy some are refused",
		})
	}
	return out
}
