package daemon

import "time"

// clock gives the monotonic time since the process started, the only time that
// machines see.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

func (c clock) now() time.Duration { return time.Since(c.start) }
