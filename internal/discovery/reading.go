package discovery

import (
	"errors"
	"time"
)

// ReadDone handles the outcome of a read.
func (m *Machine) ReadDone(now time.Duration, r ReadResult) Actions {
	m.reading = false
	if r.Err != nil {
		m.readFailed(now, r.Err)
		return m.take()
	}
	if m.failures > 0 {
		m.changed(Change{Kind: ChangeStoreBack, Source: sourceStore})
	}
	m.failures = 0
	m.acting = true
	m.readAt = now + readPause
	changed := m.takeConfig(r.Config, sourceStore)
	if r.Read.After == 0 {
		changed = m.catalog.List(now, r.Revision, r.Entries) || changed
	} else {
		changed = m.catalog.Apply(now, r.Revision, r.Entries) || changed
	}
	if changed {
		m.publish(now, sourceStore)
	}
	m.send(m.hello(now), m.members.addresses())
	m.readDue(now)
	return m.take()
}

const sourceStore = "store"

func (m *Machine) readFailed(now time.Duration, err error) {
	if m.failures == 0 {
		m.changed(Change{Kind: ChangeStoreLost, Source: sourceStore, Err: err})
	}
	m.failures++
	m.acting = false
	if errors.Is(err, ErrHistoryCompacted) {
		m.catalog.Reset()
		m.readAt = now
		m.readDue(now)
		return
	}
	longest := maxReadRetry
	if m.members.rank() < readRetryFirst {
		longest = 2 * minReadRetry
	}
	wait := min(minReadRetry<<min(m.failures-1, 4), longest)
	m.readAt = now + wait/2 + time.Duration(m.rng.Int64N(int64(wait)))
}

// readDue orders a read if it is this host's turn.
func (m *Machine) readDue(now time.Duration) {
	if m.reading || now < m.readAt || now < m.turn() {
		return
	}
	m.reading = true
	read := &Read{After: m.catalog.Follow()}
	if read.After > 0 {
		read.Wait = readWait
	}
	m.out.Read = read
}

// turn returns when this host reads: at once if it is the one that does, else
// when what it knows is so old that those before it seem to fail.
func (m *Machine) turn() time.Duration {
	if !m.catalog.Known() || m.config == nil {
		return 0
	}
	if m.acting {
		return 0
	}
	wait := staleAfter + time.Duration(min(m.members.rank(), staleSteps))*staleStep
	if m.members.rank() > staleSteps {
		wait += m.spread
	}
	return m.catalog.Read() + wait
}
