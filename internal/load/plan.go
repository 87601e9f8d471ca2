package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

// job is one request of the workload.
type job struct {
	number  int
	at      time.Duration
	service string
	group   string
	caller  string
	submit  bool
	// repeat sends a submit again through another host after its answer, as a
	// caller does that lost the answer.
	repeat bool
	// crashing tells that the body crashes endpoints; all crashing jobs of a
	// service share one body.
	crashing bool
	body     string
	key      keyrange.Key
}

// repeatOneIn is the share of submits that are repeated.
const repeatOneIn = 8

// planner makes the jobs of a run. The same seed gives the same jobs.
type planner struct {
	random   *rand.Rand
	phase    string
	groups   []plannedGroup
	rate     float64
	crashing bool
	next     job
	caller   string
}

type plannedGroup struct {
	name     string
	services []string
	weight   float64
	submit   bool
}

func newPlanner(o Options, phase string, seedStream uint64, crashing bool) *planner {
	p := &planner{
		random:   rand.New(rand.NewPCG(o.Seed, seedStream)),
		phase:    phase,
		rate:     o.Rate,
		crashing: crashing,
		caller:   standin.DefaultCaller,
	}
	if len(o.Addresses) > 0 {
		p.caller = o.Caller
		p.groups = []plannedGroup{{name: o.Service, services: []string{o.Service}, weight: 1}}
		return p
	}
	for _, g := range workloads[o.Deployment].groups {
		p.groups = append(p.groups, plannedGroup{
			name:     g.name,
			services: g.serviceNames(o.Scale),
			weight:   g.weight,
			submit:   g.shape.NotRepeatable,
		})
	}
	return p
}

// nextJob returns the next job; arrivals are a Poisson process.
func (p *planner) nextJob() job {
	p.next.number++
	p.next.at += time.Duration(p.random.ExpFloat64() / p.rate * float64(time.Second))
	g := p.pickGroup()
	j := p.next
	j.group = g.name
	j.submit = g.submit
	j.caller = p.caller
	j.service = g.services[p.random.IntN(len(g.services))]
	j.key = keyrange.Key(p.random.Uint64N(uint64(keyrange.End)))
	j.repeat = g.submit && p.random.IntN(repeatOneIn) == 0
	j.body = fmt.Sprintf("%s %s %d", j.service, p.phase, j.number)
	if p.crashing && !j.submit && j.number%crashInterval == 0 {
		j.crashing = true
		j.body = j.service + " " + standin.CrashMarker
	}
	return j
}

func (p *planner) pickGroup() plannedGroup {
	draw := p.random.Float64()
	for _, g := range p.groups {
		if draw < g.weight {
			return g
		}
		draw -= g.weight
	}
	return p.groups[len(p.groups)-1]
}
