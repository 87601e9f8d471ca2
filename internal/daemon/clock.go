package daemon

import "time"

// clock measures the monotonic time since the start of the host, the only time that
// the state machines use.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

func (c clock) now() time.Duration { return time.Since(c.start) }
