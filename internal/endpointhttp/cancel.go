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
		p.notifyCancelLocked(j)
	}
	p.mu.Unlock()
	if j != nil {
		p.dropWaiting(j, result.CancelledBeforeSend)
	}
	return j != nil
}

// notifyCancelLocked tells the endpoint on an idle connection or on the next
// that is free. The connection of the job is closed after the grace anyway.
func (p *pool) notifyCancelLocked(j *job) {
	note := newCancelJob(j, p.client.opts.ProbeTimeout)
	if last := len(p.idle) - 1; last >= 0 {
		p.orderLocked(last, order{job: note})
		return
	}
	p.cancels = append(p.cancels, note)
	p.dialNeededLocked()
}

// popCancelLocked returns the next cancellation or probe that is still of use.
func (p *pool) popCancelLocked() *job {
	for len(p.cancels) > 0 {
		j := p.cancels[0]
		p.cancels = slices.Delete(p.cancels, 0, 1)
		if (j.kind == jobProbe || p.jobs[j.req.Key] != nil) && !j.expired() {
			return j
		}
	}
	return nil
}
