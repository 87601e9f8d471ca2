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
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// maxDatagram bounds a heartbeat, in bytes.
const maxDatagram = 1400

var errNoState = errors.New("peer told no state")

// listen serves heartbeats over UDP and state over TCP.
func (k *Agent) listen(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp", k.opts.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "peer address")
	}
	if k.socket, err = net.ListenUDP("udp", address); err != nil {
		return eris.Wrap(err, "listen for heartbeats")
	}
	listener, err := net.Listen("tcp", k.opts.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	context.AfterFunc(ctx, func() { _ = k.socket.Close() })
	go k.receive(ctx)
	go peerlink.Serve(ctx, listener, k)
	return nil
}

func (k *Agent) sendHello(o discovery.Outgoing) {
	o.Hello.Suspects = k.opts.Suspects()
	data, err := msgpack.Marshal(&o.Hello)
	if err != nil {
		k.opts.Log.Error().Err(err).Msg("heartbeat not encoded")
		return
	}
	to, err := net.ResolveUDPAddr("udp", o.To)
	if err != nil {
		k.opts.Log.Warn().Str("to", o.To).Err(err).Msg("peer address not valid")
		return
	}
	// A lost heartbeat is made good by the next.
	_, _ = k.socket.WriteToUDP(data, to)
}

func (k *Agent) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := k.socket.Read(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		var h discovery.Hello
		if err != nil || msgpack.Unmarshal(buf[:n], &h) != nil {
			continue
		}
		k.opts.RecordSuspects(h.Suspects)
		k.send(ctx, func(now time.Duration) discovery.Actions { return k.machine.Hello(now, h) })
	}
}

var _ peerlink.Handler = (*Agent)(nil)

// State implements peerlink.Handler.
func (k *Agent) State(ctx context.Context, r *discovery.StateRequest) *discovery.State {
	states := make(chan *discovery.State, 1)
	k.send(ctx, func(now time.Duration) discovery.Actions {
		states <- k.machine.State(now, *r)
		return discovery.Actions{}
	})
	select {
	case s := <-states:
		return s
	case <-ctx.Done():
		return nil
	}
}

// Part implements peerlink.Handler.
func (k *Agent) Part(ctx context.Context, r *split.Request) *split.Reply {
	return k.opts.AnswerPart(ctx, r)
}

// fetchState asks a peer for what it knows.
func (k *Agent) fetchState(ctx context.Context, from string, request *discovery.StateRequest) (*discovery.State, error) {
	reply, err := k.opts.Peers.Ask(ctx, from, &peerlink.Request{Format: discovery.FormatVersion, State: request})
	if err != nil {
		return nil, err
	}
	if reply.State == nil {
		return nil, errNoState
	}
	if reply.State.Config != nil {
		reply.State.Config.IndexRoutes()
	}
	return reply.State, nil
}
