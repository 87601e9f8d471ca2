package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpoint"
)

// relayAvoidancePeriod is how long a relay is avoided after it could not be
// reached, its connection broke, or it refused an attempt because it is
// stopping.
const relayAvoidancePeriod = 2 * time.Second

// relayFailure records the recent failures of a relay.
type relayFailure struct {
	avoidUntil time.Duration
	// disconnected reports that a connection to the relay broke, at
	// disconnectedAt.
	disconnected   bool
	disconnectedAt time.Duration
}

// relayFailureRetention is how long a relay's failure is kept after the
// avoidance period. AttemptsWritten needs it for writes that are reported
// after the connection broke.
const relayFailureRetention = 10 * time.Second

// fallbackHedgeDelayDivisor sets the hedge delay of a service with too few
// replies for a percentile: its latency target divided by this number.
const fallbackHedgeDelayDivisor = 4

// fallbackHedgeDelayMeanFactor limits the hedge delay of a service with too few
// replies for a percentile to this multiple of the mean latency.
const fallbackHedgeDelayMeanFactor = 4

// minHedgeDelay is the shortest hedge delay. Hedges sent earlier would compete
// with replies that arrive in the usual time.
const minHedgeDelay = time.Millisecond

// The bursts of hedges and retries. All services share the bursts of the host.
// Each service has two bursts of its own of size serviceBurst, one for hedges
// and one for retries.
const (
	hostHedgeBurst = 16
	hostRetryBurst = 32
	serviceBurst   = 4
)

// relayFor returns the peer address of the relay for an endpoint, or an empty
// string for this host. If this host is one of the endpoint's relays, it
// relays the attempt itself. Otherwise relayFor returns the first relay that
// has not failed recently, starting at a position that differs between hosts,
// so that the relays share the load. If all have failed, this host relays the
// attempt itself, over the single connection that its relay opens to an
// endpoint that is assigned to other relays.
func (m *Machine) relayFor(now time.Duration, endpointID string) string {
	relays := m.view.Relays[endpointID]
	if len(relays) == 0 || slices.Contains(relays, m.cfg.Self.Address) {
		return ""
	}
	first := int(m.cfg.Self.Start % uint64(len(relays)))
	for i := range relays {
		relay := relays[(first+i)%len(relays)]
		if now >= m.relayFailures[relay].avoidUntil {
			return relay
		}
	}
	return ""
}

// avoidRelay makes relayFor avoid a relay for relayAvoidancePeriod. An empty
// address, which is this host, is never avoided.
func (m *Machine) avoidRelay(now time.Duration, relay string) {
	if relay != "" {
		failure := m.relayFailures[relay]
		failure.avoidUntil = now + relayAvoidancePeriod
		m.relayFailures[relay] = failure
	}
}

// recordRelayDisconnect records a broken connection to a relay, and makes
// relayFor avoid the relay.
func (m *Machine) recordRelayDisconnect(now time.Duration, relay string) {
	failure := m.relayFailures[relay]
	failure.avoidUntil = now + relayAvoidancePeriod
	failure.disconnected = true
	failure.disconnectedAt = now
	m.relayFailures[relay] = failure
}

// removeOldRelayFailures removes failures that are too old to affect an
// attempt.
func (m *Machine) removeOldRelayFailures(now time.Duration) {
	for relay, failure := range m.relayFailures {
		if now >= failure.avoidUntil+relayFailureRetention {
			delete(m.relayFailures, relay)
		}
	}
}

// dispatchAttempt selects the relay for an attempt, dispatches the attempt and
// records it as outstanding.
func (m *Machine) dispatchAttempt(now time.Duration, r dispatch.Request) {
	relayAddress := m.relayFor(now, r.Endpoint)
	m.outstanding[r.Key] = &outstanding{
		relayAddress: relayAddress,
		endpoint:     r.Endpoint,
		sentAt:       now,
		expiresAt:    now + r.Budget + outstandingGrace,
		request:      r,
	}
	m.endpoints.RecordDispatch(now, r.Endpoint)
	m.actions.Dispatch = append(m.actions.Dispatch, RoutedRequest{To: relayAddress, Request: r})
}

// cancelAttempt cancels an attempt that is outstanding, and ignores any other.
func (m *Machine) cancelAttempt(c dispatch.Cancel) {
	if attempt, ok := m.outstanding[c.Key]; ok {
		m.actions.Cancel = append(m.actions.Cancel, RoutedCancel{To: attempt.relayAddress, Cancel: c})
	}
}

// attemptsWrittenTo returns the outstanding attempts that were written to a
// peer, sorted by key.
func (m *Machine) attemptsWrittenTo(peer string) []dispatch.Key {
	return m.outstandingKeys(func(attempt *outstanding) bool { return attempt.relayAddress == peer && attempt.written })
}

// overdueAttempts returns the attempts that are still outstanding
// outstandingGrace after their deadline, sorted by key.
func (m *Machine) overdueAttempts(now time.Duration) []dispatch.Key {
	return m.outstandingKeys(func(attempt *outstanding) bool { return now >= attempt.expiresAt })
}

// outstandingKeys returns the keys of the outstanding attempts that match.
// They are sorted, so that steps do not depend on the iteration order of the
// map.
func (m *Machine) outstandingKeys(match func(*outstanding) bool) []dispatch.Key {
	var keys []dispatch.Key
	for k, attempt := range m.outstanding {
		if match(attempt) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b dispatch.Key) int {
		return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Attempt, b.Attempt))
	})
	return keys
}

// replicaSelector chooses endpoints for attempts by what this host has
// observed of the endpoints.
type replicaSelector struct{ m *Machine }

// Eligible implements query.ReplicaSelector.
func (r replicaSelector) Eligible(now time.Duration, endpointID string) bool {
	return r.m.endpoints.Eligible(now, endpointID)
}

// Pick implements query.ReplicaSelector.
func (r replicaSelector) Pick(now time.Duration, candidates, exclude []string) (string, bool) {
	excluded := func(id string) bool { return slices.Contains(exclude, id) }
	return r.m.endpoints.Pick(now, candidates, excluded, r.m.rng)
}

// HedgeDelay implements query.ReplicaSelector.
func (r replicaSelector) HedgeDelay(s *config.Service) time.Duration {
	delay, ok := r.m.endpoints.LatencyPercentile(s.Name, s.Hedge.PercentilePerMille)
	if !ok {
		delay = r.fallbackHedgeDelay(s)
	}
	return max(delay, minHedgeDelay)
}

// fallbackHedgeDelay returns the hedge delay of a service with too few replies
// for a percentile. This is common on a large fleet, where each host sees few
// requests of a rarely used service.
func (r replicaSelector) fallbackHedgeDelay(s *config.Service) time.Duration {
	delay := s.LatencyTarget() / fallbackHedgeDelayDivisor
	if mean, ok := r.m.endpoints.MeanLatency(s.Name); ok {
		delay = min(delay, fallbackHedgeDelayMeanFactor*mean)
	}
	return delay
}

// serviceBudgets limits the hedges and retries of one service on this host.
type serviceBudgets struct {
	hedge *endpoint.Budget
	retry *endpoint.Budget
}

// CountPrimary implements query.Budgets.
func (b *serviceBudgets) CountPrimary(int) {
	b.hedge.RecordPrimary()
	b.retry.RecordPrimary()
}

// TakeHedge implements query.Budgets.
func (b *serviceBudgets) TakeHedge(int) bool { return b.hedge.TryTake() }

// TakeLate implements query.Budgets.
func (b *serviceBudgets) TakeLate(int) bool { return b.retry.TryTake() }

// TakeRetry implements query.Budgets.
func (b *serviceBudgets) TakeRetry(int) bool { return b.retry.TryTake() }

// updateBudgets adds, changes and removes budgets to match the services of the
// view. A changed budget keeps the tokens that it has saved.
func (m *Machine) updateBudgets() {
	services := m.view.Bundle.Services()
	for name := range m.serviceBudgets {
		if services[name] == nil {
			delete(m.serviceBudgets, name)
		}
	}
	for name, s := range services {
		if b := m.serviceBudgets[name]; b != nil {
			b.hedge.SetShare(s.Hedge.BudgetPerMille)
			b.retry.SetShare(s.Retry.BudgetPerMille)
			continue
		}
		m.serviceBudgets[name] = m.newBudgets(s)
	}
	m.growSharedRetryBurst()
}

// newBudgets returns the budgets of a service, which draw on the shared bursts
// of the host.
func (m *Machine) newBudgets(s *config.Service) *serviceBudgets {
	return &serviceBudgets{
		hedge: m.sharedHedgeBurst.NewBudget(s.Hedge.BudgetPerMille, serviceBurst),
		retry: m.sharedRetryBurst.NewBudget(s.Retry.BudgetPerMille, serviceBurst),
	}
}

// growSharedRetryBurst grows the burst so that the host can retry every shard
// of its widest index at once, as it must when an endpoint with that many
// attempts in flight is lost.
func (m *Machine) growSharedRetryBurst() {
	for name := range m.view.Bundle.Services() {
		if index := m.view.Bundle.Index(name); len(index.Snapshots) > 0 {
			m.sharedRetryBurst.Grow(len(index.Snapshots[len(index.Snapshots)-1].Shards))
		}
	}
}
