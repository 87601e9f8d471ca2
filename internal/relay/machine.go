package relay

import (
	"cmp"
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

// Machine is the state machine of the relay on one host.
type Machine struct {
	config   Config
	view     *view.View
	replicas map[string]*replica
	// sortedReplicas holds the replicas sorted by endpoint ID.
	sortedReplicas []*replica
	attempts       map[dispatch.Key]*attempt
	recentKeys     *recentKeySet
	// runningSuspects holds the fingerprints of the suspects in flight.
	runningSuspects map[view.Fingerprint]bool
	lastSequence    uint64
	counters        Counters
	draining        bool

	started   bool
	lastEvent time.Duration
	// stale is set from a pause until a newer view arrives or RefreshWindow ends.
	stale            bool
	staleSince       time.Duration
	nextPeakRotation time.Duration
}

// New returns a machine that has no endpoints until SetView is called. rng spreads
// the periodic work of the hosts over time.
func New(cfg Config, rng *rand.Rand) *Machine {
	return &Machine{
		config:           cfg.withDefaults(),
		view:             &view.View{},
		replicas:         make(map[string]*replica),
		attempts:         make(map[dispatch.Key]*attempt),
		recentKeys:       newRecentKeySet(),
		runningSuspects:  make(map[view.Fingerprint]bool),
		nextPeakRotation: time.Duration(rng.Int64N(int64(warmPeriod))),
	}
}

// Dispatch accepts or refuses attempts of a coordinator. origin is the peer address
// of its host, or empty for this host.
func (m *Machine) Dispatch(now time.Duration, origin string, requests []dispatch.Request) Actions {
	var out Actions
	m.startEvent(now, &out)
	for i := range requests {
		m.acceptAttempt(now, origin, &requests[i], &out)
	}
	return out
}

// acceptAttempt queues an attempt and sends it if possible, or refuses it. It ignores
// an attempt whose key was accepted before.
func (m *Machine) acceptAttempt(now time.Duration, origin string, request *dispatch.Request, out *Actions) {
	if m.attempts[request.Key] != nil || m.recentKeys.has(request.Key) {
		m.counters.DuplicateAttempts++
		return
	}
	a := &attempt{request: *request, origin: origin}
	a.request.Urgency = min(a.request.Urgency, config.UrgencyCount-1)
	m.lastSequence++
	a.Deadline = now + request.Budget
	a.Sequence = m.lastSequence
	a.refuseAt = min(a.Deadline, now+m.config.SuspectWait)
	r, code := m.checkAttempt(now, a)
	if code != 0 {
		m.recentKeys.add(request.Key)
		out.addReply(origin, request.RefusedReply(code))
		return
	}
	a.replica = r
	m.attempts[request.Key] = a
	m.enqueue(a)
	m.sendQueued(now, r, out)
}

// checkAttempt returns the replica of a new attempt, or the reason to refuse it.
func (m *Machine) checkAttempt(now time.Duration, a *attempt) (*replica, result.Code) {
	if m.draining && a.origin != "" {
		return nil, result.Stopping
	}
	r := m.replicaFor(a.request.Endpoint)
	switch {
	case r == nil || !r.configured:
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

// checkQueue returns the reason to refuse an attempt because of the queue that it
// would wait in, or 0.
func (m *Machine) checkQueue(now time.Duration, r *replica, a *attempt) result.Code {
	switch {
	case r.queueOf(a).Len() >= m.config.QueueLimit:
		return result.RelayQueueFull
	case a.isSuspect() || r.hasRoom():
		return 0
	case now+r.expectedWait(a) >= a.Deadline:
		return result.RelayDeadline
	}
	return 0
}

// replicaFor returns the state of an endpoint and creates it if necessary. It
// returns nil if there is none and the endpoint is not in the configuration.
func (m *Machine) replicaFor(id string) *replica {
	r := m.replicas[id]
	if r == nil {
		e := m.view.Bundle.Endpoint(id)
		if e == nil {
			return nil
		}
		r = &replica{id: id, sentSinceSuspect: edf.FairnessInterval}
		m.replicas[id] = r
		i, _ := slices.BinarySearchFunc(m.sortedReplicas, id, compareID)
		m.sortedReplicas = slices.Insert(m.sortedReplicas, i, r)
		m.configure(r, e)
	}
	return r
}

func compareID(r *replica, id string) int { return strings.Compare(r.id, id) }

func (m *Machine) enqueue(a *attempt) { a.replica.queueOf(a).Push(a) }

func (m *Machine) dequeue(a *attempt) { a.replica.queueOf(a).Remove(a) }

// refuse ends an attempt that was removed from its queue without being sent.
func (m *Machine) refuse(a *attempt, code result.Code, out *Actions) {
	m.removeAttempt(a)
	out.addReply(a.origin, a.request.RefusedReply(code))
}

// removeAttempt removes an attempt that has ended and records its key.
func (m *Machine) removeAttempt(a *attempt) {
	delete(m.attempts, a.request.Key)
	m.recentKeys.add(a.request.Key)
}

// Cancel cancels an attempt of the given origin. A waiting attempt is refused. One in
// flight is aborted, and its reply follows when Complete is called for it.
func (m *Machine) Cancel(now time.Duration, origin string, c dispatch.Cancel) Actions {
	var out Actions
	m.startEvent(now, &out)
	a := m.attempts[c.Key]
	switch {
	case a == nil || a.origin != origin:
	case a.sent:
		m.abort(a, &out)
	default:
		m.dequeue(a)
		m.refuse(a, result.CancelledBeforeSend, &out)
		m.sendQueued(now, a.replica, &out)
	}
	return out
}

// CancelSearches cancels all searches of an origin that has given them up. Submits are
// left alone: the origin records their outcomes also after that.
func (m *Machine) CancelSearches(now time.Duration, origin string) Actions {
	var searches []dispatch.Key
	for key, a := range m.attempts {
		if a.origin == origin && a.request.Operation == dispatch.Search {
			searches = append(searches, key)
		}
	}
	slices.SortFunc(searches, func(a, b dispatch.Key) int {
		return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Attempt, b.Attempt))
	})
	var out Actions
	for _, key := range searches {
		out.Append(m.Cancel(now, origin, dispatch.Cancel{Key: key}))
	}
	return out
}

// OriginLost handles the loss of a host that cannot be reached any more. Its waiting
// attempts are dropped and its searches in flight are aborted. Submits in flight
// are not aborted, since a partially executed submit is of no use to anyone.
func (m *Machine) OriginLost(now time.Duration, origin string) Actions {
	var out Actions
	m.startEvent(now, &out)
	for _, r := range slices.Clone(m.sortedReplicas) {
		for _, a := range r.waiting() {
			if a.origin == origin {
				m.markOrphaned(a)
				m.dequeue(a)
				m.removeAttempt(a)
			}
		}
		for _, a := range r.running {
			if a.origin != origin || a.orphaned {
				continue
			}
			m.markOrphaned(a)
			if a.request.Operation == dispatch.Search {
				m.abort(a, &out)
			}
		}
		m.sendQueued(now, r, &out)
	}
	return out
}

// abort cancels an attempt at its endpoint, at most once.
func (m *Machine) abort(a *attempt, out *Actions) {
	if a.aborted {
		return
	}
	a.aborted = true
	out.Abort = append(out.Abort, dispatch.Cancel{Key: a.request.Key, Endpoint: a.request.Endpoint})
}

// markOrphaned marks and counts an attempt whose origin was lost.
func (m *Machine) markOrphaned(a *attempt) {
	a.orphaned = true
	m.counters.OrphanedAttempts++
}

// Drain makes the machine refuse further attempts of other hosts. Attempts of this
// host are still accepted, and accepted attempts are completed.
func (m *Machine) Drain(now time.Duration) Actions {
	var out Actions
	m.startEvent(now, &out)
	m.draining = true
	return out
}

// Idle reports whether no attempt waits or is in flight.
func (m *Machine) Idle() bool { return len(m.attempts) == 0 }

// Counters returns the current values of the counters.
func (m *Machine) Counters() Counters { return m.counters }

// Status returns the state of an endpoint. It returns false if the machine keeps no
// state for it: it is not assigned to this host and no attempt was dispatched to it.
func (m *Machine) Status(now time.Duration, endpoint string) (Status, bool) {
	r := m.replicas[endpoint]
	if r == nil {
		return Status{}, false
	}
	return Status{
		Queued: r.queued(), InFlight: len(r.running), Limit: r.capacity(), SuspectsWaiting: r.suspects.Len(),
		SuspectRunning: r.suspectRunning, Leaving: r.leaving(now), BackingOff: now < r.backoffUntil,
	}, true
}
