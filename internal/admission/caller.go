package admission

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// caller holds the rate and the requests in flight of one caller of a service.
type caller struct {
	limits *config.Caller
	// requests counts the waiting and the admitted ones.
	requests int
	// earned is when the rate has paid for all requests taken so far.
	earned time.Duration
}

// check returns the reason to refuse a further request, or 0.
func (c *caller) check(now time.Duration) result.Code {
	if c.limits == nil {
		return 0
	}
	if c.limits.RatePerSecond > 0 && c.earned-now > time.Duration(c.limits.Burst)*c.interval() {
		return result.CallerRate
	}
	if c.limits.InFlight > 0 && c.requests >= c.limits.InFlight {
		return result.CallerInFlight
	}
	return 0
}

// take counts a request.
func (c *caller) take(now time.Duration) {
	c.requests++
	if c.limits != nil && c.limits.RatePerSecond > 0 {
		c.earned = max(c.earned, now) + c.interval()
	}
}

// interval is the time in which the rate pays for one request.
func (c *caller) interval() time.Duration {
	return time.Second / time.Duration(c.limits.RatePerSecond)
}
