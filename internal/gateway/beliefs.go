package gateway

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/belief"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/ratelimit"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// maxLeavingPerHeartbeat bounds the number of leaving replicas sent in one heartbeat.
const maxLeavingPerHeartbeat = 4

// Announcement reports what a replica has said of itself.
type Announcement struct {
	Replica string
	// Leaving means that the replica said that it leaves.
	Leaving bool
	// Pause is how long the replica wants no requests from this host, or zero.
	Pause time.Duration
	// FromPeer means that another host told of it.
	FromPeer bool
}

// block says whether a replica may get an attempt now. The caller must hold mu.
func (s *sharedState) block(now time.Duration, key string, lastResort bool) belief.Block {
	if s.isEvacuated(s.replicaOf(key)) {
		return belief.Block{Code: result.EndpointEvacuated}
	}
	if s.isDraining(key) {
		return belief.Block{Code: result.EndpointLeaving}
	}
	if b := s.beliefs.Check(now, key, lastResort); b.Code != 0 {
		return b
	}
	if !s.limits.Allows(now, key) {
		return belief.Block{Code: result.EndpointRateLimit, Until: now}
	}
	if !s.cold.Allows(now, key) {
		return belief.Block{Code: result.EndpointCold, Until: now}
	}
	return belief.Block{}
}

// admitAttempt takes the right to send an attempt to a replica now. If there is none, it
// returns the code to refuse the attempt with.
func (s *sharedState) admitAttempt(now time.Duration, key string, replica *routing.Replica) (*ratelimit.Ticket, result.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isEvacuated(replica) {
		return nil, result.EndpointEvacuated
	}
	if s.isDraining(key) {
		return nil, result.EndpointLeaving
	}
	if b := s.beliefs.Check(now, key, true); b.Code != 0 {
		return nil, b.Code
	}
	if !s.cold.Allows(now, key) {
		return nil, result.EndpointCold
	}
	if !s.limits.Take(now, key) {
		return nil, result.EndpointRateLimit
	}
	s.beliefs.Sent(now, key)
	ticket, _ := s.cold.Take(now, key)
	return ticket, 0
}

// barred returns the code to refuse an attempt with that is about to be written, or zero.
func (s *sharedState) barred(now time.Duration, key string, replica *routing.Replica) result.Code {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isEvacuated(replica) {
		return result.EndpointEvacuated
	}
	if s.isDraining(key) {
		return result.EndpointLeaving
	}
	return s.beliefs.Barred(now, key)
}

// isDraining reports whether a replica is registered as leaving in the view in force. A request
// may have begun with a view from before. The caller must hold mu.
func (s *sharedState) isDraining(key string) bool { return s.view != nil && s.view.IsLeaving(key) }

// learnAnnouncement records what a replica's reply says of the replica. It reports
// whether there is news.
func (s *sharedState) learnAnnouncement(now time.Duration, reply *dispatch.Reply) (news Announcement, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beliefs.Ended(reply.Endpoint)
	if reply.Outcome == dispatch.OK {
		s.beliefs.HeardServed(now, reply.Endpoint)
	}
	news.Replica = reply.Endpoint
	news.Leaving = reply.Load != nil && reply.Load.Leaving && s.beliefs.HeardLeaving(now, reply.Endpoint)
	if s.beliefs.HeardPause(now, reply.Endpoint, reply.Pause) {
		news.Pause = reply.Pause
	}
	return news, news.Leaving || news.Pause > 0
}

// LeavingHints returns the replicas to report to other hosts as leaving.
func (g *Gateway) LeavingHints() []string {
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	return g.shared.beliefs.LeavingHints(g.cfg.Now(), maxLeavingPerHeartbeat)
}

// MergeLeavingHints records the replicas that another host reported as leaving.
func (g *Gateway) MergeLeavingHints(replicas []string) {
	for _, key := range replicas[:min(len(replicas), maxLeavingPerHeartbeat)] {
		if g.shared.mergeLeaving(g.cfg.Now(), key) {
			g.cfg.Recorder.EndpointAnnounced(Announcement{Replica: key, Leaving: true, FromPeer: true})
		}
	}
}

// mergeLeaving records that a replica that this host knows is leaving.
func (s *sharedState) mergeLeaving(now time.Duration, key string) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takesRequests(key) && s.beliefs.HeardLeaving(now, key)
}

// pausedUntil returns when so few shards of a plan are without a replica because of
// pauses that the route's LeastShards can be met, or zero if that is so now.
func (s *sharedState) pausedUntil(now time.Duration, route *routing.Route, plan *routing.Plan) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.beliefs.AnyPause(now) {
		return 0
	}
	shards := plan.Index.Snapshots[0].Shards
	var pausedShards []time.Duration
	for i := range shards {
		if at := s.shardPausedUntil(now, shards[i].Replicas); at > 0 {
			pausedShards = append(pausedShards, at)
		}
	}
	excess := len(pausedShards) - (len(shards) - max(route.LeastShards, 1))
	if excess <= 0 {
		return 0
	}
	slices.Sort(pausedShards)
	return pausedShards[excess-1]
}

// shardPausedUntil returns when the first of a shard's replicas may get a request, if all
// that are not leaving are in a pause, else zero. The caller must hold mu.
func (s *sharedState) shardPausedUntil(now time.Duration, replicas []string) time.Duration {
	var earliest time.Duration
	for _, key := range replicas {
		switch b := s.beliefs.Check(now, key, true); b.Code {
		case 0:
			return 0
		case result.EndpointPaused:
			if earliest == 0 || b.Until < earliest {
				earliest = b.Until
			}
		}
	}
	return earliest
}
