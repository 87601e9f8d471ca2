// Package controlfleet simulates the control state machines of a fleet of hosts in one
// process, in virtual time and with a single event queue. The random seed determines
// a run. Tests use it to inject faults, and benchmarks to measure the cost of the
// control plane. Only tests import it.
package controlfleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/control"
	"github.com/gypsumlug/gypsumlug/internal/quarantine"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

const (
	// The one-way delay of a message is at least minDelay and less than minDelay +
	// delaySpread.
	minDelay    = 500 * time.Microsecond
	delaySpread = 3 * time.Millisecond
	// checkInterval is the interval at which Run checks whether it is done.
	checkInterval = 10 * time.Millisecond
	// seedCount is the number of hosts that every host has as seeds in its settings.
	seedCount = 3
	// failureDelay is the time after which a call to an unreachable host or platform
	// fails.
	failureDelay = 500 * time.Millisecond
)

// Fleet simulates a set of hosts, the platform and the network between them.
type Fleet struct {
	// Now is the current virtual time.
	Now      time.Duration
	Hosts    []*Host
	Platform *Platform
	// Partitioned reports whether messages from one data centre to another are lost;
	// "" stands for the platform. If it is nil, nothing is partitioned.
	Partitioned func(from, to string) bool
	// HeartbeatLoss is the fraction of heartbeats that are lost.
	HeartbeatLoss float64
	// Seeds contains the peer addresses that hosts have as seeds when they start.
	Seeds []string
	// Meter measures messages and CPU time; it may be nil.
	Meter *Meter

	rng       *rand.Rand
	queue     eventQueue
	sequence  uint64
	byAddress map[string]*Host
	starts    uint64
}

// Host is one host. When it is replaced, it keeps its address and gets a new state
// machine.
type Host struct {
	Machine    *control.Machine
	Address    string
	DataCentre string
	// View is the view that was published last.
	View *view.View
	// HighestRevision is the highest revision in any view since the last start.
	HighestRevision config.Revision
	// RevisionDecreased is true once a view had a lower revision than an earlier view of
	// the same process. A restart does not reset it.
	RevisionDecreased bool
	Alive             bool
	Paused            bool

	started time.Duration
	tickAt  time.Duration
	// incarnation changes when the host starts or crashes, so that events scheduled
	// before that are dropped.
	incarnation  uint64
	pausedEvents []func()
}

// New returns a fleet whose hosts are assigned to the data centres in turn. No host is
// started.
func New(hosts, dataCentres int, seed uint64) *Fleet {
	f := &Fleet{rng: rand.New(rand.NewPCG(seed, 1)), byAddress: make(map[string]*Host)}
	f.Platform = newPlatform(f)
	for i := range hosts {
		h := &Host{Address: fmt.Sprintf("10.%d.%d.%d:7000", i%dataCentres, i/200, i%200+1), DataCentre: DataCentreName(i % dataCentres)}
		f.Hosts = append(f.Hosts, h)
		f.byAddress[h.Address] = h
	}
	for _, h := range f.Hosts[:min(seedCount, hosts)] {
		f.Seeds = append(f.Seeds, h.Address)
	}
	return f
}

// DataCentreName returns the name of the n-th data centre.
func DataCentreName(n int) string { return fmt.Sprintf("centre-%d", n) }

// StartAll starts every host after a random delay of less than spread.
func (f *Fleet) StartAll(spread time.Duration) {
	for _, h := range f.Hosts {
		f.schedule(time.Duration(f.rng.Int64N(int64(spread))), func() { f.Start(h) })
	}
}

// Start starts a host, or replaces a started one by a new process at the same address.
func (f *Fleet) Start(h *Host) {
	f.starts++
	h.incarnation++
	h.started = f.Now
	h.Alive, h.Paused = true, false
	h.View, h.HighestRevision, h.pausedEvents = nil, 0, nil
	self := view.Host{Incarnation: view.Incarnation{Address: h.Address, Start: f.starts}, DataCentre: h.DataCentre}
	h.Machine = control.New(control.Config{Quarantine: quarantine.New(quarantine.Config{}), Seeds: f.Seeds}, self, rand.New(rand.NewPCG(f.rng.Uint64(), 2)))
	f.tick(h)
}

// Crash stops a host without an announcement.
func (f *Fleet) Crash(h *Host) {
	h.Alive = false
	h.incarnation++
}

// Pause suspends the process of a host for d. Events for it are delivered afterwards.
func (f *Fleet) Pause(h *Host, d time.Duration) {
	h.Paused = true
	incarnation := h.incarnation
	f.schedule(d, func() {
		if h.incarnation != incarnation {
			return
		}
		h.Paused = false
		events := h.pausedEvents
		h.pausedEvents = nil
		for _, fn := range events {
			fn()
		}
		f.tick(h)
	})
}

// Observe passes an observation from traffic to a host.
func (f *Fleet) Observe(h *Host, o view.Observation) {
	f.step(h, func(now time.Duration) control.Actions { return h.Machine.HandleObservation(now, o) })
}

// Leave announces that a host is about to stop.
func (f *Fleet) Leave(h *Host) { f.step(h, h.Machine.Leave) }

// Status returns the status of a host.
func (f *Fleet) Status(h *Host) control.Status { return h.Machine.Status(f.Now - h.started) }

// Run runs the simulation for d or until done returns true. It calls done about every
// checkInterval and returns the last result. done may be nil.
func (f *Fleet) Run(d time.Duration, done func() bool) bool {
	end := f.Now + d
	nextCheck := f.Now
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.Now = e.at
		e.fn()
		if done == nil || f.Now < nextCheck {
			continue
		}
		if nextCheck = f.Now + checkInterval; done() {
			return true
		}
	}
	f.Now = end
	return done != nil && done()
}

// CountWithRevision returns the number of running hosts whose view has the given
// revision or a higher one.
func (f *Fleet) CountWithRevision(revision config.Revision) int {
	n := 0
	for _, h := range f.Hosts {
		if h.Alive && h.View != nil && h.View.Bundle != nil && h.View.Bundle.Revision >= revision {
			n++
		}
	}
	return n
}

// CountReady returns the number of ready hosts.
func (f *Fleet) CountReady() int {
	n := 0
	for _, h := range f.Hosts {
		if h.Alive && h.View != nil && h.View.Ready {
			n++
		}
	}
	return n
}

func (f *Fleet) tick(h *Host) {
	if h.Paused {
		return
	}
	f.step(h, h.Machine.Tick)
}

// step lets a host handle one event and performs the resulting actions.
func (f *Fleet) step(h *Host, event func(now time.Duration) control.Actions) {
	if !h.Alive {
		return
	}
	if h.Paused {
		h.pausedEvents = append(h.pausedEvents, func() { f.step(h, event) })
		return
	}
	now := f.Now - h.started
	stop := f.Meter.startClock()
	a := event(now)
	next := h.Machine.NextTick(now)
	stop()
	f.recordView(h, a.View)
	f.carryOut(h, &a)
	f.scheduleTick(h, f.Now+max(next, time.Millisecond))
}

// scheduleTick schedules a tick of a host unless an earlier one is already scheduled.
func (f *Fleet) scheduleTick(h *Host, at time.Duration) {
	if h.tickAt > f.Now && h.tickAt <= at {
		return
	}
	h.tickAt = at
	incarnation := h.incarnation
	f.schedule(at-f.Now, func() {
		if h.incarnation == incarnation && h.tickAt == f.Now {
			f.tick(h)
		}
	})
}

func (f *Fleet) recordView(h *Host, v *view.View) {
	if v == nil {
		return
	}
	h.View = v
	if v.Bundle == nil {
		return
	}
	h.RevisionDecreased = h.RevisionDecreased || v.Bundle.Revision < h.HighestRevision
	h.HighestRevision = max(h.HighestRevision, v.Bundle.Revision)
}

type event struct {
	at       time.Duration
	sequence uint64
	fn       func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

func (f *Fleet) schedule(d time.Duration, fn func()) {
	f.sequence++
	heap.Push(&f.queue, event{at: f.Now + d, sequence: f.sequence, fn: fn})
}

func (f *Fleet) randomDelay() time.Duration {
	return minDelay + time.Duration(f.rng.Int64N(int64(delaySpread)))
}
