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

// ArchiveConfig bounds an archive. The zero value of a field stands for its
// default.
type ArchiveConfig struct {
	MaxPermits int
	// MaxBytes bounds the outcomes that are kept, over all permits.
	MaxBytes int
	// MaxTTL bounds how long a permit is kept.
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

// Archive answers submits of permits that other hosts issued and ended before
// they stopped. It never yields the verdict Dispatch, so that losing it, or
// having it on two hosts, breaks no promise.
type Archive struct {
	cfg          ArchiveConfig
	entries      map[archiveKey]*entry
	timers       timerHeap
	outcomeBytes int
}

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

// Store keeps the permits of a handover and returns how many it kept. It skips
// those that have not ended, that it has already, or that exceed its bounds.
func (a *Archive) Store(now time.Duration, h peerwire.Handover) int {
	a.Tick(now)
	kept := 0
	for _, c := range h.Entries {
		if a.storeEntry(now, archiveKey{issuer: h.Issuer, sequence: c.Sequence}, c) {
			kept++
		}
	}
	return kept
}

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

// isEndCode reports whether a permit can end with code.
func isEndCode(code result.Code) bool {
	switch code.Class() {
	case result.ClassComplete, result.ClassNotRun, result.ClassUnknown, result.ClassFailed:
		return true
	default:
		return false
	}
}

// AnswerSubmit answers a submit if the archive knows its permit.
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

// Tick forgets what was kept for its time to live.
func (a *Archive) Tick(now time.Duration) {
	for len(a.timers) > 0 && a.timers[0].dueAt <= now {
		e := heap.Pop(&a.timers).(*entry)
		delete(a.entries, archiveKey{issuer: e.issuer, sequence: e.sequence})
		a.outcomeBytes -= len(e.outcome)
	}
}

// handovers returns what is held, in the order of issuers and sequences.
func (a *Archive) handovers(now time.Duration) []peerwire.Handover {
	keys := slices.SortedFunc(maps.Keys(a.entries), func(x, y archiveKey) int {
		return cmp.Or(
			cmp.Compare(x.issuer.Address, y.issuer.Address),
			cmp.Compare(x.issuer.Start, y.issuer.Start),
			cmp.Compare(x.sequence, y.sequence),
		)
	})
	var out []peerwire.Handover
	for _, key := range keys {
		if len(out) == 0 || out[len(out)-1].Issuer != key.issuer {
			out = append(out, peerwire.Handover{Issuer: key.issuer})
		}
		last := &out[len(out)-1]
		last.Entries = append(last.Entries, a.entries[key].closedPermit(now))
	}
	return out
}
