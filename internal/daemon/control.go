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
	// controlEventQueueSize is the maximum number of events that wait for the
	// control goroutine.
	controlEventQueueSize = 1024
	// fetchTimeout bounds a fetch from a peer or the platform, and the sending of
	// a heartbeat.
	fetchTimeout = 2 * time.Second
)

// controlEvent passes one event to the control machine and returns its actions.
type controlEvent func(now time.Duration) control.Actions

// controlLoop drives the control machine. The goroutine of run owns the machine;
// other goroutines reach it through the event channel.
type controlLoop struct {
	clock   clock
	machine *control.Machine
	// configStore reads the configuration that operators publish on the platform.
	configStore *configstore.Client
	peers       *peer.Client
	counters    *telemetry.Counters
	publishView func(*view.View)

	ctx    context.Context
	events chan controlEvent
	// lastStep is the time of the machine's last event, a time.Duration; any
	// goroutine may read it.
	lastStep atomic.Int64
}

func newControlLoop(c clock, self view.Host, seeds []string, startWait time.Duration) *controlLoop {
	cfg := control.Config{Quarantine: quarantine.New(quarantine.Config{}), Seeds: seeds, StartWait: startWait}
	return &controlLoop{
		clock:   c,
		machine: control.New(cfg, self, newRand()),
		events:  make(chan controlEvent, controlEventQueueSize),
	}
}

// run processes events and ticks until ctx ends.
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

// step passes one event to the machine and carries out the resulting actions.
func (l *controlLoop) step(e controlEvent) {
	now := l.clock.now()
	l.carryOut(e(now))
	l.lastStep.Store(int64(now))
}

// pauseUnnoticed reports whether the process has paused and the machine has not
// processed an event since. The last published view is then too old to use.
func (l *controlLoop) pauseUnnoticed(now time.Duration) bool {
	return now-time.Duration(l.lastStep.Load()) > control.PauseThreshold
}

// trySend queues an event without blocking. If the queue is full, the event is
// dropped and counted.
func (l *controlLoop) trySend(e controlEvent) {
	select {
	case l.events <- e:
	default:
		l.counters.Counter("gypsumlug_control_events_dropped_total").Inc()
	}
}

// send queues an event that must not be dropped, such as the end of a fetch. It
// blocks while the queue is full, until ctx ends.
func (l *controlLoop) send(ctx context.Context, e controlEvent) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}

// call runs f on the control goroutine and waits until it returns. It reports
// false if ctx ended first; in that case f may still run later.
func (l *controlLoop) call(ctx context.Context, f func(now time.Duration)) bool {
	done := make(chan struct{})
	l.send(ctx, func(now time.Duration) control.Actions {
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

// observe reports an event of request handling to the machine. It never blocks.
func (l *controlLoop) observe(o view.Observation) {
	l.trySend(func(now time.Duration) control.Actions { return l.machine.HandleObservation(now, o) })
}

func (l *controlLoop) handleHeartbeat(h peerwire.Heartbeat) {
	l.trySend(func(now time.Duration) control.Actions { return l.machine.HandleHeartbeat(now, h) })
}

// announceLeaving announces a planned stop.
func (l *controlLoop) announceLeaving(ctx context.Context) {
	l.send(ctx, l.machine.Leave)
}

func (l *controlLoop) carryOut(a control.Actions) {
	if a.View != nil {
		l.publishView(a.View)
	}
	for _, h := range a.Heartbeats {
		l.peers.Post(peer.Message{
			To:          h.To,
			Kind:        peerwire.KindHeartbeat,
			Body:        h.Message,
			SendTimeout: fetchTimeout,
			Done:        func(err error) { l.handleSendResult(h.To, err) },
		})
	}
	for _, s := range a.FetchManifests {
		go l.fetchManifest(s)
	}
	for _, w := range a.Watches {
		go l.watchManifest(w)
	}
	for _, f := range a.FetchDocuments {
		go l.fetchDocument(f)
	}
}

// handleSendResult handles the result of sending a message to a peer. It reports
// the peer to the machine if err means that it is unreachable.
func (l *controlLoop) handleSendResult(to string, err error) {
	var coded *result.Error
	if errors.As(err, &coded) && coded.Code == result.PeerUnreachable {
		l.trySend(func(now time.Duration) control.Actions { return l.machine.HandleUnreachable(now, to) })
	}
}

func (l *controlLoop) fetchManifest(s control.Source) {
	ctx, cancel := context.WithTimeout(l.ctx, fetchTimeout)
	defer cancel()
	var data []byte
	var err error
	if s.IsPlatform() {
		data, err = l.configStore.Manifest(ctx)
	} else {
		var m peerwire.Manifest
		err = l.peers.Call(ctx, s.Peer, peerwire.KindManifestRequest, peerwire.ManifestRequest{}, &m)
		data = m.Data
	}
	l.send(l.ctx, func(now time.Duration) control.Actions { return l.machine.HandleManifest(now, s, data, err) })
}

func (l *controlLoop) watchManifest(w control.Watch) {
	data, err := l.configStore.Watch(l.ctx, config.Revision(w.After), w.Wait)
	source := control.Source{Watch: true}
	l.send(l.ctx, func(now time.Duration) control.Actions { return l.machine.HandleManifest(now, source, data, err) })
}

func (l *controlLoop) fetchDocument(f control.FetchDocument) {
	ctx, cancel := context.WithTimeout(l.ctx, fetchTimeout)
	defer cancel()
	var data []byte
	var err error
	if f.Source.IsPlatform() {
		data, err = l.configStore.Document(ctx, f.Hash)
	} else {
		var d peerwire.Document
		err = l.peers.Call(ctx, f.Source.Peer, peerwire.KindDocumentRequest, peerwire.DocumentRequest{Hash: f.Hash}, &d)
		data = d.Data
	}
	l.send(l.ctx, func(now time.Duration) control.Actions {
		return l.machine.HandleDocument(now, f.Source, f.Hash, data, err)
	})
}
