package gateway

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/overload"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// shardOutcomes collects how the shards of one request ended, for the meter of capacity.
type shardOutcomes struct {
	services []string
	// numbers are the numbers of the shards in the route, if the request is a part.
	numbers []int
	// until is when an answer is on time, by the clock of the gateway.
	until time.Duration
	// refused tells which shards a replica refused, and recorded which answered on time.
	refused, recorded []bool
	closed            bool
}

func newShardOutcomes(services []string, until time.Duration) *shardOutcomes {
	return &shardOutcomes{services: services, until: until, refused: make([]bool, len(services)), recorded: make([]bool, len(services))}
}

// due returns when the outcomes are to be recorded of the shards that have not answered.
func (o *shardOutcomes) due() (at time.Duration, ok bool) {
	if o == nil || o.closed {
		return 0, false
	}
	return o.until, true
}

// recordReply records the reply to an attempt.
func (x *execution) recordReply(reply *timedReply) {
	o, shard := x.outcomes, int(reply.Range.Start)
	if o == nil || o.closed || o.recorded[shard] {
		return
	}
	switch {
	case reply.Outcome == dispatch.OK && o.refused[shard]:
		o.recorded[shard] = true
		x.g.shared.recordShard(x.g.cfg.Now(), o.services[shard], overload.Recovered)
	case reply.Outcome == dispatch.OK:
		o.recorded[shard] = true
		x.g.shared.recordShard(x.g.cfg.Now(), o.services[shard], overload.Served)
	case reply.Code == result.EndpointShed && !o.refused[shard]:
		o.refused[shard] = true
		x.g.shared.recordShard(x.g.cfg.Now(), o.services[shard], overload.Refused)
	}
}

// recordOutcomesIfDue records the outcomes of the open shards once an answer is late.
func (x *execution) recordOutcomesIfDue() {
	if at, ok := x.outcomes.due(); ok && x.g.cfg.Now() >= at {
		x.recordOutcomes()
	}
}

// recordOutcomes records the outcomes of the shards that have not answered. A shard that
// no replica refused counts as late, if it is.
func (x *execution) recordOutcomes() {
	o := x.outcomes
	if o == nil || o.closed {
		return
	}
	o.closed = true
	now := x.g.cfg.Now()
	for i, service := range o.services {
		switch {
		case o.recorded[i], o.refused[i]:
		case now >= o.until:
			x.g.shared.recordShard(now, service, overload.Late)
		}
	}
}

func (s *sharedState) recordShard(now time.Duration, service string, o overload.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meter.Record(now, service, o)
}

// scarceShards returns the shards of a part whose replicas lacked capacity recently.
func (x *execution) scarceShards() []split.Scarce {
	o := x.outcomes
	if o == nil || o.numbers == nil {
		return nil
	}
	now := x.g.cfg.Now()
	x.g.shared.mu.Lock()
	defer x.g.shared.mu.Unlock()
	var out []split.Scarce
	for i, service := range o.services {
		if share, known := x.g.shared.meter.Share(now, service, x.g.shared.slotsByService[service]); known {
			out = append(out, split.Scarce{Shard: o.numbers[i], Percent: int(100 * share)})
		}
	}
	return out
}

// shardOf returns the service of a replica if it is a shard of an index, or the empty
// string. The caller must hold mu.
func (s *sharedState) shardOf(key string) string {
	if s.view == nil || s.view.Replicas[key] == nil {
		return ""
	}
	service := s.view.Replicas[key].Service
	if s.slotsByService[service] == 0 {
		return ""
	}
	return service
}

// slotsByShard returns, for each shard of an index, the number of requests that its
// replicas run at a time, divided by the number of hosts that send to them. The caller must
// hold mu.
func (s *sharedState) slotsByShard() map[string]float64 {
	out := make(map[string]float64)
	if s.view.Config == nil {
		return out
	}
	slots := make(map[string]int)
	for _, r := range s.view.Replicas {
		slots[r.Service] += max(r.Slots, 1)
	}
	for i := range s.view.Config.Routes {
		shards := s.view.Config.Routes[i].Shards
		senders := float64(s.hosts)
		if groups := s.peers.Groups(len(shards)); groups > 1 {
			senders = float64(s.ownerCount(groups))
		}
		for _, service := range shards {
			out[service] = float64(slots[service]) / max(senders, 1)
		}
	}
	return out
}
