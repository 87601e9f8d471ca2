package endpoint

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Table tracks the state of all endpoints of the configuration in force.
type Table struct {
	view     *view.View
	bundle   *config.Bundle
	replicas map[string]*replica
	services map[string]*service
	// removedLeaving holds the leaving signals of endpoints that were removed
	// from the configuration, in case a later configuration contains them again.
	removedLeaving map[string]leavingSignal
	// pickBuffer holds the candidates of the best tier during Pick; it is
	// reused.
	pickBuffer []*replica
}

// leavingSignal records until when the process at an address counts as leaving.
type leavingSignal struct {
	address string
	until   time.Duration
}

// NewTable returns a table without endpoints.
func NewTable() *Table {
	return &Table{
		view:           &view.View{},
		replicas:       make(map[string]*replica),
		services:       make(map[string]*service),
		removedLeaving: make(map[string]leavingSignal),
	}
}

// SetView replaces the view. An endpoint whose address is unchanged keeps its
// state; one with a new address is a new process and starts with empty state.
func (t *Table) SetView(now time.Duration, v *view.View) {
	t.view = v
	if v.Bundle == t.bundle {
		return
	}
	t.bundle = v.Bundle
	maps.DeleteFunc(t.removedLeaving, func(_ string, s leavingSignal) bool { return s.until <= now })
	for id, r := range t.replicas {
		if e := v.Bundle.Endpoint(id); e == nil || e.Address != r.address {
			r.service.remove(r)
			delete(t.replicas, id)
			t.removedLeaving[id] = leavingSignal{address: r.address, until: r.leavingUntil}
		}
	}
	for id, e := range v.Bundle.Endpoints() {
		t.updateReplica(now, id, e, v.Bundle.EndpointService(id))
	}
	for name := range t.services {
		if v.Bundle.Service(name) == nil {
			delete(t.services, name)
		}
	}
}

// updateReplica adds an endpoint or applies its new configuration.
func (t *Table) updateReplica(now time.Duration, id string, e *config.Endpoint, owner string) {
	s := t.services[owner]
	if s == nil {
		s = newService()
		t.services[owner] = s
	}
	r := t.replicas[id]
	if r == nil {
		r = &replica{id: id, address: e.Address, countFrom: now}
		if signal := t.removedLeaving[id]; signal.address == e.Address {
			r.leavingUntil = signal.until
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

// Pick chooses a replica for a new attempt by the power of two choices: of two
// random candidates it takes the one with the lower cost. It draws them from the
// first tier that has a candidate. The tiers are, in order: on probation,
// healthy in this data centre, healthy elsewhere, overloaded, and ejected.
// Probation comes first so that one attempt tests whether the endpoint has
// recovered. exclude may be nil. The result is false if every candidate is
// unknown, leaving or excluded.
func (t *Table) Pick(now time.Duration, candidates []string, exclude func(string) bool, rng *rand.Rand) (string, bool) {
	best := tierNone
	t.pickBuffer = t.pickBuffer[:0]
	for _, id := range candidates {
		r := t.replicas[id]
		if r == nil || t.isLeaving(now, r) || (exclude != nil && exclude(id)) {
			continue
		}
		candidateTier := t.tierOf(now, r)
		if candidateTier > best {
			continue
		}
		if candidateTier < best {
			best = candidateTier
			t.pickBuffer = t.pickBuffer[:0]
		}
		t.pickBuffer = append(t.pickBuffer, r)
	}
	if len(t.pickBuffer) == 0 {
		return "", false
	}
	return t.cheaperOfTwo(now, rng).id, true
}

// tier is the order of preference among candidates; lower tiers are preferred.
type tier uint8

const (
	tierProbation tier = iota
	tierLocal
	tierRemote
	tierOverloaded
	tierEjected
	tierNone
)

func (t *Table) tierOf(now time.Duration, r *replica) tier {
	switch r.condition(now) {
	case Ejected:
		return tierEjected
	case Probation:
		return tierProbation
	case Overloaded:
		return tierOverloaded
	default:
		if r.dataCentre == t.view.Self.DataCentre {
			return tierLocal
		}
		return tierRemote
	}
}

// cheaperOfTwo returns the cheaper of two random replicas in pickBuffer.
func (t *Table) cheaperOfTwo(now time.Duration, rng *rand.Rand) *replica {
	n := len(t.pickBuffer)
	if n == 1 {
		return t.pickBuffer[0]
	}
	i := rng.IntN(n)
	j := rng.IntN(n - 1)
	if j >= i {
		j++
	}
	if t.pickBuffer[j].cost(now) < t.pickBuffer[i].cost(now) {
		return t.pickBuffer[j]
	}
	return t.pickBuffer[i]
}

// cost estimates the time that one more attempt would take, in nanoseconds.
func (r *replica) cost(now time.Duration) float64 {
	cost := r.expectedLatency(now) * float64(r.inFlight+1)
	if age := now - r.reportAt; r.reported && age < reportTTL && r.report.Slots > 0 {
		load := min(float64(r.report.InFlight)/float64(r.report.Slots), 1)
		cost *= 1 + reportWeight*max(load, 0)*(1-float64(age)/float64(reportTTL))
	}
	return cost
}

// expectedLatency returns the average latency of the replica, which converges to
// the mean of the service as the last sample ages, so that a replica that was
// slow once gets attempts again.
func (r *replica) expectedLatency(now time.Duration) float64 {
	mean := r.service.meanOrDefault()
	if r.latency == 0 {
		return mean
	}
	weight := math.Exp2(-float64(now-r.latencyAt) / float64(latencyHalfLife))
	return mean + (r.latency-mean)*weight
}

func (t *Table) isLeaving(now time.Duration, r *replica) bool {
	return now < r.leavingUntil || t.view.LeavingEndpoints[r.id]
}

// Condition returns the current condition of an endpoint.
func (t *Table) Condition(now time.Duration, endpoint string) Condition {
	r := t.replicas[endpoint]
	if r == nil {
		return Unknown
	}
	if t.isLeaving(now, r) {
		return Leaving
	}
	return r.condition(now)
}

// Eligible reports whether an endpoint is known, not leaving and not ejected.
// Pick may still choose an ejected endpoint if there is no other candidate.
func (t *Table) Eligible(now time.Duration, endpoint string) bool {
	c := t.Condition(now, endpoint)
	return c != Unknown && c != Leaving && c != Ejected
}

// Usable reports whether Pick may choose an endpoint at all: it is known and not
// leaving.
func (t *Table) Usable(now time.Duration, endpoint string) bool {
	c := t.Condition(now, endpoint)
	return c != Unknown && c != Leaving
}

// InFlight returns the number of this host's attempts in flight at an endpoint.
func (t *Table) InFlight(endpoint string) int {
	if r := t.replicas[endpoint]; r != nil {
		return r.inFlight
	}
	return 0
}

// LatencyPercentile returns the latency that perMille thousandths of the
// service's recent replies did not exceed. The result is false if there are too
// few recent replies.
func (t *Table) LatencyPercentile(service string, perMille int) (time.Duration, bool) {
	s := t.services[service]
	if s == nil {
		return 0, false
	}
	return s.latencies.percentile(perMille)
}

// MeanLatency returns the moving average of the latencies of a service's
// replies. The result is false if there are none.
func (t *Table) MeanLatency(service string) (time.Duration, bool) {
	s := t.services[service]
	if s == nil || s.meanLatency == 0 {
		return 0, false
	}
	return time.Duration(s.meanLatency), true
}
