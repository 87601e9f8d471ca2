package daemon

import (
	"context"
	"sync"
	"time"
)

// loop serializes the events of one state machine, whose actions have type A.
//
// Concurrency: mu guards wakeAt and the machine that nextTickTime and tick belong
// to. carryOut runs without mu, on the goroutine that caused the step.
type loop[A any] struct {
	clock    clock
	carryOut func(A)
	// nextTickTime returns the time at which tick is due. Both functions are called
	// with mu held.
	nextTickTime func(now time.Duration) time.Duration
	tick         func(now time.Duration) A

	mu sync.Mutex
	// wakeAt is the time of the next tick.
	wakeAt time.Duration
	// wakeSignal tells run that wakeAt has become earlier.
	wakeSignal chan struct{}
}

func newLoop[A any](c clock, nextTickTime func(time.Duration) time.Duration, tick func(time.Duration) A, carryOut func(A)) *loop[A] {
	return &loop[A]{clock: c, nextTickTime: nextTickTime, tick: tick, carryOut: carryOut, wakeSignal: make(chan struct{}, 1)}
}

// step passes one event to the machine and carries out the resulting actions.
func (l *loop[A]) step(event func(now time.Duration) A) {
	l.mu.Lock()
	now := l.clock.now()
	actions := event(now)
	next := l.nextTickTime(now)
	earlier := next < l.wakeAt
	l.wakeAt = next
	l.mu.Unlock()
	if earlier {
		l.signalWake()
	}
	l.carryOut(actions)
}

// withLock runs f while no event is processed.
func (l *loop[A]) withLock(f func(now time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.clock.now())
}

// signalWake makes run read wakeAt again. It never blocks.
func (l *loop[A]) signalWake() {
	select {
	case l.wakeSignal <- struct{}{}:
	default:
	}
}

// run ticks the machine until ctx ends.
func (l *loop[A]) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wakeSignal:
		case <-timer.C:
			l.step(l.tick)
		}
		timer.Reset(max(0, l.loadWakeAt()-l.clock.now()))
	}
}

func (l *loop[A]) loadWakeAt() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wakeAt
}
