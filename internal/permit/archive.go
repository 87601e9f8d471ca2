package permit

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	defaultArchivePermits = 1 << 16
	defaultArchiveBytes   = 32 << 20
	defaultArchiveTTL     = time.Hour
)

// ArchiveConfig limits the size of an archive. A zero field means its default.
type ArchiveConfig struct {
	// MaxPermits limits the number of permits that the archive holds.
	MaxPermits int
	// MaxBytes limits the total size of the outcomes, over all permits.
	MaxBytes int
	// MaxTTL limits how long a permit is kept.
	MaxTTL time.Duration
}

func (c ArchiveConfig) withDefaults() ArchiveConfig {
	if c.MaxPermits == 0 {
		c.MaxPermits = defaultArchivePermits
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = defaultArchiveBytes
	}
	if c.MaxTTL == 0 {
		c.MaxTTL = defaultArchiveTTL
	}
	return c
}

// Archive holds the ended permits of hosts that have stopped, and answers
// submits that use them. It never returns the verdict Dispatch. At-most-once
// execution therefore still holds if an archive is lost or if two hosts hold
// copies of it.
type Archive struct {
	cfg          ArchiveConfig
	entries      map[archiveKey]*entry
	timers       timerHeap
	outcomeBytes int
}

// archiveKey identifies a permit in an archive.
type archiveKey struct {
	issuer   view.Incarnation
	sequence uint64
}

// NewArchive returns an empty archive.
func NewArchive(cfg ArchiveConfig) *Archive {
	return &Archive{cfg: cfg.withDefaults(), entries: make(map[archiveKey]*entry)}
}

// Len returns the number of permits held.
func (a *Archive) Len() int { return len(a.entries) }

// Store adds the permits of a handover and returns how many it added. It skips
// permits that have not ended, that it already holds, or that exceed its limits.
func (a *Archive) Store(now time.Duration, h peerwire.Handover) int {
	a.Tick(now)
	stored := 0
	for _, c := range h.Entries {
		if a.storeEntry(now, archiveKey{issuer: h.Issuer, sequence: c.Sequence}, c) {
			stored++
		}
	}
	return stored
}

// storeEntry adds one permit of a handover, and reports whether it did.
func (a *Archive) storeEntry(now time.Duration, key archiveKey, c peerwire.ClosedPermit) bool {
	ttl := min(c.TTL, a.cfg.MaxTTL)
	full := len(a.entries) >= a.cfg.MaxPermits || a.outcomeBytes+len(c.Outcome) > a.cfg.MaxBytes
	if _, known := a.entries[key]; known || full || ttl <= 0 || !isEndCode(c.Code) {
		return false
	}
	e := &entry{
		issuer:   key.issuer,
		sequence: key.sequence,
		state:    stateForCode(c.Code),
		dueAt:    now + ttl,
		record: record{
			nonce:          c.Nonce,
			service:        c.Service,
			submitted:      c.Submitted,
			bodyHash:       c.BodyHash,
			code:           c.Code,
			outcome:        c.Outcome,
			outcomeDropped: c.OutcomeDropped,
		},
	}
	a.entries[key] = e
	a.outcomeBytes += len(c.Outcome)
	heap.Push(&a.timers, e)
	return true
}

// isEndCode reports whether code can be the recorded outcome of a permit.
func isEndCode(code result.Code) bool {
	switch code.Class() {
	case result.ClassComplete, result.ClassNotRun, result.ClassUnknown, result.ClassFailed:
		return true
	default:
		return false
	}
}

// AnswerSubmit returns the decision for a submit, and whether the archive holds
// its permit.
func (a *Archive) AnswerSubmit(now time.Duration, id ID, bodyHash uint64) (Decision, bool) {
	a.Tick(now)
	e, ok := a.entries[archiveKey{issuer: id.Issuer, sequence: id.Sequence}]
	if !ok || e.nonce != id.Nonce || e.service != id.Service {
		return Decision{}, false
	}
	if !e.matches(bodyHash) {
		return refuseDecision(result.PermitBodyMismatch), true
	}
	return replayDecision(&e.record), true
}

// Tick removes the permits whose time to live has passed.
func (a *Archive) Tick(now time.Duration) {
	for len(a.timers) > 0 && a.timers[0].dueAt <= now {
		e := heap.Pop(&a.timers).(*entry)
		delete(a.entries, archiveKey{issuer: e.issuer, sequence: e.sequence})
		a.outcomeBytes -= len(e.outcome)
	}
}

// handovers returns all permits, one handover for each issuer, sorted by issuer
// and sequence.
func (a *Archive) handovers(now time.Duration) []peerwire.Handover {
	keys := slices.SortedFunc(maps.Keys(a.entries), func(x, y archiveKey) int {
		return cmp.Or(
			cmp.Compare(x.issuer.Address, y.issuer.Address),
			cmp.Compare(x.issuer.Start, y.issuer.Start),
			cmp.Compare(x.sequence, y.sequence),
		)
	})
	var handovers []peerwire.Handover
	for _, key := range keys {
		if len(handovers) == 0 || handovers[len(handovers)-1].Issuer != key.issuer {
			handovers = append(handovers, peerwire.Handover{Issuer: key.issuer})
		}
		last := &handovers[len(handovers)-1]
		last.Entries = append(last.Entries, a.entries[key].closedPermit(now))
	}
	return handovers
}
