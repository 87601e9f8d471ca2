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
	sequence int
	// startOffset is the scheduled start of the job, from the start of the load.
	startOffset time.Duration
	service     string
	group       string
	caller      string
	submit      bool
	// repeatSubmit sends a submit again through another host after its answer, like
	// a caller that has lost the answer.
	repeatSubmit bool
	// crashesEndpoint is set if the body makes endpoints crash. All such jobs of a
	// service have the same body.
	crashesEndpoint bool
	body            string
	key             keyrange.Key
}

// repeatInterval is such that one in repeatInterval submits is sent again, on
// average.
const repeatInterval = 8

// planner generates the jobs of a run. The same seed gives the same jobs.
type planner struct {
	random    *rand.Rand
	phase     string
	groups    []plannedGroup
	rate      float64
	crashJobs bool
	// last holds the sequence number and the start of the last job.
	last   job
	caller string
}

// plannedGroup is a group of services that get a share of the jobs.
type plannedGroup struct {
	name     string
	services []string
	weight   float64
	submit   bool
}

// newPlanner returns a planner for a phase of the run. seedStream gives each phase
// its own random numbers.
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

// nextJob returns the next job. The scheduled starts form a Poisson process.
func (p *planner) nextJob() job {
	p.last.sequence++
	p.last.startOffset += time.Duration(p.random.ExpFloat64() / p.rate * float64(time.Second))
	g := p.pickGroup()
	j := p.last
	j.group = g.name
	j.submit = g.submit
	j.caller = p.caller
	j.service = g.services[p.random.IntN(len(g.services))]
	j.key = keyrange.Key(p.random.Uint64N(uint64(keyrange.End)))
	j.repeatSubmit = g.submit && p.random.IntN(repeatInterval) == 0
	j.body = fmt.Sprintf("%s %s %d", j.service, p.phase, j.sequence)
	if p.crashJobs && !j.submit && j.sequence%crashInterval == 0 {
		j.crashesEndpoint = true
		j.body = j.service + " " + standin.CrashMarker
	}
	return j
}

// pickGroup draws a group at random by weight.
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
