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
	// silenceCheck is how often busy connections are looked at.
	silenceCheck = 50 * time.Millisecond
	// typicalWeight is the weight of an exchange in the moving average, as a
	// divisor.
	typicalWeight = 8
	// suspicion is how long after a silent connection was found the others of the
	// endpoint are probed before they carry a request.
	suspicion = 5 * time.Second
)

// busyNow marks the connection as carrying an attempt since began.
func (c *conn) busyNow(j *job, began time.Time) {
	if j.kind == jobAttempt {
		c.search.Store(j.req.Operation == dispatch.Search)
		c.patience.Store(int64(j.deadline.Sub(began) / 2))
		c.sock.busySince.Store(began.UnixNano())
	}
}

// answered learns from an exchange.
func (c *conn) answered(j *job, began, now time.Time) {
	c.pool.lastAlive.Store(now.UnixNano())
	if j.kind != jobAttempt {
		return
	}
	c.pool.lastAnswer.Store(now.UnixNano())
	c.pool.learn(now.Sub(began))
}

// learn adds an exchange to the moving average.
func (p *pool) learn(took time.Duration) {
	old := p.typical.Load()
	if old == 0 {
		p.typical.Store(int64(took))
		return
	}
	p.typical.Store(old + (int64(took)-old)/typicalWeight)
}

// cutLimit is how long the search in flight may be without progress.
func (c *conn) cutLimit() time.Duration {
	limit := c.pool.silenceLimit()
	if c.pool.typical.Load() == 0 {
		return max(limit, time.Duration(c.patience.Load()))
	}
	return limit
}

// silenceLimit is how long an attempt may be without progress by what is typical.
func (p *pool) silenceLimit() time.Duration {
	return max(p.client.opts.SilenceFloor, silenceFactor*time.Duration(p.typical.Load()))
}

// suspect reports whether the connection may have gone silent together with one
// that was found silent after this one's last reply: one of the same endpoint,
// or those of several endpoints.
func (c *conn) suspect(now time.Time) bool {
	silent := max(c.pool.lastSilent.Load(), c.pool.client.lastSilent.Load())
	return silent > c.lastAlive.UnixNano() && now.UnixNano()-silent < int64(suspicion)
}

// foundSilent notes that a connection went silent. What made those of several
// endpoints silent may have hit any connection of the host.
func (p *pool) foundSilent(now time.Time) {
	p.lastSilent.Store(now.UnixNano())
	previous := p.client.silentPool.Swap(p)
	if previous != nil && previous != p && now.UnixNano()-previous.lastSilent.Load() < int64(suspicion) {
		p.client.lastSilent.Store(now.UnixNano())
	}
}

// watchSilence cuts searches on connections that went silent. If nothing tells
// whether the endpoint answers, it probes the idle connections, which may have
// gone silent too, or a new one. It cuts the longest search to make room for that
// if every connection is in use.
func (p *pool) watchSilence(now time.Time) {
	limit := p.silenceLimit()
	p.mu.Lock()
	defer p.mu.Unlock()
	unproved := p.cutSilentLocked(now, limit)
	if unproved == nil {
		return
	}
	room := len(p.idle) > 0 || p.open < p.max
	switch {
	case room && now.After(p.proveAfter):
		p.proveAfter = now.Add(p.client.opts.ProbeTimeout)
		p.proveLocked(unproved.since())
	case !room && unproved.search.Load() && now.Sub(unproved.since()) > 2*unproved.cutLimit():
		unproved.cut()
	}
}

// cutSilentLocked cuts every search over the limit since which the endpoint
// answered elsewhere, and returns the longest attempt over half of the limit of
// which that is not known; searches go first.
func (p *pool) cutSilentLocked(now time.Time, limit time.Duration) *conn {
	var unproved *conn
	for c := range p.all {
		since := c.since()
		age := now.Sub(since)
		if since.IsZero() || age < limit/2 {
			continue
		}
		elsewhere := p.lastAlive.Load() > since.Add(age/2).UnixNano()
		switch {
		case elsewhere && c.search.Load() && age >= c.cutLimit():
			p.foundSilent(now)
			typical := p.typical.Load()
			p.typical.Store(typical + typical/2)
			c.cut()
		case !elsewhere && (unproved == nil || c.longerThan(unproved)):
			unproved = c
		}
	}
	return unproved
}

// longerThan orders busy connections: searches first, then the longest.
func (c *conn) longerThan(other *conn) bool {
	if c.search.Load() != other.search.Load() {
		return c.search.Load()
	}
	return c.since().Before(other.since())
}

// proveLocked probes the idle connections that gave no reply since a time. Until
// they answer they carry nothing. Without any it probes another idle one, or opens
// one.
func (p *pool) proveLocked(since time.Time) {
	timeout := p.client.opts.ProbeTimeout
	probed := false
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].lastAlive.Before(since) {
			p.orderLocked(i, order{job: newProbeJob(timeout)})
			probed = true
		}
	}
	switch last := len(p.idle) - 1; {
	case probed:
	case last >= 0:
		p.orderLocked(last, order{job: newProbeJob(timeout)})
	default:
		p.cancels = append(p.cancels, newProbeJob(timeout))
		p.dialNeededLocked()
	}
}

// since returns when the attempt in flight last made progress, or the zero time.
func (c *conn) since() time.Time {
	if n := c.sock.busySince.Load(); n != 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// cut makes the wait for the reply end now.
func (c *conn) cut() { _ = c.sock.SetReadDeadline(time.Unix(1, 0)) }

// watchLoop looks for silent connections.
func (c *Client) watchLoop() {
	ticker := time.NewTicker(silenceCheck)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case now := <-ticker.C:
			for _, p := range c.currentPools() {
				p.watchSilence(now)
			}
		}
	}
}
