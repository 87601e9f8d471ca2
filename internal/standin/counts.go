package standin

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Counts are the counters of an endpoint.
type Counts struct {
	// Requests counts searches and submits that arrived.
	Requests int64
	// Started counts searches and submits that the endpoint started to run.
	Started int64
	// Cancels counts cancellations that arrived.
	Cancels int64
	// Refused counts refusals by code.
	Refused map[result.Code]int64
	// ConnectionsRefused counts connections above the limit.
	ConnectionsRefused int64
	// Connections is the current number of open connections, HighestConnections
	// the highest so far.
	Connections        int
	HighestConnections int
	// InFlight is the number of requests that are running.
	InFlight int
	// BusyTime is the time that slots were in use, summed over all slots.
	BusyTime time.Duration
	// Slots is the number of slots.
	Slots int
	// AfterLeaving counts requests that arrived more than LeavingGrace after
	// Faults.Leaving was set.
	AfterLeaving int64
}

// LeavingGrace is how long a leaving endpoint may still receive new requests before
// it counts them in AfterLeaving.
const LeavingGrace = 3 * time.Second

// add adds the counters of another endpoint. HighestConnections becomes the higher
// of the two.
func (c *Counts) add(other Counts) {
	c.Requests += other.Requests
	c.Started += other.Started
	c.Cancels += other.Cancels
	c.ConnectionsRefused += other.ConnectionsRefused
	c.InFlight += other.InFlight
	c.Connections += other.Connections
	c.HighestConnections = max(c.HighestConnections, other.HighestConnections)
	c.BusyTime += other.BusyTime
	c.Slots += other.Slots
	c.AfterLeaving += other.AfterLeaving
	if c.Refused == nil {
		c.Refused = make(map[result.Code]int64)
	}
	for code, n := range other.Refused {
		c.Refused[code] += n
	}
}

// Counts returns the endpoint's counters.
func (e *Endpoint) Counts() Counts {
	c := Counts{
		Requests: e.requests.Load(),
		Started:  e.started.Load(),
		Cancels:  e.cancels.Load(),
		InFlight: int(e.inFlight.Load()),
		BusyTime: time.Duration(e.busyNanos.Load()),
		Slots:    e.options.Slots,
		Refused:  make(map[result.Code]int64),

		AfterLeaving: e.afterLeaving.Load(),
	}
	e.refusedMu.Lock()
	for code, n := range e.refused {
		c.Refused[code] = n
	}
	e.refusedMu.Unlock()
	e.conns.mu.Lock()
	defer e.conns.mu.Unlock()
	c.ConnectionsRefused = e.conns.refused
	c.Connections = len(e.conns.open)
	c.HighestConnections = e.conns.highest
	return c
}

// updateLeavingSince stores when the endpoint began to leave.
func (e *Endpoint) updateLeavingSince(before, now bool) {
	switch {
	case now && !before:
		e.leavingSince.Store(time.Now().UnixNano())
	case !now:
		e.leavingSince.Store(0)
	}
}

// pastLeavingGrace reports whether the endpoint has been leaving for more than
// LeavingGrace.
func (e *Endpoint) pastLeavingGrace() bool {
	since := e.leavingSince.Load()
	return since != 0 && time.Since(time.Unix(0, since)) > LeavingGrace
}
