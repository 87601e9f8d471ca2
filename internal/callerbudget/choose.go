package callerbudget

import "time"

const (
	// stallTime is the time without a byte after which a connection is given up before those
	// that progress: a request that has just begun has made less progress than a large one
	// that has stalled.
	stallTime = 250 * time.Millisecond
	// slowTime is the time after which a request that progresses is given up before those that
	// have just begun, and an answer that is still being written for a new connection.
	slowTime = time.Second
)

// arriving reports whether a connection can be given up in favour of the request of another
// one: its own arrives, and holds memory.
func arriving(c *Conn) bool { return (c.state == Head || c.state == Body) && c.charged > 0 }

// writing reports whether a connection has an answer that holds memory.
func writing(c *Conn) bool { return c.state == Answer && c.charged > 0 }

// largeAndSlow returns the connection that is given up for memory: the slowest request that
// arrives, of those that hold memory and that of c, or else the slowest answer. c may be nil.
func (t *Table) largeAndSlow(now time.Duration, c *Conn) *Conn {
	victim := t.slowest(now, c, arriving)
	if victim != nil && victim != c {
		return victim
	}
	if answer := t.slowest(now, nil, writing); answer != nil {
		return answer
	}
	return victim
}

// slowest returns the connection to give up among those that may be given up and c, which may
// be nil: one that has stalled, or else one that is slow, or else the one whose last byte came
// first.
func (t *Table) slowest(now time.Duration, c *Conn, mayGiveUp func(*Conn) bool) *Conn {
	var slowest *Conn
	for _, o := range t.conns {
		if (o == c || mayGiveUp(o)) && (slowest == nil || slower(o, slowest, now)) {
			slowest = o
		}
	}
	return slowest
}

// pace is how a request progresses, the worst first.
type pace uint8

const (
	stalled pace = iota
	slow
	young
)

func (c *Conn) pace(now time.Duration) pace {
	switch {
	case now-c.last >= stallTime:
		return stalled
	case now-c.since >= slowTime:
		return slow
	default:
		return young
	}
}

// slower reports whether a is given up before b. Of two with the same pace it is the one with
// fewer bytes per second since it was opened, or of two that are young the one whose last byte
// came first.
func slower(a, b *Conn, now time.Duration) bool {
	pa, pb := a.pace(now), b.pace(now)
	if pa != pb {
		return pa < pb
	}
	x := float64(a.progress) * float64(now-b.since)
	y := float64(b.progress) * float64(now-a.since)
	if pa == young || x == y {
		return a.last < b.last
	}
	return x < y
}

// leastUseful returns the connection to close for a new one: the one that has been idle for
// longest, or else the request that has made the least progress, or else the slowest answer. A
// connection that was opened only just now is no worse than a request. The result is nil if
// there is none.
func (t *Table) leastUseful(now time.Duration) *Conn {
	idle := t.slowest(now, nil, func(c *Conn) bool { return c.state == Idle })
	if idle != nil && idle.pace(now) == stalled {
		return idle
	}
	unread := func(c *Conn) bool { return c.state == Idle || c.state == Head || c.state == Body }
	if c := t.slowest(now, nil, unread); c != nil {
		return c
	}
	return t.slowest(now, nil, func(c *Conn) bool { return c.state == Answer && now-c.since >= slowTime })
}
