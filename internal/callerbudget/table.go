// Package callerbudget decides which caller gives its place up when all callers together make
// a process hold too much: many connections, heads without end, bodies that stop short of
// their end, and answers that are not read.
//
// A [Table] holds the connections of callers and what each is charged. Invariant: the bytes
// charged for heads and bodies that are still arriving never take the sum of all charges over
// [Limits.Bytes], and there are never more than [Limits.Connections] connections that were not
// told to close. Responses of replicas are charged too: they may exceed the limit, and then no
// request starts. Without pressure no connection is told to close, however slow it is. A request
// that may have begun to run is never given up, only its answer once it is being written.
package callerbudget

import "time"

// State is what a connection does.
type State uint8

// The states of a connection. A connection that waits for a request is Idle.
const (
	Idle State = iota
	// Head and Body mean that a request arrives.
	Head
	Body
	// Running means that a request has arrived and may run.
	Running
	// Answer means that an answer is written.
	Answer
	// Closing means that the connection was given up and ends soon.
	Closing
)

const (
	// closingDivisor is the fraction of Limits.Connections that may be open in addition, of
	// connections that were given up and have not ended yet.
	closingDivisor = 2
	// lingerDivisor is the fraction of Limits.Connections that may stay open for a while
	// after they were given up.
	lingerDivisor = 8
)

// Conn is a connection of a caller.
type Conn struct {
	state State
	// since is when the state began, or the request of which a body is part. progress is the
	// number of bytes that have arrived, or been written, since then, and last the time of
	// the last ones.
	since, last time.Duration
	progress    int64
	// charged is the charge in addition to ConnectionBytes, and answer the part of it that
	// the answer has.
	charged, answer int64
	// index is the position in Table.conns; -1 once the connection has been removed.
	index int
}

// State returns the state of the connection.
func (c *Conn) State() State { return c.state }

// Table holds the connections of callers. It is not safe for concurrent use.
type Table struct {
	limits Limits
	conns  []*Conn
	// used is the sum of all charges, and leaving the part that connections in Closing will
	// release. closing is the number of those connections.
	used, leaving int64
	closing       int
	// answers is the part of used that answers have which are being written, and responses
	// the part that responses of replicas have.
	answers, responses int64
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table { return &Table{limits: limits} }

// Used returns the bytes charged, and Connections the number of connections.
func (t *Table) Used() int64 { return t.used }

// Connections returns the number of connections.
func (t *Table) Connections() int { return len(t.conns) }

// Full reports whether so many connections were given up that have not ended yet that the next
// one must wait. They end soon.
func (t *Table) Full() bool {
	return t.closing > 0 && len(t.conns) > t.limits.Connections+t.limits.Connections/closingDivisor
}

// Open adds a connection. Another one, which is not nil, must be closed in its favour. If ok is
// false, all others have requests that may run, and the new one must be closed.
func (t *Table) Open(now time.Duration) (c, closed *Conn, ok bool) {
	// Responses do not keep a connection from being opened, so that its request gets an answer.
	needsMemory := t.used-t.responses-t.leaving+ConnectionBytes > t.limits.Bytes
	if needsMemory {
		closed = t.largeAndSlow(now, nil)
	}
	if closed == nil && (needsMemory || len(t.conns)-t.closing >= t.limits.Connections) {
		if closed = t.leastUseful(now); closed == nil {
			return nil, nil, false
		}
	}
	if closed != nil {
		t.GiveUp(closed)
	}
	c = &Conn{since: now, last: now, index: len(t.conns)}
	t.conns = append(t.conns, c)
	t.used += ConnectionBytes
	return c, closed, true
}

// Close removes a connection that has ended, with its charge.
func (t *Table) Close(c *Conn) {
	if c.index < 0 {
		return
	}
	t.Release(c)
	if c.state == Closing {
		t.closing--
		t.leaving -= ConnectionBytes
	}
	t.used -= ConnectionBytes
	last := t.conns[len(t.conns)-1]
	last.index = c.index
	t.conns[c.index] = last
	t.conns = t.conns[:len(t.conns)-1]
	c.index = -1
}

// GiveUp marks a connection that will be closed.
func (t *Table) GiveUp(c *Conn) {
	if c.state == Closing || c.index < 0 {
		return
	}
	c.state = Closing
	t.closing++
	t.leaving += c.charged + ConnectionBytes
}

// MayLinger reports whether a connection that was given up may stay open for a while, so that
// its caller reads the refusal.
func (t *Table) MayLinger() bool { return t.closing <= t.limits.Connections/lingerDivisor }

// Enter begins a state. It reports false for a connection that was given up. A body begins
// where its head began.
func (t *Table) Enter(c *Conn, s State, now time.Duration) bool {
	if c.state == Closing {
		return false
	}
	if s != Body || c.state != Head {
		c.since, c.progress = now, 0
	}
	c.state, c.last = s, now
	return true
}

// Progress records bytes that have arrived or been written.
func (t *Table) Progress(c *Conn, n int, now time.Duration) {
	c.progress += int64(n)
	c.last = now
}

// Grow charges n bytes for a request that arrives. If there is no room, it returns the
// connections that were given up in its favour, which may include c itself; it is to be called
// again once one of them has released its charge.
func (t *Table) Grow(c *Conn, n int64, now time.Duration) (givenUp []*Conn, ok bool) {
	if c.state == Closing {
		return nil, false
	}
	for t.used-t.leaving+n > t.limits.Bytes {
		victim := t.largeAndSlow(now, c)
		t.GiveUp(victim)
		givenUp = append(givenUp, victim)
		if victim == c {
			return givenUp, false
		}
	}
	if t.used+n > t.limits.Bytes {
		return givenUp, false
	}
	t.charge(c, n)
	return givenUp, true
}

// ChargeAnswer charges the answer that is being written on a connection. It returns the
// connections whose answers were given up in its favour. The answer itself is kept.
func (t *Table) ChargeAnswer(c *Conn, n int64, now time.Duration) (givenUp []*Conn) {
	if c.state == Closing || c.index < 0 {
		return nil
	}
	t.charge(c, n)
	c.answer += n
	t.answers += n
	for t.answers > t.limits.AnswerBytes {
		victim := t.slowest(now, nil, func(o *Conn) bool { return o != c && writing(o) })
		if victim == nil {
			break
		}
		t.GiveUp(victim)
		t.answers -= victim.answer
		victim.answer = 0
		givenUp = append(givenUp, victim)
	}
	return givenUp
}

// ChargeResponses charges n bytes for responses of replicas, or returns them if n is negative. It
// returns the connections whose requests were given up in their favour. If those hold too little,
// the charges exceed the limit: a request that runs is not ended.
func (t *Table) ChargeResponses(n int64, now time.Duration) (givenUp []*Conn) {
	t.used += n
	t.responses += n
	for n > 0 && t.used-t.leaving > t.limits.Bytes {
		victim := t.slowest(now, nil, arriving)
		if victim == nil {
			break
		}
		t.GiveUp(victim)
		givenUp = append(givenUp, victim)
	}
	return givenUp
}

// MayStart reports whether a request that has arrived may begin to run. It may not while the
// responses to others take the charges over the limit.
func (t *Table) MayStart() bool { return t.responses == 0 || t.used-t.leaving <= t.limits.Bytes }

func (t *Table) charge(c *Conn, n int64) {
	c.charged += n
	t.used += n
}

// Release returns what a connection is charged in addition to ConnectionBytes.
func (t *Table) Release(c *Conn) {
	t.used -= c.charged
	t.answers -= c.answer
	if c.state == Closing {
		t.leaving -= c.charged
	}
	c.charged, c.answer = 0, 0
}
