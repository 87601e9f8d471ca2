package admission

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/edf"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// admitWaiting refuses the waiting requests that have expired and then admits
// others up to the capacity.
func (q *Queue) admitWaiting(now time.Duration, c *Changes) {
	q.refuseExpired(now, c)
	for q.hasCapacity() {
		next, ready := q.nextPerClass()
		class, ok := q.scheduler.Choose(ready)
		if !ok {
			return
		}
		e := next[class]
		q.dequeue(e)
		q.markAdmitted(now, e)
		c.Admitted = append(c.Admitted, e.id)
	}
}

// refuseExpired refuses the waiting requests whose deadline has passed.
func (q *Queue) refuseExpired(now time.Duration, c *Changes) {
	for class := range q.waitingServices {
		for i := 0; i < len(q.waitingServices[class]); {
			e := q.waitingServices[class][i].queue.First()
			if e.Deadline > now {
				i++
				continue
			}
			q.dequeue(e)
			q.removeEntry(e)
			c.addRefusal(e.id, result.ExpiredInQueue)
		}
	}
}

// nextPerClass returns for each urgency class the request that would be admitted next,
// and which classes have one.
func (q *Queue) nextPerClass() (next [config.UrgencyCount]*entry, ready edf.Ready) {
	for class, services := range q.waitingServices {
		for _, s := range services {
			if !s.hasCapacity() {
				continue
			}
			if e := s.queue.First(); !ready[class] || e.Before(&next[class].Item) {
				next[class] = e
				ready[class] = true
			}
		}
	}
	return next, ready
}
