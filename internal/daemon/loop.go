package daemon

import (
	"context"
	"sync"
	"time"
)

// loop serializes the events of one machine whose actions have type A.
//
// Concurrency: mu guards the machine behind next and tick, and wake. carryOut
// runs without mu, on the goroutine that caused the step.
type loop[A any] struct {
	clock    clock
	carryOut func(A)
	// next returns when tick is due; both are called with mu held.
	next func(now time.Duration) time.Duration
	tick func(now time.Duration) A

	mu     sync.Mutex
	wake   time.Duration
	wakeup chan struct{}
}

func newLoop[A any](c clock, next func(time.Duration) time.Duration, tick func(time.Duration) A, carryOut func(A)) *loop[A] {
	return &loop[A]{clock: c, next: next, tick: tick, carryOut: carryOut, wakeup: make(chan struct{}, 1)}
}

// step feeds one event to the machine and carries out its actions.
func (l *loop[A]) step(event func(now time.Duration) A) {
	l.mu.Lock()
	now := l.clock.now()
	actions := event(now)
	next := l.next(now)
	earlier := next < l.wake
	l.wake = next
	l.mu.Unlock()
	if earlier {
		l.signal()
	}
	l.carryOut(actions)
}

// read runs f with the machine to itself.
func (l *loop[A]) read(f func(now time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.clock.now())
}

// signal makes run look at wake again. It never blocks.
func (l *loop[A]) signal() {
	select {
	case l.wakeup <- struct{}{}:
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
		case <-l.wakeup:
		case <-timer.C:
			l.step(l.tick)
		}
		timer.Reset(max(0, l.due()-l.clock.now()))
	}
}

func (l *loop[A]) due() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wake
}
