package questionnaire

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/strictjson"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

// drawQuestionnaire draws a questionnaire that is valid in most cases.
func drawQuestionnaire(t *rapid.T) *Questionnaire {
	q := &Questionnaire{Format: FormatVersion, Deployment: "drawn", Revision: 1, Callers: []Caller{{Name: "c"}}}
	for i := range rapid.IntRange(1, 4).Draw(t, "data centres") {
		q.DataCentres = append(q.DataCentres, DataCentre{Name: fmt.Sprintf("dc%d", i), Hosts: rapid.IntRange(1, 6).Draw(t, "hosts")})
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "services") {
		q.Services = append(q.Services, drawService(t, q, i))
	}
	return q
}

func drawService(t *rapid.T, q *Questionnaire, i int) Service {
	drawInt := func(name string, low, high int) int { return rapid.IntRange(low, high).Draw(t, name) }
	replicas := drawInt("replicas", 1, 9)
	s := Service{
		Name:  fmt.Sprintf("s%d", i),
		Count: drawInt("count", 1, 5),
		Shape: &Shape{
			Replicas: replicas, Slots: drawInt("slots", 1, 4), Connections: drawInt("connections", 6, 60), ConnectionCostMS: drawInt("cost", 0, 6),
			Shards: drawInt("shards", 1, 40), ReplicasPerShard: drawInt("replicas per shard", 0, replicas), ShardUS: drawInt("shard", 1, 1000),
		},
		IndexVersions:  []Version{{Version: 1}, {Version: 7, Shards: drawInt("version shards", 1, 40)}},
		Urgency:        rapid.SampledFrom([]string{"urgent", "normal", "archive"}).Draw(t, "urgency"),
		First:          rapid.SampledFrom([]string{"latency", "coverage"}).Draw(t, "first"),
		MayBeRepeated:  rapid.Bool().Draw(t, "may be repeated"),
		AnswerWithinMS: drawInt("answer within", 30, 100),
		DeadlineMS:     drawInt("deadline", 60, 1000),
		MostDocuments:  drawInt("documents", 1, 100),
		FreshVersions:  drawInt("fresh", 1, 3),
		ExtraLoad:      ExtraLoad{drawInt("usual", 0, 100), drawInt("in trouble", 0, 100)},
		Limits:         Limits{RequestsPerSecond: drawInt("rate", 1, 40), RequestsAtOnce: drawInt("at once", 1, 100)},
		Callers:        []CallerUse{{Name: "c", RequestsPerSecond: 1, Burst: drawInt("burst", 0, 9), RequestsAtOnce: 1}},
	}
	if !s.MayBeRepeated {
		s.Permits = &Permits{drawInt("valid", 1, maxPermitSeconds), drawInt("kept", 1, maxPermitSeconds)}
	}
	for j, d := range q.DataCentres {
		s.Addresses.Ranges = append(s.Addresses.Ranges, AddressRange{d.Name, fmt.Sprintf("10.%d.%d.%d:9000", i, j, drawInt("first", 1, 200))})
	}
	return s
}

// TestAcceptedQuestionnaireGeneratesValidConfiguration checks that each
// questionnaire accepted by Parse generates a valid bundle, always the same one,
// with the limits, placement and addresses that the answers ask for.
func TestAcceptedQuestionnaireGeneratesValidConfiguration(t *testing.T) {
	accepted := 0
	testsuite.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		drawn := drawQuestionnaire(t)
		q, err := Parse("drawn", marshal(drawn))
		if err != nil {
			expectFaults(g, err)
			return
		}
		accepted++
		out, err := Generate(q, 5)
		g.Expect(err).NotTo(HaveOccurred())
		again, err := Generate(q, 5)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(out))
		bundle, err := config.NewBundle(out.Manifest, out.ByHash())
		g.Expect(err).NotTo(HaveOccurred())
		for i, s := range drawn.Services {
			checkLimits(g, drawn, s, bundle.Service(s.serviceName(0)))
			var endpoints []config.Endpoint
			for n := range s.Count {
				index := bundle.Index(s.serviceName(n))
				checkPlacement(g, s, index)
				endpoints = append(endpoints, index.Endpoints...)
			}
			checkAddresses(g, i, s, endpoints)
		}
	})
	if accepted < 30 {
		t.Error("fewer than 30 drawn questionnaires were accepted")
	}
}

// checkLimits checks that the shares of the hosts add up to at least the limit and
// exceed it by less than one per host, that only repeatable requests are hedged, and
// that the hedge budget is within the extra load.
func checkLimits(g *WithT, q *Questionnaire, s Service, generated *config.Service) {
	total := generated.InFlightLimit * q.Hosts()
	g.Expect(total).To(And(BeNumerically(">=", s.Limits.RequestsAtOnce), BeNumerically("<", s.Limits.RequestsAtOnce+q.Hosts())))
	g.Expect(generated.Hedge.Max == 0 || s.MayBeRepeated).To(BeTrue())
	g.Expect(generated.Hedge.BudgetPerMille).To(BeNumerically("<=", 10*s.ExtraLoad.UsualPercent))
}

// checkAddresses checks that the endpoints of a group use consecutive addresses
// in each data centre, starting at the first one of its range.
func checkAddresses(g *WithT, i int, s Service, endpoints []config.Endpoint) {
	got := make(map[string][]string)
	for _, e := range endpoints {
		got[e.DataCentre] = append(got[e.DataCentre], e.Address)
	}
	for j, r := range s.Addresses.Ranges {
		var first int
		_, err := fmt.Sscanf(r.First, fmt.Sprintf("10.%d.%d.%%d:9000", i, j), &first)
		g.Expect(err).NotTo(HaveOccurred())
		want := make([]string, len(got[r.DataCentre]))
		for k := range want {
			want[k] = fmt.Sprintf("10.%d.%d.%d:9000", i, j, first+k)
		}
		g.Expect(got[r.DataCentre]).To(ConsistOf(want))
	}
}

// checkPlacement checks that each shard has the right number of replicas, in as
// many different data centres as possible.
func checkPlacement(g *WithT, s Service, index *config.Index) {
	dataCentreOf := make(map[string]string)
	available := make(map[string]bool)
	for _, e := range index.Endpoints {
		dataCentreOf[e.ID] = e.DataCentre
		available[e.DataCentre] = true
	}
	replicas := s.Shape.ReplicasPerShard
	if replicas == 0 {
		replicas = s.Shape.Replicas
	}
	for _, snapshot := range index.Snapshots {
		for _, shard := range snapshot.Shards {
			ids, dataCentres := make(map[string]bool), make(map[string]bool)
			for _, id := range shard.Replicas {
				ids[id] = true
				dataCentres[dataCentreOf[id]] = true
			}
			g.Expect(ids).To(HaveLen(replicas))
			g.Expect(dataCentres).To(HaveLen(min(replicas, len(available))))
		}
	}
}

// expectFaults checks that err holds faults, all with questionnaire codes.
func expectFaults(g *WithT, err error) {
	var faults strictjson.Faults
	g.Expect(errors.As(err, &faults)).To(BeTrue())
	g.Expect(faults).NotTo(BeEmpty())
	for _, f := range faults {
		g.Expect(f.Code).To(And(BeNumerically(">=", 603), BeNumerically("<=", 608)))
	}
}

// FuzzParse checks that any input is either rejected with faults that have
// questionnaire codes, or generates a valid bundle.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validQuestionnaire))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		q, err := Parse("fuzzed", data)
		if err != nil {
			expectFaults(g, err)
			return
		}
		out, err := Generate(q, 1)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = config.NewBundle(out.Manifest, out.ByHash())
		g.Expect(err).NotTo(HaveOccurred())
	})
}
