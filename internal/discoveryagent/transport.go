package discoveryagent

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gypsumlug/gypsumlug/internal/discovery"
	"github.com/gypsumlug/gypsumlug/internal/peerlink"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// maxDatagram is the largest size of a heartbeat in bytes.
const maxDatagram = 1400

var errNoState = errors.New("peer's reply has no state")

// Listen opens the UDP socket and the TCP listener for peers.
func (a *Agent) Listen() error {
	address, err := net.ResolveUDPAddr("udp", a.opts.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "resolve peer address")
	}
	if a.socket, err = net.ListenUDP("udp", address); err != nil {
		return eris.Wrap(err, "listen for heartbeats")
	}
	if a.listener, err = net.Listen("tcp", a.opts.PeerAddress); err != nil {
		_ = a.socket.Close()
		return eris.Wrap(err, "listen for peers")
	}
	return nil
}

// sendHeartbeat adds suspects, rate limits, leaving replicas, failures and hints about load to
// a heartbeat and sends it.
func (a *Agent) sendHeartbeat(outgoing discovery.OutgoingHeartbeat) {
	outgoing.Heartbeat.Suspects = a.opts.Suspects()
	outgoing.Heartbeat.RateLimits = a.opts.RateLimits()
	outgoing.Heartbeat.LeavingReplicas = a.opts.Leaving()
	if outgoing.CarriesHints() {
		outgoing.Heartbeat.Failures = a.opts.Failures()
	}
	outgoing.Heartbeat.Overload = a.opts.Overload()
	data, err := encodeHeartbeat(&outgoing.Heartbeat)
	if err != nil {
		a.opts.Log.Error().Err(err).Msg("heartbeat not encoded")
		return
	}
	to, err := net.ResolveUDPAddr("udp", outgoing.To)
	if err != nil {
		a.opts.Log.Warn().Str("to", outgoing.To).Err(err).Msg("peer address not valid")
		return
	}
	// Errors are ignored: the next heartbeat makes up for a lost one.
	_, _ = a.socket.WriteToUDP(data, to)
	if a.opts.CountHeartbeat != nil {
		a.opts.CountHeartbeat(outgoing.Remote, len(data))
	}
}

// receiveHeartbeats passes the heartbeats of other hosts to the machine until the
// socket is closed. It ignores datagrams that can't be decoded.
func (a *Agent) receiveHeartbeats(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := a.socket.Read(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		var h discovery.Heartbeat
		if err != nil || msgpack.Unmarshal(buf[:n], &h) != nil {
			continue
		}
		a.opts.RecordSuspects(h.Suspects)
		a.opts.RecordRateLimits(h.RateLimits)
		a.opts.RecordLeaving(h.LeavingReplicas)
		a.opts.RecordFailures(h.Failures)
		a.opts.HeardFrom(h.DataCentre)
		a.opts.RecordOverload(h.Overload)
		a.sendEvent(ctx, func(now time.Duration) discovery.Actions { return a.machine.HandleHeartbeat(now, h) })
	}
}

// encodeHeartbeat encodes a heartbeat. It leaves out what does not fit into a datagram; the
// turn of that comes again.
func encodeHeartbeat(h *discovery.Heartbeat) ([]byte, error) {
	for {
		data, err := msgpack.Marshal(h)
		if err != nil || len(data) <= maxDatagram || !shrink(h) {
			return data, err
		}
	}
}

// shrink leaves out some of a heartbeat: failures first, then rate limits, leaving replicas,
// hosts that left, hints about load, which are few, the presence of hosts, then all but one suspect and one member.
// It reports whether there was anything to leave out.
func shrink(h *discovery.Heartbeat) bool {
	switch {
	case len(h.Failures) > 0:
		h.Failures = h.Failures[:len(h.Failures)*3/4]
	case len(h.RateLimits) > 0:
		h.RateLimits = h.RateLimits[:len(h.RateLimits)/2]
	case len(h.LeavingReplicas) > 0:
		h.LeavingReplicas = h.LeavingReplicas[:len(h.LeavingReplicas)/2]
	case len(h.Departures) > 0:
		h.Departures = h.Departures[:len(h.Departures)/2]
	case len(h.Overload) > 0:
		h.Overload = nil
	case len(h.Presence) > 0:
		h.Presence = nil
	case len(h.Suspects) > 1:
		h.Suspects = h.Suspects[:len(h.Suspects)/2]
	case len(h.Members) > 1:
		h.Members = h.Members[:len(h.Members)/2]
	default:
		return false
	}
	return true
}

var _ peerlink.Handler = (*Agent)(nil)

// ServeState implements peerlink.Handler.
func (a *Agent) ServeState(ctx context.Context, r *discovery.StateRequest) *peerlink.State {
	states := make(chan *peerlink.State, 1)
	a.sendEvent(ctx, func(now time.Duration) discovery.Actions {
		s := a.machine.StateFor(now, *r)
		if r.News {
			s.News = a.opts.News()
		}
		states <- peerlink.NewState(s, a.shareConfig(s.Config))
		return discovery.Actions{}
	})
	select {
	case s := <-states:
		return s
	case <-ctx.Done():
		return nil
	}
}

// shareConfig returns the configuration for sending, or nil if c is nil.
func (a *Agent) shareConfig(c *routing.Config) *peerlink.SharedConfig {
	if c == nil {
		return nil
	}
	if a.sharedConfig.Value() != c {
		a.sharedConfig = peerlink.NewSharedConfig(c)
	}
	return a.sharedConfig
}

// ServePart implements peerlink.Handler.
func (a *Agent) ServePart(ctx context.Context, r *split.Request) *split.Reply {
	return a.opts.AnswerPart(ctx, r)
}

// fetchState requests a peer's state.
func (a *Agent) fetchState(ctx context.Context, from string, request *discovery.StateRequest) (*discovery.State, error) {
	reply, err := a.opts.PeerClient.Call(ctx, from, &peerlink.Request{Format: discovery.FormatVersion, State: request})
	if err != nil {
		return nil, err
	}
	if reply.State == nil {
		return nil, errNoState
	}
	state := reply.State.Received()
	if state.Config != nil {
		state.Config.IndexRoutes()
	}
	return state, nil
}
