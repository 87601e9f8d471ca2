package forward

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// replyAfterPeerClose replaces a connection that the replica closed before it
// replied to the attempt, and returns the reply to the attempt. If the replica
// refuses the new connection, it is taken to have crashed during the attempt. If the
// dial times out, the replica may only be overloaded, and the reply stays as it is.
func (p *pool) replyAfterPeerClose(a *attempt, c *conn, reply dispatch.Reply) dispatch.Reply {
	p.mu.Lock()
	retired := p.retired
	p.mu.Unlock()
	if retired {
		p.release(c, false)
		return reply
	}
	p.closeConn(c)
	replacement, err := p.dial(time.Now().Add(crashCheckTimeout))
	switch {
	case err == nil:
		p.release(replacement, true)
	case errors.Is(err, syscall.ECONNREFUSED):
		return a.req.UnknownReply(result.EndpointCrashed)
	}
	return reply
}

// accepts reports whether the replica accepts a connection within silenceCheckTimeout.
func (p *pool) accepts() bool {
	ctx, cancel := context.WithTimeout(context.Background(), silenceCheckTimeout)
	defer cancel()
	conn, err := p.client.dial(ctx, p.address)
	p.client.observer.Dialed(p.key, err)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
