package discovery

import (
	"errors"
	"time"
)

// HandleReadResult handles the result of a read of the store.
func (m *Machine) HandleReadResult(now time.Duration, r ReadResult) Actions {
	tookOver := m.takesOver
	m.readInFlight, m.takesOver = false, false
	verdict := m.judgePosition(&r)
	if r.Err == nil {
		r.Err = verdict.err
	}
	if r.Err != nil && r.Request.Audit {
		m.nextAudit, m.nextRead = now+auditInterval, now
		m.readStoreIfDue(now)
		return m.takeActions()
	}
	if r.Err != nil {
		m.handleReadFailure(now, r.Err, tookOver)
		return m.takeActions()
	}
	if m.readFailures > 0 {
		m.recordChange(Change{Kind: ChangeStoreRecovered, Source: sourceStore})
	}
	m.readFailures = 0
	m.isReader = !m.yielded
	if verdict.repeat {
		m.nextRead = now
		m.readStoreIfDue(now)
		return m.takeActions()
	}
	m.nextRead = now + readPause
	m.applyRead(now, &r)
	m.queueHeartbeats(m.newHeartbeat(now), m.members.addresses())
	m.readStoreIfDue(now)
	return m.takeActions()
}

// applyRead puts in force what the store returned.
func (m *Machine) applyRead(now time.Duration, r *ReadResult) {
	changed := m.adoptConfig(r.Config, sourceStore)
	if r.Request.After == 0 {
		m.nextAudit = now + auditInterval
		m.wantsListing = false
		defer m.noteEpoch(m.catalog.Loaded(), m.catalog.Position().Epoch, sourceStore)
		changed = m.adoptEvacuations(now, sourceStore, m.evacuations.ApplyListing(now, r.position(), r.Evacuations)) || changed
		changed = m.catalog.ApplyListing(now, r.position(), r.Entries) || changed
	} else {
		changed = m.adoptEvacuations(now, sourceStore, m.evacuations.ApplyChanges(now, r.position(), r.Evacuations)) || changed
		changed = m.catalog.ApplyChanges(now, r.position(), r.Entries) || changed
	}
	if changed {
		m.publishView(now, sourceStore)
	}
}

// verdict is what follows from the position of the store's answer: err if the store appears
// to have gone back, and repeat if the answer is of no use and the store is read again.
type verdict struct {
	err    error
	repeat bool
}

// judgePosition compares the position of the store's answer with what this host has. Changes
// of a later epoch, or up to an earlier revision than that after which they were read, call
// for a listing. An answer of an epoch that ended during the read is ignored, and so are
// changes after a revision of such an epoch.
func (m *Machine) judgePosition(r *ReadResult) verdict {
	ours := m.catalog.Position()
	switch {
	case r.Err != nil || !m.catalog.Loaded():
		return verdict{}
	case r.Epoch < ours.Epoch && r.Request.Known.Epoch < ours.Epoch:
		return verdict{repeat: true}
	case r.Epoch < ours.Epoch:
		return verdict{err: errOlderEpoch}
	case r.Request.After > 0 && (r.Epoch > ours.Epoch || r.Epoch == r.Request.Known.Epoch && r.Revision < r.Request.After):
		m.catalog.RequireListing()
		return verdict{repeat: true}
	case r.Request.After > 0 && r.Epoch != r.Request.Known.Epoch:
		return verdict{repeat: true}
	case r.Request.After == 0 && r.position().Before(r.Request.Known):
		return verdict{err: errOlderRevision}
	default:
		return verdict{}
	}
}

// noteEpoch records that the replicas are now of a later epoch than before, if they are.
func (m *Machine) noteEpoch(wasLoaded bool, before uint64, source string) {
	position := m.catalog.Position()
	if wasLoaded && position.Epoch > before {
		m.differsSince = 0
		m.recordChange(Change{Kind: ChangeStoreEpoch, Source: source, Epoch: position.Epoch, Revision: position.Revision})
	}
}

// sourceStore is the Source of a Change that was read from the store, and sourceExpiry of one
// that time alone brought about.
const (
	sourceStore  = "store"
	sourceExpiry = "expiry"
)

// handleReadFailure schedules the next read after a failure: with backoff and
// jitter, or immediately a full one if the changes are no longer in the store.
// tookOver means that another host reads the store, so that there is no hurry.
func (m *Machine) handleReadFailure(now time.Duration, err error, tookOver bool) {
	if m.readFailures == 0 {
		m.recordChange(Change{Kind: ChangeStoreFailed, Source: sourceStore, Err: err})
	}
	m.readFailures++
	if errors.Is(err, ErrHistoryCompacted) {
		m.isReader = m.isReader && !m.yielded
		m.catalog.RequireListing()
		m.nextRead = now
		m.readStoreIfDue(now)
		return
	}
	m.isReader = false
	m.catalog.NoteStoreFailure(now)
	maxBackoff := maxReadRetry
	if m.members.readRank() < fastRetryHosts && !tookOver {
		maxBackoff = 2 * minReadRetry
	}
	backoff := min(minReadRetry<<min(m.readFailures-1, 4), maxBackoff)
	m.nextRead = now + backoff/2 + time.Duration(m.rng.Int64N(int64(backoff)))
}

// readStoreIfDue starts a read of the store if it is this host's turn.
func (m *Machine) readStoreIfDue(now time.Duration) {
	if m.readInFlight || now < m.nextRead || now < m.nextTurn() {
		return
	}
	m.readInFlight, m.yielded = true, false
	m.pendingActions.Read = m.nextReadRequest(now)
}

// nextReadRequest returns the request for the changes, or for a full listing if changes
// can't be read or an audit is due.
func (m *Machine) nextReadRequest(now time.Duration) *ReadRequest {
	after, known := m.resumeRevision(), m.catalog.Position()
	switch {
	case after == 0:
		return &ReadRequest{Known: known}
	case m.isReader && now >= m.nextAudit:
		return &ReadRequest{Known: known, Audit: true}
	default:
		return &ReadRequest{After: after, Known: known, Wait: changeWait}
	}
}

// nextTurn returns the time from which this host is to read the store. It is zero,
// which means immediately, if this host has no state or is to read it. Otherwise it
// is the time at which its state is so old that the hosts before it in the read
// order appear to have failed.
func (m *Machine) nextTurn() time.Duration {
	if !m.catalog.Loaded() || m.config == nil || !m.evacuations.Loaded() {
		return 0
	}
	if m.isReader || m.takesOver {
		return 0
	}
	delay := staleAfter + time.Duration(min(m.members.readRank(), maxStaleSteps))*staleStep
	if m.members.readRank() > maxStaleSteps {
		delay += m.staleJitter
	}
	return m.confirmedAt() + delay
}
