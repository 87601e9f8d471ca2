package controlfleet

import (
	"bytes"
	"errors"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/control"
)

var errUnreachable = errors.New("unreachable")

// carryOut does what a daemon's adapters do.
func (f *Fleet) carryOut(h *Host, a *control.Actions) {
	for i := range a.Heartbeats {
		f.heartbeat(h, &a.Heartbeats[i])
	}
	for _, source := range a.FetchManifests {
		f.fetchManifest(h, source)
	}
	for _, w := range a.Watches {
		f.Platform.watch(h, w)
	}
	for _, d := range a.FetchDocuments {
		f.fetchDocument(h, d)
	}
}

func (f *Fleet) cut(from, to string) bool { return f.Partitioned != nil && f.Partitioned(from, to) }

func (f *Fleet) heartbeat(h *Host, b *control.Heartbeat) {
	frame := f.Meter.encode(&b.Message)
	to := f.byAddress[b.To]
	if to == nil || !to.Alive || f.cut(h.DataCentre, to.DataCentre) {
		f.unreachable(h, b.To)
		return
	}
	if f.HeartbeatLoss > 0 && f.rng.Float64() < f.HeartbeatLoss {
		return
	}
	message := b.Message
	f.after(f.delay(), func() {
		f.step(to, func(now time.Duration) control.Actions {
			return to.Machine.HandleHeartbeat(now, f.Meter.decode(frame, &message))
		})
	})
}

// unreachable tells a host that a peer can't be connected to.
func (f *Fleet) unreachable(h *Host, address string) {
	run := h.run
	f.after(failDelay, func() {
		if h.run == run {
			f.step(h, func(now time.Duration) control.Actions { return h.Machine.HandleUnreachable(now, address) })
		}
	})
}

// call runs ask at the peer and gives its result to answer.
func (f *Fleet) call(h *Host, peer string, ask func(*Host) []byte, answer func(data []byte, err error)) {
	run := h.run
	reply := func(after time.Duration, data []byte, err error) {
		f.after(after, func() {
			if h.run == run {
				answer(data, err)
			}
		})
	}
	to := f.byAddress[peer]
	f.after(f.delay(), func() {
		if to == nil || !to.Alive || to.Paused || f.cut(h.DataCentre, to.DataCentre) {
			reply(failDelay, nil, errUnreachable)
			return
		}
		data := f.Meter.fetched(ask(to))
		reply(f.delay(), data, nil)
	})
}

func (f *Fleet) fetchManifest(h *Host, source control.Source) {
	answer := func(data []byte, err error) {
		f.step(h, func(now time.Duration) control.Actions { return h.Machine.HandleManifest(now, source, data, err) })
	}
	if source.IsPlatform() {
		f.Platform.manifest(h, answer)
		return
	}
	f.call(h, source.Peer, func(p *Host) []byte { return p.Machine.ManifestBytes() }, answer)
}

func (f *Fleet) fetchDocument(h *Host, d control.FetchDocument) {
	answer := func(data []byte, err error) {
		f.step(h, func(now time.Duration) control.Actions {
			return h.Machine.HandleDocument(now, d.Source, d.Hash, data, err)
		})
	}
	if d.Source.IsPlatform() {
		f.Platform.document(h, d.Hash, answer)
		return
	}
	f.call(h, d.Source.Peer, func(p *Host) []byte { return p.Machine.DocumentBytes(d.Hash) }, answer)
}

// clone copies bytes, so that each host's memory is its own.
func clone(data []byte) []byte { return bytes.Clone(data) }
