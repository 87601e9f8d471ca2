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
	number      int
	startOffset time.Duration
	service     string
	group       string
	caller      string
	submit      bool
	// repeatSubmit sends a submit again through another host after its answer, as a
	// caller does that lost the answer.
	repeatSubmit bool
	// crashesEndpoint tells that the body crashes endpoints; all crashesEndpoint jobs of a
	// service share one body.
	crashesEndpoint bool
	body            string
	key             keyrange.Key
}

// repeatInterval is the share of submits that are repeated.
const repeatInterval = 8

// planner makes the jobs of a run. The same seed gives the same jobs.
type planner struct {
	random    *rand.Rand
	phase     string
	groups    []plannedGroup
	rate      float64
	crashJobs bool
	last      job
	caller    string
}

type plannedGroup struct {
	name     string
	services []string
	weight   float64
	submit   bool
}

func newPlanner(o Options, phase string, seedStream uint64, crashJobs bool) *planner {
	p := &planner{
		random:    rand.New(rand.NewPCG(o.Seed, seedStream)),
		phase:     phase,
		rate:      o.Rate,
		crashJobs: crashJobs,
		caller:    standin.DefaultCaller,
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
	p.last.number++
	p.last.startOffset += time.Duration(p.random.ExpFloat64() / p.rate * float64(time.Second))
	g := p.pickGroup()
	j := p.last
	j.group = g.name
	j.submit = g.submit
	j.caller = p.caller
	j.service = g.services[p.random.IntN(len(g.services))]
	j.key = keyrange.Key(p.random.Uint64N(uint64(keyrange.End)))
	j.repeatSubmit = g.submit && p.random.IntN(repeatInterval) == 0
	j.body = fmt.Sprintf("%s %s %d", j.service, p.phase, j.number)
	if p.crashJobs && !j.submit && j.number%crashInterval == 0 {
		j.crashesEndpoint = true
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
