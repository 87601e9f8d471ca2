package coordinator

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/permit"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Reply handles the reply to an attempt, from this host's relay or a peer.
func (m *Machine) Reply(now time.Duration, r dispatch.Reply) Actions {
	m.begin(now)
	m.reply(now, r)
	return m.take(now)
}

func (m *Machine) reply(now time.Duration, r dispatch.Reply) {
	o := m.outstanding[r.Key]
	known := o != nil
	if known {
		delete(m.outstanding, r.Key)
		r.Endpoint = o.endpoint
		m.table.Replied(now, r, now-o.sent)
		if r.Code == result.Stopping {
			m.avoid(now, o.to)
		}
	}
	m.observe(&r)
	switch {
	case known && o.request.Operation == dispatch.Submit:
		m.replyToSubmit(now, r)
	case known:
		m.replyToQuery(now, r)
	default:
		m.stray(now, r)
	}
}

// stray counts a reply to an attempt that is not outstanding. The late outcome
// of a submit still settles its permit.
func (m *Machine) stray(now time.Duration, r dispatch.Reply) {
	m.out.Events = append(m.out.Events, query.Event{Kind: query.EventStray, Code: r.Code})
	if id, err := permit.Parse(r.Request); err == nil {
		m.settle(now, id, r)
	}
}

// observe reports signs that concern other hosts.
func (m *Machine) observe(r *dispatch.Reply) {
	leaving := r.Code == result.EndpointLeaving || (r.Load != nil && r.Load.Leaving)
	if leaving && !m.view.LeavingEndpoints[r.Endpoint] {
		m.out.Observations = append(m.out.Observations, view.Observation{LeavingEndpoint: r.Endpoint})
	}
}

// Written notes that attempts were handed to a peer's socket. If the connection
// to the peer broke since they were dispatched, they may have been written
// before it, and count as lost.
func (m *Machine) Written(now time.Duration, peer string, keys []dispatch.Key) Actions {
	m.begin(now)
	broken, known := m.relays[peer]
	for _, k := range keys {
		o := m.outstanding[k]
		switch {
		case o == nil:
		case known && broken.lost && o.sent <= broken.lostAt:
			m.reply(now, o.request.Lose(result.RelayLost))
		default:
			o.written = true
		}
	}
	return m.take(now)
}

// NotWritten handles attempts that were provably not handed to a peer.
func (m *Machine) NotWritten(now time.Duration, peer string, keys []dispatch.Key) Actions {
	m.begin(now)
	m.avoid(now, peer)
	for _, k := range keys {
		if o := m.outstanding[k]; o != nil {
			m.reply(now, o.request.Refuse(result.PeerUnreachable))
		}
	}
	return m.take(now)
}

// Lost handles attempts whose hand-over to a peer failed half way.
func (m *Machine) Lost(now time.Duration, peer string, keys []dispatch.Key) Actions {
	m.begin(now)
	m.avoid(now, peer)
	for _, k := range keys {
		if o := m.outstanding[k]; o != nil {
			m.reply(now, o.request.Lose(result.RelayLost))
		}
	}
	return m.take(now)
}

// PeerLost handles a broken connection to a peer: what was written over it and
// has no reply is unknown.
func (m *Machine) PeerLost(now time.Duration, peer string) Actions {
	m.begin(now)
	m.relayLost(now, peer)
	for _, k := range m.outstandingAt(peer) {
		o := m.outstanding[k]
		m.reply(now, o.request.Lose(result.RelayLost))
	}
	return m.take(now)
}

// sweep drops attempts whose reply is long overdue.
func (m *Machine) sweep(now time.Duration) {
	if now-m.swept < outstandingGrace {
		return
	}
	m.swept = now
	for _, k := range m.overdue(now) {
		o := m.outstanding[k]
		m.reply(now, o.request.Lose(result.OutcomeUnknown))
	}
	m.forgetRelays(now)
}
