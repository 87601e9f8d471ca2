package callerconn

import (
	"net/http"

	"github.com/gypsumlug/gypsumlug/internal/callerbudget"
)

// writePieceBytes is the size of the pieces in which answers are written, so that their
// progress is seen.
const writePieceBytes = 64 << 10

// Write implements net.Conn. The first bytes after a request has arrived begin an answer.
func (c *Conn) Write(p []byte) (written int, err error) {
	c.wrote(0)
	for len(p) > writePieceBytes && err == nil {
		var n int
		n, err = c.TCPConn.Write(p[:writePieceBytes])
		written += n
		p = p[n:]
		c.wrote(n)
	}
	if err != nil {
		return written, err
	}
	n, err := c.TCPConn.Write(p)
	return written + n, err
}

// wrote accounts for n bytes of an answer, which begins if the request was running.
func (c *Conn) wrote(n int) {
	if !c.bounded() || c.headLimit == nil {
		return
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.entry == nil {
		return
	}
	if c.state == callerbudget.Running && g.table.Enter(c.entry, callerbudget.Answer, g.now()) {
		c.state = callerbudget.Answer
	}
	g.table.Progress(c.entry, n, g.now())
}

// EndRequest is called when a request has been handled. If the connection was given up and may
// not linger, it is closed once the refusal has been sent: the HTTP server would wait for a
// while, and keep the memory of the connection.
func (c *Conn) EndRequest(w http.ResponseWriter) {
	if c.isGivenUp() && !c.lingers.Load() {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// BeginAnswer is called when an answer with a body of size bytes is about to be written.
func (c *Conn) BeginAnswer(size int) {
	if !c.bounded() {
		return
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.entry == nil || !g.table.Enter(c.entry, callerbudget.Answer, g.now()) {
		return
	}
	c.state = callerbudget.Answer
	if size <= callerbudget.FreeBodyBytes {
		return
	}
	for _, entry := range g.table.ChargeAnswer(c.entry, int64(size), g.now()) {
		g.interrupt(entry)
	}
}
