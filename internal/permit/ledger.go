// Package permit guarantees that a request which must not be repeated runs at
// most once.
//
// A caller first requests a permit and then submits its request with it. Only the
// incarnation of a host that issued a permit may dispatch the request. It keeps
// its permits in a [Ledger] in memory. Other hosts forward the submit to the
// issuer. A host that replaced the issuer has no record of the permit, and
// answers that the issuer was replaced.
//
// Guarantees, and how they are kept:
//
//   - The endpoints run the request of a permit at most once. An attempt begins
//     only from the state Submitted, a permit has at most one attempt at a time,
//     and another attempt begins only after the previous one was proved to be
//     refused before it started. A permit without an entry in the ledger never
//     begins, so that neither a restart nor a removed entry leads to a second run.
//   - A permit that was answered as not run never runs. It reaches the state
//     NotRun only if no attempt is running and no outcome is unknown, and never
//     leaves it. Ending a permit as not run is called burning it.
//   - A repeated submit gets the outcome of the first one until the retention
//     period has passed, and is answered as unknown after that.
//   - Memory is bounded by Config and by the permit limits of the services.
//
// A submit must reach the ledger before any other check can refuse it. A refusal
// of class not-run from elsewhere, such as from a rate limit, would be false for
// a permit that has already run. If a request is refused after the verdict
// Dispatch, its permit is burnt.
//
// Times are monotonic durations since the start of the process. The package does
// no I/O. A Ledger is not safe for concurrent use.
package permit

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// MaxIssueCount limits the number of permits that one call of Issue returns.
const MaxIssueCount = 1000

const (
	defaultMaxPermits      = 1 << 16
	defaultMaxOutcomeBytes = 64 << 10
	defaultMaxRun          = 10 * time.Minute
)

// Config limits the size of a ledger. A zero field means its default.
type Config struct {
	// MaxPermits limits the number of entries, over all services.
	MaxPermits int
	// MaxOutcomeBytes limits the stored outcome of one permit. A larger outcome is
	// dropped.
	MaxOutcomeBytes int
	// MaxRun is how long an attempt may run before its outcome counts as unknown.
	MaxRun time.Duration
	// Archive limits what is kept of other hosts' permits.
	Archive ArchiveConfig
}

// Ledger holds the permits that one incarnation of a host issued.
type Ledger struct {
	cfg     Config
	self    view.Incarnation
	archive *Archive
	entries map[uint64]*entry
	timers  timerHeap
	// lastSequence is the sequence of the most recently issued permit.
	lastSequence   uint64
	countByService map[string]int
	now            time.Duration
	stopped        bool
}

// New returns an empty ledger for the incarnation self.
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
// cryptographically secure, because permits must be hard to guess. The error is a
// *result.Error of class not-run.
func (l *Ledger) Issue(now time.Duration, service *config.Service, n int, rng *rand.Rand) ([]ID, error) {
	l.advanceTo(now)
	if l.stopped {
		return nil, result.Errorf(result.Stopping, "the host is stopping")
	}
	if service.Repeatable {
		return nil, result.Errorf(result.NotRepeatable, "service %q accepts queries only, not submits", service.Name)
	}
	if len(service.Name) > MaxServiceBytes {
		return nil, result.FieldErrorf(result.InvalidValue, "service", "name has %d bytes, at most %d are allowed", len(service.Name), MaxServiceBytes)
	}
	if n < 1 || n > MaxIssueCount {
		return nil, result.FieldErrorf(result.InvalidValue, "count", "is %d, must be between 1 and %d", n, MaxIssueCount)
	}
	if l.countByService[service.Name]+n > service.Permit.Limit || len(l.entries)+n > l.cfg.MaxPermits {
		return nil, result.Errorf(result.LedgerFull, "the ledger holds %d permits of service %q and %d in total", l.countByService[service.Name], service.Name, len(l.entries))
	}
	ids := make([]ID, n)
	for i := range ids {
		ids[i] = l.issueOne(service, rng.Uint64())
	}
	return ids, nil
}

// issueOne adds an entry for a new permit.
func (l *Ledger) issueOne(service *config.Service, nonce uint64) ID {
	l.lastSequence++
	expiresAt := l.now + time.Duration(service.Permit.LifetimeMS)*time.Millisecond
	e := &entry{
		record:    record{nonce: nonce, service: service.Name},
		issuer:    l.self,
		sequence:  l.lastSequence,
		expiresAt: expiresAt,
		retention: time.Duration(service.Permit.RetentionMS) * time.Millisecond,
		dueAt:     expiresAt,
	}
	l.entries[e.sequence] = e
	l.countByService[e.service]++
	heap.Push(&l.timers, e)
	return ID{Issuer: l.self, Sequence: e.sequence, Nonce: nonce, Service: e.service}
}

// Submit decides what to do with a submit. The bodyHash comes from [HashRequest].
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

// submitForeign decides on a submit of a permit that another incarnation issued.
func (l *Ledger) submitForeign(now time.Duration, id ID, bodyHash uint64) Decision {
	if d, ok := l.archive.AnswerSubmit(now, id, bodyHash); ok {
		return d
	}
	if id.Issuer.Address == l.self.Address {
		return refuseDecision(result.IssuerReplaced)
	}
	return Decision{Verdict: Forward, Issuer: id.Issuer}
}

// findEntry returns the entry of a permit, or the code that says why there is
// none. A permit that was issued and has no entry gets OutcomeForgotten, whose
// class is unknown, because the permit may have run.
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

// Tick processes everything that is due at now, in the ledger and its archive.
func (l *Ledger) Tick(now time.Duration) {
	l.advanceTo(now)
	l.archive.Tick(now)
}

// advanceTo moves the ledger's time forward to now. It burns permits whose
// lifetime has passed, ends attempts that exceed MaxRun as unknown, and removes
// ended permits after their retention period. An earlier time has no effect.
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

// removeEntry removes the entry of an ended permit.
func (l *Ledger) removeEntry(e *entry) {
	heap.Remove(&l.timers, e.heapIndex)
	delete(l.entries, e.sequence)
	l.countByService[e.service]--
	if l.countByService[e.service] == 0 {
		delete(l.countByService, e.service)
	}
}
