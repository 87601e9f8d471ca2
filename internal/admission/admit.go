package admission

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// admit refuses what has expired and then fills the free capacity.
func (q *Queue) admit(now time.Duration, c *Changes) {
	q.expire(now, c)
	for q.hasCapacity() {
		heads, any := q.heads()
		if !any {
			return
		}
		e := heads[q.class(&heads)]
		q.dequeue(e)
		q.start(now, e)
		c.Admitted = append(c.Admitted, e.id)
	}
}

func (q *Queue) expire(now time.Duration, c *Changes) {
	for class := range q.waiting {
		for i := 0; i < len(q.waiting[class]); {
			s := q.waiting[class][i]
			e := s.queue[0]
			if e.deadline > now {
				i++
				continue
			}
			q.dequeue(e)
			q.end(e)
			c.refuse(e.id, result.ExpiredInQueue)
		}
	}
}

// heads returns for each class the request that goes next, or nil if none can.
func (q *Queue) heads() (heads [config.UrgencyCount]*entry, any bool) {
	for class, services := range q.waiting {
		for _, s := range services {
			if !s.hasCapacity() {
				continue
			}
			if heads[class] == nil || s.queue[0].before(heads[class]) {
				heads[class] = s.queue[0]
				any = true
			}
		}
	}
	return heads, any
}

// class chooses the class of the next admission: the one that was passed over
// too often, or else the most urgent one. It counts whom it passes over.
func (q *Queue) class(heads *[config.UrgencyCount]*entry) int {
	chosen := -1
	for class, e := range heads {
		if e == nil {
			q.passed[class] = 0
			continue
		}
		if chosen < 0 || (q.passed[class] >= floorInterval-1 && q.passed[class] > q.passed[chosen]) {
			chosen = class
		}
	}
	for class, e := range heads {
		if e != nil {
			q.passed[class]++
		}
	}
	q.passed[chosen] = 0
	return chosen
}
