package endpointhttp

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
)

// Detection of connections that went silent with a search on them. A search of
// which nothing is read for silenceFactor times the typical exchange, and at
// least the floor, while the endpoint answers on other connections, is taken to
// be lost with its connection, and is retried. While no exchange is known, half
// of the search's budget stands in. Each cut raises what is typical by half, so
// that an endpoint that became slow is given more time with each. A submit
// keeps its connection until its deadline, since cutting it would only make its
// outcome unknown sooner.
const (
	silenceFactor = 32
	// silenceCheckInterval is how often busy connections are looked at.
	silenceCheckInterval = 50 * time.Millisecond
	// averageWeight is the weight of an exchange in the moving average, as a
	// divisor.
	averageWeight = 8
	// suspicionPeriod is how long after a silent connection was found the others of the
	// endpoint are probed before they carry a request.
	suspicionPeriod = 5 * time.Second
)

// markBusy marks the connection as carrying an attempt since began.
func (c *conn) markBusy(j *job, start time.Time) {
	if j.kind == jobAttempt {
		c.isSearch.Store(j.req.Operation == dispatch.Search)
		c.halfBudget.Store(int64(j.deadline.Sub(start) / 2))
		c.sock.progressAt.Store(start.UnixNano())
	}
}

// recordReply learns from an exchange.
func (c *conn) recordReply(j *job, start, now time.Time) {
	c.pool.lastReply.Store(now.UnixNano())
	if j.kind != jobAttempt {
		return
	}
	c.pool.lastAttemptReply.Store(now.UnixNano())
	c.pool.recordRoundTrip(now.Sub(start))
}

// recordRoundTrip adds an exchange to the moving average.
func (p *pool) recordRoundTrip(took time.Duration) {
	old := p.averageRoundTrip.Load()
	if old == 0 {
		p.averageRoundTrip.Store(int64(took))
		return
	}
	p.averageRoundTrip.Store(old + (int64(took)-old)/averageWeight)
}

// silenceLimit is how long the search in flight may be without progress.
func (c *conn) silenceLimit() time.Duration {
	limit := c.pool.silenceLimit()
	if c.pool.averageRoundTrip.Load() == 0 {
		return max(limit, time.Duration(c.halfBudget.Load()))
	}
	return limit
}

// silenceLimit is how long an attempt may be without progress by what is typical.
func (p *pool) silenceLimit() time.Duration {
	return max(p.client.opts.MinSilence, silenceFactor*time.Duration(p.averageRoundTrip.Load()))
}

// isSuspect reports whether the connection may have gone silent together with one
// that was found silent after this one's last reply: one of the same endpoint,
// or those of several endpoints.
func (c *conn) isSuspect(now time.Time) bool {
	lastSilent := max(c.pool.lastSilentAt.Load(), c.pool.client.severalSilentAt.Load())
	return lastSilent > c.lastReply.UnixNano() && now.UnixNano()-lastSilent < int64(suspicionPeriod)
}

// recordSilent notes that a connection went silent. What made those of several
// endpoints silent may have hit any connection of the host.
func (p *pool) recordSilent(now time.Time) {
	p.lastSilentAt.Store(now.UnixNano())
	previousPool := p.client.lastSilentPool.Swap(p)
	if previousPool != nil && previousPool != p && now.UnixNano()-previousPool.lastSilentAt.Load() < int64(suspicionPeriod) {
		p.client.severalSilentAt.Store(now.UnixNano())
	}
}

// checkSilence cuts searches on connections that went silent. If nothing tells
// whether the endpoint answers, it probes the idle connections, which may have
// gone silent too, or a new one. It cuts the longest search to make room for that
// if every connection is in use.
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

// abortSilentLocked cuts every search over the limit since which the endpoint
// answered elsewhere, and returns the longest attempt over half of the limit of
// which that is not known; searches go first.
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

// comesBefore orders busy connections: searches first, then the longest.
func (c *conn) comesBefore(other *conn) bool {
	if c.isSearch.Load() != other.isSearch.Load() {
		return c.isSearch.Load()
	}
	return c.lastProgress().Before(other.lastProgress())
}

// probeIdleLocked probes the idle connections that gave no reply since a time. Until
// they answer they carry nothing. Without any it probes another idle one, or opens
// one.
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

// lastProgress returns when the attempt in flight last made progress, or the zero time.
func (c *conn) lastProgress() time.Time {
	if n := c.sock.progressAt.Load(); n != 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// abortRead makes the wait for the reply end now.
func (c *conn) abortRead() { _ = c.sock.SetReadDeadline(time.Unix(1, 0)) }

// silenceLoop looks for silent connections.
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
