package gateway

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/balance"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// reviewDivisor is the divisor of a route's target that gives the time between two
// decisions whether a query waits for its open shards.
const reviewDivisor = 30

// minReviewInterval is the least time between two of these decisions.
const minReviewInterval = 2 * time.Millisecond

// completions returns the estimator of a route. The caller must hold mu.
func (s *sharedState) completions(route *routing.Route) *balance.CompletionTimes {
	c := s.completionTimes[route.Name]
	if c == nil {
		c = balance.NewCompletionTimes(route.Target)
		s.completionTimes[route.Name] = c
	}
	return c
}

// Chance implements query.Forecaster. A replica that fails to answer some of its attempts
// is less likely to answer the open ones.
func (r requestState) Chance(now time.Duration, endpoint string, sentAt, until time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	chance := r.completions(r.route).Chance(now-sentAt, until-sentAt)
	return chance * (1 - r.replicas.FailureRate(now, endpoint))
}

// OutOfReach implements query.Forecaster.
func (r requestState) OutOfReach(now time.Duration, endpoint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replicas.AnyOutOfReach(now) && r.replicas.Known(endpoint) && !r.replicas.InReach(now, endpoint)
}

// ReviewInterval implements query.Forecaster.
func (r requestState) ReviewInterval() time.Duration {
	return max(r.route.Target/reviewDivisor, minReviewInterval)
}
