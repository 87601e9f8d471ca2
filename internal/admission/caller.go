package admission

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// caller is the state of one caller of a service. Its rate is limited by the
// generic cell rate algorithm (GCRA).
type caller struct {
	// limits is nil if the configuration does not list the caller.
	limits *config.Caller
	// unfinished is the number of waiting and admitted requests.
	unfinished int
	// theoreticalArrival is the time at which the next request is due at exactly the
	// configured rate. Requests may be up to Burst intervals early.
	theoreticalArrival time.Duration
}

// refusalCode returns the reason to refuse a further request, or 0 if it is allowed.
func (c *caller) refusalCode(now time.Duration) result.Code {
	if c.limits == nil {
		return 0
	}
	if c.limits.RatePerSecond > 0 && c.theoreticalArrival-now > time.Duration(c.limits.Burst)*c.requestInterval() {
		return result.CallerRate
	}
	if c.limits.InFlight > 0 && c.unfinished >= c.limits.InFlight {
		return result.CallerInFlight
	}
	return 0
}

// addRequest counts a request against the rate and the in-flight limit.
func (c *caller) addRequest(now time.Duration) {
	c.unfinished++
	if c.limits != nil && c.limits.RatePerSecond > 0 {
		c.theoreticalArrival = max(c.theoreticalArrival, now) + c.requestInterval()
	}
}

// requestInterval returns the time between two requests at the configured rate.
func (c *caller) requestInterval() time.Duration {
	return time.Second / time.Duration(c.limits.RatePerSecond)
}
