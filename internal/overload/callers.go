package overload

import "time"

const (
	// maxRefusedCallers bounds the refused callers that are remembered.
	maxRefusedCallers = 4096
	// returnWindow is how long after the time that it was told a caller is preferred.
	returnWindow = 2 * time.Second
	// returnTolerance is how much earlier than told a caller may come back. It covers
	// rounding of the time that it is told.
	returnTolerance = 10 * time.Millisecond
)

// attendance says how a request relates to an earlier refusal of its caller.
type attendance uint8

const (
	firstTry attendance = iota
	// returned means that the caller came back when it was told to.
	returned
	// repeatedEarly means that the caller repeated a refused request before that.
	repeatedEarly
)

// refusedCallers remembers when refused callers were told to come back.
type refusedCallers struct {
	notBefore map[CallerKey]time.Duration
	// order holds the keys in the order of their refusal, for eviction.
	order []CallerKey
}

// attendance returns how a request relates to an earlier refusal.
func (r *refusedCallers) attendance(now time.Duration, key CallerKey) attendance {
	at, known := r.notBefore[key]
	switch {
	case !known || now > at+returnWindow:
		return firstTry
	case now < at-returnTolerance:
		return repeatedEarly
	default:
		return returned
	}
}

// remember records when a refused caller may come back.
func (r *refusedCallers) remember(key CallerKey, notBefore time.Duration) {
	if r.notBefore == nil {
		r.notBefore = make(map[CallerKey]time.Duration)
	}
	if _, known := r.notBefore[key]; !known {
		if len(r.order) >= maxRefusedCallers {
			delete(r.notBefore, r.order[0])
			r.order = r.order[1:]
		}
		r.order = append(r.order, key)
	}
	r.notBefore[key] = notBefore
}

// remaining returns the time until a caller may come back.
func (r *refusedCallers) remaining(now time.Duration, key CallerKey) time.Duration {
	return max(r.notBefore[key]-now, 0)
}

// clear forgets all callers.
func (r *refusedCallers) clear() { r.notBefore, r.order = nil, nil }
