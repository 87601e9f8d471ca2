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

// drawQuestionnaire makes answers that are mostly acceptable.
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
	number := func(name string, low, high int) int { return rapid.IntRange(low, high).Draw(t, name) }
	replicas := number("replicas", 1, 9)
	s := Service{
		Name:  fmt.Sprintf("s%d", i),
		Count: number("count", 1, 5),
		Shape: &Shape{
			Replicas: replicas, Slots: number("slots", 1, 4), Connections: number("connections", 6, 60), ConnectionCostMS: number("cost", 0, 6),
			Shards: number("shards", 1, 40), ReplicasPerShard: number("replicas per shard", 0, replicas), ShardUS: number("shard", 1, 1000),
		},
		IndexVersions:  []Version{{Version: 1}, {Version: 7, Shards: number("version shards", 1, 40)}},
		Urgency:        rapid.SampledFrom([]string{"urgent", "normal", "archive"}).Draw(t, "urgency"),
		First:          rapid.SampledFrom([]string{"latency", "coverage"}).Draw(t, "first"),
		MayBeRepeated:  rapid.Bool().Draw(t, "may be repeated"),
		AnswerWithinMS: number("answer within", 30, 100),
		DeadlineMS:     number("deadline", 60, 1000),
		MostDocuments:  number("documents", 1, 100),
		FreshVersions:  number("fresh", 1, 3),
		ExtraLoad:      ExtraLoad{number("usual", 0, 100), number("in trouble", 0, 100)},
		Limits:         Limits{RequestsPerSecond: number("rate", 1, 40), RequestsAtOnce: number("at once", 1, 100)},
		Callers:        []CallerUse{{Name: "c", RequestsPerSecond: 1, Burst: number("burst", 0, 9), RequestsAtOnce: 1}},
	}
	if !s.MayBeRepeated {
		s.Permits = &Permits{number("valid", 1, maxPermitS), number("kept", 1, maxPermitS)}
	}
	for j, d := range q.DataCentres {
		s.Addresses.Ranges = append(s.Addresses.Ranges, AddressRange{d.Name, fmt.Sprintf("10.%d.%d.%d:9000", i, j, number("first", 1, 200))})
	}
	return s
}

// TestAcceptedQuestionnaireGeneratesValidConfiguration checks that whatever
// Parse accepts becomes a bundle that hosts take, with the promised placement.
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
		b, err := config.NewBundle(out.Manifest, out.ByHash())
		g.Expect(err).NotTo(HaveOccurred())
		for i, s := range drawn.Services {
			checkLimits(g, drawn, s, b.Service(s.serviceName(0)))
			var endpoints []config.Endpoint
			for n := range s.Count {
				x := b.Index(s.serviceName(n))
				checkPlacement(g, s, x)
				endpoints = append(endpoints, x.Endpoints...)
			}
			checkAddresses(g, i, s, endpoints)
		}
	})
	if accepted < 30 {
		t.Error("no drawn questionnaire was accepted")
	}
}

// checkLimits checks that the hosts' shares add up to at least the limit and
// less than one more a host.
func checkLimits(g *WithT, q *Questionnaire, s Service, c *config.Service) {
	total := c.InFlightLimit * q.Hosts()
	g.Expect(total).To(And(BeNumerically(">=", s.Limits.RequestsAtOnce), BeNumerically("<", s.Limits.RequestsAtOnce+q.Hosts())))
	g.Expect(c.Hedge.Max == 0 || s.MayBeRepeated).To(BeTrue())
	g.Expect(c.Hedge.BudgetPerMille).To(BeNumerically("<=", 10*s.ExtraLoad.UsualPercent))
}

// checkAddresses checks that the endpoints of a group use up each data centre's
// range from its first address on.
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

// checkPlacement checks that each shard has its replicas in as many data
// centres as there are for them.
func checkPlacement(g *WithT, s Service, x *config.Index) {
	where := make(map[string]string)
	all := make(map[string]bool)
	for _, e := range x.Endpoints {
		where[e.ID] = e.DataCentre
		all[e.DataCentre] = true
	}
	want := s.Shape.ReplicasPerShard
	if want == 0 {
		want = s.Shape.Replicas
	}
	for _, snapshot := range x.Snapshots {
		for _, shard := range snapshot.Shards {
			ids, dataCentres := make(map[string]bool), make(map[string]bool)
			for _, id := range shard.Replicas {
				ids[id] = true
				dataCentres[where[id]] = true
			}
			g.Expect(ids).To(HaveLen(want))
			g.Expect(dataCentres).To(HaveLen(min(want, len(all))))
		}
	}
}

func expectFaults(g *WithT, err error) {
	var faults strictjson.Faults
	g.Expect(errors.As(err, &faults)).To(BeTrue())
	g.Expect(faults).NotTo(BeEmpty())
	for _, f := range faults {
		g.Expect(f.Code).To(And(BeNumerically(">=", 603), BeNumerically("<=", 608)))
	}
}

// FuzzParse checks that any bytes are either refused with numbered faults or
// become a bundle that hosts take.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
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
