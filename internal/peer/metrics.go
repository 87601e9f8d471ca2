package peer

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// breakReason says why a client connection ended.
type breakReason string

const (
	breakClosed  breakReason = "closed"
	breakSilent  breakReason = "silent"
	breakWrite   breakReason = "write"
	breakGoodbye breakReason = "goodbye"
	breakIdle    breakReason = "idle"
	breakStop    breakReason = "stop"
)

// lossy reports whether messages may have been lost with the connection. The
// others end after the peer has read everything.
func (r breakReason) lossy() bool {
	return r == breakClosed || r == breakSilent || r == breakWrite
}

// counters counts what one client or server does.
type counters struct {
	set  *metrics.Set
	side string
	// sent and received are indexed by kind, so that counting allocates nothing.
	sent     [256]*metrics.Counter
	received [256]*metrics.Counter
}

func newCounters(set *metrics.Set, side string) *counters {
	c := &counters{set: set, side: side}
	for k := range c.sent {
		kind := peerwire.Kind(k)
		c.sent[k] = c.counter("gypsumlug_peer_frames_total{side=%q,direction=\"out\",kind=%q}", side, kind)
		c.received[k] = c.counter("gypsumlug_peer_frames_total{side=%q,direction=\"in\",kind=%q}", side, kind)
	}
	return c
}

func (c *counters) counter(format string, args ...any) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf(format, args...))
}

// refused counts a frame or message that was refused, by its result code.
func (c *counters) refused(err error) {
	var e *result.Error
	if errors.As(err, &e) {
		c.counter("gypsumlug_peer_refused_total{side=%q,code=\"%d\",reason=%q}", c.side, uint16(e.Code), e.Code).Inc()
	}
}

func (c *counters) broken(reason breakReason) {
	c.counter("gypsumlug_peer_connections_ended_total{side=%q,reason=%q}", c.side, reason).Inc()
}

func (c *counters) opened() {
	c.counter("gypsumlug_peer_connections_opened_total{side=%q}", c.side).Inc()
}
