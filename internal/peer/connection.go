package peer

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// writeBatchBytes bounds the frames that are joined into one write.
const writeBatchBytes = 64 << 10

// connection is an open client connection after its hello.
type connection struct {
	link    *link
	conn    net.Conn
	reader  *bufio.Reader
	version uint8
	// reads counts the frames that arrived. The probe compares it with
	// seenReads at each tick; counting ticks, and not time, keeps a pause of this
	// process from looking like silence of the peer.
	reads       atomic.Uint64
	seenReads   uint64
	silentTicks int
	// unproved tells that a ping has not been followed by any frame.
	unproved bool
	// idleTicks counts the ticks since something was written.
	idleTicks int
	// used tells that a message was handed to the socket.
	used bool
	// lastUse is when the last message was written.
	lastUse time.Time
	batch   []batched
	buffer  []byte
}

// batched is a message of which the frame ends at end in the buffer.
type batched struct {
	message *outgoing
	end     int
}

// dial opens a connection and exchanges hellos, which proves that the peer is
// alive and tells its version.
func (l *link) dial() (*connection, error) {
	config := l.client.config
	deadline := time.Now().Add(config.DialTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	conn, err := config.Dial(ctx, l.peer)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	c := &connection{link: l, conn: conn, reader: bufio.NewReader(conn), lastUse: time.Now()}
	_ = conn.SetDeadline(deadline)
	if err := sendHello(conn, config.Self); err != nil {
		conn.Close()
		return nil, eris.Wrap(err, "hello")
	}
	hello, err := readHello(c.reader)
	if err != nil {
		l.client.counters.refused(err)
		conn.Close()
		return nil, eris.Wrap(err, "hello")
	}
	_ = conn.SetDeadline(time.Time{})
	c.version = min(hello.Version, peerwire.Version)
	l.client.counters.opened()
	return c, nil
}

// serve writes messages until the connection ends. When it returns, each
// message that it took has ended or was reported by onBroken.
func (c *connection) serve(first *outgoing) {
	dead := make(chan breakReason, 1)
	goodbye := make(chan struct{})
	go c.read(dead, goodbye)
	reason := c.write(first, dead, goodbye)
	c.conn.Close()
	c.link.client.counters.broken(reason)
	c.finish(reason)
}

// finish ends the requests without an answer and reports the break.
func (c *connection) finish(reason breakReason) {
	for _, o := range c.link.pending.takeAll() {
		err := unknown("the connection to %s ended (%s) before the answer to %s", c.link.peer, reason, o.kind)
		o.fail(err)
	}
	if c.used && reason.lossy() {
		c.link.client.onBroken(c.link.peer)
	}
}

// write is the loop of the link's goroutine while the connection is open.
func (c *connection) write(first *outgoing, dead <-chan breakReason, goodbye <-chan struct{}) breakReason {
	ticker := time.NewTicker(c.link.client.config.PingInterval)
	defer ticker.Stop()
	if !c.send(first) {
		return breakWrite
	}
	for {
		select {
		case o := <-c.link.queue:
			if !c.send(o) {
				return breakWrite
			}
		case <-ticker.C:
			if reason := c.probe(); reason != "" {
				return c.closeAfter(reason, dead)
			}
		case <-goodbye:
			return c.drain(dead)
		case reason := <-dead:
			return reason
		case <-c.link.stop:
			return c.closeAfter(c.flush(), dead)
		}
	}
}

// send writes a message, joined with those that wait behind it.
func (c *connection) send(first *outgoing) bool {
	c.batch = c.batch[:0]
	c.buffer = c.buffer[:0]
	c.add(first)
	for len(c.buffer) < writeBatchBytes {
		select {
		case o := <-c.link.queue:
			c.add(o)
			continue
		default:
		}
		break
	}
	return c.writeBatch()
}

// add claims a message for the batch unless it is too late for it. A request is
// pending before it is claimed, so that a sender that gives up finds it there.
func (c *connection) add(o *outgoing) {
	if o.answer != nil {
		c.link.pending.add(o)
	}
	if !o.claim() {
		c.link.pending.take(o.id)
		return
	}
	if o.expired() {
		c.link.pending.take(o.id)
		err := result.Errorf(result.ExpiredBeforeSend, "%s waited longer than %s for %s", o.kind, o.within, c.link.peer)
		o.fail(err)
		return
	}
	o.data[versionOffset] = c.version
	c.buffer = append(c.buffer, o.data...)
	o.data = nil
	c.batch = append(c.batch, batched{message: o, end: len(c.buffer)})
}

// writeBatch hands the batch to the socket. After a failed write, the messages
// of which no byte was taken are refused as not run and the others are unknown.
func (c *connection) writeBatch() bool {
	if len(c.batch) == 0 {
		return true
	}
	c.lastUse = time.Now()
	c.idleTicks = 0
	n, err := c.writeBytes(c.buffer)
	c.used = c.used || n > 0
	start := 0
	for _, b := range c.batch {
		c.settle(b.message, start, b.end, n, err)
		start = b.end
	}
	return err == nil
}

func (c *connection) writeBytes(data []byte) (int, error) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.link.client.config.WriteTimeout))
	return c.conn.Write(data)
}

// settle ends the write of one message whose frame was at [start,end) of a
// buffer of which n bytes were taken.
func (c *connection) settle(o *outgoing, start, end, n int, err error) {
	if n >= end {
		c.link.client.counters.sent[o.kind].Inc()
		o.written()
		return
	}
	if o.answer != nil && c.link.pending.take(o.id) == nil {
		return
	}
	failure := unreachable("nothing of %s was written to %s: %v", o.kind, c.link.peer, err)
	if n > start {
		failure = unknown("%s was written to %s in part: %v", o.kind, c.link.peer, err)
	}
	o.fail(failure)
}
