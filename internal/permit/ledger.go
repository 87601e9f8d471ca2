// Package permit decides which requests that may not be repeated run.
//
// A caller first gets a permit and then submits its request with it. Only the
// incarnation of a host that issued a permit may dispatch its request, from the
// [Ledger] that it holds in memory. Other hosts forward; a host that replaced
// the issuer knows nothing of the permit and says so.
//
// What holds, and why:
//
//   - The endpoints run a permit's request at most once: an attempt begins only
//     from Submitted, an entry has at most one attempt at a time, and another
//     attempt begins only after the last one was proved refused before it
//     started. A permit without an entry never begins, so that neither a
//     restart nor a forgotten entry leads to a second run.
//   - A permit that was answered as not run never runs: NotRun is reached only
//     when no attempt is running and no outcome is unknown, and never left.
//   - A repeated submit learns how the first one ended until the retention has
//     passed; after that it is answered as unknown.
//   - Memory is bounded by Config and by the limits of the services.
//
// Submits must reach the ledger before anything else refuses them. A refusal of
// class not-run that did not come from the ledger, such as one of a rate
// limit, would be untrue for a permit that had run before; a request that is
// refused after the ledger's verdict Dispatch is burnt.
//
// Times are monotonic since the start of the process. The package does no I/O,
// and a Ledger is not safe for concurrent use.
package permit

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// MaxIssueCount bounds the permits that are issued at once.
const MaxIssueCount = 1000

const (
	defaultMaxPermits      = 1 << 16
	defaultMaxOutcomeBytes = 64 << 10
	defaultMaxRun          = 10 * time.Minute
)

// Config bounds a ledger. The zero value of a field stands for its default.
type Config struct {
	// MaxPermits bounds the entries over all services.
	MaxPermits int
	// MaxOutcomeBytes bounds the outcome that is kept of one permit.
	MaxOutcomeBytes int
	// MaxRun is how long an attempt may run until it counts as unknown.
	MaxRun time.Duration
	// Archive bounds what is kept of other hosts' ledgers.
	Archive ArchiveConfig
}

// Ledger holds the permits that one incarnation of a host issued.
type Ledger struct {
	cfg     Config
	self    view.Incarnation
	archive *Archive
	entries map[uint64]*entry
	timers  timerHeap
	// lastSequence is the sequence of the permit issued lastSequence.
	lastSequence   uint64
	countByService map[string]int
	now            time.Duration
	stopped        bool
}

// New returns the empty ledger of an incarnation.
func New(self view.Incarnation, cfg Config) *Ledger {
	if cfg.MaxPermits == 0 {
		cfg.MaxPermits = defaultMaxPermits
	}
	if cfg.MaxOutcomeBytes == 0 {
		cfg.MaxOutcomeBytes = defaultMaxOutcomeBytes
	}
	if cfg.MaxRun == 0 {
		cfg.MaxRun = defaultMaxRun
	}
	return &Ledger{
		cfg:            cfg,
		self:           self,
		archive:        NewArchive(cfg.Archive),
		entries:        make(map[uint64]*entry),
		countByService: make(map[string]int),
	}
}

// Issue issues n permits of a service, all or none. The random source should be
// cryptographic, since a permit must not be guessed. The error is a
// *result.Error of class not-run.
func (l *Ledger) Issue(now time.Duration, service *config.Service, n int, rng *rand.Rand) ([]ID, error) {
	l.advanceTo(now)
	if l.stopped {
		return nil, result.Errorf(result.Stopping, "the host is stopping")
	}
	if service.Repeatable {
		return nil, result.Errorf(result.NotRepeatable, "service %q takes queries and no submits", service.Name)
	}
	if len(service.Name) > MaxServiceBytes {
		return nil, result.FieldErrorf(result.InvalidValue, "service", "has a name of %d bytes, at most %d are allowed", len(service.Name), MaxServiceBytes)
	}
	if n < 1 || n > MaxIssueCount {
		return nil, result.FieldErrorf(result.InvalidValue, "count", "is %d, 1 to %d are allowed", n, MaxIssueCount)
	}
	if l.countByService[service.Name]+n > service.Permit.Limit || len(l.entries)+n > l.cfg.MaxPermits {
		return nil, result.Errorf(result.LedgerFull, "%d permits of %q and %d in all are held", l.countByService[service.Name], service.Name, len(l.entries))
	}
	ids := make([]ID, n)
	for i := range ids {
		ids[i] = l.issueOne(service, rng.Uint64())
	}
	return ids, nil
}

func (l *Ledger) issueOne(service *config.Service, nonce uint64) ID {
	l.lastSequence++
	expires := l.now + time.Duration(service.Permit.LifetimeMS)*time.Millisecond
	e := &entry{
		record:    record{nonce: nonce, service: service.Name},
		issuer:    l.self,
		sequence:  l.lastSequence,
		expiresAt: expires,
		retention: time.Duration(service.Permit.RetentionMS) * time.Millisecond,
		dueAt:     expires,
	}
	l.entries[e.sequence] = e
	l.countByService[e.service]++
	heap.Push(&l.timers, e)
	return ID{Issuer: l.self, Sequence: e.sequence, Nonce: nonce, Service: e.service}
}

// Submit decides about a submit. BodyHash is that of [HashRequest].
func (l *Ledger) Submit(now time.Duration, id ID, bodyHash uint64) Decision {
	l.advanceTo(now)
	if id.Issuer != l.self {
		return l.submitForeign(now, id, bodyHash)
	}
	e, code := l.findEntry(id)
	if e == nil {
		return refuseDecision(code)
	}
	if !e.matches(bodyHash) {
		return refuseDecision(result.PermitBodyMismatch)
	}
	if e.state.ended() {
		return replayDecision(&e.record)
	}
	if e.state != Issued {
		return Decision{Verdict: Running, Code: result.StillRunning}
	}
	e.state = Submitted
	e.submitted = true
	e.bodyHash = bodyHash
	return Decision{Verdict: Dispatch}
}

func (l *Ledger) submitForeign(now time.Duration, id ID, bodyHash uint64) Decision {
	if d, ok := l.archive.AnswerSubmit(now, id, bodyHash); ok {
		return d
	}
	if id.Issuer.Address == l.self.Address {
		return refuseDecision(result.IssuerReplaced)
	}
	return Decision{Verdict: Forward, Issuer: id.Issuer}
}

// findEntry returns the entry of one of this ledger's permits, or the code that says
// why there is none. Without an entry, a permit that was issued is unknown.
func (l *Ledger) findEntry(id ID) (*entry, result.Code) {
	if id.Issuer != l.self || id.Sequence == 0 || id.Sequence > l.lastSequence {
		return nil, result.PermitNeverIssued
	}
	e, ok := l.entries[id.Sequence]
	if !ok {
		return nil, result.OutcomeForgotten
	}
	if e.nonce != id.Nonce || e.service != id.Service {
		return nil, result.PermitNeverIssued
	}
	return e, 0
}

// Tick handles the passing of time.
func (l *Ledger) Tick(now time.Duration) {
	l.advanceTo(now)
	l.archive.Tick(now)
}

// advanceTo burns what expired, ends what ran too long, and forgets what was kept
// for its retention. Time never goes back.
func (l *Ledger) advanceTo(now time.Duration) {
	l.now = max(l.now, now)
	for len(l.timers) > 0 && l.timers[0].dueAt <= l.now {
		e := l.timers[0]
		switch {
		case e.state.ended():
			l.removeEntry(e)
		case e.state == Dispatched:
			l.endEntry(e, result.OutcomeUnknown, "")
		default:
			l.endEntry(e, result.PermitExpired, "")
		}
	}
}

func (l *Ledger) removeEntry(e *entry) {
	heap.Remove(&l.timers, e.heapIndex)
	delete(l.entries, e.sequence)
	l.countByService[e.service]--
	if l.countByService[e.service] == 0 {
		delete(l.countByService, e.service)
	}
}
