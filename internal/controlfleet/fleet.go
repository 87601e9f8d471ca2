// Package controlfleet steps the control machines of a fleet in one process and in
// virtual time, from one seeded event queue. Tests use it to bring about faults,
// and benchmarks to measure what control costs. It is imported by tests only.
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
	// minDelay and delaySpread give the one-way delay of a message.
	minDelay    = 500 * time.Microsecond
	delaySpread = 3 * time.Millisecond
	// checkEvery is how often Run asks whether it is done.
	checkEvery = 10 * time.Millisecond
	// seeds is the number of hosts that the settings of all name.
	seeds = 3
	// failDelay is when a call that reaches nobody fails.
	failDelay = 500 * time.Millisecond
)

// Fleet is a set of hosts, a platform and the network between them.
type Fleet struct {
	Now      time.Duration
	Hosts    []*Host
	Platform *Platform
	// Partitioned tells whether messages between two data centres are lost; "" is the
	// platform. nil means that nothing is lost.
	Partitioned func(from, to string) bool
	// HeartbeatLoss is the share of heartbeats that are lost.
	HeartbeatLoss float64
	// Seeds are the peer addresses in the settings of hosts that start.
	Seeds []string
	// Meter measures messages and processor time; it may be nil.
	Meter *Meter

	rng       *rand.Rand
	queue     eventQueue
	sequence  uint64
	byAddress map[string]*Host
	starts    uint64
}

// Host is one host; a replaced host keeps its address and gets a new machine.
type Host struct {
	Machine    *control.Machine
	Address    string
	DataCentre string
	// View is the last published view.
	View *view.View
	// HighestRevision is the highest revision that was in force since the last start.
	HighestRevision config.Revision
	// RevisionDecreased tells that a revision in force was lower than an earlier one.
	RevisionDecreased bool
	Alive             bool
	Paused            bool

	started time.Duration
	tickAt  time.Duration
	run     uint64
	held    []func()
}

// New returns a fleet of hosts spread over data centres in turn. No host runs.
func New(hosts, centres int, seed uint64) *Fleet {
	f := &Fleet{rng: rand.New(rand.NewPCG(seed, 1)), byAddress: make(map[string]*Host)}
	f.Platform = newPlatform(f)
	for i := range hosts {
		h := &Host{Address: fmt.Sprintf("10.%d.%d.%d:7000", i%centres, i/200, i%200+1), DataCentre: DataCentreName(i % centres)}
		f.Hosts = append(f.Hosts, h)
		f.byAddress[h.Address] = h
	}
	for _, h := range f.Hosts[:min(seeds, hosts)] {
		f.Seeds = append(f.Seeds, h.Address)
	}
	return f
}

// DataCentreName returns the name of the n-th data centre.
func DataCentreName(n int) string { return fmt.Sprintf("centre-%d", n) }

// StartAll starts every host within spread.
func (f *Fleet) StartAll(spread time.Duration) {
	for _, h := range f.Hosts {
		f.after(time.Duration(f.rng.Int64N(int64(spread))), func() { f.Start(h) })
	}
}

// Start starts a host, or replaces it in place.
func (f *Fleet) Start(h *Host) {
	f.starts++
	h.run++
	h.started = f.Now
	h.Alive, h.Paused = true, false
	h.View, h.HighestRevision, h.held = nil, 0, nil
	self := view.Host{Incarnation: view.Incarnation{Address: h.Address, Start: f.starts}, DataCentre: h.DataCentre}
	h.Machine = control.New(control.Config{Quarantine: quarantine.New(quarantine.Config{}), Seeds: f.Seeds}, self, rand.New(rand.NewPCG(f.rng.Uint64(), 2)))
	f.tick(h)
}

// Crash crashes a host.
func (f *Fleet) Crash(h *Host) {
	h.Alive = false
	h.run++
}

// Pause stops a host's process for d; messages to it wait.
func (f *Fleet) Pause(h *Host, d time.Duration) {
	h.Paused = true
	run := h.run
	f.after(d, func() {
		if h.run != run {
			return
		}
		h.Paused = false
		held := h.held
		h.held = nil
		for _, fn := range held {
			fn()
		}
		f.tick(h)
	})
}

// Observe gives an observation of traffic to a host.
func (f *Fleet) Observe(h *Host, o view.Observation) {
	f.step(h, func(now time.Duration) control.Actions { return h.Machine.HandleObservation(now, o) })
}

// Leave announces a host's planned stop.
func (f *Fleet) Leave(h *Host) { f.step(h, h.Machine.Leave) }

// Status returns a host's status.
func (f *Fleet) Status(h *Host) control.Status { return h.Machine.Status(f.Now - h.started) }

// Run runs for d, or until done returns true, which is asked every checkEvery. It
// reports whether done did; done may be nil.
func (f *Fleet) Run(d time.Duration, done func() bool) bool {
	end := f.Now + d
	check := f.Now
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.Now = e.at
		e.fn()
		if done == nil || f.Now < check {
			continue
		}
		if check = f.Now + checkEvery; done() {
			return true
		}
	}
	f.Now = end
	return done != nil && done()
}

// CountWithRevision counts the running hosts that have the revision or a higher one.
func (f *Fleet) CountWithRevision(revision config.Revision) int {
	n := 0
	for _, h := range f.Hosts {
		if h.Alive && h.View != nil && h.View.Bundle != nil && h.View.Bundle.Revision >= revision {
			n++
		}
	}
	return n
}

// CountReady counts the ready hosts.
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

// step runs one event of a host and carries out its actions.
func (f *Fleet) step(h *Host, event func(now time.Duration) control.Actions) {
	if !h.Alive {
		return
	}
	if h.Paused {
		h.held = append(h.held, func() { f.step(h, event) })
		return
	}
	now := f.Now - h.started
	stop := f.Meter.clock()
	a := event(now)
	next := h.Machine.NextTick(now)
	stop()
	f.record(h, a.View)
	f.carryOut(h, &a)
	f.scheduleTick(h, f.Now+max(next, time.Millisecond))
}

func (f *Fleet) scheduleTick(h *Host, at time.Duration) {
	if h.tickAt > f.Now && h.tickAt <= at {
		return
	}
	h.tickAt = at
	run := h.run
	f.after(at-f.Now, func() {
		if h.run == run && h.tickAt == f.Now {
			f.tick(h)
		}
	})
}

func (f *Fleet) record(h *Host, v *view.View) {
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

func (f *Fleet) after(d time.Duration, fn func()) {
	f.sequence++
	heap.Push(&f.queue, event{at: f.Now + d, sequence: f.sequence, fn: fn})
}

func (f *Fleet) delay() time.Duration {
	return minDelay + time.Duration(f.rng.Int64N(int64(delaySpread)))
}
