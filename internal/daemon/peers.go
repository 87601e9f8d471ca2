package daemon

import (
	"context"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/coordinator"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/peer"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Redelivery of replies. A reply that arrives twice changes nothing.
const (
	replyTries = 3
	replyPause = 50 * time.Millisecond
	replyLife  = 2 * time.Second
)

// peerHandler receives what peers send.
type peerHandler struct{ d *Daemon }

// Heartbeat implements peer.Handler.
func (h peerHandler) Heartbeat(_ string, m peerwire.Heartbeat) { h.d.control.heartbeat(m) }

// Dispatch implements peer.Handler.
func (h peerHandler) Dispatch(from string, m peerwire.Dispatch) {
	h.d.relay.dispatch(from, m.Requests)
}

// Replies implements peer.Handler.
func (h peerHandler) Replies(_ string, m peerwire.Replies) { h.d.coordinator.replies(m.Replies) }

// Cancel implements peer.Handler.
func (h peerHandler) Cancel(from string, m peerwire.Cancel) { h.d.relay.cancel(from, m.Cancels) }

// Manifest implements peer.Handler.
func (h peerHandler) Manifest(ctx context.Context, _ string) peerwire.Manifest {
	var out peerwire.Manifest
	h.d.control.ask(ctx, func(time.Duration) { out.Data = h.d.control.machine.ManifestBytes() })
	return out
}

// Document implements peer.Handler.
func (h peerHandler) Document(ctx context.Context, _ string, m peerwire.DocumentRequest) peerwire.Document {
	out := peerwire.Document{Hash: m.Hash}
	h.d.control.ask(ctx, func(time.Duration) { out.Data = h.d.control.machine.DocumentBytes(m.Hash) })
	return out
}

// Submit implements peer.Handler.
func (h peerHandler) Submit(ctx context.Context, _ string, m peerwire.Submit) peerwire.SubmitAnswer {
	m.Request.BudgetMS = int(m.Budget.Milliseconds())
	return peerwire.SubmitAnswer{Answer: h.d.coordinator.submit(ctx, m.Request, true)}
}

// Handover implements peer.Handler.
func (h peerHandler) Handover(_ context.Context, _ string, m peerwire.Handover) peerwire.HandoverAnswer {
	return h.d.coordinator.receive(m)
}

// carry implements carrier.
func (d *Daemon) carry(to string, requests []dispatch.Request) {
	if to == "" {
		d.relay.dispatch("", requests)
		return
	}
	keys := make([]dispatch.Key, len(requests))
	within := requests[0].Budget
	for i := range requests {
		keys[i] = requests[i].Key
		within = min(within, requests[i].Budget)
	}
	d.peers.Post(peer.Message{
		To:          to,
		Kind:        peerwire.KindDispatch,
		Body:        peerwire.Dispatch{Requests: requests},
		SendTimeout: within,
		Done: func(err error) {
			d.peerEvents.run(func() { d.carried(to, keys, err) })
			d.control.sent(to, err)
		},
	})
}

// carried tells the coordinator what became of attempts for a peer.
func (d *Daemon) carried(to string, keys []dispatch.Key, err error) {
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

// peerBroken handles a broken connection to a peer.
func (d *Daemon) peerBroken(address string) {
	d.peerEvents.run(func() {
		d.coordinator.step(func(now time.Duration) coordinator.Actions {
			return d.coordinator.machine.PeerConnectionLost(now, address)
		})
	})
}

// withdraw implements carrier.
func (d *Daemon) withdraw(to string, cancels []dispatch.Cancel) {
	if to == "" {
		d.relay.cancel("", cancels)
		return
	}
	d.peers.Post(peer.Message{To: to, Kind: peerwire.KindCancel, Body: peerwire.Cancel{Cancels: cancels}, SendTimeout: replyLife})
}

// deliver returns replies to the coordinator at origin.
func (d *Daemon) deliver(origin string, replies []dispatch.Reply) {
	if origin == "" {
		d.coordinator.replies(replies)
		return
	}
	d.redeliver(origin, replies, replyTries)
}

func (d *Daemon) redeliver(origin string, replies []dispatch.Reply, tries int) {
	d.peers.Post(peer.Message{
		To:          origin,
		Kind:        peerwire.KindReplies,
		Body:        peerwire.Replies{Replies: replies},
		SendTimeout: replyLife,
		Done: func(err error) {
			if err != nil && tries > 1 {
				time.AfterFunc(replyPause, func() { d.redeliver(origin, replies, tries-1) })
			}
		},
	})
}

// forward implements carrier. The successor of a gone or replaced issuer holds
// its closed permits after a planned stop; it answers and never dispatches.
func (d *Daemon) forward(f coordinator.Forward) api.SubmitAnswer {
	gone := result.IssuerReplaced
	if f.Issuer.Address != d.self.Incarnation.Address {
		answer, err := d.askAbout(f.Issuer.Address, f)
		switch {
		case err == nil && answer.Code != result.IssuerReplaced:
			return answer
		case err == nil:
		case peer.Undelivered(err):
			gone = result.IssuerUnreachable
		default:
			return api.RefuseSubmit(f.Request, result.ForwardUnknown.Error())
		}
	}
	for _, successor := range f.Successors {
		if successor == d.self.Incarnation.Address {
			continue
		}
		answer, err := d.askAbout(successor, f)
		if err == nil && answer.Code != result.IssuerUnreachable {
			return answer
		}
	}
	return api.RefuseSubmit(f.Request, gone.Error())
}

func (d *Daemon) askAbout(address string, f coordinator.Forward) (api.SubmitAnswer, error) {
	ctx, cancel := context.WithTimeout(d.ctx, f.Budget+replyLife)
	defer cancel()
	var answer peerwire.SubmitAnswer
	err := d.peers.Call(ctx, address, peerwire.KindSubmit, peerwire.Submit{Request: f.Request, Budget: f.Budget}, &answer)
	answer.Answer.RequestID = f.Request.RequestID
	return answer.Answer, err
}
