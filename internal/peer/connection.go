package peer

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// writeBatchBytes is the size from which no further frame is added to a write.
const writeBatchBytes = 64 << 10

// connection is a client connection on which hellos have been exchanged.
type connection struct {
	link    *link
	conn    net.Conn
	reader  *bufio.Reader
	version uint8
	// framesRead counts the frames that arrived. checkLiveness compares it with
	// framesAtLastTick at each tick. Silence is measured in ticks and not in elapsed
	// time, so that a pause of this process is not taken for silence of the peer.
	framesRead       atomic.Uint64
	framesAtLastTick uint64
	silentTicks      int
	// awaitingFrame is true from a ping until any frame arrives.
	awaitingFrame bool
	// ticksSinceWrite counts the ticks since a message was last written.
	ticksSinceWrite int
	// messageWritten is true once any byte of a message was written to the socket.
	messageWritten bool
	// lastMessageAt is when a message was last written, or when the connection was
	// opened.
	lastMessageAt time.Time
	batch         []batchedMessage
	buffer        []byte
}

// batchedMessage is a message whose frame ends at offset end of the write buffer.
type batchedMessage struct {
	message *outgoingMessage
	end     int
}

// dial opens a connection and exchanges hellos, which shows that the peer is alive
// and gives its version.
func (l *link) dial() (*connection, error) {
	config := l.client.config
	deadline := time.Now().Add(config.DialTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	conn, err := config.Dial(ctx, l.peer)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	c := &connection{link: l, conn: conn, reader: bufio.NewReader(conn), lastMessageAt: time.Now()}
	_ = conn.SetDeadline(deadline)
	if err := sendHello(conn, config.Self); err != nil {
		conn.Close()
		return nil, eris.Wrap(err, "hello")
	}
	hello, err := readHello(c.reader)
	if err != nil {
		l.client.counters.countRefusal(err)
		conn.Close()
		return nil, eris.Wrap(err, "hello")
	}
	_ = conn.SetDeadline(time.Time{})
	c.version = min(hello.Version, peerwire.Version)
	l.client.counters.connectionOpened()
	return c, nil
}

// serve writes messages until the connection ends. When it returns, every message
// that it took from the queue has its result, or its loss was reported by
// onConnectionLost.
func (c *connection) serve(first *outgoingMessage) {
	ended := make(chan endReason, 1)
	goodbye := make(chan struct{})
	go c.readLoop(ended, goodbye)
	reason := c.writeLoop(first, ended, goodbye)
	c.close(reason)
	c.link.client.counters.connectionEnded(reason)
	c.reportEnd(reason)
}

// close closes the connection. If messages may have been lost with it, it is reset, so
// that the peer does not receive them after their loss was reported.
func (c *connection) close(reason endReason) {
	if reason.mayLoseMessages() {
		dial.Abort(c.conn)
		return
	}
	c.conn.Close()
}

// reportEnd fails the requests that have no answer, and reports the connection as
// lost if messages may have been lost with it.
func (c *connection) reportEnd(reason endReason) {
	for _, o := range c.link.pending.takeAll() {
		err := outcomeUnknown("the connection to %s ended (%s) before the answer to %s", c.link.peer, reason, o.kind)
		o.fail(err)
	}
	if c.messageWritten && reason.mayLoseMessages() {
		c.link.client.onConnectionLost(c.link.peer)
	}
}

// writeLoop runs on the link's goroutine while the connection is open. It returns why
// the connection ended.
func (c *connection) writeLoop(first *outgoingMessage, ended <-chan endReason, goodbye <-chan struct{}) endReason {
	ticker := time.NewTicker(c.link.client.config.PingInterval)
	defer ticker.Stop()
	if !c.writeWithQueued(first) {
		return endWriteFailed
	}
	for {
		select {
		case o := <-c.link.queue:
			if !c.writeWithQueued(o) {
				return endWriteFailed
			}
		case <-ticker.C:
			if reason := c.checkLiveness(); reason != "" {
				return c.closeGracefully(reason, ended)
			}
		case <-goodbye:
			return c.drainAfterGoodbye(ended)
		case reason := <-ended:
			return reason
		case <-c.link.stop:
			return c.closeGracefully(c.writeQueued(), ended)
		}
	}
}

// writeWithQueued writes a message, batched with the messages that are queued after
// it. It returns false if the write failed.
func (c *connection) writeWithQueued(first *outgoingMessage) bool {
	c.batch = c.batch[:0]
	c.buffer = c.buffer[:0]
	c.addToBatch(first)
	for len(c.buffer) < writeBatchBytes {
		select {
		case o := <-c.link.queue:
			c.addToBatch(o)
			continue
		default:
		}
		break
	}
	return c.writeBatch()
}

// addToBatch claims a message and adds it to the batch unless its send timeout has
// passed. A request is added to the pending requests before it is claimed, so that
// a caller that stops waiting can remove it from there.
func (c *connection) addToBatch(o *outgoingMessage) {
	if o.result != nil {
		c.link.pending.add(o)
	}
	if !o.claim() {
		c.link.pending.take(o.id)
		return
	}
	if o.expired() {
		c.link.pending.take(o.id)
		err := result.Errorf(result.ExpiredBeforeSend, "%s was queued for longer than %s for %s", o.kind, o.sendTimeout, c.link.peer)
		o.fail(err)
		return
	}
	o.data[versionOffset] = c.version
	c.buffer = append(c.buffer, o.data...)
	o.data = nil
	c.batch = append(c.batch, batchedMessage{message: o, end: len(c.buffer)})
}

// writeBatch writes the batch to the socket. After a failed write, messages of which
// no byte was written fail as undelivered, and those written in part fail with an
// unknown outcome.
func (c *connection) writeBatch() bool {
	if len(c.batch) == 0 {
		return true
	}
	c.lastMessageAt = time.Now()
	c.ticksSinceWrite = 0
	n, err := c.writeBytes(c.buffer)
	c.messageWritten = c.messageWritten || n > 0
	start := 0
	for _, b := range c.batch {
		c.finishWrite(b.message, start, b.end, n, err)
		start = b.end
	}
	return err == nil
}

func (c *connection) writeBytes(data []byte) (int, error) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.link.client.config.WriteTimeout))
	return c.conn.Write(data)
}

// finishWrite sets the result of writing one message, whose frame is at [start,end)
// of a buffer of which the first n bytes were written.
func (c *connection) finishWrite(o *outgoingMessage, start, end, n int, err error) {
	if n >= end {
		c.link.client.counters.sent[o.kind].Inc()
		o.markWritten()
		return
	}
	if o.result != nil && c.link.pending.take(o.id) == nil {
		return // The request was answered or cancelled meanwhile.
	}
	failure := peerUnreachable("no byte of %s was written to %s: %v", o.kind, c.link.peer, err)
	if n > start {
		failure = outcomeUnknown("%s was only partly written to %s: %v", o.kind, c.link.peer, err)
	}
	o.fail(failure)
}
