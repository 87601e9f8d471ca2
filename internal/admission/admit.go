package admission

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/edf"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// admit refuses what has expired and then fills the free capacity.
func (q *Queue) admit(now time.Duration, c *Changes) {
	q.expire(now, c)
	for q.hasCapacity() {
		heads, ready := q.heads()
		class, ok := q.floor.Choose(ready)
		if !ok {
			return
		}
		e := heads[class]
		q.dequeue(e)
		q.start(now, e)
		c.Admitted = append(c.Admitted, e.id)
	}
}

func (q *Queue) expire(now time.Duration, c *Changes) {
	for class := range q.waiting {
		for i := 0; i < len(q.waiting[class]); {
			e := q.waiting[class][i].queue.First()
			if e.Deadline > now {
				i++
				continue
			}
			q.dequeue(e)
			q.end(e)
			c.refuse(e.id, result.ExpiredInQueue)
		}
	}
}

// heads returns for each class the request that goes next.
func (q *Queue) heads() (heads [config.UrgencyCount]*entry, ready edf.Ready) {
	for class, services := range q.waiting {
		for _, s := range services {
			if !s.hasCapacity() {
				continue
			}
			if e := s.queue.First(); !ready[class] || e.Before(&heads[class].Item) {
				heads[class] = e
				ready[class] = true
			}
		}
	}
	return heads, ready
}
