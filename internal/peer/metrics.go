package peer

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// endReason tells why a connection ended. Its value is a metric label.
type endReason string

const (
	endClosed      endReason = "closed"
	endSilent      endReason = "silent"
	endWriteFailed endReason = "write"
	endGoodbye     endReason = "goodbye"
	endIdle        endReason = "idle"
	endStopped     endReason = "stop"
)

// mayLoseMessages reports whether messages may have been lost with the connection.
// With the other reasons, the peer has read everything before the connection ends.
func (r endReason) mayLoseMessages() bool {
	return r == endClosed || r == endSilent || r == endWriteFailed
}

// counters holds the metrics of one client or server.
type counters struct {
	set  *metrics.Set
	side string
	// sent and received are indexed by kind; looking up a counter by its formatted
	// name would allocate for every frame.
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

// countRefusal counts a refused frame or message by its result code. Errors without a
// code are not counted.
func (c *counters) countRefusal(err error) {
	var e *result.Error
	if errors.As(err, &e) {
		c.counter("gypsumlug_peer_refused_total{side=%q,code=\"%d\",reason=%q}", c.side, uint16(e.Code), e.Code).Inc()
	}
}

func (c *counters) connectionEnded(reason endReason) {
	c.counter("gypsumlug_peer_connections_ended_total{side=%q,reason=%q}", c.side, reason).Inc()
}

func (c *counters) connectionOpened() {
	c.counter("gypsumlug_peer_connections_opened_total{side=%q}", c.side).Inc()
}
