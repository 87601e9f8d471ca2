package standin

import (
	"context"
	"sync"
	"time"
)

// takeSlot waits for a slot for at most SlotWait. It reports false if it got
// none.
func (e *Endpoint) takeSlot(ctx context.Context) bool {
	if e.slots == nil {
		e.inFlight.Add(1)
		return true
	}
	select {
	case e.slots <- struct{}{}:
		e.inFlight.Add(1)
		return true
	default:
	}
	if e.options.SlotWait <= 0 {
		return false
	}
	timer := time.NewTimer(e.options.SlotWait)
	defer timer.Stop()
	select {
	case e.slots <- struct{}{}:
		e.inFlight.Add(1)
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// releaseSlot frees a slot that was taken at the given time.
func (e *Endpoint) releaseSlot(taken time.Time) {
	e.busyNanos.Add(int64(time.Since(taken)))
	e.inFlight.Add(-1)
	if e.slots != nil {
		<-e.slots
	}
}

// running finds requests for cancellation.
type running struct {
	mu   sync.Mutex
	byID map[string]context.CancelFunc
}

func (r *running) add(id string, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = make(map[string]context.CancelFunc)
	}
	r.byID[id] = cancel
}

func (r *running) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, id)
}

func (r *running) cancel(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel := r.byID[id]; cancel != nil {
		cancel()
	}
}
