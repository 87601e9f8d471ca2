package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/configstore"
	"github.com/gypsumlug/gypsumlug/internal/control"
	"github.com/gypsumlug/gypsumlug/internal/peer"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/quarantine"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	// controlEvents bounds the events that wait for the control goroutine.
	controlEvents = 1024
	// fetchTimeout bounds a fetch from a peer.
	fetchTimeout = 2 * time.Second
)

// controlEvent is one event for the control machine.
type controlEvent func(now time.Duration) control.Actions

// controlLoop drives the control machine from one goroutine, which owns it.
type controlLoop struct {
	clock   clock
	machine *control.Machine
	// published is the configuration as operators publish it.
	published *configstore.Client
	peers     *peer.Client
	counters  *telemetry.Counters
	publish   func(*view.View)

	ctx    context.Context
	events chan controlEvent
	// stepped is when the machine last took an event; all goroutines read it.
	stepped atomic.Int64
}

func newControlLoop(c clock, self view.Host, seeds []string, startWait time.Duration) *controlLoop {
	cfg := control.Config{Quarantine: quarantine.New(quarantine.Config{}), Seeds: seeds, StartWait: startWait}
	return &controlLoop{
		clock:   c,
		machine: control.New(cfg, self, newRand()),
		events:  make(chan controlEvent, controlEvents),
	}
}

// run owns the machine until ctx ends.
func (l *controlLoop) run(ctx context.Context) {
	l.ctx = ctx
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			l.step(e)
		case <-timer.C:
			l.step(l.machine.Tick)
		}
		timer.Reset(l.machine.NextTick(l.clock.now()))
	}
}

// step passes one event to the machine and carries out what follows.
func (l *controlLoop) step(e controlEvent) {
	now := l.clock.now()
	l.carryOut(e(now))
	l.stepped.Store(int64(now))
}

// paused tells whether the machine has not yet noticed that the process stood
// still, so that what it published last is too old to act on.
func (l *controlLoop) paused(now time.Duration) bool {
	return now-time.Duration(l.stepped.Load()) > control.PauseThreshold
}

// offer passes an event that may be lost, and counts those that are.
func (l *controlLoop) offer(e controlEvent) {
	select {
	case l.events <- e:
	default:
		l.counters.Counter("gypsumlug_control_events_dropped_total").Inc()
	}
}

// pass passes an event that ends a fetch, which must not be lost.
func (l *controlLoop) pass(ctx context.Context, e controlEvent) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}

// ask runs f on the control goroutine and waits for it. It reports false if ctx
// ended first.
func (l *controlLoop) ask(ctx context.Context, f func(now time.Duration)) bool {
	done := make(chan struct{})
	l.pass(ctx, func(now time.Duration) control.Actions {
		f(now)
		close(done)
		return control.Actions{}
	})
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// observe takes what traffic saw.
func (l *controlLoop) observe(o view.Observation) {
	l.offer(func(now time.Duration) control.Actions { return l.machine.HandleObservation(now, o) })
}

func (l *controlLoop) heartbeat(h peerwire.Heartbeat) {
	l.offer(func(now time.Duration) control.Actions { return l.machine.HandleHeartbeat(now, h) })
}

// leave announces a planned stop.
func (l *controlLoop) leave(ctx context.Context) {
	l.pass(ctx, l.machine.Leave)
}

func (l *controlLoop) carryOut(a control.Actions) {
	if a.View != nil {
		l.publish(a.View)
	}
	for _, h := range a.Heartbeats {
		l.peers.Post(peer.Message{
			To:          h.To,
			Kind:        peerwire.KindHeartbeat,
			Body:        h.Message,
			SendTimeout: fetchTimeout,
			Done:        func(err error) { l.sent(h.To, err) },
		})
	}
	for _, s := range a.FetchManifests {
		go l.fetchManifest(s)
	}
	for _, w := range a.Watches {
		go l.watch(w)
	}
	for _, f := range a.FetchDocuments {
		go l.fetchDocument(f)
	}
}

// sent takes what became of a message to a peer.
func (l *controlLoop) sent(to string, err error) {
	var coded *result.Error
	if errors.As(err, &coded) && coded.Code == result.PeerUnreachable {
		l.offer(func(now time.Duration) control.Actions { return l.machine.HandleUnreachable(now, to) })
	}
}

func (l *controlLoop) fetchManifest(s control.Source) {
	ctx, cancel := context.WithTimeout(l.ctx, fetchTimeout)
	defer cancel()
	var data []byte
	var err error
	if s.IsPlatform() {
		data, err = l.published.Manifest(ctx)
	} else {
		var m peerwire.Manifest
		err = l.peers.Call(ctx, s.Peer, peerwire.KindManifestRequest, peerwire.ManifestRequest{}, &m)
		data = m.Data
	}
	l.pass(l.ctx, func(now time.Duration) control.Actions { return l.machine.HandleManifest(now, s, data, err) })
}

func (l *controlLoop) watch(w control.Watch) {
	data, err := l.published.Watch(l.ctx, config.Revision(w.After), w.Wait)
	source := control.Source{Watch: true}
	l.pass(l.ctx, func(now time.Duration) control.Actions { return l.machine.HandleManifest(now, source, data, err) })
}

func (l *controlLoop) fetchDocument(f control.FetchDocument) {
	ctx, cancel := context.WithTimeout(l.ctx, fetchTimeout)
	defer cancel()
	var data []byte
	var err error
	if f.Source.IsPlatform() {
		data, err = l.published.Document(ctx, f.Hash)
	} else {
		var d peerwire.Document
		err = l.peers.Call(ctx, f.Source.Peer, peerwire.KindDocumentRequest, peerwire.DocumentRequest{Hash: f.Hash}, &d)
		data = d.Data
	}
	l.pass(l.ctx, func(now time.Duration) control.Actions {
		return l.machine.HandleDocument(now, f.Source, f.Hash, data, err)
	})
}
