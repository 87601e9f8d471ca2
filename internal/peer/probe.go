package peer

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
)

// readLoop delivers answers to the pending requests until the connection ends. Then it
// sends the reason to ended. It closes goodbye when the peer sends a goodbye.
func (c *connection) readLoop(ended chan<- endReason, goodbye chan<- struct{}) {
	counters := c.link.client.counters
	for {
		frame, err := ReadFrame(c.reader)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				counters.countRefusal(err)
			}
			ended <- endClosed
			return
		}
		c.framesRead.Add(1)
		counters.received[frame.Kind].Inc()
		switch frame.Kind {
		case peerwire.KindGoodbye:
			if goodbye != nil {
				close(goodbye)
				goodbye = nil
			}
		default:
			if o := c.link.pending.take(frame.ID); o != nil {
				o.result <- requestResult{frame: frame}
			}
		}
	}
}

// checkLiveness pings the peer if a ping is due. It returns the reason if the
// connection must be closed, and an empty string otherwise.
func (c *connection) checkLiveness() endReason {
	config := c.link.client.config
	if reads := c.framesRead.Load(); reads != c.framesAtLastTick {
		c.framesAtLastTick = reads
		c.silentTicks = 0
		c.awaitingFrame = false
	} else if c.awaitingFrame {
		c.silentTicks++
	}
	if time.Duration(c.silentTicks)*config.PingInterval >= config.SilenceTimeout {
		return endSilent
	}
	if time.Since(c.lastMessageAt) >= config.IdleTimeout && c.link.pending.empty() {
		return endIdle
	}
	c.ticksSinceWrite++
	pingDue := c.awaitingFrame || c.ticksSinceWrite == 1 || c.ticksSinceWrite%idlePingTicks == 0 || !c.link.pending.empty()
	if pingDue && !c.ping() {
		return endWriteFailed
	}
	return ""
}

// ping sends a ping frame. It returns false if the write failed.
func (c *connection) ping() bool {
	c.awaitingFrame = true
	ping, _ := AppendFrame(nil, c.version, peerwire.KindPing, 0, nil)
	if _, err := c.writeBytes(ping); err != nil {
		return false
	}
	c.link.client.counters.sent[peerwire.KindPing].Inc()
	return true
}

// writeQueued writes the queued messages before the client closes the connection.
func (c *connection) writeQueued() endReason {
	for {
		select {
		case o := <-c.link.queue:
			if !c.writeWithQueued(o) {
				return endWriteFailed
			}
		default:
			return endStopped
		}
	}
}

// closeGracefully lets the peer read everything before the connection is closed,
// unless messages may have been lost already. It closes the write side and waits for
// the peer to close, for at most the silence timeout. It returns the reason for the
// end of the connection.
func (c *connection) closeGracefully(reason endReason, ended <-chan endReason) endReason {
	if reason.mayLoseMessages() {
		return reason
	}
	c.closeWrite()
	select {
	case <-ended:
		return reason
	case <-time.After(c.link.client.config.SilenceTimeout):
		return endSilent
	}
}

// drainAfterGoodbye handles a connection after the peer has announced that it is
// stopping. It refuses queued messages; the peer answers the requests in flight
// before it closes the connection.
func (c *connection) drainAfterGoodbye(ended <-chan endReason) endReason {
	c.closeWrite()
	refusal := peerUnreachable("%s is stopping", c.link.peer)
	ticker := time.NewTicker(c.link.client.config.SilenceTimeout)
	defer ticker.Stop()
	for {
		select {
		case o := <-c.link.queue:
			c.link.refuse(o, refusal)
		case <-ended:
			return endGoodbye
		case <-ticker.C:
			if c.link.pending.empty() {
				return endSilent
			}
		}
	}
}

func (c *connection) closeWrite() {
	if closer, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
	}
}
