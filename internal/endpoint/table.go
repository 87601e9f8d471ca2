package endpoint

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Table holds the beliefs about all endpoints of the configuration in force.
type Table struct {
	view     *view.View
	bundle   *config.Bundle
	replicas map[string]*replica
	services map[string]*service
	// removed holds the signs of leaving of endpoints that left the
	// configuration, lest they come back meanwhile.
	removed map[string]leavingSign
	pool    []*replica
}

// leavingSign tells until when the process at an address is held to be leaving.
type leavingSign struct {
	address string
	until   time.Duration
}

// NewTable returns a table that knows no endpoint.
func NewTable() *Table {
	return &Table{
		view:     &view.View{},
		replicas: make(map[string]*replica),
		services: make(map[string]*service),
		removed:  make(map[string]leavingSign),
	}
}

// SetView replaces the view. Endpoints that stay at their address keep their
// state; one that moved to another address is a new process and starts anew.
func (t *Table) SetView(now time.Duration, v *view.View) {
	t.view = v
	if v.Bundle == t.bundle {
		return
	}
	t.bundle = v.Bundle
	maps.DeleteFunc(t.removed, func(_ string, s leavingSign) bool { return s.until <= now })
	for id, r := range t.replicas {
		if e := v.Bundle.Endpoint(id); e == nil || e.Address != r.address {
			r.service.remove(r)
			delete(t.replicas, id)
			t.removed[id] = leavingSign{address: r.address, until: r.leavingUntil}
		}
	}
	for id, e := range v.Bundle.Endpoints() {
		t.update(now, id, e, v.Bundle.Owner(id))
	}
	for name := range t.services {
		if v.Bundle.Service(name) == nil {
			delete(t.services, name)
		}
	}
}

func (t *Table) update(now time.Duration, id string, e *config.Endpoint, owner string) {
	s := t.services[owner]
	if s == nil {
		s = newService()
		t.services[owner] = s
	}
	r := t.replicas[id]
	if r == nil {
		r = &replica{id: id, address: e.Address, since: now}
		if sign := t.removed[id]; sign.address == e.Address {
			r.leavingUntil = sign.until
		}
		t.replicas[id] = r
	}
	if r.service != s {
		if r.service != nil {
			r.service.remove(r)
		}
		r.service = s
		s.replicas = append(s.replicas, r)
	}
	r.slots = e.Slots
	r.dataCentre = e.DataCentre
}

// Pick chooses a replica for a new attempt by two random choices, of which it
// takes the one with the lower cost. It draws them from the best group that has
// a candidate: healthy in this data centre, healthy elsewhere, overloaded, and
// then ejected. An endpoint on probation is picked at once, so that it is tried
// by one attempt. exclude may be nil. The result is false if every candidate is
// unknown, leaving or excluded.
func (t *Table) Pick(now time.Duration, candidates []string, exclude func(string) bool, rng *rand.Rand) (string, bool) {
	best := groupNone
	t.pool = t.pool[:0]
	for _, id := range candidates {
		r := t.replicas[id]
		if r == nil || t.leaving(now, r) || (exclude != nil && exclude(id)) {
			continue
		}
		g := t.group(now, r)
		if g > best {
			continue
		}
		if g < best {
			best = g
			t.pool = t.pool[:0]
		}
		t.pool = append(t.pool, r)
	}
	if len(t.pool) == 0 {
		return "", false
	}
	return t.choose(now, rng).id, true
}

// group is the order in which candidates are considered.
type group uint8

const (
	groupProbation group = iota
	groupLocal
	groupRemote
	groupOverloaded
	groupEjected
	groupNone
)

func (t *Table) group(now time.Duration, r *replica) group {
	switch r.condition(now) {
	case Ejected:
		return groupEjected
	case Probation:
		return groupProbation
	case Overloaded:
		return groupOverloaded
	default:
		if r.dataCentre == t.view.Self.DataCentre {
			return groupLocal
		}
		return groupRemote
	}
}

func (t *Table) choose(now time.Duration, rng *rand.Rand) *replica {
	n := len(t.pool)
	if n == 1 {
		return t.pool[0]
	}
	i := rng.IntN(n)
	j := rng.IntN(n - 1)
	if j >= i {
		j++
	}
	if t.pool[j].cost(now) < t.pool[i].cost(now) {
		return t.pool[j]
	}
	return t.pool[i]
}

// cost estimates the time until a further attempt ends, in nanoseconds.
func (r *replica) cost(now time.Duration) float64 {
	cost := r.estimate(now) * float64(r.inFlight+1)
	if age := now - r.reportAt; r.reported && age < reportTTL && r.report.Slots > 0 {
		load := min(float64(r.report.InFlight)/float64(r.report.Slots), 1)
		cost *= 1 + reportWeight*max(load, 0)*(1-float64(age)/float64(reportTTL))
	}
	return cost
}

// estimate returns the latency, drawn to the service's mean as it ages, so that
// a replica that was slow once is tried again.
func (r *replica) estimate(now time.Duration) float64 {
	mean := r.service.mean()
	if r.latency == 0 {
		return mean
	}
	keep := math.Exp2(-float64(now-r.latencyAt) / float64(latencyHalfLife))
	return mean + (r.latency-mean)*keep
}

func (t *Table) leaving(now time.Duration, r *replica) bool {
	return now < r.leavingUntil || t.view.LeavingEndpoints[r.id]
}

// Condition returns what is believed of an endpoint.
func (t *Table) Condition(now time.Duration, endpoint string) Condition {
	r := t.replicas[endpoint]
	if r == nil {
		return Unknown
	}
	if t.leaving(now, r) {
		return Leaving
	}
	return r.condition(now)
}

// Eligible reports whether an endpoint may get new work as a matter of course:
// it is known, not leaving and not ejected. Pick may still choose an ejected
// endpoint when there is no other.
func (t *Table) Eligible(now time.Duration, endpoint string) bool {
	c := t.Condition(now, endpoint)
	return c != Unknown && c != Leaving && c != Ejected
}

// Usable reports whether Pick may choose an endpoint at all: it is known and
// not leaving.
func (t *Table) Usable(now time.Duration, endpoint string) bool {
	c := t.Condition(now, endpoint)
	return c != Unknown && c != Leaving
}

// InFlight returns this host's attempts in flight at an endpoint.
func (t *Table) InFlight(endpoint string) int {
	if r := t.replicas[endpoint]; r != nil {
		return r.inFlight
	}
	return 0
}

// LatencyPercentile returns the latency that perMille thousandths of the service's
// recent replies did not exceed. It is false with too few replies to tell.
func (t *Table) LatencyPercentile(service string, perMille int) (time.Duration, bool) {
	s := t.services[service]
	if s == nil {
		return 0, false
	}
	return s.latencies.percentile(perMille)
}

// MeanLatency returns the moving average of the latencies of a service's replies. It is
// false without any.
func (t *Table) MeanLatency(service string) (time.Duration, bool) {
	s := t.services[service]
	if s == nil || s.average == 0 {
		return 0, false
	}
	return time.Duration(s.average), true
}
