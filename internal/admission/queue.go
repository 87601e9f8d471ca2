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
	// waiting holds, for each class, the services with a queue.
	waiting  [config.UrgencyCount][]*service
	floor    edf.Floor
	queued   int
	inFlight int
	sequence uint64
	hold     float64
}

// New returns a queue that refuses everything as not ready until SetBundle.
func New(limits Limits) *Queue {
	return &Queue{limits: limits, entries: make(map[string]*entry), services: make(map[string]*service)}
}

// SetBundle takes a configuration into force. Requests that wait for a service
// that is gone are refused; admitted ones are not touched.
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
	q.rebuildWaiting()
	q.admit(now, &c)
	return c
}

func (q *Queue) refuseAll(s *service, code result.Code, c *Changes) {
	for s.queue.Len() > 0 {
		e := s.queue.First()
		q.dequeue(e)
		q.end(e)
		c.refuse(e.id, code)
	}
}

// rebuildWaiting sorts the services anew by class, which may have changed.
func (q *Queue) rebuildWaiting() {
	q.waiting = [config.UrgencyCount][]*service{}
	for _, name := range slices.Sorted(maps.Keys(q.services)) {
		if s := q.services[name]; s.queue.Len() > 0 {
			q.waiting[s.config.Urgency] = append(q.waiting[s.config.Urgency], s)
		}
	}
}

// Stop refuses all further offers. Waiting requests are still admitted.
func (q *Queue) Stop() { q.stopping = true }

// Counts returns the number of waiting and of admitted requests.
func (q *Queue) Counts() (queued, inFlight int) { return q.queued, q.inFlight }

// Offer decides on a new request.
func (q *Queue) Offer(now time.Duration, r Request) Decision {
	s, c, code := q.check(now, &r)
	if code != 0 {
		return Decision{Verdict: Refuse, Code: code}
	}
	e := &entry{
		Item: edf.Item{Deadline: now + r.Budget, Sequence: q.sequence},
		id:   r.ID, service: s, caller: c,
	}
	free := s.hasCapacity() && q.hasCapacity()
	if !free {
		if code = q.checkQueue(now, e); code != 0 {
			return Decision{Verdict: Refuse, Code: code}
		}
	}
	q.sequence++
	q.entries[r.ID] = e
	c.take(now)
	if free {
		q.start(now, e)
		return Decision{Verdict: Admit}
	}
	q.enqueue(e)
	return Decision{Verdict: Wait}
}

// check returns the reason to refuse a request whatever the load, or 0.
func (q *Queue) check(now time.Duration, r *Request) (*service, *caller, result.Code) {
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
	return s, c, c.check(now)
}

// checkQueue returns the reason to refuse a request that would have to wait.
func (q *Queue) checkQueue(now time.Duration, e *entry) result.Code {
	if e.service.queue.Len() >= e.service.config.QueueLimit || (q.limits.Queue > 0 && q.queued >= q.limits.Queue) {
		return result.QueueFull
	}
	if now+q.expectedWait(e) >= e.Deadline {
		return result.DeadlineTooShort
	}
	return 0
}

// expectedWait estimates from the average hold times how long e would wait.
// Without observations it is zero. A high average corrects itself, since what
// is in flight ends and a request with free capacity is always admitted.
func (q *Queue) expectedWait(e *entry) time.Duration {
	s := e.service
	wait := float64(s.queue.Ahead(&e.Item)+1) * s.hold / float64(s.config.InFlightLimit)
	if q.limits.InFlight > 0 {
		wait = max(wait, float64(q.ahead(e)+1)*q.hold/float64(q.limits.InFlight))
	}
	return time.Duration(wait)
}

// ahead counts the waiting requests of all services that go before e.
func (q *Queue) ahead(e *entry) int {
	n := 0
	class := e.service.config.Urgency
	for c := range class + 1 {
		for _, s := range q.waiting[c] {
			if c < class {
				n += s.queue.Len()
			} else {
				n += s.queue.Ahead(&e.Item)
			}
		}
	}
	return n
}

func (q *Queue) hasCapacity() bool {
	return q.limits.InFlight == 0 || q.inFlight < q.limits.InFlight
}

func (q *Queue) start(now time.Duration, e *entry) {
	e.admitted = true
	e.admittedAt = now
	e.service.inFlight++
	q.inFlight++
}

func (q *Queue) enqueue(e *entry) {
	s := e.service
	if s.queue.Len() == 0 {
		class := s.config.Urgency
		q.waiting[class] = append(q.waiting[class], s)
	}
	s.queue.Push(e)
	q.queued++
}

func (q *Queue) dequeue(e *entry) {
	s := e.service
	s.queue.Remove(e)
	q.queued--
	if s.queue.Len() > 0 {
		return
	}
	for class := range q.waiting {
		if i := slices.Index(q.waiting[class], s); i >= 0 {
			q.waiting[class] = slices.Delete(q.waiting[class], i, i+1)
		}
	}
}

// end forgets a request that is neither waiting nor admitted any more.
func (q *Queue) end(e *entry) {
	e.caller.requests--
	delete(q.entries, e.id)
}

// Release ends an admitted request and admits what waited for its place. It
// ignores requests that are not admitted.
func (q *Queue) Release(now time.Duration, id string) Changes {
	var c Changes
	e := q.entries[id]
	if e == nil || !e.admitted {
		return c
	}
	q.end(e)
	q.inFlight--
	e.service.inFlight--
	q.observe(e.service, now-e.admittedAt)
	if e.service.config == nil && e.service.inFlight == 0 {
		delete(q.services, e.service.name)
	}
	q.admit(now, &c)
	return c
}

func (q *Queue) observe(s *service, hold time.Duration) {
	s.observe(hold)
	if q.hold == 0 {
		q.hold = float64(hold)
		return
	}
	q.hold += holdWeight * (float64(hold) - q.hold)
}

// Cancel ends a waiting request whose caller is gone. It ignores others: an
// admitted request is ended by Release.
func (q *Queue) Cancel(_ time.Duration, id string) Changes {
	var c Changes
	if e := q.entries[id]; e != nil && !e.admitted {
		q.dequeue(e)
		q.end(e)
		c.refuse(id, result.CallerGone)
	}
	return c
}

// Tick refuses the waiting requests whose deadline has passed.
func (q *Queue) Tick(now time.Duration) Changes {
	var c Changes
	q.admit(now, &c)
	return c
}

// NextTick returns the time at which Tick is due; it is false if nothing waits.
func (q *Queue) NextTick() (time.Duration, bool) {
	next, found := time.Duration(0), false
	for _, services := range q.waiting {
		for _, s := range services {
			if d := s.queue.First().Deadline; !found || d < next {
				next, found = d, true
			}
		}
	}
	return next, found
}
