package endpointhttp

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// maxFailedConnections is the number of connections that may fail before a job is
// written; then the job is refused. Only connections opened after the job was
// created count.
const maxFailedConnections = 3

// pool holds the connections to one endpoint at one address.
//
// Concurrency: mu guards every field below it. A busy connection is owned by its
// own goroutine, an idle one by the idle list. Commands are sent only to connections
// on the idle list, and commandIdleLocked takes the connection off the list first.
type pool struct {
	client   *Client
	endpoint string
	address  string
	// lastReply is when the last reply arrived on any connection. This and the other
	// times below are Unix times in nanoseconds.
	lastReply atomic.Int64
	// lastAttemptReply is when the last reply to an attempt arrived. It is kept apart
	// because an endpoint that replies to probes but not to attempts is at fault
	// itself, not its connections.
	lastAttemptReply atomic.Int64
	// lastSilentAt is when a silent connection was last detected.
	lastSilentAt atomic.Int64
	// averageRoundTrip is a moving average of the time from writing an attempt to its
	// reply, in nanoseconds. It is zero until the first reply.
	averageRoundTrip atomic.Int64

	mu sync.Mutex
	// warm and max are the limits of the target.
	warm int
	max  int
	// openCount counts connections from the start of the dial to the close.
	openCount int
	// dialingCount and closingCount are the parts of openCount that are being dialed
	// or have been told to close.
	dialingCount int
	closingCount int
	// idle are the idle connections, the most recently used last.
	idle []*conn
	// conns are all open connections.
	conns map[*conn]struct{}
	// waiting are the attempts that wait for a connection, the oldest first.
	waiting []*job
	// controlQueue are the cancellations and probes that wait for a connection. They
	// are sent before the waiting attempts.
	controlQueue []*job
	// jobs are the attempts that have not ended.
	jobs map[dispatch.Key]*job
	// retired is set while the address is not that of a target. Connections then close
	// once they are idle.
	retired bool
	// nextProbeAt is the earliest time of the next probes that find out whether the
	// endpoint still replies.
	nextProbeAt time.Time
}

func newPool(c *Client, t Target) *pool {
	return &pool{
		client:   c,
		endpoint: t.Endpoint,
		address:  t.Address,
		conns:    make(map[*conn]struct{}),
		jobs:     make(map[dispatch.Key]*job),
	}
}

// connections returns the number of connections that are open or being dialed.
func (p *pool) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount
}

// enqueue passes an attempt to an idle connection or adds it to the waiting list.
func (p *pool) enqueue(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		j.refuse(result.UnknownEndpoint)
		return
	}
	if _, duplicate := p.jobs[j.req.Key]; duplicate {
		// The other attempt with this key may have been written already.
		go j.done(j.req.UnknownReply(result.OutcomeUnknown))
		return
	}
	p.jobs[j.req.Key] = j
	p.assignLocked(j)
}

// requeue assigns a job again whose connection failed before the job was written.
// newConnection tells that the connection was opened after the job was created.
func (p *pool) requeue(j *job, newConnection bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if newConnection {
		j.failedConnections++
	}
	code := p.requeueRefusalLocked(j)
	if code == 0 {
		p.assignLocked(j)
		return
	}
	delete(p.jobs, j.req.Key)
	j.refuse(code)
}

// requeueRefusalLocked returns the code to refuse the job with, or 0 if it can be
// assigned again.
func (p *pool) requeueRefusalLocked(j *job) result.Code {
	switch {
	case p.retired:
		return result.UnknownEndpoint
	case j.wasCancelled():
		return result.CancelledBeforeSend
	case j.expired():
		return result.ExpiredBeforeSend
	case j.failedConnections >= maxFailedConnections:
		return result.ConnectFailed
	default:
		return 0
	}
}

// assignLocked passes the job to the most recently used idle connection. Without an
// idle connection, the job waits until its deadline for one.
func (p *pool) assignLocked(j *job) {
	if last := len(p.idle) - 1; last >= 0 {
		p.commandIdleLocked(last, command{job: j})
		return
	}
	if p.max == 0 {
		delete(p.jobs, j.req.Key)
		j.refuse(result.ConnectionLimit)
		return
	}
	p.waiting = append(p.waiting, j)
	j.expiryTimer = time.AfterFunc(time.Until(j.deadline), func() { p.refuseWaiting(j, result.ExpiredBeforeSend) })
	p.dialNeededLocked()
}

// commandIdleLocked takes the connection at index i off the idle list and sends it
// the command.
func (p *pool) commandIdleLocked(i int, cmd command) {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	if cmd.job == nil {
		p.closingCount++
		c.closing = true
	}
	c.commands <- cmd
}

// refuseWaiting refuses the job if it still waits for a connection.
func (p *pool) refuseWaiting(j *job, code result.Code) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiting, j)
	if i < 0 {
		return
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	p.refuseLocked(j, code)
}

// refuseLocked refuses an attempt that the caller has taken off the waiting list.
func (p *pool) refuseLocked(j *job, code result.Code) {
	j.expiryTimer.Stop()
	delete(p.jobs, j.req.Key)
	j.refuse(code)
}

// popWaitingLocked removes and returns the job that has waited longest.
func (p *pool) popWaitingLocked() *job {
	j := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	j.expiryTimer.Stop()
	return j
}

// dialNeededLocked starts dials until one is in progress for each waiting job and
// there are as many connections as are to be kept warm, but stops at the maximum.
func (p *pool) dialNeededLocked() {
	if p.retired {
		return
	}
	for p.openCount < p.max && (p.dialingCount < len(p.waiting)+len(p.controlQueue) || p.openCount < p.warm) {
		p.openCount++
		p.dialingCount++
		p.client.wg.Go(p.dial)
	}
}

// dial opens a connection and runs it until it is closed.
func (p *pool) dial() {
	ctx, cancel := context.WithTimeout(p.client.ctx, p.client.opts.DialTimeout)
	defer cancel()
	netConn, err := p.client.opts.Dial(ctx, p.address)
	p.client.opts.OnDial(p.endpoint, err)
	if err != nil {
		p.dialFailed()
		return
	}
	c := newConn(p, netConn)
	c.sock.memory = p.client.opts.Memory
	p.mu.Lock()
	p.dialingCount--
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	c.run()
}

// dialFailed refuses the job that has waited longest. If no connection is open or
// being dialed, it refuses all that wait.
func (p *pool) dialFailed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
	p.dialingCount--
	p.controlQueue = nil
	for len(p.waiting) > 0 {
		p.refuseLocked(p.popWaitingLocked(), result.ConnectFailed)
		if p.openCount > 0 {
			return
		}
	}
}

// nextCommand returns what a connection does after a job, or after it was opened
// (finished is nil then). If there is nothing to do, it puts the connection on the
// idle list and returns the zero command.
func (p *pool) nextCommand(c *conn, finished *job) command {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	p.finishAttemptLocked(c, finished)
	if j := p.popControlLocked(); j != nil {
		return command{job: j}
	}
	if p.retired || p.openCount-p.closingCount > p.max {
		p.closingCount++
		c.closing = true
		return command{close: p.closeReasonLocked()}
	}
	if len(p.waiting) > 0 {
		return command{job: p.popWaitingLocked()}
	}
	p.idle = append(p.idle, c)
	return command{}
}

// closeReasonLocked returns why nextCommand closes a connection.
func (p *pool) closeReasonLocked() CloseReason {
	if p.retired {
		return CloseRemoved
	}
	return CloseSurplus
}

// finishAttemptLocked removes an attempt that has ended from jobs. It ignores other
// kinds of jobs.
func (p *pool) finishAttemptLocked(c *conn, j *job) {
	if j == nil || j.kind != jobAttempt {
		return
	}
	c.lastAttemptAt = time.Now()
	delete(p.jobs, j.req.Key)
}

// removeConn closes the socket of a connection, removes it from the pool, and
// opens another one if needed. A broken connection is replaced only if jobs wait,
// since the endpoint may be down.
func (p *pool) removeConn(c *conn, finished *job, reason CloseReason) {
	c.closeSocket()
	p.mu.Lock()
	p.finishAttemptLocked(c, finished)
	delete(p.conns, c)
	p.openCount--
	if c.closing {
		p.closingCount--
	}
	if reason != CloseBroken || len(p.waiting) > 0 {
		p.dialNeededLocked()
	}
	p.mu.Unlock()
	p.client.opts.OnClose(p.endpoint, reason)
}
