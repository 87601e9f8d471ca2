package endpointhttp

import (
	"slices"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// cancel withdraws a job: it is refused if it waits, and the endpoint is told
// if it was written. It reports whether the pool has the job.
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

// sendCancelLocked tells the endpoint on an idle connection or on the next
// that is free. The connection of the job is closed after the grace anyway.
func (p *pool) sendCancelLocked(j *job) {
	cancelJob := newCancelJob(j, p.client.opts.ProbeTimeout)
	if last := len(p.idle) - 1; last >= 0 {
		p.commandIdleLocked(last, command{job: cancelJob})
		return
	}
	p.controlQueue = append(p.controlQueue, cancelJob)
	p.dialNeededLocked()
}

// popControlLocked returns the next cancellation or probe that is still of use.
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
