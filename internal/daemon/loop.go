package daemon

import (
	"context"
	"time"
)

// wakeup tells a loop that its next tick may be earlier than it thinks.
type wakeup chan struct{}

func newWakeup() wakeup { return make(wakeup, 1) }

// signal never blocks.
func (w wakeup) signal() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// runTicks calls tick at the times that next returns until ctx ends. A signal
// makes it ask next again.
func runTicks(ctx context.Context, c clock, w wakeup, next func() time.Duration, tick func()) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, next()-c.now()))
		select {
		case <-ctx.Done():
			return
		case <-w:
		case <-timer.C:
			tick()
		}
	}
}
