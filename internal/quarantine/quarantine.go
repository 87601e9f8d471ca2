// Package quarantine decides which requests are withheld from the endpoints
// because they crash them.
//
// Every request in flight when an endpoint crashes becomes a suspect, since
// nothing tells which of them caused the crash. Suspects run alone, so that the
// cause of the next crash is unambiguous. A suspect that crashes a second,
// different endpoint while it runs alone is proven to be the cause and
// quarantined. A suspect that runs to completion is cleared at once.
//
// Invariants:
//   - A request that does not cause crashes is quarantined only if two different
//     endpoints crash while it runs on them, the second one while it runs alone. If it
//     completed lately, these crashes are crashSpacing apart, or there are three. With
//     Config.ProveByCount, three crashes that are crashSpacing apart are a proof in
//     company, too, unless it completed lately.
//   - No record outlives its time to live without a new crash: a hint carries the
//     remaining time of the sender, each hop subtracts HopCost from it, and only a
//     crash seen on this host restarts it.
//   - Memory is bounded. Cleared requests are evicted first, then suspects, then
//     proven requests, each in the order of their expiry.
//
// The package does no I/O, and a Tracker is not safe for concurrent use. Times
// are monotonic, measured from process start.
package quarantine

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	// HopCost is subtracted from the time to live of a hint at each hop. The time
	// in transit is not measured: a hint that takes no longer than HopCost does
	// not prolong a suspicion.
	HopCost = time.Second
	// minProofEndpoints is the number of endpoints whose crashes are a proof, and
	// maxEndpoints the number that is recorded for a request.
	minProofEndpoints = 2
	maxEndpoints      = 3

	// crashSpacing is the least time from the first crash to one that is a proof
	// against a request that completed recently, or was not alone.
	crashSpacing = 300 * time.Millisecond

	defaultSuspectTTL    = 5 * time.Minute
	defaultQuarantineTTL = 10 * time.Minute
	defaultMaxRequests   = 4096
)

// Config holds the limits of a Tracker. The zero value of a field selects its
// default.
type Config struct {
	// SuspectTTL is how long a request is a suspect after a crash, and again
	// after its quarantine has ended.
	SuspectTTL time.Duration
	// QuarantineTTL is how long a proven request is refused.
	QuarantineTTL time.Duration
	// MaxRequests bounds the number of recorded requests.
	MaxRequests int
	// ProveByCount makes the crashes of maxEndpoints endpoints a proof against a
	// request that has not completed lately, though it was not alone on any. It
	// requires that completions are recorded.
	ProveByCount bool
}

func (c Config) withDefaults() Config {
	if c.SuspectTTL == 0 {
		c.SuspectTTL = defaultSuspectTTL
	}
	if c.QuarantineTTL == 0 {
		c.QuarantineTTL = defaultQuarantineTTL
	}
	if c.MaxRequests == 0 {
		c.MaxRequests = defaultMaxRequests
	}
	return c
}

// rank determines the order of eviction when the tracker is full; lower ranks
// are evicted first.
type rank uint8

const (
	// cleared requests ran to completion after the crash. They stay recorded so
	// that hints about the same crash do not make them suspects again.
	cleared rank = iota
	suspect
	// proven requests crashed two endpoints. They are quarantined until their
	// remaining time to live is SuspectTTL, and are suspects from then on.
	proven
)

// record holds what is known about one request.
type record struct {
	fingerprint view.Fingerprint
	rank        rank
	// endpoints holds the sorted IDs of the endpoints that crashed while they
	// ran the request.
	endpoints []string
	// suspectSince is when this host recorded the first of these crashes.
	suspectSince time.Duration
	expires      time.Duration
	// toldAt is the turn in which the record was last told to another host; zero if it
	// has changed since.
	toldAt uint64
}

func (r *record) hasEndpoint(endpoint string) bool { return slices.Contains(r.endpoints, endpoint) }

func (r *record) addEndpoint(endpoint string) {
	if r.hasEndpoint(endpoint) || len(r.endpoints) == maxEndpoints {
		return
	}
	r.endpoints = append(r.endpoints, endpoint)
	slices.Sort(r.endpoints)
}

// Tracker records the requests that were in flight when endpoints crashed.
type Tracker struct {
	cfg         Config
	records     map[view.Fingerprint]*record
	completions completions
	now         time.Duration
	// turn counts the hints that were given.
	turn uint64
}

// New returns a tracker without records.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg.withDefaults(), records: make(map[view.Fingerprint]*record)}
}

// Len returns the number of recorded requests.
func (t *Tracker) Len() int { return len(t.records) }

// RecordCrash records the crash of an endpoint and the requests that were in
// flight on it.
func (t *Tracker) RecordCrash(now time.Duration, c view.Crash) {
	t.Tick(now)
	inFlight := slices.Compact(slices.Sorted(slices.Values(c.InFlight)))
	alone := c.Isolated && len(inFlight) == 1
	for _, fp := range inFlight {
		t.addCrash(fp, c.Endpoint, alone)
	}
}

// addCrash records that an endpoint crashed while it ran a request. alone tells
// that no other request was in flight on it.
func (t *Tracker) addCrash(fp view.Fingerprint, endpoint string, alone bool) {
	r, ok := t.records[fp]
	if !ok {
		r = &record{fingerprint: fp, suspectSince: t.now}
	}
	if r.rank == cleared {
		// The request completed after those crashes.
		r.endpoints, r.suspectSince = nil, t.now
	}
	r.rank = max(r.rank, suspect)
	r.addEndpoint(endpoint)
	if alone && t.provesGuilt(r) || t.provenByCount(r) {
		r.rank = proven
	}
	r.expires = t.now + t.timeToLive(r.rank)
	r.toldAt = 0
	if !ok {
		t.insert(r)
	}
}

// provesGuilt reports whether the recorded crashes, the last of which took place while
// the request ran alone, show that the request causes them.
// A request that often completes may have been beside the cause twice, if that one
// crashes several endpoints at once.
func (t *Tracker) provesGuilt(r *record) bool {
	switch {
	case len(r.endpoints) < minProofEndpoints:
		return false
	case t.completions.contains(t.now, r.fingerprint):
		return len(r.endpoints) == maxEndpoints || t.now-r.suspectSince >= crashSpacing
	default:
		return true
	}
}

// provenByCount reports whether so many endpoints crashed under a request that has not
// completed lately that it must be the cause. It catches a request that many hosts run
// before they hear of each other's crashes.
func (t *Tracker) provenByCount(r *record) bool {
	spaced := t.now-r.suspectSince >= crashSpacing // not one fault of many endpoints
	return t.cfg.ProveByCount && len(r.endpoints) == maxEndpoints && spaced && !t.completions.contains(t.now, r.fingerprint)
}

// timeToLive returns how long a record is kept after its last crash.
func (t *Tracker) timeToLive(r rank) time.Duration {
	if r == proven {
		return t.cfg.QuarantineTTL + t.cfg.SuspectTTL
	}
	return t.cfg.SuspectTTL
}

// RecordRecovery clears suspects that ran to completion. It does not lift a
// quarantine.
func (t *Tracker) RecordRecovery(now time.Duration, fps []view.Fingerprint) {
	t.Tick(now)
	for _, fp := range fps {
		if t.Degree(fp) == view.Suspected {
			t.records[fp].rank, t.records[fp].toldAt = cleared, 0
		}
	}
}

// RecordCompletion records that a request, suspect or not, completed and no endpoint
// crashed under it.
func (t *Tracker) RecordCompletion(now time.Duration, fp view.Fingerprint) {
	t.completions.add(now, fp)
	if len(t.records) > 0 {
		t.RecordRecovery(now, []view.Fingerprint{fp})
	}
}

// Degree returns the degree of suspicion of a request as of the last event.
func (t *Tracker) Degree(fp view.Fingerprint) view.Suspicion {
	r, ok := t.records[fp]
	if !ok {
		return view.NotSuspected
	}
	return t.degree(r)
}

func (t *Tracker) degree(r *record) view.Suspicion {
	switch {
	case r.rank == cleared || r.expires <= t.now:
		return view.NotSuspected
	case r.rank == proven && r.expires-t.now > t.cfg.SuspectTTL:
		return view.Quarantined
	default:
		return view.Suspected
	}
}

// Degrees returns the degree of suspicion of every request that is suspected or
// quarantined. The caller owns the map.
func (t *Tracker) Degrees() map[view.Fingerprint]view.Suspicion {
	degrees := make(map[view.Fingerprint]view.Suspicion)
	for fp, r := range t.records {
		if d := t.degree(r); d != view.NotSuspected {
			degrees[fp] = d
		}
	}
	return degrees
}

// MayRun reports whether a request may be sent to a shard with the given number
// of eligible replicas. A suspect is never sent to the last eligible replica,
// since it might crash it.
func MayRun(degree view.Suspicion, eligible int) bool {
	switch degree {
	case view.NotSuspected:
		return eligible > 0
	case view.Suspected:
		return eligible > 1
	default:
		return false
	}
}

// Tick advances the time and drops expired records. A time before that of an
// earlier event has no effect.
func (t *Tracker) Tick(now time.Duration) {
	t.now = max(t.now, now)
	for fp, r := range t.records {
		if r.expires <= t.now {
			delete(t.records, fp)
		}
	}
}
