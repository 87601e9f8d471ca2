package questionnaire

import "fmt"

// Risk is a valid answer, or a valid change, that can cause problems.
type Risk struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
	Remedy string `json:"remedy"`
}

// Risks returns the risks of a questionnaire returned by Parse.
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

// fieldPath returns the path of a field of the service in risks.
func (s *Service) fieldPath(name string) string { return s.Name + "." + name }

// connectionRisks reports endpoints that do not allow a connection for each host
// and its replacement. While all hosts are being replaced, the old and the new
// ones hold connections at the same time.
func (q *Questionnaire) connectionRisks(s *Service) []Risk {
	if needed := replacementFactor * q.Hosts(); s.Shape.Connections < needed {
		return []Risk{{
			Field:  s.fieldPath("shape.connections"),
			Reason: fmt.Sprintf("%d connections are too few for %d hosts and their replacements", s.Shape.Connections, q.Hosts()),
			Remedy: "not every host can reach every endpoint directly; requests go through other hosts",
		}}
	}
	return nil
}

func placementRisks(s *Service) []Risk {
	var out []Risk
	if s.Shape.ReplicasPerShard < 2 {
		out = append(out, Risk{s.fieldPath("shape.replicas_per_shard"), "each shard has one endpoint", "while it is away its shards are missing; hold each shard twice"})
	}
	for n := range s.Count {
		if shard, dataCentre := s.shardInOneDataCentre(n); dataCentre != "" && s.Shape.ReplicasPerShard > 1 {
			return append(out, Risk{
				Field:  s.fieldPath("addresses"),
				Reason: fmt.Sprintf("all replicas of shard %d of %s are in %s", shard, s.serviceName(n), dataCentre),
				Remedy: "while that data centre is cut off the shard is missing; spread the endpoints",
			})
		}
	}
	return out
}

// shardInOneDataCentre returns the first shard of service n of the group whose
// replicas are all in one data centre, and that data centre, which is empty if
// there is no such shard.
func (s *Service) shardInOneDataCentre(n int) (shard int, dataCentre string) {
	index := s.buildIndex(n, s.serviceName(n))
	dataCentres := make(map[string]string, len(index.Endpoints))
	for _, e := range index.Endpoints {
		dataCentres[e.ID] = e.DataCentre
	}
	for _, snapshot := range index.Snapshots {
		for i, sh := range snapshot.Shards {
			if firstDataCentre := dataCentres[sh.Replicas[0]]; allInDataCentre(sh.Replicas, dataCentres, firstDataCentre) {
				return i, firstDataCentre
			}
		}
	}
	return 0, ""
}

// allInDataCentre reports whether all replicas are in the data centre. dataCentres
// maps endpoint IDs to data centres.
func allInDataCentre(replicas []string, dataCentres map[string]string, dataCentre string) bool {
	for _, id := range replicas {
		if dataCentres[id] != dataCentre {
			return false
		}
	}
	return true
}

func (q *Questionnaire) limitRisks(s *Service) []Risk {
	var out []Risk
	if s.Limits.RequestsAtOnce < q.Hosts() {
		out = append(out, Risk{
			s.fieldPath("limits.requests_at_once"),
			fmt.Sprintf("%d is less than the %d hosts", s.Limits.RequestsAtOnce, q.Hosts()),
			fmt.Sprintf("each host lets 1 run, so that %d may run at once", q.Hosts()),
		})
	}
	totalRate := 0
	for _, caller := range s.Callers {
		totalRate += caller.RequestsPerSecond
	}
	if totalRate > s.Limits.RequestsPerSecond {
		out = append(out, Risk{
			s.fieldPath("callers"),
			fmt.Sprintf("the callers together may send %d requests a second, the service expects %d", totalRate, s.Limits.RequestsPerSecond),
			"when all are busy some are refused",
		})
	}
	return out
}
