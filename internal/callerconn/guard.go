// Package callerconn bounds what the connections of callers make a process hold. It carries
// out the decisions of package callerbudget on the connections of an HTTP server: a connection
// that is given up is refused and closed, a head that exceeds its limit is cut off while it
// arrives, and bodies are read into memory that is charged as they grow.
//
// An ordinary request costs a few short critical sections, but no goroutine and no timer.
package callerconn

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/callerbudget"
	"github.com/gypsumlug/gypsumlug/internal/dial"
)

// Event is a decision about a connection, as the label of a counter.
type Event string

// The events.
const (
	// ConnectionRefused means that a connection was closed when it was opened.
	ConnectionRefused Event = "connection-refused"
	// IdleClosed means that an idle connection was closed in favour of a new one.
	IdleClosed Event = "idle-closed"
	// RequestGivenUp means that a request that had not arrived yet was refused.
	RequestGivenUp Event = "request-given-up"
	// AnswerGivenUp means that an answer was cut off whose caller read it slowly.
	AnswerGivenUp Event = "answer-given-up"
	// HeadCut means that a head was over its limit.
	HeadCut Event = "head-cut"
	// StartRefused means that a request that had arrived was refused, because the responses to
	// others take too much memory.
	StartRefused Event = "start-refused"
)

// Events lists all events.
var Events = []Event{ConnectionRefused, IdleClosed, RequestGivenUp, AnswerGivenUp, HeadCut, StartRefused}

// Guard bounds the connections of all callers of a process together. It is safe for
// concurrent use. A nil Guard has no bounds.
type Guard struct {
	started time.Time
	// responses is what the responses of replicas are charged. It is read without mu.
	responses atomic.Int64
	// onEvent is called for each event, under mu; it must not block.
	onEvent func(Event)

	mu    sync.Mutex
	table *callerbudget.Table
	// conns holds the connections by their entry in the table.
	conns map[*callerbudget.Conn]*Conn
	// released is signalled when a charge was released or a connection given up.
	released sync.Cond
}

// NewGuard returns a guard. onEvent may be nil; it must not block or use the guard.
func NewGuard(limits callerbudget.Limits, onEvent func(Event)) *Guard {
	if onEvent == nil {
		onEvent = func(Event) {}
	}
	g := &Guard{started: time.Now(), onEvent: onEvent, table: callerbudget.NewTable(limits), conns: make(map[*callerbudget.Conn]*Conn)}
	g.released.L = &g.mu
	return g
}

// Used returns the bytes that callers are charged now.
func (g *Guard) Used() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Used()
}

// Connections returns the number of connections.
func (g *Guard) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Connections()
}

func (g *Guard) now() time.Duration { return time.Since(g.started) }

// open adds a connection. It waits while too many that were given up have not ended, and
// reports false if there is no room for the new one.
func (g *Guard) open(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.table.Full() {
		g.released.Wait()
	}
	entry, closed, ok := g.table.Open(g.now())
	if closed != nil {
		g.interrupt(closed)
	}
	if !ok {
		g.onEvent(ConnectionRefused)
		return false
	}
	c.entry = entry
	g.conns[entry] = c
	return true
}

// close removes a connection that has ended.
func (g *Guard) close(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.entry == nil {
		return
	}
	g.table.Close(c.entry)
	delete(g.conns, c.entry)
	c.entry = nil
	g.released.Broadcast()
}

// enter begins a state of a connection. It reports false if the connection was given up.
func (g *Guard) enter(c *Conn, s callerbudget.State) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.entry == nil || !g.table.Enter(c.entry, s, g.now()) {
		return false
	}
	c.state = s
	if s == callerbudget.Idle {
		g.table.Release(c.entry)
		g.released.Broadcast()
	}
	return true
}

// grow charges a request that arrives. It waits until those that were given up in its favour
// have released what they hold, and reports false if the request itself was given up.
func (g *Guard) grow(c *Conn, n int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c.entry != nil {
		givenUp, ok := g.table.Grow(c.entry, n, g.now())
		for _, entry := range givenUp {
			g.interrupt(entry)
		}
		if ok || c.entry.State() == callerbudget.Closing {
			return ok
		}
		g.released.Wait()
	}
	return false
}

// ChargeResponses implements bodymemory.Account.
func (g *Guard) ChargeResponses(n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.responses.Add(n)
	for _, entry := range g.table.ChargeResponses(n, g.now()) {
		g.interrupt(entry)
	}
	if n < 0 {
		g.released.Broadcast()
	}
}

// mayStart reports whether a request that has arrived may begin to run.
func (g *Guard) mayStart() bool {
	if g.responses.Load() == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.table.MayStart() {
		g.onEvent(StartRefused)
		return false
	}
	return true
}

// release returns the charges of a connection.
func (g *Guard) release(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.entry != nil {
		g.table.Release(c.entry)
		g.released.Broadcast()
	}
}

// interrupt ends what a connection does that was given up. The caller must hold g.mu.
func (g *Guard) interrupt(entry *callerbudget.Conn) {
	c := g.conns[entry]
	c.lingers.Store(g.table.MayLinger())
	c.givenUp.Store(true)
	switch c.state {
	case callerbudget.Idle:
		g.onEvent(IdleClosed)
		_ = c.TCPConn.Close()
	case callerbudget.Answer:
		g.onEvent(AnswerGivenUp)
		dial.Abort(c.TCPConn)
	default:
		g.onEvent(RequestGivenUp)
		_ = c.TCPConn.SetDeadline(time.Unix(1, 0)) // The reader of the request refuses it.
	}
	g.released.Broadcast()
}
