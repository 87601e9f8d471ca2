package overload

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/edf"
)

const (
	// averageHalfLife is that of the average share of admitted queries which a load
	// factor refers to. It is the age of what the factor is computed from: the half-life
	// of the meters and the time until the outcomes are known.
	averageHalfLife = 600 * time.Millisecond
	// maxSilence is the time without reports after which a host admits more. A host that
	// admits one query in a second gets reports as often.
	maxSilence = time.Second
	// offeredHalfLife is that of the offered work and of the rate at which queries end.
	offeredHalfLife = 3 * time.Second
	// minAdmitted is the least share of a route's queries that is admitted. It lets a
	// host notice that replicas have recovered, and keeps routes from starving.
	minAdmitted = 0.05
	// keptShare is the share that a route keeps of what it may start when more urgent
	// ones ask for it.
	keptShare = 0.5
	// repeatShare is the share of early repeats that is admitted, as a part of that of
	// first tries.
	repeatShare = 0.2
	// maxCredit bounds the queries of a route that are admitted in a row.
	maxCredit = 1.5
	// maxDebt is the number of queries by which returning callers may exceed the share.
	maxDebt = 1.5
	// returnShare is the share of the rate at which queries end that is promised to
	// refused callers; the rest is for first tries.
	returnShare = 0.25
)

// Bounds of the time after which a refused caller may come back. It is also at most the
// caller's timeout, which tells how long an answer is of use.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// route is the state of one route of an index.
type route struct {
	urgency     config.Urgency
	leastShards int
	// fraction is the share of the route's queries that the scarce shards have capacity
	// for. admitted is the share that is admitted, and average its recent average.
	fraction, admitted, average float64
	// base is the average when the latest reports came, which the load factor refers to.
	base   float64
	baseAt time.Duration
	// offered is the recent work of the queries.
	offered   float64
	offeredAt time.Duration
	// credit is the number of queries that may be admitted; repeatCredit is that of
	// early repeats.
	credit, repeatCredit float64
	queue                edf.Queue[*waiter]
	// ended counts the recent ends of queries.
	ended   float64
	endedAt time.Duration
	// nextReturn is when the latest refused caller may come back.
	nextReturn time.Duration
}

// update computes the admitted share after a time, before urgent routes are favoured.
func (r *route) update(now, elapsed, latest time.Duration, known []float64, spare float64) {
	r.average += (1 - decayFactor(elapsed, averageHalfLife)) * (r.admitted - r.average)
	if latest > r.baseAt {
		r.base, r.baseAt = r.average, latest
	}
	// Without reports, the host admits more and more until there are some.
	silence := max(now-r.baseAt-maxSilence, 0)
	base := r.base * (1 + silence.Seconds())
	r.fraction = min(max(base*loadFactor(known, spare), minAdmitted), 1)
	r.admitted = r.fraction
}

// give gives up to the wanted work to another route.
func (r *route) give(wanted float64) float64 {
	if r.offered <= 0 {
		return 0
	}
	given := min(wanted, (1-keptShare)*r.fraction*r.offered)
	given = min(given, max(r.admitted-keptShare*r.fraction, 0)*r.offered)
	r.admitted -= given / r.offered
	return given
}

func (r *route) decayOffered(now time.Duration) {
	r.offered *= decayFactor(now-r.offeredAt, offeredHalfLife)
	r.offeredAt = now
}

// earn adds what one offered query is worth.
func (r *route) earn() { r.credit = min(r.credit+r.admitted, maxCredit) }

// take takes the credit of one query if at least floor remains.
func (r *route) take(floor float64) bool {
	if r.credit-1 < floor {
		return false
	}
	r.credit--
	return true
}

// takeRepeat reports whether an early repeat may be admitted.
func (r *route) takeRepeat() bool {
	r.repeatCredit = min(r.repeatCredit+r.admitted*repeatShare, maxCredit)
	if r.repeatCredit < 1 {
		return false
	}
	r.repeatCredit--
	return true
}

func (r *route) recordEnded(now time.Duration) {
	r.ended = r.ended*decayFactor(now-r.endedAt, offeredHalfLife) + 1
	r.endedAt = now
}

// endRate returns the rate at which queries ended recently, per second.
func (r *route) endRate(now time.Duration) float64 {
	// A decaying count of events at a steady rate holds those of halfLife/ln 2.
	const meanLife = float64(offeredHalfLife) / 0.693
	return r.ended * decayFactor(now-r.endedAt, offeredHalfLife) / (meanLife / float64(time.Second))
}

// retryAfter returns when a refused caller may come back. Callers come back one after the
// other, at a share of the rate at which queries end; if that would take too long, at a
// random time.
func (r *route) retryAfter(now, timeout time.Duration, draw float64) time.Duration {
	longest := maxRetryAfter
	if timeout > 0 {
		longest = max(min(longest, timeout), minRetryAfter)
	}
	next := max(r.nextReturn, now+minRetryAfter)
	if rate := returnShare * r.endRate(now); rate > 0 {
		next += time.Duration((0.5 + draw) / rate * float64(time.Second))
	}
	if next-now > longest || r.ended == 0 {
		r.nextReturn = now + longest
		return max(time.Duration((0.5+draw/2)*float64(longest)), minRetryAfter)
	}
	r.nextReturn = next
	return next - now
}
