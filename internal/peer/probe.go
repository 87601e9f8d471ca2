package peer

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
)

// read passes answers on until the connection ends, and then sends the reason.
func (c *connection) read(dead chan<- breakReason, goodbye chan<- struct{}) {
	counters := c.link.client.counters
	for {
		frame, err := ReadFrame(c.reader)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				counters.refused(err)
			}
			dead <- breakClosed
			return
		}
		c.reads.Add(1)
		counters.received[frame.Kind].Inc()
		switch frame.Kind {
		case peerwire.KindGoodbye:
			if goodbye != nil {
				close(goodbye)
				goodbye = nil
			}
		default:
			if o := c.link.pending.take(frame.ID); o != nil {
				o.answer <- answer{frame: frame}
			}
		}
	}
}

// probe pings a connection that has to prove that it is alive. It returns a
// reason to close the connection, or none.
func (c *connection) probe() breakReason {
	config := c.link.client.config
	if reads := c.reads.Load(); reads != c.seenReads {
		c.seenReads = reads
		c.silentTicks = 0
		c.unproved = false
	} else if c.unproved {
		c.silentTicks++
	}
	if time.Duration(c.silentTicks)*config.PingInterval >= config.SilenceTimeout {
		return breakSilent
	}
	if time.Since(c.lastUse) >= config.IdleTimeout && c.link.pending.empty() {
		return breakIdle
	}
	c.idleTicks++
	due := c.unproved || c.idleTicks == 1 || c.idleTicks%idlePingTicks == 0 || !c.link.pending.empty()
	if due && !c.ping() {
		return breakWrite
	}
	return ""
}

// ping asks for a sign of life.
func (c *connection) ping() bool {
	c.unproved = true
	ping, _ := AppendFrame(nil, c.version, peerwire.KindPing, 0, nil)
	if _, err := c.writeBytes(ping); err != nil {
		return false
	}
	c.link.client.counters.sent[peerwire.KindPing].Inc()
	return true
}

// flush writes what is queued.
func (c *connection) flush() breakReason {
	for {
		select {
		case o := <-c.link.queue:
			if !c.send(o) {
				return breakWrite
			}
		default:
			return breakStop
		}
	}
}

// closeAfter ends a connection for reason. Unless messages may be lost already,
// it lets the peer read everything first: it closes the write side and waits
// for the peer to close, at most for the silence timeout.
func (c *connection) closeAfter(reason breakReason, dead <-chan breakReason) breakReason {
	if reason.lossy() {
		return reason
	}
	c.closeWrite()
	select {
	case <-dead:
		return reason
	case <-time.After(c.link.client.config.SilenceTimeout):
		return breakSilent
	}
}

// drain ends a connection of which the peer said that it is stopping. What is
// queued is refused; requests in flight are answered before the peer closes.
func (c *connection) drain(dead <-chan breakReason) breakReason {
	c.closeWrite()
	refusal := unreachable("%s is stopping", c.link.peer)
	ticker := time.NewTicker(c.link.client.config.SilenceTimeout)
	defer ticker.Stop()
	for {
		select {
		case o := <-c.link.queue:
			c.link.refuse(o, refusal)
		case <-dead:
			return breakGoodbye
		case <-ticker.C:
			if c.link.pending.empty() {
				return breakSilent
			}
		}
	}
}

func (c *connection) closeWrite() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}
