package endpointhttp

import (
	"slices"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// cancel cancels the attempt with the key and reports whether the pool has it. An
// attempt that waits for a connection is refused. For one that may have been written,
// a cancellation is sent to the endpoint.
func (p *pool) cancel(key dispatch.Key) bool {
	p.mu.Lock()
	j := p.jobs[key]
	if j != nil && j.cancel(p.client.opts.CancelGrace) {
		p.sendCancelLocked(j)
	}
	p.mu.Unlock()
	if j != nil {
		p.refuseWaiting(j, result.CancelledBeforeSend)
	}
	return j != nil
}

// sendCancelLocked sends a cancellation over an idle connection, or queues it for
// the next connection that becomes free. The connection of the job itself is closed
// after CancelGrace in any case.
func (p *pool) sendCancelLocked(j *job) {
	cancelJob := newCancelJob(j, p.client.opts.ProbeTimeout)
	if last := len(p.idle) - 1; last >= 0 {
		p.commandIdleLocked(last, command{job: cancelJob})
		return
	}
	p.controlQueue = append(p.controlQueue, cancelJob)
	p.dialNeededLocked()
}

// popControlLocked removes and returns the next probe, or cancellation of a job that
// is still running, whose deadline has not passed. It returns nil if there is none.
func (p *pool) popControlLocked() *job {
	for len(p.controlQueue) > 0 {
		j := p.controlQueue[0]
		p.controlQueue = slices.Delete(p.controlQueue, 0, 1)
		if (j.kind == jobProbe || p.jobs[j.req.Key] != nil) && !j.expired() {
			return j
		}
	}
	return nil
}
