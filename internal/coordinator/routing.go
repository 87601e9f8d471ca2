package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpoint"
)

// relayAvoidance is how long a relay that could not be reached, or that refused
// because it is stopping, is avoided.
const relayAvoidance = 2 * time.Second

// relayState is what is known of a relay that failed lately.
type relayState struct {
	avoidUntil time.Duration
	// lost tells that a connection to it broke, at lostAt.
	lost   bool
	lostAt time.Duration
}

// relayMemory is how long the break of a connection is remembered for reports of
// writes that come after it.
const relayMemory = 10 * time.Second

// defaultHedgeDivisor gives the hedge delay as a share of the latency target
// while too few replies were observed.
const defaultHedgeDivisor = 4

// hedgeMeans multiplies the mean latency of a service whose percentile is not
// known yet.
const hedgeMeans = 4

// minHedgeDelay keeps hedges from racing ordinary replies.
const minHedgeDelay = time.Millisecond

// Bursts of hedges and retries. Those of a host are shared by its services.
const (
	hostHedgeBurst = 16
	hostRetryBurst = 32
	serviceBurst   = 4
)

// route returns the relay for an endpoint: this host if it is one, else the
// first that did not fail lately, starting at a position that differs between
// hosts so that relays share the work. If all failed, this host relays itself,
// with the one connection that its relay uses for endpoints of others.
func (m *Machine) route(now time.Duration, id string) string {
	relays := m.view.Relays[id]
	if len(relays) == 0 || slices.Contains(relays, m.cfg.Self.Address) {
		return ""
	}
	first := int(m.cfg.Self.Start % uint64(len(relays)))
	for i := range relays {
		relay := relays[(first+i)%len(relays)]
		if now >= m.relays[relay].avoidUntil {
			return relay
		}
	}
	return ""
}

func (m *Machine) avoid(now time.Duration, relay string) {
	if relay != "" {
		s := m.relays[relay]
		s.avoidUntil = now + relayAvoidance
		m.relays[relay] = s
	}
}

func (m *Machine) relayLost(now time.Duration, relay string) {
	s := m.relays[relay]
	s.avoidUntil = now + relayAvoidance
	s.lost = true
	s.lostAt = now
	m.relays[relay] = s
}

// forgetRelays drops the failures of relays that no attempt can refer to.
func (m *Machine) forgetRelays(now time.Duration) {
	for relay, s := range m.relays {
		if now >= s.avoidUntil+relayMemory {
			delete(m.relays, relay)
		}
	}
}

// dispatch routes an attempt and accounts for it.
func (m *Machine) dispatch(now time.Duration, r dispatch.Request) {
	to := m.route(now, r.Endpoint)
	m.outstanding[r.Key] = &outstanding{
		to:       to,
		endpoint: r.Endpoint,
		sent:     now,
		expires:  now + r.Budget + outstandingGrace,
		request:  r,
	}
	m.table.Dispatched(now, r.Endpoint)
	m.out.Dispatch = append(m.out.Dispatch, Routed{To: to, Request: r})
}

func (m *Machine) cancel(c dispatch.Cancel) {
	if o, ok := m.outstanding[c.Key]; ok {
		m.out.Cancel = append(m.out.Cancel, RoutedCancel{To: o.to, Cancel: c})
	}
}

// outstandingAt returns the attempts that were written to a peer, in order.
func (m *Machine) outstandingAt(peer string) []dispatch.Key {
	return m.selectOutstanding(func(o *outstanding) bool { return o.to == peer && o.written })
}

// overdue returns the attempts whose reply is long overdue, in order.
func (m *Machine) overdue(now time.Duration) []dispatch.Key {
	return m.selectOutstanding(func(o *outstanding) bool { return now >= o.expires })
}

func (m *Machine) selectOutstanding(match func(*outstanding) bool) []dispatch.Key {
	var keys []dispatch.Key
	for k, o := range m.outstanding {
		if match(o) {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b dispatch.Key) int {
		return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Attempt, b.Attempt))
	})
	return keys
}

// replicas lets query machines choose endpoints by the host's beliefs.
type replicas struct{ m *Machine }

// Eligible implements query.ReplicaSelector.
func (r replicas) Eligible(now time.Duration, id string) bool {
	return r.m.table.Eligible(now, id)
}

// Pick implements query.ReplicaSelector.
func (r replicas) Pick(now time.Duration, candidates, exclude []string) (string, bool) {
	excluded := func(id string) bool { return slices.Contains(exclude, id) }
	return r.m.table.Pick(now, candidates, excluded, r.m.rng)
}

// HedgeDelay implements query.ReplicaSelector.
func (r replicas) HedgeDelay(s *config.Service) time.Duration {
	delay, ok := r.m.table.Percentile(s.Name, s.Hedge.PercentilePerMille)
	if !ok {
		delay = r.guessedHedgeDelay(s)
	}
	return max(delay, minHedgeDelay)
}

// guessedHedgeDelay is used while a service has too few replies for a percentile,
// as on each of many hosts of a service that is asked rarely.
func (r replicas) guessedHedgeDelay(s *config.Service) time.Duration {
	delay := s.LatencyTarget() / defaultHedgeDivisor
	if mean, ok := r.m.table.Mean(s.Name); ok {
		delay = min(delay, hedgeMeans*mean)
	}
	return delay
}

// budgets bounds the extra dispatches of one service on this host.
type budgets struct {
	hedge *endpoint.Budget
	retry *endpoint.Budget
}

// CountPrimary implements query.Budgets.
func (b *budgets) CountPrimary(int) {
	b.hedge.Primary()
	b.retry.Primary()
}

// TakeHedge implements query.Budgets.
func (b *budgets) TakeHedge(int) bool { return b.hedge.Take() }

// TakeRetry implements query.Budgets.
func (b *budgets) TakeRetry(int) bool { return b.retry.Take() }

// updateBudgets follows the services of the view. A budget keeps what it saved.
func (m *Machine) updateBudgets() {
	services := m.view.Bundle.Services()
	for name := range m.budgets {
		if services[name] == nil {
			delete(m.budgets, name)
		}
	}
	for name, s := range services {
		if b := m.budgets[name]; b != nil {
			b.hedge.SetShare(s.Hedge.BudgetPerMille)
			b.retry.SetShare(s.Retry.BudgetPerMille)
			continue
		}
		m.budgets[name] = m.newBudgets(s)
	}
	m.growReserves()
}

// newBudgets gives a service budgets that share the host's reserves.
func (m *Machine) newBudgets(s *config.Service) *budgets {
	return &budgets{
		hedge: m.hedges.Budget(s.Hedge.BudgetPerMille, serviceBurst),
		retry: m.retries.Budget(s.Retry.BudgetPerMille, serviceBurst),
	}
}

// growReserves lets the host retry every shard of its widest index at once, so
// that the loss of an endpoint with attempts in flight is made good.
func (m *Machine) growReserves() {
	for name := range m.view.Bundle.Services() {
		if x := m.view.Bundle.Index(name); len(x.Snapshots) > 0 {
			m.retries.Grow(len(x.Snapshots[len(x.Snapshots)-1].Shards))
		}
	}
}
