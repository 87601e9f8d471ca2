package gateway

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/balance"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/quarantine"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// sentAttempt is an attempt in progress, as the replica table and the quarantine
// know it.
type sentAttempt struct {
	load  *balance.Attempt
	blame *quarantine.Attempt
	// shard is the replica's service, if that is a shard of an index.
	shard string
}

// attemptSent records that an attempt was sent to its replica.
func (s *sharedState) attemptSent(now time.Duration, route string, req *dispatch.Request, r *quarantine.Request) sentAttempt {
	a := sentAttempt{blame: &quarantine.Attempt{Endpoint: req.Endpoint, Request: r, Isolated: req.Suspect}}
	s.mu.Lock()
	defer s.mu.Unlock()
	a.load = s.replicas.AttemptSent(now, route, req.Endpoint)
	a.shard = s.shardOf(req.Endpoint)
	s.attempts.Sent(a.blame)
	return a
}

// attemptEnded records the reply to an attempt and its latency. needless means that
// another replica had answered in place of this one. It returns the attempts that
// crashed their replica, according to the reply.
func (s *sharedState) attemptEnded(now time.Duration, route *routing.Route, a sentAttempt, reply *dispatch.Reply, took time.Duration, needless bool) []*quarantine.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas.AttemptEnded(now, a.load, reply)
	if reply.Outcome != dispatch.Refused {
		s.completions(route).Observe(now, took, reply.Outcome == dispatch.OK)
	}
	if a.shard != "" && (reply.Outcome == dispatch.OK || reply.Code == result.EndpointShed) {
		s.meter.AttemptAnswered(now, a.shard, took, route.Target)
	}
	if reply.Outcome == dispatch.OK {
		s.recordLatency(route, took)
		s.recordDuration(route, took)
	}
	return s.attemptsToBlame(now, a.blame, reply, needless)
}

// attemptsToBlame returns the attempts that a reply shows to have crashed their
// replica. The caller must hold mu.
func (s *sharedState) attemptsToBlame(now time.Duration, a *quarantine.Attempt, reply *dispatch.Reply, needless bool) []*quarantine.Attempt {
	if reply.Outcome == dispatch.Unknown && !needless {
		if s.attempts.Lost(now, a) {
			return []*quarantine.Attempt{a}
		}
		if reply.Code == result.EndpointCrashed {
			return s.attempts.EndpointEnded(now, a.Endpoint)
		}
		return nil
	}
	if s.attempts.Answered(a) && reply.Outcome == dispatch.OK {
		s.suspects.RecordRecovery(now, []view.Fingerprint{a.Request.Fingerprint})
	}
	if reply.Code == result.UnknownEndpoint && s.takesRequests(a.Endpoint) {
		return s.attempts.EndpointEnded(now, a.Endpoint)
	}
	return nil
}

// takesRequests reports whether a replica takes requests according to the view. The
// caller must hold mu.
func (s *sharedState) takesRequests(key string) bool {
	r := s.replicaOf(key)
	return r != nil && !s.isEvacuated(r)
}

// recordLatency adds the latency of a successful attempt to the route's
// estimate. The caller must hold mu.
func (s *sharedState) recordLatency(route *routing.Route, took time.Duration) {
	q := s.hedgeLatencies[route.Name]
	if q == nil {
		q = balance.NewQuantileEstimator(hedgeQuantile, route.Target/initialHedgeDivisor)
		s.hedgeLatencies[route.Name] = q
	}
	q.Observe(took)
}
