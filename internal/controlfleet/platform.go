package controlfleet

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/control"
)

// Platform stands in for the platform's service.
type Platform struct {
	// Down makes every call fail.
	Down bool
	// Manifest and Documents are the published values.
	Manifest  []byte
	Documents map[string][]byte
	// Corrupt changes a value on its way, if it isn't nil.
	Corrupt func([]byte) []byte
	// Calls counts the calls that reached the platform or failed.
	Calls int
	// PeakCalls is the largest number of calls in one second.
	PeakCalls int

	fleet   *Fleet
	waiting []*waiter
	second  time.Duration
	inSec   int
}

type waiter struct {
	host  *Host
	run   uint64
	after config.Revision
	done  bool
}

func newPlatform(f *Fleet) *Platform {
	return &Platform{fleet: f, Documents: make(map[string][]byte)}
}

// Publish puts a revision and ends the watches that wait for it.
func (p *Platform) Publish(r Revision) {
	for hash, data := range r.Documents {
		p.Documents[hash] = data
	}
	p.PutManifest(r.Manifest)
}

// PutManifest replaces the manifest alone.
func (p *Platform) PutManifest(manifest []byte) {
	p.Manifest = manifest
	waiting := p.waiting
	p.waiting = nil
	for _, w := range waiting {
		if !p.release(w) {
			p.waiting = append(p.waiting, w)
		}
	}
}

func (p *Platform) count() {
	p.Calls++
	if second := p.fleet.Now / time.Second; second != p.second {
		p.second, p.inSec = second, 0
	}
	p.inSec++
	p.PeakCalls = max(p.PeakCalls, p.inSec)
}

// call counts a call and answers it; value is read when the call arrives.
func (p *Platform) call(h *Host, value func() []byte, answer func([]byte, error)) {
	p.count()
	run := h.run
	p.fleet.after(p.fleet.delay(), func() {
		data, err, wait := p.value(value()), error(nil), p.fleet.delay()
		if p.Down || p.fleet.cut(h.DataCentre, "") {
			data, err, wait = nil, errUnreachable, failDelay
		}
		p.fleet.after(wait, func() {
			if h.run == run {
				answer(data, err)
			}
		})
	})
}

func (p *Platform) value(data []byte) []byte {
	data = p.fleet.Meter.fetched(data)
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
	waiting := &waiter{host: h, run: h.run, after: w.After}
	p.count()
	p.fleet.after(p.fleet.delay(), func() {
		if p.Down || p.fleet.cut(h.DataCentre, "") {
			p.fleet.after(failDelay, func() { p.finish(waiting, nil, errUnreachable) })
			return
		}
		if p.release(waiting) {
			return
		}
		p.waiting = append(p.waiting, waiting)
		p.fleet.after(w.Wait, func() { p.finish(waiting, nil, nil) })
	})
}

// release ends a watch if there is a newer revision than it waits for.
func (p *Platform) release(w *waiter) bool {
	m, err := config.ParseManifest(p.Manifest)
	newer := p.Manifest != nil && (err != nil || m.Revision > w.after)
	if !newer || w.done {
		return w.done
	}
	data := p.value(p.Manifest)
	p.fleet.after(p.fleet.delay(), func() { p.finish(w, data, nil) })
	return true
}

func (p *Platform) finish(w *waiter, data []byte, err error) {
	if w.done || w.host.run != w.run {
		return
	}
	w.done = true
	if p.Down || p.fleet.cut(w.host.DataCentre, "") {
		data, err = nil, errUnreachable
	}
	source := control.Source{Watch: true}
	p.fleet.step(w.host, func(now time.Duration) control.Actions { return w.host.Machine.HandleManifest(now, source, data, err) })
}
