package controlfleet

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/control"
)

// Platform simulates the platform's configuration store.
type Platform struct {
	// Down makes every call fail.
	Down bool
	// Manifest and Documents hold the published values; documents are keyed by hash.
	Manifest  []byte
	Documents map[string][]byte
	// Corrupt, if not nil, is applied to every value that the platform sends.
	Corrupt func([]byte) []byte
	// Calls counts all calls, including failed ones.
	Calls int
	// PeakCalls is the maximum number of calls in one second.
	PeakCalls int

	fleet           *Fleet
	watches         []*pendingWatch
	currentSecond   time.Duration
	callsThisSecond int
}

type pendingWatch struct {
	host        *Host
	incarnation uint64
	after       config.Revision
	done        bool
}

func newPlatform(f *Fleet) *Platform {
	return &Platform{fleet: f, Documents: make(map[string][]byte)}
}

// Publish stores a revision and completes the watches that wait for it.
func (p *Platform) Publish(r Revision) {
	for hash, data := range r.Documents {
		p.Documents[hash] = data
	}
	p.PutManifest(r.Manifest)
}

// PutManifest replaces the manifest without storing documents, and completes the
// watches that wait for it.
func (p *Platform) PutManifest(manifest []byte) {
	p.Manifest = manifest
	watches := p.watches
	p.watches = nil
	for _, w := range watches {
		if !p.completeIfNewer(w) {
			p.watches = append(p.watches, w)
		}
	}
}

func (p *Platform) countCall() {
	p.Calls++
	if second := p.fleet.Now / time.Second; second != p.currentSecond {
		p.currentSecond, p.callsThisSecond = second, 0
	}
	p.callsThisSecond++
	p.PeakCalls = max(p.PeakCalls, p.callsThisSecond)
}

// call counts a call and answers it. value is called when the call arrives at the
// platform.
func (p *Platform) call(h *Host, value func() []byte, answer func([]byte, error)) {
	p.countCall()
	incarnation := h.incarnation
	p.fleet.schedule(p.fleet.randomDelay(), func() {
		data, err, delay := p.deliveredValue(value()), error(nil), p.fleet.randomDelay()
		if p.Down || p.fleet.partitioned(h.DataCentre, "") {
			data, err, delay = nil, errUnreachable, failureDelay
		}
		p.fleet.schedule(delay, func() {
			if h.incarnation == incarnation {
				answer(data, err)
			}
		})
	})
}

// deliveredValue returns a value as a host receives it, and counts its bytes.
func (p *Platform) deliveredValue(data []byte) []byte {
	data = p.fleet.Meter.countFetched(data)
	if p.Corrupt == nil {
		return data
	}
	return p.Corrupt(data)
}

func (p *Platform) manifest(h *Host, answer func([]byte, error)) {
	p.call(h, func() []byte { return p.Manifest }, answer)
}

func (p *Platform) document(h *Host, hash string, answer func([]byte, error)) {
	p.call(h, func() []byte { return p.Documents[hash] }, answer)
}

func (p *Platform) watch(h *Host, w control.Watch) {
	watch := &pendingWatch{host: h, incarnation: h.incarnation, after: w.After}
	p.countCall()
	p.fleet.schedule(p.fleet.randomDelay(), func() {
		if p.Down || p.fleet.partitioned(h.DataCentre, "") {
			p.fleet.schedule(failureDelay, func() { p.completeWatch(watch, nil, errUnreachable) })
			return
		}
		if p.completeIfNewer(watch) {
			return
		}
		p.watches = append(p.watches, watch)
		p.fleet.schedule(w.Wait, func() { p.completeWatch(watch, nil, nil) })
	})
}

// completeIfNewer schedules the completion of a watch if the manifest is newer than the
// revision that the host has, or cannot be parsed. It returns true if the watch needs
// no further check, also because it is already completed.
func (p *Platform) completeIfNewer(w *pendingWatch) bool {
	m, err := config.ParseManifest(p.Manifest)
	newer := p.Manifest != nil && (err != nil || m.Revision > w.after)
	if !newer || w.done {
		return w.done
	}
	data := p.deliveredValue(p.Manifest)
	p.fleet.schedule(p.fleet.randomDelay(), func() { p.completeWatch(w, data, nil) })
	return true
}

func (p *Platform) completeWatch(w *pendingWatch, data []byte, err error) {
	if w.done || w.host.incarnation != w.incarnation {
		return
	}
	w.done = true
	if p.Down || p.fleet.partitioned(w.host.DataCentre, "") {
		data, err = nil, errUnreachable
	}
	source := control.Source{Watch: true}
	p.fleet.step(w.host, func(now time.Duration) control.Actions { return w.host.Machine.HandleManifest(now, source, data, err) })
}
