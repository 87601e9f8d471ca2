package catalog

import "time"

// ReregistrationGrace is how long an entry that disappeared together with many
// others is kept, from the time at which the store last held it, or from the end of an
// outage of the store.
const ReregistrationGrace = 2 * time.Second

// A mass loss is the simultaneous removal of at least massLossMin entries that
// make up at least one massLossDivisor-th of all. It is attributed to the store,
// not to the replicas.
const (
	massLossDivisor = 4
	massLossMin     = 3
)

// NoteStoreFailure notes that a read of the store failed at the time now.
func (c *Catalog) NoteStoreFailure(now time.Duration) { c.storeFailedAt = max(c.storeFailedAt, now) }

// removeLost removes entries that disappeared from the store. It keeps them until
// graceEnd if they are a mass loss among the countBefore entries that the store had
// before. It reports whether the replicas changed.
func (c *Catalog) removeLost(now time.Duration, lost []*record, countBefore int) bool {
	end := c.graceEnd(now)
	massLoss := len(lost) >= massLossMin && len(lost)*massLossDivisor >= countBefore
	if massLoss && end > now {
		for _, r := range lost {
			r.lostUntil = end
		}
		c.digestValid = false
		return false
	}
	for _, r := range lost {
		r.remove(now)
	}
	return len(lost) > 0
}

// applyLost applies the entry of a replica that another host keeps after a mass loss. This
// host keeps it no longer than it would by itself, and does not use it again if it was
// removed here. A loss before the store's restoration says nothing of a replica that the
// copy lacks.
func (c *Catalog) applyLost(now time.Duration, r *record, e Entry) {
	if r.replica == nil || r.missing && !e.Missing {
		return
	}
	if r.removal.Active() {
		r.remove(now)
		c.digestValid = false
		return
	}
	end := min(now+e.LostRemaining, c.graceEnd(now))
	if r.lostUntil > 0 {
		end = min(end, r.lostUntil)
	} else {
		r.missing = e.Missing
	}
	r.lostUntil = max(end, 1)
	c.digestValid = false
}

// graceEnd returns the time until which the entries of a mass loss are kept that is found
// at the time now. The entries disappeared after the last confirmation, so that the
// grace period starts there, whichever host notices the loss and when. If the store
// appears to have been out of reach since, the period starts now.
func (c *Catalog) graceEnd(now time.Duration) time.Duration {
	outage := c.storeFailedAt > c.confirmedAt || now-c.confirmedAt > ReregistrationGrace
	if outage {
		return now + ReregistrationGrace
	}
	return c.confirmedAt + ReregistrationGrace
}

// registeredCount returns the number of replicas, without those of a mass loss.
func (c *Catalog) registeredCount() int {
	n := 0
	for _, r := range c.records {
		if r.replica != nil && r.lostUntil == 0 && !r.removal.Active() {
			n++
		}
	}
	return n
}
