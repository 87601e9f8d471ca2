package controlfleet

import (
	"bytes"
	"errors"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/control"
)

var errUnreachable = errors.New("unreachable")

// carryOut performs the actions of a host, as the daemon does.
func (f *Fleet) carryOut(h *Host, a *control.Actions) {
	for i := range a.Heartbeats {
		f.sendHeartbeat(h, &a.Heartbeats[i])
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

func (f *Fleet) partitioned(from, to string) bool {
	return f.Partitioned != nil && f.Partitioned(from, to)
}

func (f *Fleet) sendHeartbeat(h *Host, b *control.Heartbeat) {
	frame := f.Meter.encode(&b.Message)
	to := f.byAddress[b.To]
	if to == nil || !to.Alive || f.partitioned(h.DataCentre, to.DataCentre) {
		f.scheduleUnreachable(h, b.To)
		return
	}
	if f.HeartbeatLoss > 0 && f.rng.Float64() < f.HeartbeatLoss {
		return
	}
	message := b.Message
	f.schedule(f.randomDelay(), func() {
		f.step(to, func(now time.Duration) control.Actions {
			return to.Machine.HandleHeartbeat(now, f.Meter.decode(frame, &message))
		})
	})
}

// scheduleUnreachable reports to a host, after failureDelay, that a peer is
// unreachable.
func (f *Fleet) scheduleUnreachable(h *Host, address string) {
	incarnation := h.incarnation
	f.schedule(failureDelay, func() {
		if h.incarnation == incarnation {
			f.step(h, func(now time.Duration) control.Actions { return h.Machine.HandleUnreachable(now, address) })
		}
	})
}

// callPeer simulates a request from h to a peer. After a network delay the peer handles
// the request, and after a second delay answer is called with the result. If the peer
// is unreachable or paused, answer is called with an error, and the second delay is
// failureDelay.
func (f *Fleet) callPeer(h *Host, peer string, handle func(*Host) []byte, answer func(data []byte, err error)) {
	incarnation := h.incarnation
	scheduleAnswer := func(after time.Duration, data []byte, err error) {
		f.schedule(after, func() {
			if h.incarnation == incarnation {
				answer(data, err)
			}
		})
	}
	to := f.byAddress[peer]
	f.schedule(f.randomDelay(), func() {
		if to == nil || !to.Alive || to.Paused || f.partitioned(h.DataCentre, to.DataCentre) {
			scheduleAnswer(failureDelay, nil, errUnreachable)
			return
		}
		data := f.Meter.countFetched(handle(to))
		scheduleAnswer(f.randomDelay(), data, nil)
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
	f.callPeer(h, source.Peer, func(p *Host) []byte { return p.Machine.ManifestBytes() }, answer)
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
	f.callPeer(h, d.Source.Peer, func(p *Host) []byte { return p.Machine.DocumentBytes(d.Hash) }, answer)
}

// clone copies bytes, so that hosts do not share memory.
func clone(data []byte) []byte { return bytes.Clone(data) }
