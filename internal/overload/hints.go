package overload

import (
	"maps"
	"slices"
	"time"
)

const (
	// fullPercent is the Percent of a hint whose sender admits all queries.
	fullPercent = 100
	// hintWeight is the weight of a hint. A host gets about six in a second, so that the
	// hosts agree within a second.
	hintWeight = 0.3
	// maxHintAge is the age from which a hint says nothing: within it, a load changes
	// and the share with it.
	maxHintAge = time.Second
)

// Hint tells other hosts which share of a route's queries the replicas have capacity for.
// Hosts that get few queries learn it from these.
type Hint struct {
	Route   string `msgpack:"r"`
	Percent int    `msgpack:"p"`
	// Age is the time since the sender last learned of the capacity of shards.
	Age time.Duration `msgpack:"a"`
}

// Hints returns the hints about routes that some host may have to refuse queries of, at
// most limit.
func (g *Gate) Hints(now time.Duration, limit int) []Hint {
	g.update(now)
	age := now - g.shares.latest
	known, _ := g.shares.known(now)
	if age > maxHintAge || !g.limited && len(known) == 0 {
		return nil
	}
	var out []Hint
	for _, name := range slices.Sorted(maps.Keys(g.routes)) {
		if len(out) < limit {
			out = append(out, Hint{Route: name, Percent: int(g.routes[name].fraction*fullPercent + 0.5), Age: age})
		}
	}
	return out
}

// Merge merges a hint of another host about a route, which has asked this gate before. It
// reports whether the hint counted.
func (g *Gate) Merge(now time.Duration, h Hint) bool {
	r := g.routes[h.Route]
	if r == nil || h.Percent < 0 || h.Percent > fullPercent || h.Age < 0 || h.Age > maxHintAge {
		return false
	}
	g.update(now)
	told := max(float64(h.Percent)/fullPercent, minAdmitted)
	learned := r.fraction + hintWeight*(told-r.fraction)
	r.base *= learned / r.fraction
	r.average += hintWeight * (told - r.average)
	r.fraction = learned
	r.admitted = min(r.admitted, r.fraction)
	g.limited = g.limited || r.fraction < 1
	return true
}
