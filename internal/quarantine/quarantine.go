// Package quarantine decides which requests are kept from the endpoints because
// they crash them.
//
// Every request in flight when an endpoint crashes becomes a suspect, since
// nothing tells which of them was the cause. Suspects run alone, so that the
// next crash has one cause, and a suspect that crashes a second, different
// endpoint while alone is proven and quarantined. One that runs to its end is
// cleared at once.
//
// What holds, and why:
//
//   - A request that crashes nothing is quarantined only if two different
//     endpoints crash while it runs on them, on the second one alone.
//   - No record outlives its time to live without a new crash: a hint carries
//     the rest of the sender's time, each hop costs HopCost of it, and nothing
//     but a crash seen here starts it anew.
//   - Memory is bounded. Cleared requests are evicted first, then suspects, then
//     the proven, each in the order of their expiry.
//
// The package does no I/O, and a Set is not safe for concurrent use. Times are
// monotonic since the start of the process.
package quarantine

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	// HopCost is subtracted from the time to live of a hint at each hop.
	HopCost = time.Second
	// maxEndpoints bounds the endpoints that are recorded for a request.
	maxEndpoints = 2

	defaultSuspectTTL    = 5 * time.Minute
	defaultQuarantineTTL = 10 * time.Minute
	defaultMaxRequests   = 4096
)

// Config bounds a set. The zero value of a field stands for its default.
type Config struct {
	// SuspectTTL is how long a request is a suspect after a crash, and again
	// after its quarantine.
	SuspectTTL time.Duration
	// QuarantineTTL is how long a proven request is refused.
	QuarantineTTL time.Duration
	// MaxRequests bounds the requests that are recorded.
	MaxRequests int
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

// rank orders records by how much is lost with them.
type rank uint8

const (
	// cleared requests ran to their end after the crash. They are recorded so
	// that hints of the same crash do not make them suspects again.
	cleared rank = iota
	suspect
	// proven requests crashed two endpoints. They are quarantined until what is
	// left of their time is SuspectTTL, and then are suspects.
	proven
)

// record is what is known of one request.
type record struct {
	fingerprint view.Fingerprint
	rank        rank
	// endpoints crashed while they ran the request; they are sorted.
	endpoints []string
	expires   time.Duration
}

func (r *record) implicates(endpoint string) bool { return slices.Contains(r.endpoints, endpoint) }

func (r *record) addEndpoint(endpoint string) {
	if r.implicates(endpoint) || len(r.endpoints) == maxEndpoints {
		return
	}
	r.endpoints = append(r.endpoints, endpoint)
	slices.Sort(r.endpoints)
}

// otherThan reports whether an endpoint other than the given one crashed.
func (r *record) otherThan(endpoint string) bool {
	return slices.ContainsFunc(r.endpoints, func(e string) bool { return e != endpoint })
}

// Tracker records the requests that were in flight when endpoints crashed.
type Tracker struct {
	cfg     Config
	records map[view.Fingerprint]*record
	now     time.Duration
}

// New returns an empty set.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg.withDefaults(), records: make(map[view.Fingerprint]*record)}
}

// Len returns the number of requests recorded.
func (s *Tracker) Len() int { return len(s.records) }

// RecordCrash records an endpoint's loss and the requests it was running.
func (s *Tracker) RecordCrash(now time.Duration, c view.Crash) {
	s.Tick(now)
	inFlight := slices.Compact(slices.Sorted(slices.Values(c.InFlight)))
	alone := c.Alone && len(inFlight) == 1
	for _, fp := range inFlight {
		s.crashed(fp, c.Endpoint, alone)
	}
}

func (s *Tracker) crashed(fp view.Fingerprint, endpoint string, alone bool) {
	r, ok := s.records[fp]
	if !ok {
		r = &record{fingerprint: fp}
	}
	r.rank = max(r.rank, suspect)
	if alone && r.otherThan(endpoint) {
		r.rank = proven
	}
	r.addEndpoint(endpoint)
	r.expires = s.now + s.lifetime(r.rank)
	if !ok {
		s.insert(r)
	}
}

// lifetime returns the time to live of a record from its last crash.
func (s *Tracker) lifetime(k rank) time.Duration {
	if k == proven {
		return s.cfg.QuarantineTTL + s.cfg.SuspectTTL
	}
	return s.cfg.SuspectTTL
}

// RecordRecovery records suspects that ran to their end. A quarantine is not lifted
// by it.
func (s *Tracker) RecordRecovery(now time.Duration, fps []view.Fingerprint) {
	s.Tick(now)
	for _, fp := range fps {
		if s.Degree(fp) == view.Suspected {
			s.records[fp].rank = cleared
		}
	}
}

// Degree returns the suspicion of a request at the time of the last event.
func (s *Tracker) Degree(fp view.Fingerprint) view.Suspicion {
	r, ok := s.records[fp]
	if !ok {
		return view.Innocent
	}
	return s.degree(r)
}

func (s *Tracker) degree(r *record) view.Suspicion {
	switch {
	case r.rank == cleared || r.expires <= s.now:
		return view.Innocent
	case r.rank == proven && r.expires-s.now > s.cfg.SuspectTTL:
		return view.Quarantined
	default:
		return view.Suspected
	}
}

// Degrees returns the suspicion of every request that is not innocent. The map
// is the caller's own.
func (s *Tracker) Degrees() map[view.Fingerprint]view.Suspicion {
	degrees := make(map[view.Fingerprint]view.Suspicion)
	for fp, r := range s.records {
		if d := s.degree(r); d != view.Innocent {
			degrees[fp] = d
		}
	}
	return degrees
}

// MayRun reports whether a request may be sent to a shard of which the given
// number of replicas is eligible. A suspect does not get the last one, which it
// might crash.
func MayRun(degree view.Suspicion, eligible int) bool {
	switch degree {
	case view.Innocent:
		return eligible > 0
	case view.Suspected:
		return eligible > 1
	default:
		return false
	}
}

// Tick handles the passing of time. Time never goes back.
func (s *Tracker) Tick(now time.Duration) {
	s.now = max(s.now, now)
	for fp, r := range s.records {
		if r.expires <= s.now {
			delete(s.records, fp)
		}
	}
}
