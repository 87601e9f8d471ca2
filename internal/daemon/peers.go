package daemon

import (
	"context"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/bodymemory"
	"github.com/gypsumlug/gypsumlug/internal/coordinator"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/peer"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/relay"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Retries of replies to a coordinator on a peer. A retry may deliver a reply
// twice, which has no effect.
const (
	maxReplyTries   = 3
	replyRetryDelay = 50 * time.Millisecond
	// replyTimeout bounds the sending of replies and of cancellations. It is also
	// the time that a forwarded submit gets beyond its budget.
	replyTimeout = 2 * time.Second
)

// peerHandler passes the messages of peers to the state machines. It implements
// [peer.Handler].
type peerHandler struct{ d *Daemon }

// Heartbeat implements peer.Handler.
func (h peerHandler) Heartbeat(_ string, m peerwire.Heartbeat) { h.d.control.handleHeartbeat(m) }

// Dispatch implements peer.Handler.
func (h peerHandler) Dispatch(from string, m peerwire.Dispatch) {
	h.d.relay.dispatch(from, m.Requests)
}

// Replies implements peer.Handler.
func (h peerHandler) Replies(_ string, m peerwire.Replies) {
	for i := range m.Replies {
		chargeReply(&m.Replies[i], h.d.memory.NewCharge())
	}
	h.d.coordinator.handleReplies(m.Replies)
}

// chargeReply charges a reply from a peer, which a query holds until its other shards have
// replied. Without memory for it, the outcome of the attempt is as good as unknown.
func chargeReply(r *dispatch.Reply, charge *bodymemory.Charge) {
	const hitBytes = 48
	size := int64(len(r.Body))
	for i := range r.Hits {
		size += hitBytes + int64(len(r.Hits[i].Document)+len(r.Hits[i].Body))
	}
	if charge.Grow(size) {
		r.Charge = charge
		return
	}
	charge.Release()
	*r = dispatch.Reply{
		Key: r.Key, Endpoint: r.Endpoint, Outcome: dispatch.Unknown, Code: result.ResponseMemory,
		Snapshot: r.Snapshot, Range: r.Range, ServiceTime: r.ServiceTime, Load: r.Load,
	}
}

// Cancel implements peer.Handler.
func (h peerHandler) Cancel(from string, m peerwire.Cancel) { h.d.relay.cancel(from, m.Cancels) }

// ConnectionLost implements peer.Handler. The peer has given up the attempts that it sent
// over the connection, and a cancellation may have been lost with it.
func (h peerHandler) ConnectionLost(from string) {
	h.d.relay.step(func(now time.Duration) relay.Actions { return h.d.relay.machine.CancelSearches(now, from) })
}

// Manifest implements peer.Handler.
func (h peerHandler) Manifest(ctx context.Context, _ string) peerwire.Manifest {
	var out peerwire.Manifest
	h.d.control.call(ctx, func(time.Duration) { out.Data = h.d.control.machine.ManifestBytes() })
	return out
}

// Document implements peer.Handler.
func (h peerHandler) Document(ctx context.Context, _ string, m peerwire.DocumentRequest) peerwire.Document {
	out := peerwire.Document{Hash: m.Hash}
	h.d.control.call(ctx, func(time.Duration) { out.Data = h.d.control.machine.DocumentBytes(m.Hash) })
	return out
}

// Submit implements peer.Handler.
func (h peerHandler) Submit(ctx context.Context, _ string, m peerwire.Submit) peerwire.SubmitAnswer {
	m.Request.BudgetMS = int(m.Budget.Milliseconds())
	return peerwire.SubmitAnswer{Answer: h.d.coordinator.submit(ctx, m.Request, true)}
}

// Handover implements peer.Handler.
func (h peerHandler) Handover(_ context.Context, _ string, m peerwire.Handover) peerwire.HandoverAnswer {
	return h.d.coordinator.receiveHandover(m)
}

// sendAttempts implements transport.
func (d *Daemon) sendAttempts(to string, requests []dispatch.Request) {
	if to == "" {
		d.relay.dispatch("", requests)
		return
	}
	keys := make([]dispatch.Key, len(requests))
	shortestBudget := requests[0].Budget
	for i := range requests {
		keys[i] = requests[i].Key
		shortestBudget = min(shortestBudget, requests[i].Budget)
	}
	d.peers.Post(peer.Message{
		To:          to,
		Kind:        peerwire.KindDispatch,
		Body:        peerwire.Dispatch{Requests: requests},
		SendTimeout: shortestBudget,
		Done: func(err error) {
			d.peerEvents.enqueue(func() { d.handleAttemptsSent(to, keys, err) })
			d.control.handleSendResult(to, err)
		},
	})
}

// handleAttemptsSent reports to the coordinator whether attempts were, were not, or
// may have been written to a peer; err is the result of sending them.
func (d *Daemon) handleAttemptsSent(to string, keys []dispatch.Key, err error) {
	d.coordinator.step(func(now time.Duration) coordinator.Actions {
		switch {
		case err == nil:
			return d.coordinator.machine.AttemptsWritten(now, to, keys)
		case peer.Undelivered(err):
			return d.coordinator.machine.AttemptsNotWritten(now, to, keys)
		default:
			return d.coordinator.machine.AttemptsLost(now, to, keys)
		}
	})
}

// handlePeerConnectionLost reports to the coordinator that the connection to a peer
// broke.
func (d *Daemon) handlePeerConnectionLost(address string) {
	d.peerEvents.enqueue(func() {
		d.coordinator.step(func(now time.Duration) coordinator.Actions {
			return d.coordinator.machine.PeerConnectionLost(now, address)
		})
	})
}

// sendCancels implements transport.
func (d *Daemon) sendCancels(to string, cancels []dispatch.Cancel) {
	if to == "" {
		d.relay.cancel("", cancels)
		return
	}
	d.peers.Post(peer.Message{To: to, Kind: peerwire.KindCancel, Body: peerwire.Cancel{Cancels: cancels}, SendTimeout: replyTimeout})
}

// deliverReplies passes replies to the coordinator at origin, a peer address; an
// empty address means this host.
func (d *Daemon) deliverReplies(origin string, replies []dispatch.Reply) {
	if origin == "" {
		d.coordinator.handleReplies(replies)
		return
	}
	d.sendReplies(origin, replies, maxReplyTries)
}

func (d *Daemon) sendReplies(origin string, replies []dispatch.Reply, triesLeft int) {
	d.peers.Post(peer.Message{
		To:          origin,
		Kind:        peerwire.KindReplies,
		Body:        peerwire.Replies{Replies: replies},
		SendTimeout: replyTimeout,
		Done: func(err error) {
			if err != nil && triesLeft > 1 {
				time.AfterFunc(replyRetryDelay, func() { d.sendReplies(origin, replies, triesLeft-1) })
				return
			}
			for i := range replies {
				replies[i].ReleaseCharge()
			}
		},
	})
}

// forwardSubmit implements transport. After a planned stop of the issuer, its
// successors hold its closed permits; they answer from these and never dispatch.
func (d *Daemon) forwardSubmit(f coordinator.Forward) api.SubmitAnswer {
	refusal := result.IssuerReplaced
	if f.Issuer.Address != d.self.Incarnation.Address {
		answer, err := d.callSubmit(f.Issuer.Address, f)
		switch {
		case err == nil && answer.Code != result.IssuerReplaced:
			return answer
		case err == nil:
		case peer.Undelivered(err):
			refusal = result.IssuerUnreachable
		default:
			return api.NewSubmitErrorAnswer(f.Request, result.ForwardUnknown.Error())
		}
	}
	for _, successor := range f.Successors {
		if successor == d.self.Incarnation.Address {
			continue
		}
		answer, err := d.callSubmit(successor, f)
		if err == nil && answer.Code != result.IssuerUnreachable {
			return answer
		}
	}
	return api.NewSubmitErrorAnswer(f.Request, refusal.Error())
}

func (d *Daemon) callSubmit(address string, f coordinator.Forward) (api.SubmitAnswer, error) {
	ctx, cancel := context.WithTimeout(d.ctx, f.Budget+replyTimeout)
	defer cancel()
	var answer peerwire.SubmitAnswer
	err := d.peers.Call(ctx, address, peerwire.KindSubmit, peerwire.Submit{Request: f.Request, Budget: f.Budget}, &answer)
	answer.Answer.RequestID = f.Request.RequestID
	return answer.Answer, err
}
