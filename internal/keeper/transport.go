package keeper

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/discovery"
)

// Bounds of messages between hosts, in bytes.
const (
	maxDatagram = 1400
	maxFrame    = 8 << 20
)

var errFrameTooLarge = errors.New("frame over the size limit")

// listen serves heartbeats over UDP and state over TCP.
func (k *Keeper) listen(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp", k.opts.Self)
	if err != nil {
		return eris.Wrap(err, "peer address")
	}
	if k.socket, err = net.ListenUDP("udp", address); err != nil {
		return eris.Wrap(err, "listen for heartbeats")
	}
	listener, err := net.Listen("tcp", k.opts.Self)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	context.AfterFunc(ctx, func() {
		_ = k.socket.Close()
		_ = listener.Close()
	})
	go k.receive(ctx)
	go k.accept(ctx, listener)
	return nil
}

func (k *Keeper) sendHello(o discovery.Outgoing) {
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

func (k *Keeper) receive(ctx context.Context) {
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
		k.send(ctx, func(now time.Duration) discovery.Actions { return k.machine.Hello(now, h) })
	}
}

func (k *Keeper) accept(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		go k.serve(ctx, conn)
	}
}

// serve answers one request for state.
func (k *Keeper) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(fetchTimeout))
	var request discovery.StateRequest
	if readFrame(conn, &request) != nil || request.Format != discovery.FormatVersion {
		return
	}
	states := make(chan *discovery.State, 1)
	k.send(ctx, func(now time.Duration) discovery.Actions {
		states <- k.machine.State(now, request)
		return discovery.Actions{}
	})
	select {
	case s := <-states:
		_ = writeFrame(conn, s)
	case <-ctx.Done():
	}
}

// fetchState asks a peer for what it knows.
func fetchState(ctx context.Context, from string, request *discovery.StateRequest) (*discovery.State, error) {
	conn, err := dial.TCP(ctx, from)
	if err != nil {
		return nil, eris.Wrap(err, "dial peer")
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if err := writeFrame(conn, request); err != nil {
		return nil, eris.Wrap(err, "ask peer")
	}
	var s discovery.State
	if err := readFrame(conn, &s); err != nil {
		return nil, eris.Wrap(err, "read peer")
	}
	if s.Config != nil {
		s.Config.Index()
	}
	return &s, nil
}

// writeFrame writes a 4-byte big-endian length and a msgpack message.
func writeFrame(w io.Writer, message any) error {
	data, err := msgpack.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode frame")
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+4), uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

func readFrame(r io.Reader, message any) error {
	var prefix [4]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > maxFrame {
		return errFrameTooLarge
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, message)
}
