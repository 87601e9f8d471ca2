package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/edf"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Queue admits the requests of one host.
type Queue struct {
	limits   Limits
	bundle   *config.Bundle
	stopping bool
	entries  map[string]*entry
	services map[string]*service
	// waitingServices holds for each urgency class the services with waiting requests.
	waitingServices [config.UrgencyCount][]*service
	scheduler       edf.ClassScheduler
	queued          int
	inFlight        int
	// nextSequence orders requests with equal deadlines by arrival.
	nextSequence uint64
	// averageHold is the average time from admission to release in nanoseconds.
	averageHold float64
}

// New returns a queue that refuses all requests as not ready until SetBundle is
// called.
func New(limits Limits) *Queue {
	return &Queue{limits: limits, entries: make(map[string]*entry), services: make(map[string]*service)}
}

// SetBundle applies a configuration. Waiting requests of a service that was removed
// are refused; admitted ones are unaffected.
func (q *Queue) SetBundle(now time.Duration, b *config.Bundle) Changes {
	var c Changes
	if b == q.bundle {
		return c
	}
	q.bundle = b
	for name, conf := range b.Services() {
		if q.services[name] == nil {
			q.services[name] = &service{name: name, callers: make(map[string]*caller)}
		}
		q.services[name].configure(conf)
	}
	for _, name := range slices.Sorted(maps.Keys(q.services)) {
		s := q.services[name]
		if b.Service(name) == nil {
			s.configure(nil)
			q.refuseAll(s, result.UnknownService, &c)
		}
		if s.config == nil && s.inFlight == 0 {
			delete(q.services, name)
		}
	}
	q.rebuildWaitingServices()
	q.admitWaiting(now, &c)
	return c
}

// refuseAll refuses the waiting requests of a service.
func (q *Queue) refuseAll(s *service, code result.Code, c *Changes) {
	for s.queue.Len() > 0 {
		e := s.queue.First()
		q.dequeue(e)
		q.removeEntry(e)
		c.addRefusal(e.id, code)
	}
}

// rebuildWaitingServices assigns the services with waiting requests to their urgency
// classes, which a new configuration may have changed.
func (q *Queue) rebuildWaitingServices() {
	q.waitingServices = [config.UrgencyCount][]*service{}
	for _, name := range slices.Sorted(maps.Keys(q.services)) {
		if s := q.services[name]; s.queue.Len() > 0 {
			q.waitingServices[s.config.Urgency] = append(q.waitingServices[s.config.Urgency], s)
		}
	}
}

// Stop makes Offer refuse all further requests. Waiting requests are still admitted.
func (q *Queue) Stop() { q.stopping = true }

// Counts returns the number of waiting and of admitted requests.
func (q *Queue) Counts() (queued, inFlight int) { return q.queued, q.inFlight }

// Offer decides whether a new request is admitted, waits or is refused.
func (q *Queue) Offer(now time.Duration, r Request) Decision {
	s, c, code := q.checkRequest(now, &r)
	if code != 0 {
		return Decision{Verdict: Refuse, Code: code}
	}
	e := &entry{
		Item: edf.Item{Deadline: now + r.Budget, Sequence: q.nextSequence},
		id:   r.ID, service: s, caller: c,
	}
	free := s.hasCapacity() && q.hasCapacity()
	if !free {
		if code = q.checkWait(now, e); code != 0 {
			return Decision{Verdict: Refuse, Code: code}
		}
	}
	q.nextSequence++
	q.entries[r.ID] = e
	c.addRequest(now)
	if free {
		q.markAdmitted(now, e)
		return Decision{Verdict: Admit}
	}
	q.enqueue(e)
	return Decision{Verdict: Wait}
}

// checkRequest returns the service and caller of a request, or the reason to refuse
// it regardless of the load.
func (q *Queue) checkRequest(now time.Duration, r *Request) (*service, *caller, result.Code) {
	switch {
	case q.stopping:
		return nil, nil, result.Stopping
	case q.bundle == nil:
		return nil, nil, result.NotReady
	case q.entries[r.ID] != nil:
		return nil, nil, result.InvalidValue
	}
	s := q.services[r.Service]
	if s == nil || s.config == nil {
		return nil, nil, result.UnknownService
	}
	c := s.caller(r.Caller)
	if c == nil {
		return nil, nil, result.UnknownCaller
	}
	if r.Budget <= 0 {
		return nil, nil, result.DeadlineTooShort
	}
	return s, c, c.refusalCode(now)
}

// checkWait returns the reason to refuse a request that would have to wait, or 0 if
// it may wait.
func (q *Queue) checkWait(now time.Duration, e *entry) result.Code {
	if e.service.queue.Len() >= e.service.config.QueueLimit || (q.limits.Queue > 0 && q.queued >= q.limits.Queue) {
		return result.QueueFull
	}
	if now+q.expectedWait(e) >= e.Deadline {
		return result.DeadlineTooShort
	}
	return 0
}

// expectedWait estimates from the average hold times how long e would wait. It is
// zero before the first observation. An average that is too high corrects itself:
// requests in flight end, and a request for which there is capacity is always
// admitted and yields a new sample.
func (q *Queue) expectedWait(e *entry) time.Duration {
	s := e.service
	wait := float64(s.queue.CountBefore(&e.Item)+1) * s.averageHold / float64(s.config.InFlightLimit)
	if q.limits.InFlight > 0 {
		wait = max(wait, float64(q.countAhead(e)+1)*q.averageHold/float64(q.limits.InFlight))
	}
	return time.Duration(wait)
}

// countAhead returns the number of waiting requests of all services that precede e.
func (q *Queue) countAhead(e *entry) int {
	n := 0
	class := e.service.config.Urgency
	for c := range class + 1 {
		for _, s := range q.waitingServices[c] {
			if c < class {
				n += s.queue.Len()
			} else {
				n += s.queue.CountBefore(&e.Item)
			}
		}
	}
	return n
}

// hasCapacity reports whether the in-flight limit of the host allows a request.
func (q *Queue) hasCapacity() bool {
	return q.limits.InFlight == 0 || q.inFlight < q.limits.InFlight
}

// markAdmitted records a request as admitted and in flight.
func (q *Queue) markAdmitted(now time.Duration, e *entry) {
	e.admitted = true
	e.admittedAt = now
	e.service.inFlight++
	q.inFlight++
}

// enqueue makes a request wait in the queue of its service.
func (q *Queue) enqueue(e *entry) {
	s := e.service
	if s.queue.Len() == 0 {
		class := s.config.Urgency
		q.waitingServices[class] = append(q.waitingServices[class], s)
	}
	s.queue.Push(e)
	q.queued++
}

// dequeue removes a waiting request from the queue of its service.
func (q *Queue) dequeue(e *entry) {
	s := e.service
	s.queue.Remove(e)
	q.queued--
	if s.queue.Len() > 0 {
		return
	}
	for class := range q.waitingServices {
		if i := slices.Index(q.waitingServices[class], s); i >= 0 {
			q.waitingServices[class] = slices.Delete(q.waitingServices[class], i, i+1)
		}
	}
}

// removeEntry removes a request that neither waits nor runs any more.
func (q *Queue) removeEntry(e *entry) {
	e.caller.unfinished--
	delete(q.entries, e.id)
}

// Release ends an admitted request and gives the capacity that it frees to waiting
// requests. It ignores requests that are not admitted.
func (q *Queue) Release(now time.Duration, id string) Changes {
	var c Changes
	e := q.entries[id]
	if e == nil || !e.admitted {
		return c
	}
	q.removeEntry(e)
	q.inFlight--
	e.service.inFlight--
	q.observeHold(e.service, now-e.admittedAt)
	if e.service.config == nil && e.service.inFlight == 0 {
		delete(q.services, e.service.name)
	}
	q.admitWaiting(now, &c)
	return c
}

// observeHold adds the time from a request's admission to its release to the averages
// of its service and of the host.
func (q *Queue) observeHold(s *service, hold time.Duration) {
	s.observeHold(hold)
	if q.averageHold == 0 {
		q.averageHold = float64(hold)
		return
	}
	q.averageHold += holdSampleWeight * (float64(hold) - q.averageHold)
}

// Cancel ends a waiting request whose caller is gone. It ignores all others: an
// admitted request is ended by Release.
func (q *Queue) Cancel(_ time.Duration, id string) Changes {
	var c Changes
	if e := q.entries[id]; e != nil && !e.admitted {
		q.dequeue(e)
		q.removeEntry(e)
		c.addRefusal(id, result.CallerGone)
	}
	return c
}

// Tick refuses the waiting requests whose deadline has passed and admits others up
// to the capacity.
func (q *Queue) Tick(now time.Duration) Changes {
	var c Changes
	q.admitWaiting(now, &c)
	return c
}

// NextTick returns the time at which Tick is due next, or false if no request waits.
func (q *Queue) NextTick() (time.Duration, bool) {
	next, found := time.Duration(0), false
	for _, services := range q.waitingServices {
		for _, s := range services {
			if d := s.queue.First().Deadline; !found || d < next {
				next, found = d, true
			}
		}
	}
	return next, found
}
