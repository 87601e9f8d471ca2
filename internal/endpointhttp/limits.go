package endpointhttp

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// surplusIdleTimeout is how long a connection in excess of the warm ones may carry
// no attempt before it is closed.
const surplusIdleTimeout = 30 * time.Second

// setLimits sets the number of warm connections and the maximum. Connections in
// excess of the maximum are closed: idle ones now, busy ones after their job. With a
// maximum of 0, the jobs that wait are refused.
func (p *pool) setLimits(warm, maxConnections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		return
	}
	p.warm, p.max = min(warm, maxConnections), maxConnections
	for p.openCount-p.closingCount > p.max && len(p.idle) > 0 {
		p.commandIdleLocked(0, command{close: CloseSurplus})
	}
	for p.max == 0 && len(p.waiting) > 0 {
		p.refuseLocked(p.popWaitingLocked(), result.ConnectionLimit)
	}
	p.dialNeededLocked()
}

// maintain probes connections that have been idle for ProbeInterval, closes surplus
// ones and opens missing warm ones.
func (p *pool) maintain(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		switch {
		case p.openCount-p.closingCount > p.warm && now.Sub(c.lastAttemptAt) > surplusIdleTimeout:
			p.commandIdleLocked(i, command{close: CloseSurplus})
		case now.Sub(c.idleSince) >= p.client.opts.ProbeInterval:
			p.commandIdleLocked(i, command{job: newProbeJob(p.client.opts.ProbeTimeout)})
		}
	}
	p.dialNeededLocked()
}

// retire closes idle connections now and busy ones after their job. It removes the
// jobs that wait from the pool and returns them.
func (p *pool) retire() []*job {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	p.warm = 0
	for len(p.idle) > 0 {
		p.commandIdleLocked(0, command{close: CloseRemoved})
	}
	var waiting []*job
	for len(p.waiting) > 0 {
		j := p.popWaitingLocked()
		delete(p.jobs, j.req.Key)
		waiting = append(waiting, j)
	}
	return waiting
}

// reactivate makes a retired pool accept jobs again.
func (p *pool) reactivate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = false
}

// close retires the pool, closes all its connections and refuses the jobs that wait.
func (p *pool) close() {
	waiting := p.retire()
	p.mu.Lock()
	for c := range p.conns {
		_ = c.sock.Close()
	}
	p.mu.Unlock()
	for _, j := range waiting {
		j.refuse(result.Stopping)
	}
}
