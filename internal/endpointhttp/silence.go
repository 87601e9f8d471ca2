package endpointhttp

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
)

// Detection of silent connections. A search is ended early, and can be retried, if
// its connection makes no progress for silenceFactor times the average round trip,
// and for at least MinSilence, while the endpoint replies on other connections. Until
// the first round trip is known, the limit is at least half of the search's budget.
// Each search that is ended this way raises the average by half, so that an endpoint
// that has become slow gets more time. A submit keeps its connection until its
// deadline: to close the connection would only make the outcome unknown sooner.
const (
	// silenceFactor times the average round trip is the limit of silence.
	silenceFactor = 32
	// silenceCheckInterval is how often busy connections are checked.
	silenceCheckInterval = 50 * time.Millisecond
	// averageWeight sets how quickly the moving average follows: a round trip
	// contributes 1/averageWeight of its difference from the average.
	averageWeight = 8
	// suspicionPeriod is how long after the detection of a silent connection the
	// other connections of the endpoint are probed before they carry an attempt.
	suspicionPeriod = 5 * time.Second
)

// markBusy records that the connection carries an attempt since start.
func (c *conn) markBusy(j *job, start time.Time) {
	if j.kind == jobAttempt {
		c.isSearch.Store(j.req.Operation == dispatch.Search)
		c.halfBudget.Store(int64(j.deadline.Sub(start) / 2))
		c.sock.progressAt.Store(start.UnixNano())
	}
}

// recordReply records a reply that arrived at now to a job written at start.
func (c *conn) recordReply(j *job, start, now time.Time) {
	c.pool.lastReply.Store(now.UnixNano())
	if j.kind != jobAttempt {
		return
	}
	c.pool.lastAttemptReply.Store(now.UnixNano())
	c.pool.recordRoundTrip(now.Sub(start))
}

// recordRoundTrip adds the duration of a round trip to the moving average.
func (p *pool) recordRoundTrip(took time.Duration) {
	old := p.averageRoundTrip.Load()
	if old == 0 {
		p.averageRoundTrip.Store(int64(took))
		return
	}
	p.averageRoundTrip.Store(old + (int64(took)-old)/averageWeight)
}

// silenceLimit returns how long the search in flight may make no progress.
func (c *conn) silenceLimit() time.Duration {
	limit := c.pool.silenceLimit()
	if c.pool.averageRoundTrip.Load() == 0 {
		return max(limit, time.Duration(c.halfBudget.Load()))
	}
	return limit
}

// silenceLimit returns how long an attempt may make no progress, judged by the
// average round trip.
func (p *pool) silenceLimit() time.Duration {
	return max(p.client.opts.MinSilence, silenceFactor*time.Duration(p.averageRoundTrip.Load()))
}

// isSuspect reports whether the connection may be silent too. It is suspect for
// suspicionPeriod after the detection of a silent connection to its endpoint, or of
// silent connections to several endpoints, unless a reply has arrived on it since.
func (c *conn) isSuspect(now time.Time) bool {
	lastSilent := max(c.pool.lastSilentAt.Load(), c.pool.client.severalSilentAt.Load())
	return lastSilent > c.lastReply.UnixNano() && now.UnixNano()-lastSilent < int64(suspicionPeriod)
}

// recordSilent records the detection of a silent connection. If connections to
// several endpoints are silent, the cause may affect every connection of the host.
func (p *pool) recordSilent(now time.Time) {
	p.lastSilentAt.Store(now.UnixNano())
	previousPool := p.client.lastSilentPool.Swap(p)
	if previousPool != nil && previousPool != p && now.UnixNano()-previousPool.lastSilentAt.Load() < int64(suspicionPeriod) {
		p.client.severalSilentAt.Store(now.UnixNano())
	}
}

// checkSilence ends searches on silent connections. If it isn't known whether the
// endpoint still replies, checkSilence probes the idle connections, which may be
// silent too, or a new one. If all connections are in use, it ends the longest search
// after twice its limit, to make room for a probe.
func (p *pool) checkSilence(now time.Time) {
	limit := p.silenceLimit()
	p.mu.Lock()
	defer p.mu.Unlock()
	unconfirmed := p.abortSilentLocked(now, limit)
	if unconfirmed == nil {
		return
	}
	probePossible := len(p.idle) > 0 || p.openCount < p.max
	switch {
	case probePossible && now.After(p.nextProbeAt):
		p.nextProbeAt = now.Add(p.client.opts.ProbeTimeout)
		p.probeIdleLocked(unconfirmed.lastProgress())
	case !probePossible && unconfirmed.isSearch.Load() && now.Sub(unconfirmed.lastProgress()) > 2*unconfirmed.silenceLimit():
		unconfirmed.abortRead()
	}
}

// abortSilentLocked ends every search that has made no progress for its silence limit
// while the endpoint replied on another connection in the second half of that time.
//
// If there was no such reply, either the connection is silent or the endpoint has
// stopped replying. Of the connections without progress for at least limit/2 for which
// this is open, abortSilentLocked returns the first by comesBefore, or nil.
func (p *pool) abortSilentLocked(now time.Time, limit time.Duration) *conn {
	var unconfirmed *conn
	for c := range p.conns {
		lastProgress := c.lastProgress()
		silentFor := now.Sub(lastProgress)
		if lastProgress.IsZero() || silentFor < limit/2 {
			continue
		}
		otherReply := p.lastReply.Load() > lastProgress.Add(silentFor/2).UnixNano()
		switch {
		case otherReply && c.isSearch.Load() && silentFor >= c.silenceLimit():
			p.recordSilent(now)
			average := p.averageRoundTrip.Load()
			p.averageRoundTrip.Store(average + average/2)
			c.abortRead()
		case !otherReply && (unconfirmed == nil || c.comesBefore(unconfirmed)):
			unconfirmed = c
		}
	}
	return unconfirmed
}

// comesBefore orders busy connections: those with a search first, and then by the
// time of their last progress, the earliest first.
func (c *conn) comesBefore(other *conn) bool {
	if c.isSearch.Load() != other.isSearch.Load() {
		return c.isSearch.Load()
	}
	return c.lastProgress().Before(other.lastProgress())
}

// probeIdleLocked probes the idle connections without a reply since the given time.
// They carry no attempts until they reply. If there are none, it probes another idle
// connection, or opens one for the probe.
func (p *pool) probeIdleLocked(since time.Time) {
	timeout := p.client.opts.ProbeTimeout
	probed := false
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].lastReply.Before(since) {
			p.commandIdleLocked(i, command{job: newProbeJob(timeout)})
			probed = true
		}
	}
	switch last := len(p.idle) - 1; {
	case probed:
	case last >= 0:
		p.commandIdleLocked(last, command{job: newProbeJob(timeout)})
	default:
		p.controlQueue = append(p.controlQueue, newProbeJob(timeout))
		p.dialNeededLocked()
	}
}

// lastProgress returns when the attempt in flight was started or a byte of its
// reply was last read, or the zero time without an attempt.
func (c *conn) lastProgress() time.Time {
	if n := c.sock.progressAt.Load(); n != 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// abortRead makes the pending read of the reply fail at once with a timeout.
func (c *conn) abortRead() { _ = c.sock.SetReadDeadline(time.Unix(1, 0)) }

// silenceLoop calls checkSilence for each pool every silenceCheckInterval.
func (c *Client) silenceLoop() {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case now := <-ticker.C:
			for _, p := range c.currentPools() {
				p.checkSilence(now)
			}
		}
	}
}
