package relay

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/edf"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Machine is the relay of one host.
type Machine struct {
	config   Config
	view     *view.View
	replicas map[string]*replica
	// ordered holds the replicas by endpoint ID.
	ordered  []*replica
	attempts map[dispatch.Key]*attempt
	recent   *keyRing
	// suspects holds the suspects that are in flight.
	suspects map[view.Fingerprint]bool
	sequence uint64
	counters Counters
	draining bool

	started   bool
	lastEvent time.Duration
	// stale is set from a pause until the beliefs are fresh again.
	stale      bool
	staleSince time.Duration
	warmAt     time.Duration
}

// New returns a machine that knows no endpoint until SetView. The random source
// spreads the periodic work of the hosts.
func New(cfg Config, rng *rand.Rand) *Machine {
	return &Machine{
		config:   cfg.withDefaults(),
		view:     &view.View{},
		replicas: make(map[string]*replica),
		attempts: make(map[dispatch.Key]*attempt),
		recent:   newKeyRing(),
		suspects: make(map[view.Fingerprint]bool),
		warmAt:   time.Duration(rng.Int64N(int64(warmPeriod))),
	}
}

// Dispatch takes attempts from a coordinator. origin is the peer address of its
// host, or empty for this host.
func (m *Machine) Dispatch(now time.Duration, origin string, requests []dispatch.Request) Actions {
	var out Actions
	m.begin(now, &out)
	for i := range requests {
		m.accept(now, origin, &requests[i], &out)
	}
	return out
}

func (m *Machine) accept(now time.Duration, origin string, request *dispatch.Request, out *Actions) {
	if m.attempts[request.Key] != nil || m.recent.has(request.Key) {
		m.counters.DuplicateAttempts++
		return
	}
	a := &attempt{request: *request, origin: origin}
	a.request.Urgency = min(a.request.Urgency, config.UrgencyCount-1)
	m.sequence++
	a.Deadline = now + request.Budget
	a.Sequence = m.sequence
	a.refuseAt = min(a.Deadline, now+m.config.SuspectWait)
	r, code := m.check(now, a)
	if code != 0 {
		m.recent.add(request.Key)
		out.reply(origin, request.RefusedReply(code))
		return
	}
	a.replica = r
	m.attempts[request.Key] = a
	m.enqueue(a)
	m.pump(now, r, out)
}

// check returns the reason to refuse a new attempt, or 0.
func (m *Machine) check(now time.Duration, a *attempt) (*replica, result.Code) {
	if m.draining && a.origin != "" {
		return nil, result.Stopping
	}
	r := m.replica(a.request.Endpoint)
	switch {
	case r == nil || !r.known:
		return nil, result.UnknownEndpoint
	case r.leaving(now):
		return nil, result.EndpointLeaving
	case a.Deadline <= now:
		return nil, result.ExpiredBeforeSend
	case m.stale && a.Deadline <= m.staleUntil():
		return nil, result.StaleBelief
	}
	if code := m.checkSuspicion(now, a); code != 0 {
		return nil, code
	}
	return r, m.checkQueue(now, r, a)
}

func (m *Machine) checkQueue(now time.Duration, r *replica, a *attempt) result.Code {
	switch {
	case r.queueOf(a).Len() >= m.config.QueueLimit:
		return result.RelayQueueFull
	case a.suspect() || len(r.running) < r.capacity():
		return 0
	case now+r.expectedWait(a) >= a.Deadline:
		return result.RelayDeadline
	}
	return 0
}

// replica returns the state of an endpoint of the configuration, or nil.
func (m *Machine) replica(id string) *replica {
	r := m.replicas[id]
	if r == nil {
		e := m.view.Bundle.Endpoint(id)
		if e == nil {
			return nil
		}
		r = &replica{id: id, sinceSuspect: edf.FloorInterval}
		m.replicas[id] = r
		i, _ := slices.BinarySearchFunc(m.ordered, id, compareID)
		m.ordered = slices.Insert(m.ordered, i, r)
		m.configure(r, e)
	}
	return r
}

func compareID(r *replica, id string) int { return strings.Compare(r.id, id) }

func (m *Machine) enqueue(a *attempt) { a.replica.queueOf(a).Push(a) }

func (m *Machine) dequeue(a *attempt) { a.replica.queueOf(a).Remove(a) }

// refuse ends an attempt that was taken out of its queue and never sent.
func (m *Machine) refuse(a *attempt, code result.Code, out *Actions) {
	m.end(a)
	out.reply(a.origin, a.request.RefusedReply(code))
}

// end forgets an attempt.
func (m *Machine) end(a *attempt) {
	delete(m.attempts, a.request.Key)
	m.recent.add(a.request.Key)
}

// Cancel withdraws an attempt. One that waits is refused; one that is in flight
// is aborted, and its reply comes when the endpoint has let go of it.
func (m *Machine) Cancel(now time.Duration, origin string, c dispatch.Cancel) Actions {
	var out Actions
	m.begin(now, &out)
	a := m.attempts[c.Key]
	switch {
	case a == nil || a.origin != origin:
	case a.sent:
		m.abort(a, &out)
	default:
		m.dequeue(a)
		m.refuse(a, result.CancelledBeforeSend, &out)
		m.pump(now, a.replica, &out)
	}
	return out
}

// OriginLost ends the interest of a host that cannot be reached any more. What
// waits is dropped. Searches in flight are aborted; submits run to their end,
// since a submit that was cut in half helps nobody.
func (m *Machine) OriginLost(now time.Duration, origin string) Actions {
	var out Actions
	m.begin(now, &out)
	for _, r := range slices.Clone(m.ordered) {
		for _, a := range r.all() {
			if a.origin == origin {
				m.orphan(a)
				m.dequeue(a)
				m.end(a)
			}
		}
		for _, a := range r.running {
			if a.origin != origin || a.orphan {
				continue
			}
			m.orphan(a)
			if a.request.Operation == dispatch.Search {
				m.abort(a, &out)
			}
		}
		m.pump(now, r, &out)
	}
	return out
}

// abort asks the endpoint once to stop an attempt that was sent.
func (m *Machine) abort(a *attempt, out *Actions) {
	if a.aborted {
		return
	}
	a.aborted = true
	out.Abort = append(out.Abort, dispatch.Cancel{Key: a.request.Key, Endpoint: a.request.Endpoint})
}

func (m *Machine) orphan(a *attempt) {
	a.orphan = true
	m.counters.OrphanedAttempts++
}

// Drain refuses further attempts of other hosts. This host's own requests, and
// all that was taken, run to their end.
func (m *Machine) Drain(now time.Duration) Actions {
	var out Actions
	m.begin(now, &out)
	m.draining = true
	return out
}

// Idle reports whether every attempt has got its reply.
func (m *Machine) Idle() bool { return len(m.attempts) == 0 }

// Counters returns what was counted so far.
func (m *Machine) Counters() Counters { return m.counters }

// Status returns the state of an endpoint; it is false if nothing was sent to
// the endpoint and it is not assigned to this host.
func (m *Machine) Status(now time.Duration, endpoint string) (Status, bool) {
	r := m.replicas[endpoint]
	if r == nil {
		return Status{}, false
	}
	return Status{
		Queued: r.queued(), InFlight: len(r.running), Limit: r.capacity(), SuspectsWaiting: r.suspects.Len(),
		Alone: r.alone, Leaving: r.leaving(now), Held: now < r.holdUntil,
	}, true
}
